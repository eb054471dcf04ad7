package bench

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/stubs/driver"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
	"github.com/tanagerspindle/tanagerspindle/stubs/model"
)

const (
	// earlyTime is the start of traffic for which the inference is judged
	// apart, lateTime when it is judged as settled.
	earlyTime = 10 * time.Second
	lateTime  = time.Minute
)

// Urgency is how well the inference finds the requests that a person waits
// for.
type Urgency struct {
	Early, Late Accuracy
}

// Accuracy is precision and recall.
type Accuracy struct {
	// Found counts requests judged urgent, Right those of them that were, and
	// Urgent all that were.
	Found, Right, Urgent int
}

// Precision is the share of those judged urgent that were.
func (a Accuracy) Precision() float64 { return float64(a.Right) / float64(max(a.Found, 1)) }

// Recall is the share of the urgent that were judged so.
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

// judge compares the priority that engines received with the callers' sort.
func judge(requests []*driver.Request, f *fleet.Fleet, start time.Time) Urgency {
	priorities := map[string]int{}
	for _, engine := range f.Engines {
		for _, received := range engine.Received() {
			if prompt := model.Prompt([]byte(received.Body)); prompt != "" {
				priorities[prompt] = model.Priority([]byte(received.Body))
			}
		}
	}
	var judged Urgency
	for _, request := range requests {
		priority, seen := priorities[request.Prompt]
		if request.Adapter == "" || !seen {
			continue
		}
		urgent, found := request.Caller == driver.CallerPerson, priority == 0
		since := request.Sent.Sub(start)
		if since < earlyTime {
			judged.Early.add(urgent, found)
		}
		if since >= lateTime {
			judged.Late.add(urgent, found)
		}
	}
	return judged
}
