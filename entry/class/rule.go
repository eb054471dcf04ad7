package class

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// Features are what the class of a request is inferred from.
type Features struct {
	// Service says that a plain service is called, Once that the request must
	// not repeat, Stream that the answer is streamed.
	Service    bool
	AtMostOnce bool
	Stream     bool
	// MaxTokens is the longest answer asked for, Usual the decayed mean of
	// the key's past answers in tokens; zero when there are none.
	MaxTokens  int64
	MeanTokens float64
	// InFlight is the decayed peak of the key's requests in progress, this one
	// included.
	InFlight float64
	// MeanPause is the decayed mean pause between the end of an answer and the
	// key's next request; zero without pauses. Known is the number of
	// requests that it was learnt from, decayed.
	MeanPause    time.Duration
	PauseSamples float64
	// ChainedShare is the share of the key's requests that came at once after an
	// answer, of Requests, their decayed number. With several entries only a
	// part of a program's requests are seen to.
	ChainedShare float64
	RequestCount float64
	// SameAdapter says that the key asked the same adapter shortly before, and Habit
	// is the share of its requests to adapters that came so, of Habits, their
	// decayed number.
	SameAdapter      bool
	SameAdapterShare float64
	AdapterRequests  float64
	// Rate is the key's decayed rate of requests, per second.
	Rate float64
	// Resends and Leaves are decayed counts of the same request coming again
	// and of callers who went away before the end.
	Resends     float64
	Disconnects float64
}

// Weights of the evidence: positive sums speak for a person who waits.
const (
	scoreStream     = 1.0
	scoreSmall      = 0.5
	scoreLarge      = -1.0
	scoreFewFlight  = 1.0
	scoreManyFlight = -3.0
	scoreThink      = 1.5
	scoreNoThink    = -2.0
	scoreWhole      = -0.5
	scoreChained    = -2.5
	scoreNear       = -1.0
	scoreHabit      = 2.0
	scoreLeave      = 0.5
	scoreResend     = 0.5
	scoreRate       = -1.0

	// personScore is the least score of a person, soonScore of soon work.
	personScore = 0.5
	soonScore   = -1.5
)

const (
	// smallAnswer and largeAnswer are sizes in tokens.
	smallAnswer = 256
	largeAnswer = 2048
	// fewFlight is the most requests that one person has in progress, and
	// manyFlight what only programs have.
	fewFlight  = 2.5
	manyFlight = 6.0
	// thinkTime is the least pause of a person between two requests, and
	// noThinkTime what only programs manage.
	thinkTime   = time.Second
	noThinkTime = 200 * time.Millisecond
	// chainedShare is the share of chained requests from which a program is
	// taken to send them: a third with three entries, if it waits for answers.
	chainedShare = 0.2
	// known is how many requests the pause is learnt from before it counts.
	known = 3.0
	// highRate is a rate of requests per second that no person types.
	highRate = 3.0
	// some is the decayed count from which a habit counts.
	some = 0.5
)

// Infer returns the class that the features speak for.
func Infer(f Features) call.Class {
	if f.Service {
		return inferService(f)
	}
	score := scoreSize(f) + scoreFlight(f) + scorePause(f) + scoreHabits(f) + scoreRuns(f) + scoreWhole
	if f.Stream {
		score += scoreStream - scoreWhole
	}
	switch {
	case score >= personScore:
		return call.ClassInteractive
	case score >= soonScore:
		return call.ClassSoon
	}
	return call.ClassLong
}

// inferService treats lookups as watched unless a program makes them, and
// filings as needed soon: their callers wait for the confirmation.
func inferService(f Features) call.Class {
	if scoreFlight(f)+scorePause(f) <= scoreManyFlight {
		return call.ClassSoon
	}
	return call.ClassInteractive
}

func scoreSize(f Features) float64 {
	size := float64(f.MaxTokens)
	if f.MeanTokens > 0 {
		size = min(size, 2*f.MeanTokens)
	}
	switch {
	case size <= smallAnswer:
		return scoreSmall
	case size >= largeAnswer:
		return scoreLarge
	}
	return 0
}

func scoreFlight(f Features) float64 {
	switch {
	case f.InFlight <= fewFlight:
		return scoreFewFlight
	case f.InFlight >= manyFlight:
		return scoreManyFlight
	}
	return scoreManyFlight * (f.InFlight - fewFlight) / (manyFlight - fewFlight)
}

func scorePause(f Features) float64 {
	score := 0.0
	if f.Rate >= highRate {
		score += scoreRate
	}
	if f.RequestCount >= known && f.ChainedShare >= chainedShare {
		return score + scoreChained
	}
	if f.PauseSamples < known {
		return score
	}
	switch {
	case f.MeanPause >= thinkTime:
		score += scoreThink
	case f.MeanPause <= noThinkTime:
		score += scoreNoThink
	}
	return score
}

// scoreRuns tells the runs of a program, which works through one adapter at a
// time, from people under the same key.
func scoreRuns(f Features) float64 {
	score := 0.0
	if f.SameAdapter {
		score += scoreNear
	}
	if f.AdapterRequests >= known {
		score += scoreHabit * (1 - 2*f.SameAdapterShare)
	}
	return score
}

func scoreHabits(f Features) float64 {
	score := 0.0
	if f.Disconnects >= some {
		score += scoreLeave
	}
	if f.Resends >= some {
		score += scoreResend
	}
	return score
}
