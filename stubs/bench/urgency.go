package bench

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/stubs/driver"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
	"github.com/tanagerspindle/tanagerspindle/stubs/model"
)

const (
	// earlyPeriod is the first part of the traffic, for which the inference is
	// evaluated separately.
	earlyPeriod = 10 * time.Second
	// lateStart is the time after which the inference is considered settled.
	lateStart = time.Minute
)

// Urgency is the accuracy with which the system infers that a person waits for a
// request, at the start of traffic (Early) and in the steady state (Late).
type Urgency struct {
	Early, Late Accuracy
}

// Accuracy counts requests for the computation of precision and recall.
type Accuracy struct {
	// Found counts the requests classified as urgent, Right those of them that
	// are urgent, and Urgent all urgent requests.
	Found, Right, Urgent int
}

// Precision returns the share of requests classified as urgent that are urgent.
func (a Accuracy) Precision() float64 { return float64(a.Right) / float64(max(a.Found, 1)) }

// Recall returns the share of urgent requests that were classified as urgent.
func (a Accuracy) Recall() float64 { return float64(a.Right) / float64(max(a.Urgent, 1)) }

func (a *Accuracy) add(urgent, found bool) {
	if urgent {
		a.Urgent++
	}
	if found {
		a.Found++
	}
	if urgent && found {
		a.Right++
	}
}

// measureUrgency compares the priority in the requests that engines received
// with the kind of caller. Priority 0 means urgent.
func measureUrgency(requests []*driver.Request, f *fleet.Fleet, start time.Time) Urgency {
	priorities := map[string]int{}
	for _, engine := range f.Engines {
		for _, received := range engine.Received() {
			if prompt := model.Prompt([]byte(received.Body)); prompt != "" {
				priorities[prompt] = model.Priority([]byte(received.Body))
			}
		}
	}
	var result Urgency
	for _, request := range requests {
		priority, seen := priorities[request.Prompt]
		if request.Adapter == "" || !seen {
			continue
		}
		urgent, found := request.Caller == driver.CallerInteractive, priority == 0
		since := request.Sent.Sub(start)
		if since < earlyPeriod {
			result.Early.add(urgent, found)
		}
		if since >= lateStart {
			result.Late.add(urgent, found)
		}
	}
	return result
}
