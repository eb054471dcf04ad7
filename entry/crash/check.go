package crash

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// checkDelay is the time from a broken connection to the check of its endpoint,
	// in which the other connections of a crashed endpoint break too.
	checkDelay = 30 * time.Millisecond
	// checkInterval is the shortest time between two checks of one endpoint.
	checkInterval = 250 * time.Millisecond
	// checkTimeout bounds one check. An endpoint whose machine is gone neither
	// accepts nor refuses.
	checkTimeout = time.Second
)

// scheduleCheck schedules a check whether an endpoint has crashed, unless one is due.
// t.mutex must be held.
func (t *Tracker) scheduleCheck(known *lostRequests, now time.Time) {
	if t.Refuses == nil || known.checking {
		return
	}
	known.checking = true
	at := now.Add(checkDelay)
	if at.Before(known.nextCheck) {
		at = known.nextCheck
	}
	known.nextCheck = at.Add(checkInterval)
	time.AfterFunc(at.Sub(now), func() { t.check(known) })
}

// check reports a crash if an endpoint that has not announced to leave refuses
// connections.
func (t *Tracker) check(known *lostRequests) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	refused := t.Refuses(ctx, known.endpoint.Address)
	if crash := t.finishCheck(known, refused); crash != nil {
		t.Report(*crash)
	}
}

// finishCheck returns the report of a crash, nil if there is none to be made.
func (t *Tracker) finishCheck(known *lostRequests, refused bool) *plane.Crash {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known.checking = false
	if !refused || t.lost[known.endpoint.Address] != known || t.accepting[known.endpoint.Address] != known.endpoint.StartedMillis {
		return nil
	}
	return t.newCrash(known)
}
