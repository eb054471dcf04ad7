package pace

import (
	"math"
	"time"
)

const (
	// minWindow is the shortest time over which a sample is taken, and minEvents the least number
	// of events that each stream makes meanwhile: reports state its progress in whole events.
	minWindow = 80 * time.Millisecond
	minEvents = 2.5
	// maxWindow is the longest time over which a sample is taken, so that a sample covers few
	// changes of speed.
	maxWindow = 1500 * time.Millisecond
	// minSamples is how many samples are needed before a lasting change of speed is looked for.
	minSamples = 6
	// changeWindow is how long an engine has to be faster than usual, or slower by less than it is
	// in slow moments, in each third of that time, until the new speed counts as the usual one.
	// slowChangeWindow is the same for slower engines; it is longer than two slow moments in a
	// row. changeFactor is the least such change.
	changeWindow     = 700 * time.Millisecond
	slowChangeWindow = 1800 * time.Millisecond
	changeFactor     = 1.12
	// changeEvenness is the least ratio between the thirds if the engine is much slower: a slow
	// moment and samples that overlap it are uneven.
	changeEvenness = 0.75
	// maxSamples is how many samples the estimate covers, about the last three seconds of an
	// engine that is busy.
	maxSamples = 24
	// sampleAge is how long a sample counts.
	sampleAge = 20 * time.Second
	// outlierScale is the relative deviation from which samples lose weight, so that moments
	// of slowness do not shift the estimate.
	outlierScale = 0.12
	// priorWeight is the weight of the defaults in units of one sample.
	priorWeight = 0.005
	// iterations is how often the weights of the samples are computed anew.
	iterations = 8
	// maxRatio is the factor by which an estimate may differ from the defaults.
	maxRatio = 8
)

// sample is the work that an engine did in a time.
type sample struct {
	at              time.Time
	millis          float64
	steps, prefills float64
}

// expectedMillis returns how long the work of the sample takes at a pace.
func (s *sample) expectedMillis(p Pace) float64 {
	return s.steps*Millis(p.StepTime) + s.prefills/p.PrefillTokensPerMs
}

// takeSample ends the current sample if the observation allows it. Samples begin and end
// while no prefill is under way, so that the number of prompt tokens processed is exact.
func (e *Estimator) takeSample(next *observation) {
	if next.waiting > 0 {
		return
	}
	if e.base != nil {
		length := next.at.Sub(e.base.at)
		if length < max(minWindow, time.Duration(minEvents*float64(e.StepsPerEvent)*float64(e.usualPace().StepTime))) {
			return
		}
		steps, runs := progress(e.base, next)
		if runs > 0 && steps > 0 && length <= maxWindow {
			e.addSample(sample{at: next.at, millis: Millis(length), steps: steps, prefills: float64(e.prefilled)})
		}
	}
	e.base, e.prefilled = next, 0
}

func (e *Estimator) addSample(s sample) {
	e.samples = append(e.samples, s)
	for len(e.samples) > maxSamples || s.at.Sub(e.samples[0].at) > sampleAge {
		e.samples = e.samples[1:]
	}
	e.adoptChange()
	e.usual = fit(e.samples)
}

// adoptChange scales the samples before a change of speed to the speed after it if the change
// has lasted longer than slow moments do. Both speeds of an engine change by the same factor.
func (e *Estimator) adoptChange() {
	if len(e.samples) < minSamples {
		return
	}
	for _, window := range [...]time.Duration{changeWindow, slowChangeWindow} {
		first, factor, least, most := e.compare(window)
		mild := least > changeFactor && most < minSlowdown || most < 1/changeFactor
		lasting := window == slowChangeWindow && least > changeFactor && least > changeEvenness*most
		if first == 0 || !mild && !lasting {
			continue
		}
		for i := range e.samples[:first] {
			e.samples[i].millis *= factor
		}
		e.slowdownAt, e.momentsAt = time.Time{}, time.Time{}
		return
	}
}

// compare compares the samples within a time with the usual speed. It returns the index of the
// first of them, the factor by which the newer two thirds took longer, and its least and highest
// value in the thirds. The index is 0 if a third has no sample.
func (e *Estimator) compare(window time.Duration) (first int, factor, least, most float64) {
	last := e.samples[len(e.samples)-1].at
	var taken, expected [3]float64
	for first = len(e.samples); first > 0; first-- {
		s := &e.samples[first-1]
		age := last.Sub(s.at) + time.Duration(s.millis*float64(time.Millisecond))
		if age >= window {
			break
		}
		third := age * 3 / window
		taken[third] += s.millis
		expected[third] += s.expectedMillis(e.usual)
	}
	least, most = math.Inf(1), 0
	for i := range taken {
		if expected[i] == 0 {
			return 0, 0, 0, 0
		}
		least, most = min(least, taken[i]/expected[i]), max(most, taken[i]/expected[i])
	}
	// The oldest third may have begun at the former speed.
	return first, (taken[0] + taken[1]) / (expected[0] + expected[1]), least, most
}

// fit returns the speeds that explain the samples best: a sample of n steps and m prompt tokens
// takes n times the step time and m divided by the prefill speed. Deviations count relative to
// the length of the sample; samples that deviate much lose weight.
func fit(samples []sample) Pace {
	defaultStep, defaultPerToken := Millis(DefaultStepTime), 1/DefaultPrefillTokensPerMs
	step, perToken := defaultStep, defaultPerToken
	for range iterations {
		// The sums of the normal equations, which begin with a sample of decoding and one of
		// prefill at the default speeds.
		a, b, d := priorWeight/(defaultStep*defaultStep), 0.0, priorWeight/(defaultPerToken*defaultPerToken)
		x, y := priorWeight/defaultStep, priorWeight/defaultPerToken
		for _, s := range samples {
			n, m := s.steps/s.millis, s.prefills/s.millis
			deviation := (1 - n*step - m*perToken) / outlierScale
			weight := 1 / (1 + deviation*deviation)
			a += weight * n * n
			b += weight * n * m
			d += weight * m * m
			x += weight * n
			y += weight * m
		}
		determinant := a*d - b*b
		if determinant <= 0 {
			break
		}
		step, perToken = (x*d-y*b)/determinant, (a*y-b*x)/determinant
		step = min(max(step, defaultStep/maxRatio), defaultStep*maxRatio)
		perToken = min(max(perToken, defaultPerToken/maxRatio), defaultPerToken*maxRatio)
	}
	return Pace{PrefillTokensPerMs: 1 / perToken, StepTime: time.Duration(step * float64(time.Millisecond)), Slowdown: 1, SlowMoments: 1}
}

// Millis returns a duration in milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
