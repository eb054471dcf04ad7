package view

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/pacer"
)

const (
	// noticeRetention is how long a notice is remembered of a process that is not
	// listed: a late announcement may list it again.
	noticeRetention = 10 * time.Minute
	// maxNotices bounds the processes that are not listed and whose notices are
	// remembered.
	maxNotices = 4096
)

// process identifies one process of an endpoint.
type process struct {
	name          string
	startedMillis int64
}

func processOf(record *advert.Record) process {
	return process{name: record.Name, startedMillis: record.StartedMillis}
}

// notices is what a process has said of itself in its answers to this entry.
type notices struct {
	advert.Notices
	// last is when the last notice arrived.
	last time.Time
	// limitStated is when an answer to this entry arrived that states Limit; zero if none
	// has.
	limitStated time.Time
	// pacer keeps this entry's share of the process's limit; nil until it names one.
	pacer *pacer.Pacer
	// waiting counts the requests that wait until the process may get one again, by
	// priority.
	waiting map[int32]int
}

// countWaiting returns how many requests wait that are at least as urgent.
func (n *notices) countWaiting(priority int32) int {
	count := 0
	for other, waiting := range n.waiting {
		if other <= priority {
			count += waiting
		}
	}
	return count
}

// accepts reports whether the process wants new requests, apart from its limit.
func (n *notices) accepts(now time.Time) bool {
	return n == nil || !n.Leaving() && n.PauseLeft(now) == 0
}

// RecordNotice records what an endpoint said in an answer that arrived now, to a
// request sent at the time sent; see advert.Notices.Record. It reports whether the
// endpoint's state changed.
func (es *Endpoints) RecordNotice(endpoint *advert.Record, notice advert.Notice, sent, now time.Time) bool {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	key := processOf(endpoint)
	known := es.notices[key]
	if known == nil {
		if !notice.Leaving && notice.Pause <= 0 && !notice.Limited {
			return false
		}
		known = es.addNotices(key, now)
	}
	known.last = now
	changed := known.Record(notice, sent, now)
	if known.Limit.Arrived.Equal(now) {
		known.limitStated = now
	}
	known.applyEndOfLimit()
	return changed
}

// addNotices adds a process that has said nothing yet. es.mutex must be held.
func (es *Endpoints) addNotices(key process, now time.Time) *notices {
	es.dropNotices(now)
	if es.notices == nil {
		es.notices = map[process]*notices{}
	}
	added := &notices{last: now}
	es.notices[key] = added
	return added
}

// applyEndOfLimit ends this entry's share of a limit that has ended.
func (n *notices) applyEndOfLimit() {
	if n.pacer != nil && !n.Limit.Named {
		n.pacer.Unlimit()
	}
}

// dropNotices removes the notices of processes that are not listed: the expired ones,
// and all if there are too many. es.mutex must be held.
func (es *Endpoints) dropNotices(now time.Time) {
	full := len(es.notices) >= maxNotices
	for key, n := range es.notices {
		listed := es.byName[key.name]
		if (listed == nil || processOf(&listed.record) != key) && (full || now.Sub(n.last) > noticeRetention) {
			delete(es.notices, key)
		}
	}
}

// Accepts reports whether a listed endpoint wants new requests.
func (es *Endpoints) Accepts(name string, now time.Time) bool {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	e := es.byName[name]
	return e != nil && es.accepts(e, now)
}
