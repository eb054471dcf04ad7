package feeds

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// member is one open feed.
type member struct {
	hello  plane.Hello
	stream *wire.Stream
	cancel context.CancelFunc
	// fence is an agent's fencing number.
	fence uint64
	// acknowledged is the configuration that the daemon has in force; the
	// mutex of Feeds guards it.
	acknowledged uint64
	// news and answers wake the writer.
	news    chan struct{}
	answers chan struct{}

	mutex sync.Mutex
	// seqs are the beats whose quorum round has succeeded.
	seqs []uint64
	// number, vector and bans are what was sent last; sent is when the
	// configuration was.
	number uint64
	sent   time.Time
	vector []roster.VectorEntry
	bans   uint64
	// changes is the revision of endpoints and releases, replicas the
	// addresses of control that were sent last.
	changes  uint64
	replicas []string
	// followed says that the daemon has the roster from this replica up to
	// vector, and not from elsewhere.
	followed bool
	// debt is the loads that an entry has still to be sent.
	debt debt
	// fenced says that the fencing number was sent.
	fenced bool
	bye    bool
}

func (m *member) key() holderKey {
	return holderKey{role: m.hello.Role, name: m.hello.Name, incarnation: m.hello.Incarnation}
}

// Serve serves one daemon's feed until the stream or ctx ends.
func (f *Feeds) Serve(ctx context.Context, stream *wire.Stream) error {
	f.prepare()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer stream.CloseOnDone(ctx)()
	m := &member{stream: stream, cancel: cancel, news: make(chan struct{}, 1), answers: make(chan struct{}, 1)}
	if err := stream.Receive(&m.hello); err != nil {
		return &Error{Op: "receive hello", Kind: KindStream, Err: err}
	}
	m.number, m.vector, m.acknowledged = m.hello.ConfigNumber, m.hello.Vector, m.hello.ConfigNumber
	m.changes = m.hello.EndpointsRevision
	if err := f.admit(ctx, m); err != nil {
		return err
	}
	if !f.join(m) {
		return &Error{Op: "join", Kind: KindStream}
	}
	defer f.leave(m)
	defer f.wakeWhenFree(m)()
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer cancel()
		f.write(ctx, m)
	}()
	err := f.read(ctx, m)
	cancel()
	<-written
	return err
}

// admit gets an agent's fencing number and then proves that this replica is
// up to date. The enrolment was committed at the leader; without a later quorum
// round this replica could still show the former incarnation as the newest.
func (f *Feeds) admit(ctx context.Context, m *member) error {
	if err := f.enrol(ctx, m); err != nil {
		return err
	}
	_, err := f.barriers.do(ctx, struct{}{})
	return err
}

func (f *Feeds) enrol(ctx context.Context, m *member) error {
	if m.hello.Role != plane.RoleAgent {
		return nil
	}
	fence, err := f.enrols.do(ctx, state.AgentIncarnation{Agent: m.hello.Name, Incarnation: m.hello.Incarnation})
	if err != nil {
		return err
	}
	if fence == 0 {
		_ = m.stream.Send(&plane.Update{Superseded: true})
		return &Error{Op: "enrol " + m.hello.Name, Kind: KindSuperseded}
	}
	m.fence = fence
	return nil
}

// wakeWhenFree sends an agent its fencing number as soon as no former
// incarnation can hold a lease. The returned function gives up.
func (f *Feeds) wakeWhenFree(m *member) func() {
	_, wait, _ := f.Machine.Fence(m.hello.Name)
	timer := time.AfterFunc(wait+time.Millisecond, func() { notify(m.news) })
	return func() { timer.Stop() }
}

func (f *Feeds) join(m *member) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		return false
	}
	f.members[m] = struct{}{}
	notify(m.news)
	return true
}

func (f *Feeds) leave(m *member) {
	f.mutex.Lock()
	delete(f.members, m)
	closed := f.closed
	f.mutex.Unlock()
	if m.hello.Role == plane.RoleAgent && !m.bye && !closed {
		f.watchLost(m)
	}
}

// read takes the daemon's beats until the stream ends.
func (f *Feeds) read(ctx context.Context, m *member) error {
	for {
		beat := &plane.Heartbeat{}
		if err := m.stream.Receive(beat); err != nil {
			return &Error{Op: "receive beat", Kind: KindStream, Err: err}
		}
		f.heard(m, beat)
		if beat.Departing {
			return f.farewell(ctx, m)
		}
		if !f.report(ctx, m, beat) {
			continue
		}
		go f.renew(ctx, m, beat.Seq)
	}
}

// heard takes what a beat says about its sender.
func (f *Feeds) heard(m *member, beat *plane.Heartbeat) {
	f.acknowledge(m, beat.ConfigNumber)
	f.resend(m, beat)
	f.countBurn(beat.BurnCounts)
	if m.hello.Role != plane.RoleAgent || beat.Departing {
		return
	}
	if f.place(m, beat.Record) {
		f.rosterChanged()
	}
}

// place puts an agent's report into the roster and reports whether that
// changed it.
func (f *Feeds) place(m *member, record *roster.Record) bool {
	if record == nil {
		return f.Roster.Touch(f.ReplicaID(), m.hello.Name, m.hello.Incarnation)
	}
	valid := record.Check() == nil && record.Agent == m.hello.Name && record.Incarnation == m.hello.Incarnation
	if !valid {
		f.Host.Log.Write("report-refused", "agent", m.hello.Name)
		return false
	}
	record.Fence = m.fence
	return f.Roster.Report(f.ReplicaID(), *record)
}

// resend notices a daemon that could not put in force what was sent, and makes
// the next message carry the whole configuration.
func (f *Feeds) resend(m *member, beat *plane.Heartbeat) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if beat.ConfigNumber < m.number && !m.sent.IsZero() && time.Since(m.sent) > resendAfter {
		m.number = 0
	}
	if beat.BansRevision < m.bans {
		m.bans = beat.BansRevision
	}
}

// report commits the crashes and cleared suspects of a beat. It returns false
// when that failed; the beat gets no answer then and the daemon reports again.
func (f *Feeds) report(ctx context.Context, m *member, beat *plane.Heartbeat) bool {
	command := &state.Command{Crashes: f.checkCrashes(m, beat.Crashes), ClearedDigests: beat.ClearedSuspects}
	if len(command.Crashes) == 0 && len(command.ClearedDigests) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	if _, err := f.Propose(ctx, command); err != nil {
		f.Host.Log.Write("crash-not-committed", "daemon", m.hello.Name, "err", err)
		return false
	}
	return true
}

// farewell gives the lease of a daemon back and, for an agent, lets its
// successor order the engine at once.
func (f *Feeds) farewell(ctx context.Context, m *member) error {
	m.bye = true
	f.release(m)
	if m.hello.Role != plane.RoleAgent {
		return nil
	}
	if f.Roster.MarkDeparted(f.ReplicaID(), m.hello.Name, m.hello.Incarnation) {
		f.rosterChanged()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), roundTimeout)
	defer cancel()
	end := state.AgentIncarnation{Agent: m.hello.Name, Incarnation: m.hello.Incarnation}
	_, err := f.Propose(ctx, &state.Command{EndedAgents: []state.AgentIncarnation{end}})
	return err
}

// renew answers a beat after a quorum round begun after it came.
func (f *Feeds) renew(ctx context.Context, m *member, seq uint64) {
	if _, err := f.barriers.do(ctx, struct{}{}); err != nil {
		return
	}
	m.mutex.Lock()
	m.seqs = append(m.seqs, seq)
	m.mutex.Unlock()
	notify(m.answers)
}

// write sends answers at once and other news at a bounded rate.
func (f *Feeds) write(ctx context.Context, m *member) {
	last := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.answers:
		case <-m.news:
			pause(ctx, time.Until(last.Add(newsInterval)), m.answers)
		}
		last = time.Now()
		if !f.sendAll(ctx, m) {
			return
		}
	}
}

// pause waits until the time is over, ctx ends or something else wakes it.
func pause(ctx context.Context, wait time.Duration, wake <-chan struct{}) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}

// sendAll sends one update for each beat that is due an answer, or one without
// a beat when there is news. It returns false when the feed is over.
func (f *Feeds) sendAll(ctx context.Context, m *member) bool {
	m.mutex.Lock()
	seqs := m.seqs
	m.seqs = nil
	m.mutex.Unlock()
	if len(seqs) == 0 {
		return f.send(ctx, m, 0)
	}
	for _, seq := range seqs {
		if !f.send(ctx, m, seq) {
			return false
		}
	}
	return true
}

func (f *Feeds) send(ctx context.Context, m *member, seq uint64) bool {
	update, news := f.compose(m, seq)
	if update.Superseded {
		_ = m.stream.Send(update)
		return false
	}
	if seq == 0 && !news {
		return true
	}
	if seq != 0 && ctx.Err() == nil {
		f.grant(m)
		update.Lease = span.Duration(lease.Length)
	}
	if err := m.stream.Send(update); err != nil {
		return false
	}
	return true
}
