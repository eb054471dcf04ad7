// Package demand requests load permits from the coordinator in control, which divides the
// fleet's load rate among the agents; a permit allows one load of an adapter. While the coordinator
// is unreachable, it lets the agent continue to load at a low static rate.
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
	// minRequestInterval is the shortest time between two permit requests.
	minRequestInterval = 100 * time.Millisecond
	// maxRequestInterval is the longest time between two permit requests.
	maxRequestInterval = time.Second
	// coordinatorTimeout is how long the coordinator may send no message before the agent
	// loads at its static rate. The coordinator sends a heartbeat every second.
	coordinatorTimeout = 2 * time.Second
	// staticRateInterval is the time between two checks whether the static rate permits a load.
	staticRateInterval = 100 * time.Millisecond
	// reconnectDelay is the delay before the stream is opened again.
	reconnectDelay = 100 * time.Millisecond
)

// Client requests load permits for one agent. Exported fields are set before Run. It is safe
// for concurrent use.
type Client struct {
	// Host is the agent's host.
	Host host.Host
	// Agent and Incarnation identify the agent.
	Agent       string
	Incarnation uint64
	// Open starts a stream to control.
	Open func(ctx context.Context, method string) (*wire.Stream, error)
	// PendingLoads returns the adapters that the agent has to load, the most valuable first,
	// and the number of loads in progress.
	PendingLoads func() (loads []plane.LoadDemand, inFlight int)
	// StartLoad starts a permitted load and does not block. It has to call ReturnPermit when the
	// load has ended, or at once if the permit is not used.
	StartLoad func(*plane.Permit)
	// StaticRate returns the agent's static share of the fleet's load rate, in loads per
	// second.
	StaticRate func() float64

	mutex sync.Mutex
	// returned holds the results to send with the next permit request.
	returned []plane.LoadResult
	// lastReceived is when the last message of the coordinator arrived; at first, when Run
	// started.
	lastReceived time.Time
	// change triggers a permit request.
	change notify.Signal
}

// Changed triggers a permit request after a change of the pending loads.
func (c *Client) Changed() {
	c.change.Set()
}

// ReturnPermit returns a permit to the coordinator with the result of its load. Loads at the
// static rate have no permit and the permit ID 0; ReturnPermit ignores their results.
func (c *Client) ReturnPermit(ended plane.LoadResult) {
	if ended.PermitID == 0 {
		return
	}
	c.mutex.Lock()
	c.returned = append(c.returned, ended)
	c.mutex.Unlock()
	c.Changed()
}

// Run requests permits until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.mutex.Lock()
	c.lastReceived = time.Now()
	c.mutex.Unlock()
	go c.runStaticRate(ctx)
	for ctx.Err() == nil {
		c.connect(ctx)
		pause.For(ctx, reconnectDelay)
	}
}

// connect opens a stream to the coordinator and uses it until it fails.
func (c *Client) connect(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.Open(ctx, plane.MethodPermit)
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	release := stream.CloseOnDone(ctx)
	defer release()
	go func() {
		defer cancel()
		c.receivePermits(stream)
	}()
	c.sendRequests(ctx, stream)
}

// sendRequests sends a permit request after each change, and at least one per
// maxRequestInterval. It returns when the coordinator does not respond on the stream.
func (c *Client) sendRequests(ctx context.Context, stream *wire.Stream) {
	opened := time.Now()
	for {
		if !c.sendRequest(stream) {
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
		case <-c.change.C():
		case <-timer.C:
		}
		timer.Stop()
		if time.Since(opened) > coordinatorTimeout && c.coordinatorLost() {
			return
		}
	}
}

// sendRequest sends one permit request and reports whether it was sent. If it was not, the
// returned permits are kept for the next request.
func (c *Client) sendRequest(stream *wire.Stream) bool {
	loads, inFlight := c.PendingLoads()
	c.mutex.Lock()
	returned := c.returned
	c.returned = nil
	c.mutex.Unlock()
	message := &plane.PermitRequest{
		Agent: c.Agent, Incarnation: c.Incarnation,
		Demands: loads, Results: returned, InFlight: int32(inFlight),
	}
	if stream.Send(message) == nil {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.returned = append(returned, c.returned...)
	return false
}

// receivePermits receives permits until the stream ends. A permit with ID 0 is a heartbeat.
func (c *Client) receivePermits(stream *wire.Stream) {
	for {
		var permit plane.Permit
		if err := stream.Receive(&permit); err != nil {
			return
		}
		c.mutex.Lock()
		c.lastReceived = time.Now()
		c.mutex.Unlock()
		if permit.ID != 0 {
			c.StartLoad(&permit)
		}
	}
}

// coordinatorLost reports whether no message has arrived for coordinatorTimeout.
func (c *Client) coordinatorLost() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Since(c.lastReceived) > coordinatorTimeout
}

// runStaticRate starts loads at the static rate, one at a time, while the coordinator is
// unreachable.
func (c *Client) runStaticRate(ctx context.Context) {
	// credit is the number of loads that may start now, at most 1.
	credit := 0.0
	last := time.Now()
	for pause.For(ctx, staticRateInterval) {
		now := time.Now()
		passed := now.Sub(last).Seconds()
		last = now
		if !c.coordinatorLost() {
			credit = 0
			continue
		}
		credit = min(credit+passed*c.StaticRate(), 1)
		loads, inFlight := c.PendingLoads()
		if credit < 1 || inFlight > 0 || len(loads) == 0 {
			continue
		}
		credit--
		c.StartLoad(&plane.Permit{Adapter: loads[0].Adapter, Version: loads[0].Version})
	}
}
