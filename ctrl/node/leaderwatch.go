package node

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

// lateReplyTime is how long a reply of a leader that has handed its leadership over is awaited. It
// exceeds a round trip between regions.
const lateReplyTime = 100 * time.Millisecond

// leaderWatch ends calls to a leader when the replica no longer follows it.
type leaderWatch struct {
	mutex  sync.Mutex
	leader uint64
	// changed is closed and replaced when leader changes; nil before the first use.
	changed chan struct{}
}

func (w *leaderWatch) set(leader uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.leader == leader {
		return
	}
	w.leader = leader
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

// next returns a channel that is closed when another leader or none is known.
func (w *leaderWatch) next() <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return w.changed
}

// WhileLeader returns a context that ends shortly after the replica has left the leader
// that it knows now. A leader that has fallen silent answers no call, and its successor
// can be asked long before a limit of time; one that hands its leadership over still replies.
func (n *Node) WhileLeader(ctx context.Context) (context.Context, context.CancelFunc) {
	changed := n.leader.next()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-changed:
			pause.For(ctx, lateReplyTime)
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
