package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
)

const (
	// cancelDelay is the time from the end of a call's context to the deadline of its
	// stream. It is not zero for the reason given at wire.Stream.AbortReceive: a timer
	// that expires before it is waited for can crash the runtime in race tests.
	cancelDelay = time.Millisecond
	// dialTimeout limits one attempt to connect. It is shorter than a second, after
	// which the kernel retransmits a lost SYN, because that is too late for an
	// election. It is longer than a round trip between regions, up to 200 ms.
	dialTimeout = 300 * time.Millisecond
	// minDialDelay and maxDialDelay limit the delay after a failed attempt to
	// connect.
	minDialDelay = 50 * time.Millisecond
	maxDialDelay = 250 * time.Millisecond
)

// peerConns holds the connections to the other replicas, one for each address.
type peerConns struct {
	node      *Node
	mutex     sync.Mutex
	byAddress map[string]*peerConn
	// memberAddresses are the addresses in the membership, reportedAddresses those
	// that senders gave of themselves, both by replica ID.
	memberAddresses, reportedAddresses map[uint64]string
	// leaderAddress is the leader's address in the last join answer that had one.
	leaderAddress string

	// startConn runs a new connection; nil before run.
	startConn func(*peerConn)
}

// peerConn is the connection to one address. It reconnects when its session ends.
type peerConn struct {
	node    *Node
	address string
	// urgent carries short messages, which must not wait behind large append
	// messages and snapshots; bulk carries those.
	urgent, bulk *sendQueue
	mutex        sync.Mutex
	// session is nil while there is no connection; changed is closed and replaced
	// when session changes.
	session *link.Session
	changed chan struct{}
}

// run keeps a session open to every known replica until ctx ends.
func (c *peerConns) run(ctx context.Context) {
	var tasks tasks.Group
	defer tasks.Wait()
	c.mutex.Lock()
	c.startConn = func(conn *peerConn) { tasks.Go(func() { conn.run(ctx) }) }
	for _, conn := range c.byAddress {
		c.startConn(conn)
	}
	c.mutex.Unlock()
	<-ctx.Done()
	c.mutex.Lock()
	c.startConn = func(*peerConn) {}
	c.mutex.Unlock()
}

// updateMembers stores the members' addresses and connects to them.
func (c *peerConns) updateMembers(status raft.Status) {
	if c.hasAddresses(status.Members) {
		return
	}
	addresses := make(map[uint64]string, len(status.Members))
	for _, member := range status.Members {
		addresses[member.ID] = member.Address
	}
	c.mutex.Lock()
	c.memberAddresses = addresses
	c.mutex.Unlock()
	for _, peer := range c.node.Peers {
		c.connTo(peer.Address)
	}
	for _, address := range addresses {
		c.connTo(address)
	}
}

// hasAddresses reports whether the stored addresses are those of the members.
func (c *peerConns) hasAddresses(members []raft.MemberStatus) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.memberAddresses == nil || len(members) != len(c.memberAddresses) {
		return false
	}
	for _, member := range members {
		if c.memberAddresses[member.ID] != member.Address {
			return false
		}
	}
	return true
}

// setReportedAddress stores the address that a sender gave of itself.
func (c *peerConns) setReportedAddress(sender senderInfo) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reportedAddresses[sender.ID] = sender.Address
}

// setLeader stores the leader's address that a peer reported, unless it is empty.
func (c *peerConns) setLeader(address string) {
	if address == "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaderAddress = address
}

// leaderAddresses returns the leader's address that a peer reported, if any.
func (c *peerConns) leaderAddresses() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leaderAddress == "" {
		return nil
	}
	return []string{c.leaderAddress}
}

// senderAddresses returns the addresses that senders gave of themselves.
func (c *peerConns) senderAddresses() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Collect(maps.Values(c.reportedAddresses))
}

// currentAddress returns the address that a replica last reported for itself, or
// else the given one.
func (c *peerConns) currentAddress(id uint64, known string) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if reported, ok := c.reportedAddresses[id]; ok {
		return reported
	}
	return known
}

// connTo returns the connection to an address, or nil for the replica's own address
// and an empty one.
func (c *peerConns) connTo(address string) *peerConn {
	if address == c.node.Address || address == "" {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	conn, ok := c.byAddress[address]
	if !ok {
		conn = &peerConn{node: c.node, address: address, urgent: newSendQueue(), bulk: newSendQueue(), changed: make(chan struct{})}
		c.byAddress[address] = conn
		if c.startConn != nil {
			c.startConn(conn)
		}
	}
	return conn
}

// send queues a message. It is lost if the replica cannot be reached.
func (c *peerConns) send(m raft.Message) {
	c.mutex.Lock()
	address := c.memberAddresses[m.To]
	c.mutex.Unlock()
	if conn := c.connTo(c.currentAddress(m.To, address)); conn != nil {
		conn.push(m)
	}
}

func (c *peerConn) push(m raft.Message) {
	queue := c.urgent
	if m.Kind == raft.MessageAppend || m.Kind == raft.MessageChunk {
		queue = c.bulk
	}
	if dropped := queue.push(m); dropped > 0 {
		c.node.Host.Meter.Add("raft_messages_dropped", int64(dropped))
	}
}

// run connects, sends and reconnects until ctx ends.
func (c *peerConn) run(ctx context.Context) {
	delay := minDialDelay
	for ctx.Err() == nil {
		session, err := c.dial(ctx)
		if err != nil {
			pause.For(ctx, delay)
			delay = min(2*delay, maxDialDelay)
			continue
		}
		delay = minDialDelay
		c.setSession(session)
		release := context.AfterFunc(ctx, func() { _ = session.Close() })
		err = c.sendQueued(ctx, session)
		release()
		c.setSession(nil)
		_ = session.Close()
		c.node.Host.Log.Write("peer-session-ended", "address", c.address, "err", err)
		_ = c.node.post(ctx, event{run: func(l *loop) { l.sessionLost(c.address) }})
		pause.For(ctx, delay)
	}
}

func (c *peerConn) dial(ctx context.Context) (*link.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return link.Dial(ctx, c.node.Host.Dial, c.address)
}

// sendQueued sends queued messages until the session ends.
func (c *peerConn) sendQueued(ctx context.Context, session *link.Session) error {
	sender := senderInfo{ID: c.node.status.Load().ID, Address: c.node.Address}
	tasks := pool.New().WithErrors().WithFirstError()
	for _, queue := range []*sendQueue{c.urgent, c.bulk} {
		tasks.Go(func() error {
			defer func() { _ = session.Close() }()
			return queue.run(ctx, session, sender)
		})
	}
	return tasks.Wait()
}

func (c *peerConn) setSession(session *link.Session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.session = session
	close(c.changed)
	c.changed = make(chan struct{})
}

// waitSession returns the current session. It waits for one until ctx ends.
func (c *peerConn) waitSession(ctx context.Context) (*link.Session, error) {
	for {
		c.mutex.Lock()
		session, changed := c.session, c.changed
		c.mutex.Unlock()
		if session != nil {
			return session, nil
		}
		select {
		case <-changed:
		case <-c.node.done:
			return nil, &Error{Op: "connect", Kind: KindStopped}
		case <-ctx.Done():
			return nil, &Error{Op: "connect", Kind: KindTimeout, Err: ctx.Err()}
		}
	}
}

// call exchanges one request for one reply. The end of ctx also ends the sending
// side, which could otherwise block on a peer that does not read.
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
