package feeds

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// client is one daemon with an open feed.
type client struct {
	// hello is the daemon's first message on the stream.
	hello  plane.Hello
	stream *wire.Stream
	// cancel ends the feed.
	cancel context.CancelFunc
	// fence is the fencing number of this incarnation of an agent; 0 for other daemons.
	// A new incarnation gets a larger number, so that an engine that enforces fencing
	// refuses the orders of earlier ones.
	fence uint64
	// ackedConfig is the number of the configuration that the daemon last reported to
	// have in force; guarded by the mutex of Feeds. A leaseHolder that is added after
	// the daemon's previous lease expired starts with it.
	ackedConfig uint64
	// changed wakes the writer to send changes, and replyReady to answer heartbeats
	// whose quorum round has succeeded.
	changed    chan struct{}
	replyReady chan struct{}

	// mutex guards the fields below, except departed.
	mutex sync.Mutex
	// renewedSeqs are the sequence numbers of unanswered heartbeats whose quorum round
	// has succeeded.
	renewedSeqs []uint64
	// sentConfig is the number of the configuration that was sent last, at
	// configSentAt. sentVector is the version vector of the roster, and sentBans the
	// revision of the list of suspected and quarantined requests, that were sent last.
	sentConfig   uint64
	configSentAt time.Time
	sentVector   []roster.VectorEntry
	sentBans     uint64
	// sentRevision is the revision of endpoints and releases, and sentReplicas the
	// addresses of the control replicas, that were sent last.
	sentRevision uint64
	sentReplicas []string
	// sentLimits is the revision of the endpoints' request limits that was sent last.
	sentLimits uint64
	// rosterSynced is set once the daemon has received the roster up to sentVector
	// from this replica rather than from another one.
	rosterSynced bool
	// loads queues the agents whose load (running and queued requests, speed) has not
	// been sent to this entry. Loads of adapters are unrelated.
	loads loadQueue
	// fenceSent is set once the fencing number has been sent.
	fenceSent bool
	// departed is set when the daemon has announced its departure. Only the
	// goroutine of Serve uses it.
	departed bool
}

func (c *client) key() holderKey {
	return holderKey{role: c.hello.Role, name: c.hello.Name, incarnation: c.hello.Incarnation}
}

// Serve serves one daemon's feed until the stream or ctx ends.
func (f *Feeds) Serve(ctx context.Context, stream *wire.Stream) error {
	f.prepare()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer stream.CloseOnDone(ctx)()
	c := &client{stream: stream, cancel: cancel, changed: make(chan struct{}, 1), replyReady: make(chan struct{}, 1)}
	if err := stream.Receive(&c.hello); err != nil {
		return &Error{Op: "receive hello", Kind: KindStream, Err: err}
	}
	c.sentConfig, c.sentVector, c.ackedConfig = c.hello.ConfigNumber, c.hello.Vector, c.hello.ConfigNumber
	c.sentRevision = c.hello.EndpointsRevision
	if err := f.admit(ctx, c); err != nil {
		return err
	}
	if !f.join(c) {
		return &Error{Op: "join", Kind: KindStream}
	}
	defer f.leave(c)
	defer f.scheduleFence(c)()
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer cancel()
		f.write(ctx, c)
	}()
	err := f.read(ctx, c)
	cancel()
	<-written
	return err
}

// admit obtains an agent's fencing number and then runs a quorum round, so that this
// replica has applied the enrolment. The enrolment is committed at the leader; without
// the round this replica could still treat the previous incarnation as the newest.
func (f *Feeds) admit(ctx context.Context, c *client) error {
	if err := f.enrol(ctx, c); err != nil {
		return err
	}
	_, err := f.barriers.do(ctx, struct{}{})
	return err
}

func (f *Feeds) enrol(ctx context.Context, c *client) error {
	if c.hello.Role != plane.RoleAgent {
		return nil
	}
	fence, err := f.enrols.do(ctx, state.AgentIncarnation{Agent: c.hello.Name, Incarnation: c.hello.Incarnation})
	if err != nil {
		return err
	}
	if fence == 0 {
		_ = c.stream.Send(&plane.Update{Superseded: true})
		return &Error{Op: "enrol " + c.hello.Name, Kind: KindSuperseded}
	}
	c.fence = fence
	return nil
}

// scheduleFence wakes the writer once no previous incarnation of the agent can hold a
// lease, so that the agent is sent its fencing number. The returned function stops the
// timer.
func (f *Feeds) scheduleFence(c *client) func() {
	_, wait, _ := f.Machine.Fence(c.hello.Name)
	timer := time.AfterFunc(wait+time.Millisecond, func() { notify(c.changed) })
	return func() { timer.Stop() }
}

// join adds a client. It returns false once Run has ended.
func (f *Feeds) join(c *client) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		return false
	}
	f.clients[c] = struct{}{}
	notify(c.changed)
	return true
}

// leave removes a client. An agent whose connection ended without a departure has
// reconnectTimeout to reconnect.
func (f *Feeds) leave(c *client) {
	f.mutex.Lock()
	delete(f.clients, c)
	closed := f.closed
	f.mutex.Unlock()
	if c.hello.Role == plane.RoleAgent && !c.departed && !closed {
		f.watchLost(c)
	}
}

// read processes the daemon's heartbeats until the stream ends.
func (f *Feeds) read(ctx context.Context, c *client) error {
	for {
		beat := &plane.Heartbeat{}
		if err := c.stream.Receive(beat); err != nil {
			return &Error{Op: "receive heartbeat", Kind: KindStream, Err: err}
		}
		f.handleHeartbeat(c, beat)
		if beat.Departing {
			return f.handleDeparture(ctx, c)
		}
		if !f.commitCrashes(ctx, c, beat) {
			continue
		}
		go f.renew(ctx, c, beat.Seq)
	}
}

// handleHeartbeat applies the state that a daemon reports with a heartbeat.
func (f *Feeds) handleHeartbeat(c *client, beat *plane.Heartbeat) {
	f.acknowledge(c, beat.ConfigNumber)
	f.checkResend(c, beat)
	f.countBurn(beat.BurnCounts)
	if f.limits.Merge(beat.Limits, time.Now()) {
		f.notifyEntries()
		f.notifyPeers()
	}
	if c.hello.Role != plane.RoleAgent || beat.Departing {
		return
	}
	if f.updateRoster(c, beat.Record) {
		f.rosterChanged()
	}
}

// updateRoster applies an agent's report to the roster and returns whether the roster
// changed. A nil record only confirms that the agent is alive.
func (f *Feeds) updateRoster(c *client, record *roster.Record) bool {
	if record == nil {
		return f.Roster.Touch(f.ReplicaID(), c.hello.Name, c.hello.Incarnation)
	}
	valid := record.Check() == nil && record.Agent == c.hello.Name && record.Incarnation == c.hello.Incarnation
	if !valid {
		f.Host.Log.Write("report-refused", "agent", c.hello.Name)
		return false
	}
	record.Fence = c.fence
	return f.Roster.Report(f.ReplicaID(), *record)
}

// checkResend detects a daemon that has not put in force the configuration or quarantine
// list that was sent to it. The next message carries the quarantine list again; after
// resendTimeout it also carries the complete configuration.
func (f *Feeds) checkResend(c *client, beat *plane.Heartbeat) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if beat.ConfigNumber < c.sentConfig && !c.configSentAt.IsZero() && time.Since(c.configSentAt) > resendTimeout {
		c.sentConfig = 0
	}
	if beat.BansRevision < c.sentBans {
		c.sentBans = beat.BansRevision
	}
}

// commitCrashes commits the crashes and cleared suspects of a heartbeat. It returns
// false on failure; the heartbeat is then not answered and the daemon reports again.
func (f *Feeds) commitCrashes(ctx context.Context, c *client, beat *plane.Heartbeat) bool {
	command := &state.Command{Crashes: f.checkCrashes(c, beat.Crashes), ClearedDigests: beat.ClearedSuspects}
	if len(command.Crashes) == 0 && len(command.ClearedDigests) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	if _, err := f.Propose(ctx, command); err != nil {
		f.Host.Log.Write("crash-not-committed", "daemon", c.hello.Name, "err", err)
		return false
	}
	return true
}

// handleDeparture ends the lease of a daemon that shuts down. For an agent it also ends
// the enrolment, so that a successor may control the engine immediately.
func (f *Feeds) handleDeparture(ctx context.Context, c *client) error {
	c.departed = true
	f.release(c)
	if c.hello.Role != plane.RoleAgent {
		return nil
	}
	if f.Roster.MarkDeparted(f.ReplicaID(), c.hello.Name, c.hello.Incarnation) {
		f.rosterChanged()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), roundTimeout)
	defer cancel()
	end := state.AgentIncarnation{Agent: c.hello.Name, Incarnation: c.hello.Incarnation}
	_, err := f.Propose(ctx, &state.Command{EndedAgents: []state.AgentIncarnation{end}})
	return err
}

// renew queues the reply to a heartbeat after a quorum round that started after the
// heartbeat arrived. The reply renews the lease, and the round ensures that it also
// carries everything committed before the heartbeat (see WaitForConfig). If the round
// fails, the heartbeat is not answered.
func (f *Feeds) renew(ctx context.Context, c *client, seq uint64) {
	if _, err := f.barriers.do(ctx, struct{}{}); err != nil {
		return
	}
	c.mutex.Lock()
	c.renewedSeqs = append(c.renewedSeqs, seq)
	c.mutex.Unlock()
	notify(c.replyReady)
}

// write sends replies to heartbeats immediately and other changes at most once per
// minSendInterval.
func (f *Feeds) write(ctx context.Context, c *client) {
	last := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.replyReady:
		case <-c.changed:
			pause.Until(ctx, time.Until(last.Add(minSendInterval)), c.replyReady)
		}
		last = time.Now()
		if !f.sendAll(ctx, c) {
			return
		}
	}
}

// sendAll sends one update for each heartbeat that awaits a reply. If there is none, it
// sends one update if anything changed. It returns false when the feed has ended.
func (f *Feeds) sendAll(ctx context.Context, c *client) bool {
	c.mutex.Lock()
	seqs := c.renewedSeqs
	c.renewedSeqs = nil
	c.mutex.Unlock()
	if len(seqs) == 0 {
		return f.send(ctx, c, 0)
	}
	for _, seq := range seqs {
		if !f.send(ctx, c, seq) {
			return false
		}
	}
	return true
}

// send sends one update that answers the heartbeat with the given sequence number. With
// sequence number 0 it answers none and is sent only if anything changed.
func (f *Feeds) send(ctx context.Context, c *client, seq uint64) bool {
	update, changed := f.compose(c, seq)
	if update.Superseded {
		_ = c.stream.Send(update)
		return false
	}
	if seq == 0 && !changed {
		return true
	}
	if seq != 0 && ctx.Err() == nil {
		f.recordLease(c)
		update.Lease = span.Duration(lease.Length)
	}
	if err := c.stream.Send(update); err != nil {
		return false
	}
	return true
}
