package feed

import (
	"sync"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// objectiveKey names what requests are counted for.
type objectiveKey struct{ workspace, route string }

// counts are requests that met their goal and that did not.
type counts struct{ good, bad int64 }

// burnCounter counts requests until control has confirmed the counts. A count whose
// confirmation is lost is sent again, and may then count twice.
type burnCounter struct {
	mutex   sync.Mutex
	pending map[objectiveKey]counts
	// sent holds the counts under way, by the beat that carries them.
	sent map[uint64]map[objectiveKey]counts
}

func (b *burnCounter) add(workspace, route string, good bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	one := counts{bad: 1}
	if good {
		one = counts{good: 1}
	}
	b.merge(objectiveKey{workspace, route}, one)
}

func (b *burnCounter) merge(g objectiveKey, c counts) {
	if b.pending == nil {
		b.pending = map[objectiveKey]counts{}
	}
	sum := b.pending[g]
	sum.good += c.good
	sum.bad += c.bad
	b.pending[g] = sum
}

// takePending returns the pending counts for a beat.
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
	for g, c := range b.pending {
		list = append(list, plane.BurnCount{Workspace: g.workspace, Route: g.route, Good: c.good, Bad: c.bad})
	}
	b.pending = nil
	return list
}

func (b *burnCounter) confirm(seq uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for sent := range b.sent {
		if sent <= seq {
			delete(b.sent, sent)
		}
	}
}

// restore takes back the counts of beats that were not confirmed.
func (b *burnCounter) restore() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, all := range b.sent {
		for g, c := range all {
			b.merge(g, c)
		}
	}
	b.sent = nil
}
