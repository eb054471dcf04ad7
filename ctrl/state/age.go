package state

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/origin"
)

// ageStep is the resolution of revisionAges; it bounds them to two minutes' worth of steps.
const ageStep = time.Second

// revisionAges tells how old the changes of endpoints are at least, by this replica's
// monotonic clock. An age is never overestimated: a clock that is set, a suspended VM and a
// restart of the replica make changes look newer than they are. Ages are not replicated.
type revisionAges struct {
	// steps are ordered by time and revision; each step's changes were made before its time.
	steps []revisionStep
	// agedRevision is the highest revision whose changes are older than origin.Retention.
	agedRevision uint64
}

type revisionStep struct {
	revision uint64
	// began is when the step began, and at when its last change was made at the latest.
	began, at time.Time
}

// observe records that all changes up to a revision were made by the given time.
func (a *revisionAges) observe(revision uint64, at time.Time) {
	if len(a.steps) == 0 {
		if revision > a.agedRevision {
			a.steps = append(a.steps, revisionStep{revision: revision, began: at, at: at})
		}
		return
	}
	last := &a.steps[len(a.steps)-1]
	switch {
	case revision <= last.revision:
	case at.Sub(last.began) < ageStep:
		last.revision = revision
		if at.After(last.at) {
			last.at = at
		}
	default:
		a.steps = append(a.steps, revisionStep{revision: revision, began: at, at: at})
		a.aged(at)
	}
}

// reset forgets all ages: the changes up to the revision may have been made just now.
func (a *revisionAges) reset(revision uint64, now time.Time) {
	*a = revisionAges{}
	a.observe(revision, now)
}

// aged returns the highest revision whose changes were made at least origin.Retention ago.
func (a *revisionAges) aged(now time.Time) uint64 {
	old := 0
	for old < len(a.steps) && now.Sub(a.steps[old].at) >= origin.Retention {
		a.agedRevision = a.steps[old].revision
		old++
	}
	a.steps = a.steps[old:]
	return a.agedRevision
}
