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
	"github.com/tanagerspindle/tanagerspindle/pkg/notify"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/uplink"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// beatInterval is the longest time between two beats, beatPause the
	// shortest.
	beatInterval = time.Second
	beatPause    = 100 * time.Millisecond
	// renewalLimit is how long a stream may renew nothing before another
	// replica is tried.
	renewalLimit = 1500 * time.Millisecond
	// byeTime is how long the last beat may take.
	byeTime = 500 * time.Millisecond
	// reopenPause is the pause before the stream is opened again.
	reopenPause = 50 * time.Millisecond
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

	mutex   sync.Mutex
	change  notify.Signal
	number  uint64
	bans    uint64
	beat    uint64
	crashes []crash
}

// crash is a report that control has not acknowledged; seq is the beat of the
// present stream that carried it, 0 before.
type crash struct {
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
	f.crashes = append(f.crashes, crash{report: report})
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
		pause.For(ctx, reopenPause)
	}
	return nil
}

// beating is the state of one stream.
type beating struct {
	feed    *Feed
	stream  *wire.Stream
	cancel  context.CancelFunc
	seq     uint64
	sent    []byte
	mutex   sync.Mutex
	renewed time.Time
	failure error
}

func (f *Feed) runStream(ctx context.Context, stream *wire.Stream) error {
	defer func() { _ = stream.Close() }()
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	b := &beating{feed: f, stream: stream, cancel: cancel, renewed: time.Now()}
	f.Lease.Reset()
	f.restart()
	hello := f.Hello()
	hello.ConfigNumber = f.known()
	if err := stream.Send(&hello); err != nil {
		return nil
	}
	received := make(chan struct{})
	go func() {
		defer close(received)
		b.receive()
	}()
	b.send(inner)
	if ctx.Err() != nil {
		b.bye()
	}
	_ = stream.Close()
	<-received
	return b.failure
}

// restart makes the new stream carry every crash report again.
func (f *Feed) restart() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for index := range f.crashes {
		f.crashes[index].seq = 0
	}
}

func (f *Feed) known() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.number
}

// send beats until the context ends or the stream no longer renews the lease.
func (b *beating) send(ctx context.Context) {
	for {
		if b.beat(false) != nil {
			return
		}
		if !pause.For(ctx, beatPause) {
			return
		}
		timer := time.NewTimer(beatInterval - beatPause)
		select {
		case <-ctx.Done():
		case <-b.feed.change.C():
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
		if b.stale() {
			b.feed.Host.Log.Write("feed-stale", "limit", renewalLimit)
			b.feed.Uplink.SwitchReplica()
			return
		}
	}
}

func (b *beating) stale() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return time.Since(b.renewed) > renewalLimit
}

// beat sends one beat, with the record only when it has changed.
func (b *beating) beat(bye bool) error {
	f := b.feed
	b.seq++
	message := &plane.Heartbeat{Seq: b.seq, Departing: bye}
	record := f.Record()
	f.mutex.Lock()
	message.ConfigNumber, message.BansRevision = f.number, f.bans
	for index := range f.crashes {
		if f.crashes[index].seq == 0 {
			f.crashes[index].seq = b.seq
		}
		message.Crashes = append(message.Crashes, f.crashes[index].report)
	}
	if encoded, err := codec.Encode(record); err == nil && !bytes.Equal(encoded, b.sent) {
		f.beat++
		b.sent = encoded
		record.ReportSeq = f.beat
		message.Record = record
	}
	f.mutex.Unlock()
	f.Lease.Sent(b.seq)
	return b.stream.Send(message)
}

func (b *beating) bye() {
	_ = b.stream.SetDeadline(time.Now().Add(byeTime))
	if b.beat(true) == nil {
		// The connection is closed next; the pause lets the beat out.
		time.Sleep(byeTime / 10)
	}
}

func (b *beating) receive() {
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

func (b *beating) apply(update *plane.Update) {
	if update.Seq != 0 && update.Lease > 0 {
		b.feed.Lease.Renew(update.Seq, update.Lease.Std())
		b.mutex.Lock()
		b.renewed = time.Now()
		b.mutex.Unlock()
	}
	b.feed.take(update)
	b.feed.ApplyUpdate(update)
}

func (f *Feed) take(update *plane.Update) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.number = max(f.number, update.ConfigNumber)
	if update.BansRevision != 0 {
		f.bans = update.BansRevision
	}
	if update.Seq == 0 {
		return
	}
	var pending []crash
	for _, c := range f.crashes {
		if c.seq == 0 || c.seq > update.Seq {
			pending = append(pending, c)
		}
	}
	f.crashes = pending
}
