package node

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

const (
	// dialTimeout bounds one attempt to connect.
	dialTimeout = time.Second
	// firstDelay and longestDelay bound the pause after a failed attempt.
	firstDelay   = 50 * time.Millisecond
	longestDelay = 500 * time.Millisecond
	// queueMessages bounds what waits for a replica; the oldest go first.
	queueMessages = 1024
	// batchBytes bounds what is sent as one message of the stream.
	batchBytes = 4 << 20
)

// hello is the first message of the stream between two replicas. A replica
// that belongs to no group yet learns from it where to send its replies.
type hello struct {
	ID      uint64 `protobuf:"varint,1,opt"`
	Address string `protobuf:"bytes,2,opt"`
}

// Check reports the first invalid field.
func (h *hello) Check() error {
	if h.ID == 0 || h.Address == "" {
		return &Error{Op: "check sender", Kind: KindMissing}
	}
	return nil
}

// batch is every later message of the stream.
type batch struct {
	Messages []raft.Message `protobuf:"bytes,1,rep"`
}

// Check reports the first invalid message.
func (b *batch) Check() error {
	for i := range b.Messages {
		if err := b.Messages[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// outlets are the sessions to the other replicas, one for each address.
type outlets struct {
	node      *Node
	mutex     sync.Mutex
	byAddress map[string]*outlet
	// addresses are the members', learned those of other senders.
	addresses, learned map[uint64]string

	started func(*outlet)
}

// outlet is the way to one address.
type outlet struct {
	node    *Node
	address string
	mutex   sync.Mutex
	queue   []raft.Message
	wake    chan struct{}
	session *link.Session
	changed chan struct{}
}

// run keeps a session to every known replica until ctx ends.
func (o *outlets) run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	o.mutex.Lock()
	o.started = func(out *outlet) { tasks.Go(func() { out.run(ctx) }) }
	for _, out := range o.byAddress {
		o.started(out)
	}
	o.mutex.Unlock()
	<-ctx.Done()
	o.mutex.Lock()
	o.started = func(*outlet) {}
	o.mutex.Unlock()
}

// follow learns the members' addresses.
func (o *outlets) follow(status raft.Status) {
	if o.same(status.Members) {
		return
	}
	addresses := make(map[uint64]string, len(status.Members))
	for _, member := range status.Members {
		addresses[member.ID] = member.Address
	}
	o.mutex.Lock()
	o.addresses = addresses
	o.mutex.Unlock()
	for _, peer := range o.node.Peers {
		o.to(peer.Address)
	}
	for _, address := range addresses {
		o.to(address)
	}
}

// same reports whether the addresses are those of the members.
func (o *outlets) same(members []raft.Standing) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.addresses == nil || len(members) != len(o.addresses) {
		return false
	}
	for _, member := range members {
		if o.addresses[member.ID] != member.Address {
			return false
		}
	}
	return true
}

// learn notes a sender's address.
func (o *outlets) learn(sender hello) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.learned[sender.ID] = sender.Address
}

// to returns the way to an address, nil for the replica's own.
func (o *outlets) to(address string) *outlet {
	if address == o.node.Address || address == "" {
		return nil
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	out, ok := o.byAddress[address]
	if !ok {
		out = &outlet{node: o.node, address: address, wake: make(chan struct{}, 1), changed: make(chan struct{})}
		o.byAddress[address] = out
		if o.started != nil {
			o.started(out)
		}
	}
	return out
}

// send queues a message; it is lost when the replica cannot be reached.
func (o *outlets) send(m raft.Message) {
	o.mutex.Lock()
	address, ok := o.addresses[m.To]
	if !ok {
		address = o.learned[m.To]
	}
	o.mutex.Unlock()
	if out := o.to(address); out != nil {
		out.push(m)
	}
}

func (o *outlet) push(m raft.Message) {
	o.mutex.Lock()
	if len(o.queue) >= queueMessages {
		o.queue = o.queue[len(o.queue)/2:]
		o.node.Host.Meter.Add("raft_messages_dropped", queueMessages/2)
	}
	o.queue = append(o.queue, m)
	o.mutex.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// take returns queued messages of up to batchBytes.
func (o *outlet) take() []raft.Message {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	size, count := 0, 0
	for count < len(o.queue) && (count == 0 || size < batchBytes) {
		for _, entry := range o.queue[count].Entries {
			size += len(entry.Data)
		}
		if chunk := o.queue[count].Chunk; chunk != nil {
			size += len(chunk.Data)
		}
		count++
	}
	taken := o.queue[:count:count]
	o.queue = o.queue[count:]
	return taken
}

// run connects, sends and reconnects until ctx ends.
func (o *outlet) run(ctx context.Context) {
	delay := firstDelay
	for ctx.Err() == nil {
		session, err := o.dial(ctx)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(delay):
			}
			delay = min(2*delay, longestDelay)
			continue
		}
		delay = firstDelay
		o.set(session)
		release := context.AfterFunc(ctx, func() { _ = session.Close() })
		err = o.feed(ctx, session)
		release()
		o.set(nil)
		_ = session.Close()
		o.node.Host.Log.Write("peer-session-ended", "address", o.address, "err", err)
	}
}

func (o *outlet) dial(ctx context.Context) (*link.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return link.Dial(ctx, o.node.Host.Dial, o.address)
}

// feed sends what is queued until the session ends.
func (o *outlet) feed(ctx context.Context, session *link.Session) error {
	stream, err := session.Open(methodRaft)
	if err != nil {
		return err
	}
	if err := stream.Send(&hello{ID: o.node.status.Load().ID, Address: o.node.Address}); err != nil {
		return err
	}
	for {
		select {
		case <-o.wake:
		case <-session.Done():
			return nil
		case <-ctx.Done():
			return nil
		}
		if err := o.drain(stream); err != nil {
			return err
		}
	}
}

func (o *outlet) drain(stream *wire.Stream) error {
	for {
		messages := o.take()
		if len(messages) == 0 {
			return nil
		}
		if err := stream.Send(&batch{Messages: messages}); err != nil {
			return err
		}
	}
}

func (o *outlet) set(session *link.Session) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.session = session
	close(o.changed)
	o.changed = make(chan struct{})
}

// get returns the present session, waiting for one until ctx ends.
func (o *outlet) get(ctx context.Context) (*link.Session, error) {
	for {
		o.mutex.Lock()
		session, changed := o.session, o.changed
		o.mutex.Unlock()
		if session != nil {
			return session, nil
		}
		select {
		case <-changed:
		case <-o.node.done:
			return nil, &Error{Op: "connect", Kind: KindStopped}
		case <-ctx.Done():
			return nil, &Error{Op: "connect", Kind: KindTimeout, Err: ctx.Err()}
		}
	}
}

// call exchanges one request for one reply. Closing a stream does not wake
// its reader, so the end of ctx sets a deadline.
func call(ctx context.Context, session *link.Session, method string, request, reply any) error {
	stream, err := session.Open(method)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	release := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer release()
	if err := stream.Send(request); err != nil {
		return err
	}
	return stream.Receive(reply)
}
