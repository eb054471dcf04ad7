// Package pace estimates how fast an engine works: how long a step of its batch takes and how
// many prompt tokens it processes in a millisecond of prefill.
//
// An engine alternates between steps, each of which yields one token of every running stream,
// and chunks of prefill that delay the next step. Engines differ in both speeds, and some turn
// slow for moments. The estimate comes from the engine's reports, which state how many events
// each running request has made.
package pace

import (
	"math"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// DefaultPrefillTokensPerMs and DefaultStepTime are the speeds of an engine of which
	// nothing is known: those of the first engines that the product served.
	DefaultPrefillTokensPerMs = 25.0
	DefaultStepTime           = 12 * time.Millisecond
	// recentWindow is the time over which the present slowdown is measured, minRecent the
	// shortest one and slowdownAge how long the measured slowdown holds while the reports
	// show no progress of decoding. A moment of slowness takes some hundred milliseconds.
	recentWindow = 110 * time.Millisecond
	minRecent    = 45 * time.Millisecond
	slowdownAge  = 300 * time.Millisecond
	// momentsAge is how long after a slow moment further ones are expected. momentsRise and
	// momentsFall are the weights of a higher and a lower measurement in the slowdown of slow
	// moments.
	momentsAge  = 10 * time.Second
	momentsRise = 0.5
	momentsFall = 0.03
	// arrivalTime is how long an admitted request may take to reach the engine, and
	// reportDelay how long it takes until the end of its prefill is reported.
	arrivalTime = 20 * time.Millisecond
	reportDelay = 40 * time.Millisecond
	// minSlowdown is the slowdown below which the engine counts as working at its usual
	// speed: the progress of a few streams in a short time is known to about a third.
	minSlowdown = 1.4
	maxSlowdown = 6
	// minCalm is how many measurements in a row without slowness end a slow moment.
	minCalm = 2
	// maxOverdue is the highest slowdown that an overdue prompt shows: it may also be overdue
	// because it arrived late.
	maxOverdue = 3
	// maxPrefillWait is how long an admitted request may take until its first event before it
	// is assumed not to have arrived at the engine.
	maxPrefillWait = time.Second
	// maxObservationGap is the longest time between two observations that are compared. An
	// engine that answers no request for a report may not work meanwhile, which says nothing
	// about its speed. Reports are otherwise requested at least every 150 ms and take 400 ms at
	// most.
	maxObservationGap = 550 * time.Millisecond
)

// Run is the progress of one request as the engine reports it.
type Run struct {
	// ID is the request's ID.
	ID string
	// Tokens is the number of its tokens in the engine's memory, Events the number of events
	// it has made.
	Tokens, Events int64
}

// Pace is the speed of an engine.
type Pace struct {
	// PrefillTokensPerMs and StepTime are the usual speeds.
	PrefillTokensPerMs float64
	StepTime           time.Duration
	// Slowdown is the factor by which the engine is slower at present, at least 1. SlowMoments is
	// the factor by which it is in its slow moments, 1 if it had none lately.
	Slowdown, SlowMoments float64
}

// Default is the pace of an engine of which nothing is known.
var Default = Pace{PrefillTokensPerMs: DefaultPrefillTokensPerMs, StepTime: DefaultStepTime, Slowdown: 1, SlowMoments: 1}

// Estimator estimates the pace of one engine. The zero value is ready for use. It is not safe
// for concurrent use.
type Estimator struct {
	// StepsPerEvent is how many steps make one event of a stream; 0 if unknown.
	StepsPerEvent int

	// outstanding are the admitted requests whose first event is not reported yet.
	outstanding map[string]prompt
	// base is the first observation of the sample that is being taken; nil before it.
	base *observation
	// observedAt is when the last observation was made; zero before the first one.
	observedAt time.Time
	// prefilled is the number of prompt tokens whose prefill has ended since base.
	prefilled int64
	// recent are the last observations, oldest first.
	recent  []observation
	samples []sample
	usual   Pace
	// slowdown is the measured slowdown as of slowdownAt, and calm the number of measurements
	// since then that showed none.
	slowdown   float64
	slowdownAt time.Time
	calm       int
	// moments is the moving average of the slowdown in slow moments, 0 before the first one,
	// and momentsAt when the last one was measured.
	moments   float64
	momentsAt time.Time
	// prefillEndedAt is when the last prefill was seen to have ended; zero before the first one.
	prefillEndedAt time.Time
}

// prompt is the prompt of an admitted request.
type prompt struct {
	tokens   int64
	admitted time.Time
}

// observation is what one report states.
type observation struct {
	at time.Time
	// runs holds the requests that have made an event.
	runs map[string]Run
	// waiting is the number of prompt tokens whose prefill has not ended, ended the number of
	// those whose prefill has ended since the previous observation.
	waiting, ended int64
	// current is the oldest of the prompts whose prefill has not ended.
	current prompt
}

// Admit records that a request with a prompt is sent to the engine.
func (e *Estimator) Admit(id string, promptTokens int64, now time.Time) {
	if e.outstanding == nil {
		e.outstanding = map[string]prompt{}
	}
	e.outstanding[id] = prompt{tokens: promptTokens, admitted: now}
}

// End records that a request has left the engine, and reports whether the end of its prefill was
// observed or assumed before.
func (e *Estimator) End(id string) (prefilled bool) {
	_, outstanding := e.outstanding[id]
	delete(e.outstanding, id)
	return !outstanding
}

// Reset forgets everything; it is called when the engine has restarted.
func (e *Estimator) Reset() { *e = Estimator{StepsPerEvent: e.StepsPerEvent} }

// Observe takes in the runs of a report.
func (e *Estimator) Observe(runs []Run, now time.Time) {
	if gap := now.Sub(e.observedAt); gap > maxObservationGap && !e.observedAt.IsZero() {
		e.skip(gap, now)
	}
	e.observedAt = now
	next := observation{at: now, runs: make(map[string]Run, len(runs))}
	for _, run := range runs {
		if run.Events == 0 {
			continue
		}
		next.runs[run.ID] = run
		if known, ok := e.outstanding[run.ID]; ok {
			next.ended += known.tokens
			delete(e.outstanding, run.ID)
		}
	}
	for id, known := range e.outstanding {
		if now.Sub(known.admitted) > maxPrefillWait {
			delete(e.outstanding, id)
			continue
		}
		next.waiting += known.tokens
		if next.current.tokens == 0 || known.admitted.Before(next.current.admitted) {
			next.current = known
		}
	}
	if next.ended > 0 {
		e.prefillEndedAt = now
	}
	e.prefilled += next.ended
	e.takeSample(&next)
	e.measureSlowdown(next)
}

// skip excludes a time without observations from all measurements.
func (e *Estimator) skip(gap time.Duration, now time.Time) {
	e.base, e.prefilled, e.recent = nil, 0, nil
	for id, known := range e.outstanding {
		known.admitted = known.admitted.Add(gap)
		if known.admitted.After(now) {
			known.admitted = now
		}
		e.outstanding[id] = known
	}
}

// progress returns the mean number of tokens that the streams of both observations have made
// between them, and the number of those streams.
func progress(former, next *observation) (tokens float64, runs int) {
	sum := int64(0)
	for id, run := range next.runs {
		before, ok := former.runs[id]
		if !ok || run.Tokens < before.Tokens {
			// A preempted request begins anew.
			continue
		}
		sum += run.Tokens - before.Tokens
		runs++
	}
	if runs == 0 {
		return 0, 0
	}
	return float64(sum) / float64(runs), runs
}

// measureSlowdown compares the progress of the last moment with the usual speed.
func (e *Estimator) measureSlowdown(next observation) {
	e.recent = append(e.recent, next)
	for len(e.recent) > 2 && next.at.Sub(e.recent[1].at) >= recentWindow {
		e.recent = e.recent[1:]
	}
	decoding, overall, ok := e.decodingSlowdown(&e.recent[0], &next)
	overdue := e.prefillSlowdown(&next)
	switch {
	case !ok && overdue < minSlowdown:
		return
	case overdue >= minSlowdown:
		e.recordMoment(min(overdue, maxOverdue), next.at)
	case decoding >= minSlowdown:
		e.recordMoment(min(decoding, maxSlowdown), next.at)
	}
	if overdue < minSlowdown && decoding < minSlowdown {
		// A single measurement may have counted too much prefill.
		if e.calm++; e.calm >= minCalm {
			e.slowdown = 1
		}
		return
	}
	e.slowdown, e.slowdownAt, e.calm = max(overall, e.moments), next.at, 0
	if lasting := e.lastingSlowdown(next.at); lasting > 0 {
		e.slowdown = lasting
	}
	e.slowdown = min(e.slowdown, maxSlowdown)
}

// lastingSlowdown returns the slowdown by the last samples if all of them are slow, 0 otherwise.
// It is more exact than that of the last moment.
func (e *Estimator) lastingSlowdown(now time.Time) float64 {
	taken, expected, count := 0.0, 0.0, 0
	for i := len(e.samples) - 1; i >= 0 && now.Sub(e.samples[i].at) < changeWindow; i-- {
		s := &e.samples[i]
		usual := s.expectedMillis(e.usual)
		if s.millis < minSlowdown*usual {
			break
		}
		taken, expected, count = taken+s.millis, expected+usual, count+1
	}
	if count < 2 {
		return 0
	}
	return taken / expected
}

// recordMoment takes a measurement into the slowdown of slow moments. Measurements at the
// beginning and the end of a moment are too low, so that higher ones count more.
func (e *Estimator) recordMoment(slowdown float64, now time.Time) {
	if now.Sub(e.momentsAt) > momentsAge {
		e.moments = 0
	}
	weight := momentsFall
	if slowdown > e.moments {
		weight = momentsRise
	}
	e.moments += weight * (slowdown - e.moments)
	e.moments = max(e.moments, minSlowdown)
	e.momentsAt = now
}

// decodingSlowdown returns the slowdown by the progress of the streams between two
// observations. Prefill that may have been under way counts as done, so that a prompt does not
// look like slowness; ok is false if prefill explains the whole time. decoding attributes all of
// the delay to the steps and shows a slow moment early; overall attributes it to the prefill too.
func (e *Estimator) decodingSlowdown(first, next *observation) (decoding, overall float64, ok bool) {
	length := next.at.Sub(first.at)
	steps, runs := progress(first, next)
	if length < minRecent || runs == 0 {
		return 0, 0, false
	}
	usual := e.usualPace()
	prefill := float64(next.current.tokens)
	for _, o := range e.recent[1:] {
		prefill += float64(o.ended)
	}
	prefillMillis := prefill / usual.PrefillTokensPerMs
	if Millis(length)-prefillMillis < Millis(minRecent) {
		return 0, 0, false
	}
	// A stream's tokens are reported in whole events; on average half of an event is made and
	// not reported, at both ends. The mean over several streams is more exact.
	unseen := 1 / math.Sqrt(float64(runs))
	stepMillis := (steps + unseen) * Millis(usual.StepTime)
	return (Millis(length) - prefillMillis) / stepMillis, Millis(length) / (prefillMillis + stepMillis), true
}

// prefillSlowdown returns the slowdown by how long the prefill of the oldest prompt takes; it is
// below minSlowdown if the prompt is not overdue. The engine processes prompts about in the order
// of their admission.
func (e *Estimator) prefillSlowdown(next *observation) float64 {
	if next.current.tokens == 0 || len(e.samples) == 0 {
		return 0
	}
	began := next.current.admitted.Add(arrivalTime)
	if e.prefillEndedAt.After(began) {
		began = e.prefillEndedAt
	}
	usual := e.usualPace()
	// Each chunk of the prompt also takes a step.
	expected := float64(next.current.tokens)/usual.PrefillTokensPerMs + 2*Millis(usual.StepTime)
	return Millis(next.at.Sub(began)-reportDelay) / expected
}

// Pace returns the engine's pace.
func (e *Estimator) Pace(now time.Time) Pace {
	p := e.usualPace()
	if e.slowdown >= minSlowdown && now.Sub(e.slowdownAt) < slowdownAge {
		p.Slowdown = e.slowdown
	}
	if e.moments > 0 && now.Sub(e.momentsAt) < momentsAge {
		p.SlowMoments = e.moments
	}
	return p
}

// Known reports whether the estimate rests on as many samples as it can cover.
func (e *Estimator) Known() bool { return len(e.samples) == maxSamples }

// Outstanding returns the number of prompt tokens that were sent to the engine and whose
// prefill is not seen to have ended.
func (e *Estimator) Outstanding() int64 {
	sum := int64(0)
	for _, p := range e.outstanding {
		sum += p.tokens
	}
	return sum
}

// usualPace returns the usual speeds.
func (e *Estimator) usualPace() Pace {
	if len(e.samples) == 0 {
		return Default
	}
	return e.usual
}
