package node

import (
	"context"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

const (
	// eventBuffer is the number of events that may wait for the loop.
	eventBuffer = 1024
	// batchEvents is the most events taken before a sync.
	batchEvents = 1024
)

// event is something for the loop; one field is set.
type event struct {
	message  *raft.Message
	proposal *proposal
	// run is called in the loop.
	run func(*loop)
}

// proposal is a command on its way. Its result is sent once.
type proposal struct {
	data   []byte
	term   uint64
	result chan result
}

// result ends a proposal.
type result struct {
	value []byte
	kind  Kind
}

// post hands an event to the loop.
func (n *Node) post(ctx context.Context, e event) error {
	n.setUp()
	select {
	case n.events <- e:
		return nil
	case <-n.done:
		return &Error{Op: "post", Kind: KindStopped}
	case <-ctx.Done():
		return &Error{Op: "post", Kind: KindTimeout, Err: ctx.Err()}
	}
}

// call runs a function in the loop and waits for it.
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

// Propose commits a command and returns what Apply returned for it. Only the
// leader takes it. KindNotLeader and KindLost prove that it has no effect;
// after KindTimeout and KindStopped it may have one.
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
