// Package demand asks the load coordinator for permits and keeps an agent
// loading, slowly, while the coordinator cannot be reached.
package demand

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/notify"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// askPause is the shortest time between two asks.
	askPause = 100 * time.Millisecond
	// askInterval is the longest time between two asks.
	askInterval = time.Second
	// cutOff is how long the coordinator may be silent before the agent loads
	// on its static share.
	cutOff = 2 * time.Second
	// shareTick is how often the static share is looked at.
	shareTick = 100 * time.Millisecond
	// reopenPause is the pause before the stream is opened again.
	reopenPause = 100 * time.Millisecond
)

// Client is an agent's side of the permits. Its exported fields are set before
// Run; it is safe for concurrent use.
type Client struct {
	// Host is the agent's.
	Host host.Host
	// Agent and Incarnation identify the agent.
	Agent       string
	Incarnation uint64
	// Open starts a stream to control.
	Open func(ctx context.Context, method string) (*wire.Stream, error)
	// PendingLoads returns the present wishes, most valuable first, and the number
	// of loads in progress.
	PendingLoads func() (wishes []plane.LoadDemand, flight int)
	// StartLoad starts a permitted load and does not block. Each permit is
	// given back by Ended.
	StartLoad func(*plane.Permit)
	// StaticRate is the static share of the fleet's rate, in loads per second.
	StaticRate func() float64

	mutex  sync.Mutex
	ended  []plane.LoadResult
	heard  time.Time
	change notify.Signal
}

// Changed makes the agent ask anew.
func (d *Client) Changed() {
	d.change.Set()
}

// ReturnPermit gives a permit back. A permit of the static share has ID 0 and is
// nobody's to know of.
func (d *Client) ReturnPermit(ended plane.LoadResult) {
	if ended.PermitID == 0 {
		return
	}
	d.mutex.Lock()
	d.ended = append(d.ended, ended)
	d.mutex.Unlock()
	d.Changed()
}

// Run asks until ctx ends.
func (d *Client) Run(ctx context.Context) {
	d.mutex.Lock()
	d.heard = time.Now()
	d.mutex.Unlock()
	go d.runShare(ctx)
	for ctx.Err() == nil {
		d.connect(ctx)
		pause.For(ctx, reopenPause)
	}
}

func (d *Client) connect(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := d.Open(ctx, plane.MethodPermit)
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	release := stream.CloseOnDone(ctx)
	defer release()
	go func() {
		defer cancel()
		d.receive(stream)
	}()
	d.send(ctx, stream)
}

// send asks after each change and at least once per askInterval; it gives the
// stream up when the coordinator is silent on it.
func (d *Client) send(ctx context.Context, stream *wire.Stream) {
	opened := time.Now()
	for {
		if !d.ask(stream) {
			return
		}
		if !pause.For(ctx, askPause) {
			return
		}
		timer := time.NewTimer(askInterval - askPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-d.change.C():
		case <-timer.C:
		}
		timer.Stop()
		if time.Since(opened) > cutOff && d.silent() {
			return
		}
	}
}

func (d *Client) ask(stream *wire.Stream) bool {
	wishes, flight := d.PendingLoads()
	d.mutex.Lock()
	ended := d.ended
	d.ended = nil
	d.mutex.Unlock()
	message := &plane.PermitRequest{
		Agent: d.Agent, Incarnation: d.Incarnation,
		Demands: wishes, Results: ended, InFlight: int32(flight),
	}
	if stream.Send(message) == nil {
		return true
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.ended = append(ended, d.ended...)
	return false
}

func (d *Client) receive(stream *wire.Stream) {
	for {
		var permit plane.Permit
		if err := stream.Receive(&permit); err != nil {
			return
		}
		d.mutex.Lock()
		d.heard = time.Now()
		d.mutex.Unlock()
		if permit.ID != 0 {
			d.StartLoad(&permit)
		}
	}
}

// silent reports whether the coordinator has not been heard for cutOff.
func (d *Client) silent() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return time.Since(d.heard) > cutOff
}

// runShare starts loads at the static rate while the coordinator is silent.
func (d *Client) runShare(ctx context.Context) {
	earned := 0.0
	last := time.Now()
	for pause.For(ctx, shareTick) {
		now := time.Now()
		passed := now.Sub(last).Seconds()
		last = now
		if !d.silent() {
			earned = 0
			continue
		}
		earned = min(earned+passed*d.StaticRate(), 1)
		wishes, flight := d.PendingLoads()
		if earned < 1 || flight > 0 || len(wishes) == 0 {
			continue
		}
		earned--
		d.StartLoad(&plane.Permit{Adapter: wishes[0].Adapter, Version: wishes[0].Version})
	}
}
