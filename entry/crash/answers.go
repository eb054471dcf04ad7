package crash

import "time"

const (
	// recentAnswer is how long before a crash an answer on a part or content clears it
	// of that crash.
	recentAnswer = time.Second
	// answerRetention is how long an answer is remembered.
	answerRetention = retention + recentAnswer
	// maxAnswers bounds the parts and contents that are remembered.
	maxAnswers = 8192
	// clearInterval is the time between two reports that one is cleared, in which
	// control's list follows the first.
	clearInterval = 300 * time.Millisecond
)

// answers remembers when an endpoint last answered on each part of a prompt, and on each
// content. The zero value is ready for use by one goroutine.
type answers struct {
	byPart map[string]answer
}

type answer struct {
	at, clearDue time.Time
}

// record records an answer on a part or content and reports whether that may be reported
// as cleared again.
func (a *answers) record(part []byte, now time.Time) (mayClear bool) {
	if a.byPart == nil {
		a.byPart = map[string]answer{}
	}
	known, ok := a.byPart[string(part)]
	if !ok && len(a.byPart) >= maxAnswers {
		a.shrink(now)
	}
	known.at = now
	if mayClear = !now.Before(known.clearDue); mayClear {
		known.clearDue = now.Add(clearInterval)
	}
	a.byPart[string(part)] = known
	return mayClear
}

// since reports whether there was an answer on a part after a time.
func (a *answers) since(part []byte, from time.Time) bool {
	return a.byPart[string(part)].at.After(from)
}

// shrink forgets old answers, and all if none is old.
func (a *answers) shrink(now time.Time) {
	for part, known := range a.byPart {
		if now.Sub(known.at) > answerRetention {
			delete(a.byPart, part)
		}
	}
	if len(a.byPart) >= maxAnswers {
		clear(a.byPart)
	}
}
