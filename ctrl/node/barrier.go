package node

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

const (
	// roundTimeout limits one attempt at a read round.
	roundTimeout = time.Second
	// roundPause is the pause after a failed attempt.
	roundPause = 50 * time.Millisecond
)

// readRound is a read round shared by all calls of Barrier that wait when it
// begins.
type readRound struct {
	// done is closed once index is set.
	done chan struct{}
	// index is the entry that must be applied before the read.
	index uint64
}

// readRounds lets concurrent calls of Barrier share read rounds. One round runs at
// a time, and it serves only the calls made before it began.
type readRounds struct {
	node  *Node
	mutex sync.Mutex
	next  *readRound
	wake  chan struct{}
}

func newReadRounds(n *Node) *readRounds { return &readRounds{node: n, wake: make(chan struct{}, 1)} }

// joinNext returns the next round, which has not begun yet.
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

// takeNext removes and returns the next round, nil if no call waits for one.
func (r *readRounds) takeNext() *readRound {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	round := r.next
	r.next = nil
	return round
}

func (r *readRounds) run(ctx context.Context) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		round := r.takeNext()
		if round == nil {
			continue
		}
		for round.index == 0 && ctx.Err() == nil {
			round.index = r.attempt(ctx)
		}
		if round.index != 0 {
			close(round.done)
		}
	}
}

// attempt returns the read index of one round, or 0 if the round failed.
func (r *readRounds) attempt(ctx context.Context) uint64 {
	limitedCtx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	limitedCtx, release := r.node.WhileLeader(limitedCtx)
	defer release()
	index, err := r.node.readIndex(limitedCtx)
	if err == nil && index != 0 {
		return index
	}
	select {
	case <-time.After(roundPause):
	case <-ctx.Done():
	}
	return 0
}

// readIndex performs a read round at the leader, local or remote.
func (n *Node) readIndex(ctx context.Context) (uint64, error) {
	status := n.status.Load()
	if status.Leading {
		return n.localReadIndex(ctx)
	}
	for _, m := range status.Members {
		if m.ID != status.Leader {
			continue
		}
		conn := n.conns.connTo(n.conns.currentAddress(m.ID, m.Address))
		if conn == nil {
			break
		}
		session, err := conn.waitSession(ctx)
		if err != nil {
			return 0, err
		}
		var reply barrierReply
		err = call(ctx, session, methodBarrier, &barrierRequest{Replica: status.ID}, &reply)
		return reply.Index, err
	}
	return 0, &Error{Op: "barrier", Kind: KindNotLeader}
}

// localReadIndex performs a read round at this replica. It returns 0 if the replica
// does not lead.
func (n *Node) localReadIndex(ctx context.Context) (uint64, error) {
	n.Host.Meter.Add("read_rounds", 1)
	result := make(chan uint64, 1)
	if err := n.post(ctx, event{run: func(l *loop) {
		l.lastReadID++
		l.pendingReads[l.lastReadID] = result
		l.step(raft.Input{ReadID: l.lastReadID})
	}}); err != nil {
		return 0, err
	}
	select {
	case index := <-result:
		return index, nil
	case <-n.done:
		return 0, &Error{Op: "barrier", Kind: KindStopped}
	case <-ctx.Done():
		return 0, &Error{Op: "barrier", Kind: KindTimeout, Err: ctx.Err()}
	}
}

// Barrier returns once everything committed before the call has been applied here:
// a majority has confirmed the leader in a round that began after the call. It
// works on any replica and waits for a leader until ctx ends.
func (n *Node) Barrier(ctx context.Context) (uint64, error) {
	n.initialize()
	round := n.readRounds.joinNext()
	select {
	case <-round.done:
	case <-n.done:
		return 0, &Error{Op: "barrier", Kind: KindStopped}
	case <-ctx.Done():
		return 0, &Error{Op: "barrier", Kind: KindTimeout, Err: ctx.Err()}
	}
	return round.index, n.applier.wait(ctx, round.index)
}
