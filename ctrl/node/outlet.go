package node

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
)

const (
	// endDelay is how soon a stream ends with its context; not zero, see
	// wire.Stream.EndReceive.
	endDelay = time.Millisecond
	// dialTimeout bounds one attempt to connect. The kernel sends a lost
	// opening packet again only after a second, too late for an election; a
	// round trip between regions takes up to a fifth of a second.
	dialTimeout = 300 * time.Millisecond
	// firstDelay and longestDelay bound the pause after a failed attempt.
	firstDelay   = 50 * time.Millisecond
	longestDelay = 250 * time.Millisecond
)

// outlets are the sessions to the other replicas, one for each address.
type outlets struct {
	node      *Node
	mutex     sync.Mutex
	byAddress map[string]*outlet
	// addresses are the members', learned those of other senders.
	addresses, learned map[uint64]string
	// leader is the address of the leader that a peer named last.
	leader string

	started func(*outlet)
}

// outlet is the way to one address.
type outlet struct {
	node    *Node
	address string
	// quick takes what is short and must not wait behind a large append
	// message or a snapshot, which go by bulk.
	quick, bulk *lane
	mutex       sync.Mutex
	session     *link.Session
	changed     chan struct{}
}

// run keeps a session to every known replica until ctx ends.
func (o *outlets) run(ctx context.Context) {
	var tasks tasks.Group
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
func (o *outlets) same(members []raft.MemberStatus) bool {
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

// heardLeader notes the leader that a peer follows.
func (o *outlets) heardLeader(address string) {
	if address == "" {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.leader = address
}

// leaders returns the address of the leader that a peer named, if any did.
func (o *outlets) leaders() []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.leader == "" {
		return nil
	}
	return []string{o.leader}
}

// present returns where a replica said last that it is, or else the address
// that the group knows.
func (o *outlets) present(id uint64, known string) string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if learned, ok := o.learned[id]; ok {
		return learned
	}
	return known
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
		out = &outlet{node: o.node, address: address, quick: newLane(), bulk: newLane(), changed: make(chan struct{})}
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
	address := o.addresses[m.To]
	o.mutex.Unlock()
	if out := o.to(o.present(m.To, address)); out != nil {
		out.push(m)
	}
}

func (o *outlet) push(m raft.Message) {
	to := o.quick
	if m.Kind == raft.MessageAppend || m.Kind == raft.MessageChunk {
		to = o.bulk
	}
	if dropped := to.push(m); dropped > 0 {
		o.node.Host.Meter.Add("raft_messages_dropped", int64(dropped))
	}
}

// run connects, sends and reconnects until ctx ends.
func (o *outlet) run(ctx context.Context) {
	delay := firstDelay
	for ctx.Err() == nil {
		session, err := o.dial(ctx)
		if err != nil {
			pause.For(ctx, delay)
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
		_ = o.node.post(ctx, event{run: func(l *loop) { l.lost(o.address) }})
		pause.For(ctx, delay)
	}
}

func (o *outlet) dial(ctx context.Context) (*link.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return link.Dial(ctx, o.node.Host.Dial, o.address)
}

// feed sends what is queued until the session ends.
func (o *outlet) feed(ctx context.Context, session *link.Session) error {
	sender := hello{ID: o.node.status.Load().ID, Address: o.node.Address}
	tasks := pool.New().WithErrors().WithFirstError()
	for _, l := range []*lane{o.quick, o.bulk} {
		tasks.Go(func() error {
			defer func() { _ = session.Close() }()
			return l.feed(ctx, session, sender)
		})
	}
	return tasks.Wait()
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

// call exchanges one request for one reply. The end of ctx ends the sending
// side too, which may wait for a peer that reads nothing.
func call(ctx context.Context, session *link.Session, method string, request, reply any) error {
	stream, err := session.Open(method)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	release := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now().Add(endDelay)) })
	defer release()
	if err := stream.Send(request); err != nil {
		return err
	}
	return stream.Receive(reply)
}
