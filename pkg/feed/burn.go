package feed

import (
	"sync"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// objectiveKey identifies the objective that requests are counted for.
type objectiveKey struct{ workspace, route string }

// counts holds the numbers of requests that met their objective and that missed it.
type counts struct{ good, bad int64 }

// burnCounter counts requests until control has confirmed the counts. Counts whose
// confirmation is lost are sent again, so control may count them twice.
type burnCounter struct {
	mutex   sync.Mutex
	pending map[objectiveKey]counts
	// sent holds the counts that await confirmation, by the heartbeat that carried them.
	sent map[uint64]map[objectiveKey]counts
}

// add counts one request.
func (b *burnCounter) add(workspace, route string, good bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	one := counts{bad: 1}
	if good {
		one = counts{good: 1}
	}
	b.merge(objectiveKey{workspace, route}, one)
}

// merge adds counts to the pending ones. The caller holds the mutex.
func (b *burnCounter) merge(key objectiveKey, c counts) {
	if b.pending == nil {
		b.pending = map[objectiveKey]counts{}
	}
	sum := b.pending[key]
	sum.good += c.good
	sum.bad += c.bad
	b.pending[key] = sum
}

// takePending returns the pending counts to be sent with heartbeat seq.
func (b *burnCounter) takePending(seq uint64) []plane.BurnCount {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.pending) == 0 {
		return nil
	}
	if b.sent == nil {
		b.sent = map[uint64]map[objectiveKey]counts{}
	}
	b.sent[seq] = b.pending
	list := make([]plane.BurnCount, 0, len(b.pending))
	for key, c := range b.pending {
		list = append(list, plane.BurnCount{Workspace: key.workspace, Route: key.route, Good: c.good, Bad: c.bad})
	}
	b.pending = nil
	return list
}

// confirm drops the counts of all heartbeats up to seq.
func (b *burnCounter) confirm(seq uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for sent := range b.sent {
		if sent <= seq {
			delete(b.sent, sent)
		}
	}
}

// restore makes the counts of unconfirmed heartbeats pending again.
func (b *burnCounter) restore() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, all := range b.sent {
		for key, c := range all {
			b.merge(key, c)
		}
	}
	b.sent = nil
}
