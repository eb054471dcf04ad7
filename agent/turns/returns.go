package turns

import "time"

// maxReturn bounds the return time that the work of earlier refused callers gives. A workspace
// that is refused more than its share of this time cannot serve all of its callers, and a later
// time would hold no better.
const maxReturn = 10 * time.Second

// Return returns after how long the caller of a refused request may come back, where wait is
// the time after which the request could start if no other caller came back. Callers refused
// earlier come back first, each taking its work of the workspace's share of the engine.
//
// final means that the refused request has no further engine to ask, so that its caller does
// come back; only such a request delays later ones.
func (b *Book) Return(e Entry, wait time.Duration, final bool, now time.Time) time.Duration {
	b.prepare()
	s := b.summarize(now)
	at, latest := now.Add(wait), now.Add(max(wait, maxReturn))
	if until := b.returns[e.Workspace]; until.After(at) {
		at = until
	}
	if at.After(latest) {
		at = latest
	}
	if rate := max(s.use[e.Workspace], s.total/float64(s.active)) / shareWindow.Seconds(); final && rate > 0 {
		b.returns[e.Workspace] = at.Add(time.Duration(e.Work / rate * float64(time.Second)))
	}
	return at.Sub(now)
}
