// Package feed keeps an agent's heartbeat with control: it reports the
// endpoint, renews the agent's lease and takes control's news.
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
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/uplink"
	"github.com/tanagerspindle/tanagerspindle/pkg/wake"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// maxHeartbeatPause is the longest time between two beats, beatPause the
	// shortest.
	maxHeartbeatPause = time.Second
	minHeartbeatPause = 100 * time.Millisecond
	// renewalTimeout is how long a stream may renew nothing before another
	// replica is tried.
	renewalTimeout = 1500 * time.Millisecond
	// departureTimeout is how long the last beat may take.
	departureTimeout = 500 * time.Millisecond
	// reopenDelay is the pause before the stream is opened again.
	reopenDelay = 50 * time.Millisecond
)

// Kind classifies the failures of this package.
type Kind string

// KindSuperseded says that a later incarnation of the agent exists.
const KindSuperseded Kind = "a later incarnation exists"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Feed is an agent's heartbeat. Its exported fields are set before Run; it is
// safe for concurrent use.
type Feed struct {
	// Host is the agent's.
	Host host.Host
	// Uplink leads to control.
	Uplink *uplink.Uplink
	// Lease is renewed by the feed.
	Lease *lease.Lease
	// Hello returns the first message; the feed fills in Number.
	Hello func() plane.Hello
	// Record returns the present report; the feed fills in Beat.
	Record func() *roster.Record
	// ApplyUpdate takes control's news, one at a time.
	ApplyUpdate func(*plane.Update)

	mutex          sync.Mutex
	change         wake.Signal
	configNumber   uint64
	bansRevision   uint64
	recordNumber   uint64
	pendingCrashes []pendingCrash
}

// pendingCrash is a report that control has not acknowledged; seq is the beat of the
// present stream that carried it, 0 before.
type pendingCrash struct {
	report plane.Crash
	seq    uint64
}

// RecordChanged makes the feed beat soon.
func (f *Feed) RecordChanged() {
	f.change.Set()
}

// ReportCrash reports an endpoint's death until control has acknowledged it.
func (f *Feed) ReportCrash(report plane.Crash) {
	f.mutex.Lock()
	f.pendingCrashes = append(f.pendingCrashes, pendingCrash{report: report})
	f.mutex.Unlock()
	f.RecordChanged()
}

// Run beats until ctx ends, and then says so. It returns KindSuperseded when
// the agent has to stop.
func (f *Feed) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		stream, err := f.Uplink.Open(ctx, plane.MethodFeed)
		if err == nil {
			err = f.runStream(ctx, stream)
		}
		if fault, ok := err.(*Error); ok {
			return fault
		}
		pause.For(ctx, reopenDelay)
	}
	return nil
}

// session is the state of one stream.
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
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	b := &session{feed: f, stream: stream, cancel: cancel, renewed: time.Now()}
	f.Lease.Reset()
	f.resendCrashes()
	hello := f.Hello()
	hello.Number = f.knownConfig()
	if err := stream.Send(&hello); err != nil {
		return nil
	}
	received := make(chan struct{})
	go func() {
		defer close(received)
		b.receiveUpdates()
	}()
	b.sendHeartbeats(inner)
	if ctx.Err() != nil {
		b.sendDeparture()
	}
	_ = stream.Close()
	<-received
	return b.failure
}

// resendCrashes makes the new stream carry every crash report again.
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

// sendHeartbeats beats until the context ends or the stream no longer renews the lease.
func (b *session) sendHeartbeats(ctx context.Context) {
	for {
		if b.sendHeartbeat(false) != nil {
			return
		}
		if !pause.For(ctx, minHeartbeatPause) {
			return
		}
		timer := time.NewTimer(maxHeartbeatPause - minHeartbeatPause)
		select {
		case <-ctx.Done():
		case <-b.feed.change.C():
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
		if b.renewalOverdue() {
			b.feed.Host.Log.Write("feed-stale", "limit", renewalTimeout)
			b.feed.Uplink.Move()
			return
		}
	}
}

func (b *session) renewalOverdue() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return time.Since(b.renewed) > renewalTimeout
}

// sendHeartbeat sends one sendHeartbeat, with the record only when it has changed.
func (b *session) sendHeartbeat(bye bool) error {
	f := b.feed
	b.seq++
	message := &plane.Beat{Seq: b.seq, Bye: bye}
	record := f.Record()
	f.mutex.Lock()
	message.Number, message.Bans = f.configNumber, f.bansRevision
	for index := range f.pendingCrashes {
		if f.pendingCrashes[index].seq == 0 {
			f.pendingCrashes[index].seq = b.seq
		}
		message.Crash = append(message.Crash, f.pendingCrashes[index].report)
	}
	if encoded, err := codec.Encode(record); err == nil && !bytes.Equal(encoded, b.sentRecord) {
		f.recordNumber++
		b.sentRecord = encoded
		record.Beat = f.recordNumber
		message.Record = record
	}
	f.mutex.Unlock()
	f.Lease.Sent(b.seq)
	return b.stream.Send(message)
}

func (b *session) sendDeparture() {
	_ = b.stream.SetDeadline(time.Now().Add(departureTimeout))
	if b.sendHeartbeat(true) == nil {
		// The connection is closed next; the pause lets the beat out.
		time.Sleep(departureTimeout / 10)
	}
}

func (b *session) receiveUpdates() {
	defer b.cancel()
	for {
		update := &plane.Update{}
		if err := b.stream.Receive(update); err != nil {
			return
		}
		b.apply(update)
		if update.Superseded {
			b.failure = &Error{Op: "receive update", Kind: KindSuperseded}
			return
		}
	}
}

func (b *session) apply(update *plane.Update) {
	if update.Seq != 0 && update.Lease > 0 {
		b.feed.Lease.Renew(update.Seq, update.Lease.Std())
		b.mutex.Lock()
		b.renewed = time.Now()
		b.mutex.Unlock()
	}
	b.feed.acknowledge(update)
	b.feed.ApplyUpdate(update)
}

func (f *Feed) acknowledge(update *plane.Update) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.configNumber = max(f.configNumber, update.Number)
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
