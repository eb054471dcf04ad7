package node

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

const (
	// roundTimeout bounds one attempt at a read round.
	roundTimeout = time.Second
	// roundPause is the pause after a failed attempt.
	roundPause = 50 * time.Millisecond
)

// readRound is one read round for all that wait when it begins.
type readRound struct {
	done  chan struct{}
	index uint64
}

// readRounds lets concurrent Barriers share read readRounds: one at a time, and each
// serves only those that called before it began.
type readRounds struct {
	node  *Node
	mutex sync.Mutex
	next  *readRound
	wake  chan struct{}
}

func newReadRounds(n *Node) *readRounds { return &readRounds{node: n, wake: make(chan struct{}, 1)} }

// joinNext returns the round that has not begun yet.
func (r *readRounds) joinNext() *readRound {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.next == nil {
		r.next = &readRound{done: make(chan struct{})}
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
	return r.next
}

func (r *readRounds) takeNext() *readRound {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	begun := r.next
	r.next = nil
	return begun
}

func (r *readRounds) run(ctx context.Context) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		begun := r.takeNext()
		if begun == nil {
			continue
		}
		for begun.index == 0 && ctx.Err() == nil {
			begun.index = r.attempt(ctx)
		}
		if begun.index != 0 {
			close(begun.done)
		}
	}
}

// attempt returns the result of one round, 0 when it failed.
func (r *readRounds) attempt(ctx context.Context) uint64 {
	limited, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	index, err := r.node.readIndex(limited)
	if err == nil && index != 0 {
		return index
	}
	select {
	case <-time.After(roundPause):
	case <-ctx.Done():
	}
	return 0
}

// readIndex makes a read readIndex, at the leader wherever it is.
func (n *Node) readIndex(ctx context.Context) (uint64, error) {
	status := n.status.Load()
	if status.Leading {
		return n.localReadIndex(ctx)
	}
	for _, m := range status.Members {
		if m.ID != status.Leader {
			continue
		}
		out := n.conns.connTo(n.conns.currentAddress(m.ID, m.Address))
		if out == nil {
			break
		}
		session, err := out.waitSession(ctx)
		if err != nil {
			return 0, err
		}
		var reply barrierReply
		err = call(ctx, session, methodBarrier, &barrierRequest{Replica: status.ID}, &reply)
		return reply.Index, err
	}
	return 0, &Error{Op: "barrier", Kind: KindNotLeader}
}

// localReadIndex makes a read round at this replica; 0 says that it does not
// lead.
func (n *Node) localReadIndex(ctx context.Context) (uint64, error) {
	n.Host.Meter.Add("read_rounds", 1)
	answer := make(chan uint64, 1)
	if err := n.post(ctx, event{run: func(l *loop) {
		l.lastReadID++
		l.pendingReads[l.lastReadID] = answer
		l.step(raft.Input{Read: l.lastReadID})
	}}); err != nil {
		return 0, err
	}
	select {
	case index := <-answer:
		return index, nil
	case <-n.done:
		return 0, &Error{Op: "barrier", Kind: KindStopped}
	case <-ctx.Done():
		return 0, &Error{Op: "barrier", Kind: KindTimeout, Err: ctx.Err()}
	}
}

// Barrier returns once everything committed before the call is applied here:
// a majority answered the leader in a round begun after the call. It works on
// any replica and waits for a leader until ctx ends.
func (n *Node) Barrier(ctx context.Context) (uint64, error) {
	n.initialize()
	joined := n.readRounds.joinNext()
	select {
	case <-joined.done:
	case <-n.done:
		return 0, &Error{Op: "barrier", Kind: KindStopped}
	case <-ctx.Done():
		return 0, &Error{Op: "barrier", Kind: KindTimeout, Err: ctx.Err()}
	}
	return joined.index, n.applier.wait(ctx, joined.index)
}
