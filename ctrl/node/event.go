package node

import (
	"context"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

const (
	// eventBuffer is the capacity of the loop's event queue.
	eventBuffer = 1024
	// maxBatchEvents limits the number of events handled before a sync.
	maxBatchEvents = 1024
)

// event is an input to the loop. Exactly one field is set.
type event struct {
	message  *raft.Message
	proposal *proposal
	// run is called from the loop's goroutine.
	run func(*loop)
}

// proposal is a proposed command whose outcome is not known yet. Exactly one result
// is sent.
type proposal struct {
	data   []byte
	term   uint64
	result chan result
}

// result is the outcome of a proposal: the value that Apply returned, or the kind
// of failure.
type result struct {
	value []byte
	kind  Kind
}

// post queues an event for the loop.
func (n *Node) post(ctx context.Context, e event) error {
	n.initialize()
	select {
	case n.events <- e:
		return nil
	case <-n.done:
		return &Error{Op: "post", Kind: KindStopped}
	case <-ctx.Done():
		return &Error{Op: "post", Kind: KindTimeout, Err: ctx.Err()}
	}
}

// call runs a function on the loop's goroutine and waits until it returns.
func (n *Node) call(ctx context.Context, run func(*loop)) error {
	ran := make(chan struct{})
	if err := n.post(ctx, event{run: func(l *loop) {
		defer close(ran)
		run(l)
	}}); err != nil {
		return err
	}
	select {
	case <-ran:
		return nil
	case <-n.done:
		return &Error{Op: "call", Kind: KindStopped}
	case <-ctx.Done():
		return &Error{Op: "call", Kind: KindTimeout, Err: ctx.Err()}
	}
}

// Propose commits a command and returns the result of Apply. Only the leader
// accepts proposals. KindNotLeader and KindLost mean that the command has no
// effect; after KindTimeout and KindStopped it may have one.
func (n *Node) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > MaxProposalBytes {
		return nil, &Error{Op: "propose", Kind: KindTooLarge}
	}
	p := &proposal{data: data, result: make(chan result, 1)}
	if err := n.post(ctx, event{proposal: p}); err != nil {
		return nil, err
	}
	select {
	case r := <-p.result:
		if r.kind != "" {
			return nil, &Error{Op: "propose", Kind: r.kind}
		}
		return r.value, nil
	case <-n.done:
		return nil, &Error{Op: "propose", Kind: KindStopped}
	case <-ctx.Done():
		return nil, &Error{Op: "propose", Kind: KindTimeout, Err: ctx.Err()}
	}
}
