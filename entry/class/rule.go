package class

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// Features are the inputs from which the class of a request is inferred. "Decayed"
// figures lose half their weight in 30 s (InFlight: 10 s).
type Features struct {
	// Service means that a plain service is called, AtMostOnce that the request must
	// not run twice, Stream that the answer is streamed.
	Service    bool
	AtMostOnce bool
	Stream     bool
	// MaxTokens is the requested maximum length of the answer; MeanTokens is the
	// decayed mean length of the key's past answers, zero if there are none.
	MaxTokens  int64
	MeanTokens float64
	// InFlight is the decayed peak number of the key's requests in progress, including
	// this one.
	InFlight float64
	// MeanPause is the decayed mean pause between the end of an answer and the key's
	// next request, zero if there was none. PauseSamples is the decayed number of
	// pauses.
	MeanPause    time.Duration
	PauseSamples float64
	// ChainedShare is the share of the key's requests that directly followed an answer,
	// and RequestCount the decayed number of requests. One of several entries sees only
	// a part of a program's requests in sequence.
	ChainedShare float64
	RequestCount float64
	// SameAdapter means that the key called the same adapter shortly before.
	// SameAdapterShare is the share of the key's past adapter requests for which
	// SameAdapter was set, and AdapterRequests their decayed number.
	SameAdapter      bool
	SameAdapterShare float64
	AdapterRequests  float64
	// Rate is the key's decayed rate of requests per second.
	Rate float64
	// Resends and Disconnects are decayed numbers of repeated requests and of requests
	// whose caller disconnected before the end.
	Resends     float64
	Disconnects float64
}

// Score contributions: a positive sum indicates a person who waits for the answer.
const (
	scoreStream       = 1.0
	scoreSmallAnswer  = 0.5
	scoreLargeAnswer  = -1.0
	scoreFewInFlight  = 1.0
	scoreManyInFlight = -3.0
	scoreLongPause    = 1.5
	scoreShortPause   = -2.0
	scoreNotStreamed  = -0.5
	scoreChained      = -2.5
	scoreSameAdapter  = -1.0
	scoreAdapterShare = 2.0
	scoreDisconnect   = 0.5
	scoreResend       = 0.5
	scoreRate         = -1.0

	// minInteractiveScore and minSoonScore are the lowest scores of ClassInteractive and
	// ClassSoon.
	minInteractiveScore = 0.5
	minSoonScore        = -1.5
)

const (
	// smallAnswer and largeAnswer are answer sizes in tokens.
	smallAnswer = 256
	largeAnswer = 2048
	// maxPersonInFlight is the largest number of requests that one person has in
	// progress, and minProgramInFlight the number from which only programs do.
	maxPersonInFlight  = 2.5
	minProgramInFlight = 6.0
	// minPersonPause is the shortest mean pause of a person between two requests, and
	// maxProgramPause the longest one that only programs achieve.
	minPersonPause  = time.Second
	maxProgramPause = 200 * time.Millisecond
	// minChainedShare is the share of chained requests from which they are attributed
	// to a program. A program that waits for each answer has a share of a third at each
	// of three entries.
	minChainedShare = 0.2
	// minSamples is the decayed number of samples from which a statistic is used.
	minSamples = 3.0
	// minProgramRate is a rate of requests per second that no person reaches.
	minProgramRate = 3.0
	// minEventCount is the decayed number of resends or disconnects from which they
	// count.
	minEventCount = 0.5
)

// Infer returns the class that the features indicate.
func Infer(f Features) call.Class {
	if f.Service {
		return inferService(f)
	}
	score := scoreSize(f) + scoreInFlight(f) + scorePause(f) + scoreEvents(f) + scoreAdapterRun(f) + scoreNotStreamed
	if f.Stream {
		score += scoreStream - scoreNotStreamed
	}
	switch {
	case score >= minInteractiveScore:
		return call.ClassInteractive
	case score >= minSoonScore:
		return call.ClassSoon
	}
	return call.ClassLong
}

// inferService returns ClassInteractive for a call of a plain service, since its caller
// usually waits for the reply, and ClassSoon if a program makes the calls.
func inferService(f Features) call.Class {
	if scoreInFlight(f)+scorePause(f) <= scoreManyInFlight {
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
		return scoreSmallAnswer
	case size >= largeAnswer:
		return scoreLargeAnswer
	}
	return 0
}

func scoreInFlight(f Features) float64 {
	switch {
	case f.InFlight <= maxPersonInFlight:
		return scoreFewInFlight
	case f.InFlight >= minProgramInFlight:
		return scoreManyInFlight
	}
	return scoreManyInFlight * (f.InFlight - maxPersonInFlight) / (minProgramInFlight - maxPersonInFlight)
}

func scorePause(f Features) float64 {
	score := 0.0
	if f.Rate >= minProgramRate {
		score += scoreRate
	}
	if f.RequestCount >= minSamples && f.ChainedShare >= minChainedShare {
		return score + scoreChained
	}
	if f.PauseSamples < minSamples {
		return score
	}
	switch {
	case f.MeanPause >= minPersonPause:
		score += scoreLongPause
	case f.MeanPause <= maxProgramPause:
		score += scoreShortPause
	}
	return score
}

// scoreAdapterRun separates a program, which works through one adapter at a time, from
// people who use the same key.
func scoreAdapterRun(f Features) float64 {
	score := 0.0
	if f.SameAdapter {
		score += scoreSameAdapter
	}
	if f.AdapterRequests >= minSamples {
		score += scoreAdapterShare * (1 - 2*f.SameAdapterShare)
	}
	return score
}

func scoreEvents(f Features) float64 {
	score := 0.0
	if f.Disconnects >= minEventCount {
		score += scoreDisconnect
	}
	if f.Resends >= minEventCount {
		score += scoreResend
	}
	return score
}
