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

// shared is one read round for all that wait when it begins.
type shared struct {
	done  chan struct{}
	index uint64
}

// rounds lets concurrent Barriers share read rounds: one at a time, and each
// serves only those that called before it began.
type rounds struct {
	node  *Node
	mutex sync.Mutex
	next  *shared
	wake  chan struct{}
}

func newRounds(n *Node) *rounds { return &rounds{node: n, wake: make(chan struct{}, 1)} }

// join returns the round that has not begun yet.
func (r *rounds) join() *shared {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.next == nil {
		r.next = &shared{done: make(chan struct{})}
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
	return r.next
}

func (r *rounds) begin() *shared {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	begun := r.next
	r.next = nil
	return begun
}

func (r *rounds) run(ctx context.Context) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		begun := r.begin()
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
func (r *rounds) attempt(ctx context.Context) uint64 {
	limited, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	index, err := r.node.round(limited)
	if err == nil && index != 0 {
		return index
	}
	select {
	case <-time.After(roundPause):
	case <-ctx.Done():
	}
	return 0
}

// round makes a read round, at the leader wherever it is.
func (n *Node) round(ctx context.Context) (uint64, error) {
	status := n.status.Load()
	if status.Leading {
		return n.localRound(ctx)
	}
	for _, m := range status.Members {
		if m.ID != status.Leader {
			continue
		}
		out := n.outlets.to(n.outlets.present(m.ID, m.Address))
		if out == nil {
			break
		}
		session, err := out.get(ctx)
		if err != nil {
			return 0, err
		}
		var reply barrierReply
		err = call(ctx, session, methodBarrier, &barrierAsk{Replica: status.ID}, &reply)
		return reply.Index, err
	}
	return 0, &Error{Op: "barrier", Kind: KindNotLeader}
}

// localRound makes a read round at this replica; 0 says that it does not
// lead.
func (n *Node) localRound(ctx context.Context) (uint64, error) {
	n.Host.Meter.Add("read_rounds", 1)
	answer := make(chan uint64, 1)
	if err := n.post(ctx, event{run: func(l *loop) {
		l.readID++
		l.reads[l.readID] = answer
		l.step(raft.Input{ReadID: l.readID})
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
	n.setUp()
	joined := n.rounds.join()
	select {
	case <-joined.done:
	case <-n.done:
		return 0, &Error{Op: "barrier", Kind: KindStopped}
	case <-ctx.Done():
		return 0, &Error{Op: "barrier", Kind: KindTimeout, Err: ctx.Err()}
	}
	return joined.index, n.applier.wait(ctx, joined.index)
}
