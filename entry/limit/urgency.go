package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
)

// urgency orders the requests of a workspace that wait for tokens, before their deadlines.
type urgency struct {
	// isNew is false for a request that resumes a stream, which comes first.
	isNew bool
	// workspace and route are the priorities of the workspace and of the route, 0 first.
	workspace, route int32
}

func (u urgency) compare(other urgency) int {
	if u.isNew != other.isNew {
		if other.isNew {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(u.workspace, other.workspace), cmp.Compare(u.route, other.route))
}

// before reports whether w is served before other.
func (w *waiter) before(other *waiter) bool {
	if order := w.urgency.compare(other.urgency); order != 0 {
		return order < 0
	}
	return w.queueTime.Before(other.queueTime)
}

// latest returns the latest time at which the waiter's tokens may be expected.
func (w *waiter) latest() time.Time {
	if w.servedBy.IsZero() {
		return w.deadline
	}
	return w.servedBy
}

// urgencyOf returns the urgency of a request that takes its tokens when it is sent.
func (l *Limiter) urgencyOf(r *chain.Request) urgency {
	u := urgency{isNew: !r.ResumesStream(), route: r.Route.Priority}
	if config := l.Config(); config != nil {
		u.workspace = config.Workspaces[r.Workspace].Priority
	}
	return u
}

// refuseLessUrgent refuses the last waiter in the queue if it and w take their tokens when
// they are sent and it is less urgent than w, and reports whether it has.
func (s *share) refuseLessUrgent(w *waiter) bool {
	last := s.waiters[len(s.waiters)-1]
	if w.servedBy.IsZero() || last.servedBy.IsZero() || !w.before(last) {
		return false
	}
	s.waiters = slices.Delete(s.waiters, len(s.waiters)-1, len(s.waiters))
	last.done <- refuseLate(minRetryAfter)
	return true
}
