// Package demand asks the load coordinator for permits and keeps an agent
// loading, slowly, while the coordinator cannot be reached.
package demand

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/wake"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// minRequestInterval is the shortest time between two asks.
	minRequestInterval = 100 * time.Millisecond
	// maxRequestInterval is the longest time between two asks.
	maxRequestInterval = time.Second
	// coordinatorTimeout is how long the coordinator may be silent before the agent loads
	// on its static share.
	coordinatorTimeout = 2 * time.Second
	// staticRateInterval is how often the static share is looked at.
	staticRateInterval = 100 * time.Millisecond
	// reconnectDelay is the pause before the stream is opened again.
	reconnectDelay = 100 * time.Millisecond
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
	PendingLoads func() (wishes []plane.Wish, flight int)
	// StartLoad starts a permitted load and does not block. Each permit is
	// given back by Ended.
	StartLoad func(*plane.Permit)
	// StaticRate is the static share of the fleet's rate, in loads per second.
	StaticRate func() float64

	mutex        sync.Mutex
	returned     []plane.Ended
	lastReceived time.Time
	change       wake.Signal
}

// Changed makes the agent ask anew.
func (d *Client) Changed() {
	d.change.Set()
}

// ReturnPermit gives a permit back. A permit of the static share has ID 0 and is
// nobody's to know of.
func (d *Client) ReturnPermit(ended plane.Ended) {
	if ended.Permit == 0 {
		return
	}
	d.mutex.Lock()
	d.returned = append(d.returned, ended)
	d.mutex.Unlock()
	d.Changed()
}

// Run asks until ctx ends.
func (d *Client) Run(ctx context.Context) {
	d.mutex.Lock()
	d.lastReceived = time.Now()
	d.mutex.Unlock()
	go d.runStaticRate(ctx)
	for ctx.Err() == nil {
		d.connect(ctx)
		pause.For(ctx, reconnectDelay)
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
	release := stream.Bind(ctx)
	defer release()
	go func() {
		defer cancel()
		d.receivePermits(stream)
	}()
	d.sendRequests(ctx, stream)
}

// sendRequests asks after each change and at least once per askInterval; it gives the
// stream up when the coordinator is silent on it.
func (d *Client) sendRequests(ctx context.Context, stream *wire.Stream) {
	opened := time.Now()
	for {
		if !d.sendRequest(stream) {
			return
		}
		if !pause.For(ctx, minRequestInterval) {
			return
		}
		timer := time.NewTimer(maxRequestInterval - minRequestInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-d.change.C():
		case <-timer.C:
		}
		timer.Stop()
		if time.Since(opened) > coordinatorTimeout && d.coordinatorLost() {
			return
		}
	}
}

func (d *Client) sendRequest(stream *wire.Stream) bool {
	wishes, flight := d.PendingLoads()
	d.mutex.Lock()
	ended := d.returned
	d.returned = nil
	d.mutex.Unlock()
	message := &plane.PermitAsk{
		Agent: d.Agent, Incarnation: d.Incarnation,
		Wishes: wishes, Ended: ended, Flight: int32(flight),
	}
	if stream.Send(message) == nil {
		return true
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.returned = append(ended, d.returned...)
	return false
}

func (d *Client) receivePermits(stream *wire.Stream) {
	for {
		var permit plane.Permit
		if err := stream.Receive(&permit); err != nil {
			return
		}
		d.mutex.Lock()
		d.lastReceived = time.Now()
		d.mutex.Unlock()
		if permit.ID != 0 {
			d.StartLoad(&permit)
		}
	}
}

// coordinatorLost reports whether the coordinator has not been heard for cutOff.
func (d *Client) coordinatorLost() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return time.Since(d.lastReceived) > coordinatorTimeout
}

// runStaticRate starts loads at the static rate while the coordinator is silent.
func (d *Client) runStaticRate(ctx context.Context) {
	earned := 0.0
	last := time.Now()
	for pause.For(ctx, staticRateInterval) {
		now := time.Now()
		passed := now.Sub(last).Seconds()
		last = now
		if !d.coordinatorLost() {
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
