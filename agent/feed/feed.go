// Package feed is the agent's heartbeat stream to control: it reports the endpoint's
// state and crashes, renews the agent's lease and receives control's updates.
package feed

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/notify"
	"github.com/tanagerspindle/tanagerspindle/pkg/outage"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/uplink"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// maxHeartbeatPause is the longest time between two heartbeats, minHeartbeatPause
	// the shortest.
	maxHeartbeatPause = time.Second
	minHeartbeatPause = 100 * time.Millisecond
	// renewalTimeout is how long a stream may fail to renew the lease before the agent
	// switches to another replica. It is half of lease.Length, so the lease is normally still
	// valid when the switch begins.
	renewalTimeout = 1500 * time.Millisecond
	// departureTimeout bounds the sending of the last heartbeat, which announces the agent's
	// departure.
	departureTimeout = 500 * time.Millisecond
	// reopenDelay is the delay before the stream is opened again.
	reopenDelay = 50 * time.Millisecond
)

// Kind classifies the errors of this package.
type Kind string

// KindSuperseded means that control knows a later incarnation of the agent.
const KindSuperseded Kind = "a later incarnation exists"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Feed sends an agent's heartbeats. Its exported fields are set before Run; it is safe
// for concurrent use.
type Feed struct {
	// Host provides the log.
	Host host.Host
	// Uplink connects to a control replica.
	Uplink *uplink.Uplink
	// Lease is the agent's lease, which the feed renews.
	Lease *lease.Lease
	// Hello returns the first message of a stream; the feed fills in ConfigNumber.
	Hello func() plane.Hello
	// Record returns the agent's current report; the feed fills in ReportSeq.
	Record func() *roster.Record
	// ApplyUpdate processes an update from control; it is not called concurrently.
	ApplyUpdate func(*plane.Update)

	mutex sync.Mutex
	// change triggers a heartbeat.
	change notify.Signal
	// configNumber and bansRevision are the newest that control has sent.
	configNumber uint64
	bansRevision uint64
	// recordNumber is the ReportSeq of the last record sent.
	recordNumber   uint64
	pendingCrashes []pendingCrash
	outage         outage.Monitor
}

// pendingCrash is a crash report that control has not acknowledged. seq is the number of
// the first heartbeat of the current stream that carried the report, 0 before that.
type pendingCrash struct {
	report plane.Crash
	seq    uint64
}

// RecordChanged triggers a heartbeat soon.
func (f *Feed) RecordChanged() {
	f.change.Set()
}

// ReportCrash sends an endpoint's crash report until control acknowledges it.
func (f *Feed) ReportCrash(report plane.Crash) {
	f.mutex.Lock()
	f.pendingCrashes = append(f.pendingCrashes, pendingCrash{report: report})
	f.mutex.Unlock()
	f.RecordChanged()
}

// Run sends heartbeats until ctx ends and then announces the agent's departure. It
// returns a KindSuperseded error when the agent has to stop because control knows a later
// incarnation.
func (f *Feed) Run(ctx context.Context) error {
	f.outage.Host, f.outage.Address = f.Host, f.Uplink.LastAddress
	watched, stop := context.WithCancel(ctx)
	defer stop()
	go f.outage.Run(watched)
	for ctx.Err() == nil {
		stream, err := f.Uplink.Open(ctx, plane.MethodFeed)
		if err == nil {
			err = f.runStream(ctx, stream)
		}
		if failure, ok := err.(*Error); ok {
			return failure
		}
		f.outage.Lost(err)
		pause.For(ctx, reopenDelay)
	}
	return nil
}

// session is the state of one feed stream: the number of the last heartbeat, the last record
// sent, when the lease was last renewed, and the error that ends Run.
type session struct {
	feed       *Feed
	stream     *wire.Stream
	cancel     context.CancelFunc
	seq        uint64
	sentRecord []byte
	mutex      sync.Mutex
	renewed    time.Time
	failure    error
}

func (f *Feed) runStream(ctx context.Context, stream *wire.Stream) error {
	defer func() { _ = stream.Close() }()
	streamContext, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &session{feed: f, stream: stream, cancel: cancel, renewed: time.Now()}
	f.Lease.Reset()
	f.resendCrashes()
	hello := f.Hello()
	hello.ConfigNumber = f.knownConfig()
	if err := stream.Send(&hello); err != nil {
		return nil
	}
	received := make(chan struct{})
	go func() {
		defer close(received)
		s.receiveUpdates()
	}()
	s.sendHeartbeats(streamContext)
	if ctx.Err() != nil {
		s.sendDeparture()
	}
	_ = stream.Close()
	<-received
	return s.failure
}

// resendCrashes makes the new stream carry every unacknowledged crash report again.
func (f *Feed) resendCrashes() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for index := range f.pendingCrashes {
		f.pendingCrashes[index].seq = 0
	}
}

func (f *Feed) knownConfig() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.configNumber
}

// sendHeartbeats sends heartbeats until the context ends or the lease renewal is
// overdue.
func (s *session) sendHeartbeats(ctx context.Context) {
	for {
		if s.sendHeartbeat(false) != nil {
			return
		}
		if !pause.For(ctx, minHeartbeatPause) {
			return
		}
		timer := time.NewTimer(maxHeartbeatPause - minHeartbeatPause)
		for due := false; !due && ctx.Err() == nil && !s.renewalOverdue(); {
			due = s.waitForHeartbeat(ctx, timer.C)
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
		if s.renewalOverdue() {
			s.feed.Host.Log.Write("feed-stale", "limit", renewalTimeout)
			s.feed.Uplink.SwitchReplica()
			return
		}
	}
}

// waitForHeartbeat waits until a heartbeat is due and returns true, or until the lease
// renewal may be overdue.
func (s *session) waitForHeartbeat(ctx context.Context, due <-chan time.Time) bool {
	overdue := time.NewTimer(s.renewalDue())
	defer overdue.Stop()
	select {
	case <-ctx.Done():
	case <-s.feed.change.C():
		return true
	case <-due:
		return true
	case <-overdue.C:
	}
	return false
}

// renewalDue returns the time that is left until the lease renewal is overdue.
func (s *session) renewalDue() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return renewalTimeout - time.Since(s.renewed)
}

func (s *session) renewalOverdue() bool { return s.renewalDue() <= 0 }

// sendHeartbeat sends one heartbeat. The heartbeat contains the record only if the record
// has changed.
func (s *session) sendHeartbeat(departing bool) error {
	f := s.feed
	s.seq++
	message := &plane.Heartbeat{Seq: s.seq, Departing: departing}
	record := f.Record()
	f.mutex.Lock()
	message.ConfigNumber, message.BansRevision = f.configNumber, f.bansRevision
	for index := range f.pendingCrashes {
		if f.pendingCrashes[index].seq == 0 {
			f.pendingCrashes[index].seq = s.seq
		}
		message.Crashes = append(message.Crashes, f.pendingCrashes[index].report)
	}
	if encoded, err := codec.Encode(record); err == nil && !bytes.Equal(encoded, s.sentRecord) {
		f.recordNumber++
		s.sentRecord = encoded
		record.ReportSeq = f.recordNumber
		message.Record = record
	}
	f.mutex.Unlock()
	f.Lease.Sent(s.seq)
	return s.stream.Send(message)
}

func (s *session) sendDeparture() {
	_ = s.stream.SetDeadline(time.Now().Add(departureTimeout))
	if s.sendHeartbeat(true) == nil {
		// The connection is closed next; the pause lets the heartbeat be sent first.
		time.Sleep(departureTimeout / 10)
	}
}

func (s *session) receiveUpdates() {
	defer s.cancel()
	for {
		update := &plane.Update{}
		if err := s.stream.Receive(update); err != nil {
			return
		}
		s.apply(update)
		if update.Superseded {
			s.failure = &Error{Op: "receive update", Kind: KindSuperseded}
			return
		}
	}
}

func (s *session) apply(update *plane.Update) {
	if update.Seq != 0 && update.Lease > 0 {
		s.feed.Lease.Renew(update.Seq, update.Lease.Std())
		s.mutex.Lock()
		s.renewed = time.Now()
		s.mutex.Unlock()
		s.feed.outage.Renewed()
	}
	s.feed.acknowledge(update)
	s.feed.ApplyUpdate(update)
}

// acknowledge records the revisions that an update carries and drops the crash reports that
// it acknowledges: those first sent with the heartbeat update.Seq or an earlier one.
func (f *Feed) acknowledge(update *plane.Update) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.configNumber = max(f.configNumber, update.ConfigNumber)
	if update.BansRevision != 0 {
		f.bansRevision = update.BansRevision
	}
	if update.Seq == 0 {
		return
	}
	var pending []pendingCrash
	for _, c := range f.pendingCrashes {
		if c.seq == 0 || c.seq > update.Seq {
			pending = append(pending, c)
		}
	}
	f.pendingCrashes = pending
}
