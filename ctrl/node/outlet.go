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
	// cancelDelay is how soon a stream ends with its context; not zero, see
	// wire.Stream.EndReceive.
	cancelDelay = time.Millisecond
	// dialTimeout bounds one attempt to connect. The kernel sends a lost
	// opening packet again only after a second, too late for an election; a
	// round trip between regions takes up to a fifth of a second.
	dialTimeout = 300 * time.Millisecond
	// minDialDelay and longestDelay bound the pause after a failed attempt.
	minDialDelay = 50 * time.Millisecond
	maxDialDelay = 250 * time.Millisecond
)

// peerConns are the sessions to the other replicas, one for each address.
type peerConns struct {
	node      *Node
	mutex     sync.Mutex
	byAddress map[string]*peerConn
	// memberAddresses are the members', reportedAddresses those of other senders.
	memberAddresses, reportedAddresses map[uint64]string
	// leaderAddress is the address of the leaderAddress that a peer named last.
	leaderAddress string

	startConn func(*peerConn)
}

// peerConn is the way to one address.
type peerConn struct {
	node    *Node
	address string
	// urgent takes what is short and must not wait behind a large append
	// message or a snapshot, which go by bulk.
	urgent, bulk *sendQueue
	mutex        sync.Mutex
	session      *link.Session
	changed      chan struct{}
}

// run keeps a session to every known replica until ctx ends.
func (o *peerConns) run(ctx context.Context) {
	var tasks tasks.Group
	defer tasks.Wait()
	o.mutex.Lock()
	o.startConn = func(out *peerConn) { tasks.Go(func() { out.run(ctx) }) }
	for _, out := range o.byAddress {
		o.startConn(out)
	}
	o.mutex.Unlock()
	<-ctx.Done()
	o.mutex.Lock()
	o.startConn = func(*peerConn) {}
	o.mutex.Unlock()
}

// updateMembers learns the members' addresses.
func (o *peerConns) updateMembers(status raft.Status) {
	if o.hasAddresses(status.Members) {
		return
	}
	addresses := make(map[uint64]string, len(status.Members))
	for _, member := range status.Members {
		addresses[member.ID] = member.Address
	}
	o.mutex.Lock()
	o.memberAddresses = addresses
	o.mutex.Unlock()
	for _, peer := range o.node.Peers {
		o.connTo(peer.Address)
	}
	for _, address := range addresses {
		o.connTo(address)
	}
}

// hasAddresses reports whether the addresses are those of the members.
func (o *peerConns) hasAddresses(members []raft.Standing) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.memberAddresses == nil || len(members) != len(o.memberAddresses) {
		return false
	}
	for _, member := range members {
		if o.memberAddresses[member.ID] != member.Address {
			return false
		}
	}
	return true
}

// setReportedAddress notes a sender's address.
func (o *peerConns) setReportedAddress(sender senderInfo) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.reportedAddresses[sender.ID] = sender.Address
}

// setLeader notes the leader that a peer follows.
func (o *peerConns) setLeader(address string) {
	if address == "" {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.leaderAddress = address
}

// leaderAddresses returns the address of the leader that a peer named, if any did.
func (o *peerConns) leaderAddresses() []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.leaderAddress == "" {
		return nil
	}
	return []string{o.leaderAddress}
}

// currentAddress returns where a replica said last that it is, or else the address
// that the group knows.
func (o *peerConns) currentAddress(id uint64, known string) string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if learned, ok := o.reportedAddresses[id]; ok {
		return learned
	}
	return known
}

// connTo returns the way connTo an address, nil for the replica's own.
func (o *peerConns) connTo(address string) *peerConn {
	if address == o.node.Address || address == "" {
		return nil
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	out, ok := o.byAddress[address]
	if !ok {
		out = &peerConn{node: o.node, address: address, urgent: newSendQueue(), bulk: newSendQueue(), changed: make(chan struct{})}
		o.byAddress[address] = out
		if o.startConn != nil {
			o.startConn(out)
		}
	}
	return out
}

// send queues a message; it is lost when the replica cannot be reached.
func (o *peerConns) send(m raft.Message) {
	o.mutex.Lock()
	address := o.memberAddresses[m.To]
	o.mutex.Unlock()
	if out := o.connTo(o.currentAddress(m.To, address)); out != nil {
		out.push(m)
	}
}

func (o *peerConn) push(m raft.Message) {
	to := o.urgent
	if m.Kind == raft.MessageAppend || m.Kind == raft.MessageChunk {
		to = o.bulk
	}
	if dropped := to.push(m); dropped > 0 {
		o.node.Host.Meter.Add("raft_messages_dropped", int64(dropped))
	}
}

// run connects, sends and reconnects until ctx ends.
func (o *peerConn) run(ctx context.Context) {
	delay := minDialDelay
	for ctx.Err() == nil {
		session, err := o.dial(ctx)
		if err != nil {
			pause.For(ctx, delay)
			delay = min(2*delay, maxDialDelay)
			continue
		}
		delay = minDialDelay
		o.setSession(session)
		release := context.AfterFunc(ctx, func() { _ = session.Close() })
		err = o.sendQueued(ctx, session)
		release()
		o.setSession(nil)
		_ = session.Close()
		o.node.Host.Log.Write("peer-session-ended", "address", o.address, "err", err)
		_ = o.node.post(ctx, event{run: func(l *loop) { l.sessionLost(o.address) }})
		pause.For(ctx, delay)
	}
}

func (o *peerConn) dial(ctx context.Context) (*link.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return link.Dial(ctx, o.node.Host.Dial, o.address)
}

// sendQueued sends what is queued until the session ends.
func (o *peerConn) sendQueued(ctx context.Context, session *link.Session) error {
	sender := senderInfo{ID: o.node.status.Load().ID, Address: o.node.Address}
	tasks := pool.New().WithErrors().WithFirstError()
	for _, l := range []*sendQueue{o.urgent, o.bulk} {
		tasks.Go(func() error {
			defer func() { _ = session.Close() }()
			return l.run(ctx, session, sender)
		})
	}
	return tasks.Wait()
}

func (o *peerConn) setSession(session *link.Session) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.session = session
	close(o.changed)
	o.changed = make(chan struct{})
}

// waitSession returns the present session, waiting for one until ctx ends.
func (o *peerConn) waitSession(ctx context.Context) (*link.Session, error) {
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
	release := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now().Add(cancelDelay)) })
	defer release()
	if err := stream.Send(request); err != nil {
		return err
	}
	return stream.Receive(reply)
}
