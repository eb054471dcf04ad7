package permit

import (
	"context"
	"sort"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// heartbeat is the time between two messages to an agent.
	heartbeat = time.Second
	// outboxSize is the number of permits waiting to be sent to one agent.
	outboxSize = 64
	// maxWishes bounds the wishes kept of one agent.
	maxWishes = 256
)

// Kind classifies the failures of this package.
type Kind string

// KindEnded says that the agent's stream was closed by the coordinator.
const KindEnded Kind = "stream ended"

// Error is this package's error type.
type Error = fault.Error[Kind]

// agent is one connected agent. The coordinator's mutex guards it.
type agent struct {
	name        string
	incarnation uint64
	wishes      []*wish
	flight      int
	outbox      chan *plane.Permit
	close       context.CancelFunc
}

// wish is one wish and when it was heard of.
type wish struct {
	wish  plane.LoadDemand
	since time.Time
	heard time.Time
}

// send queues a permit and reports whether there was room.
func (a *agent) send(p *plane.Permit) bool {
	select {
	case a.outbox <- p:
		return true
	default:
		return false
	}
}

// forget drops a wish until the agent repeats it.
func (a *agent) forget(granted key) {
	for index, w := range a.wishes {
		if keyOf(&w.wish) == granted {
			a.wishes = append(a.wishes[:index], a.wishes[index+1:]...)
			return
		}
	}
}

// replace takes over an agent's present wishes and keeps since when each is
// known.
func (a *agent) replace(wishes []plane.LoadDemand, now time.Time) {
	known := map[key]time.Time{}
	for _, w := range a.wishes {
		known[keyOf(&w.wish)] = w.since
	}
	a.wishes = nil
	for _, asked := range wishes[:min(len(wishes), maxWishes)] {
		since, ok := known[keyOf(&asked)]
		if !ok {
			since = now
		}
		a.wishes = append(a.wishes, &wish{wish: asked, since: since, heard: now})
	}
}

func sorted(agents map[string]*agent) []*agent {
	list := make([]*agent, 0, len(agents))
	for _, a := range agents {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// Handle serves one agent's stream of plane.MethodPermit until it ends.
func (c *Coordinator) Handle(ctx context.Context, stream *wire.Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	release := stream.CloseOnDone(ctx)
	defer release()
	self := &agent{outbox: make(chan *plane.Permit, outboxSize), close: cancel}
	go write(ctx, stream, self.outbox)
	defer c.leave(self)
	for {
		var ask plane.PermitRequest
		if err := stream.Receive(&ask); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return &Error{Op: "receive", Kind: KindEnded}
		}
		c.take(self, &ask)
	}
}

// write sends permits as they come and a heartbeat each second.
func write(ctx context.Context, stream *wire.Stream, outbox <-chan *plane.Permit) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		next := &plane.Permit{}
		select {
		case <-ctx.Done():
			return
		case next = <-outbox:
		case <-ticker.C:
		}
		if stream.Send(next) != nil {
			_ = stream.Close()
			return
		}
	}
}

// take applies one ask. A stream that was replaced, or that speaks for an
// older incarnation than the known one's later stream, is closed.
func (c *Coordinator) take(self *agent, ask *plane.PermitRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	c.end(ask.Results)
	if self.name == "" {
		c.enter(self, ask)
	}
	if c.agents[self.name] != self {
		self.close()
		return
	}
	self.replace(ask.Demands, now)
	self.flight = int(ask.InFlight)
	c.signal()
}

// enter makes a stream the agent's present one.
func (c *Coordinator) enter(self *agent, ask *plane.PermitRequest) {
	self.name, self.incarnation = ask.Agent, ask.Incarnation
	c.refill(time.Now())
	if c.agents == nil {
		c.agents = map[string]*agent{}
	}
	if former := c.agents[self.name]; former != nil {
		former.close()
	}
	c.agents[self.name] = self
	delete(c.away, self.name)
}

// end settles permits. An unused one gives its token back.
func (c *Coordinator) end(ended []plane.LoadResult) {
	for _, e := range ended {
		if _, ok := c.flights[e.PermitID]; !ok {
			continue
		}
		delete(c.flights, e.PermitID)
		if e.Unused {
			c.tokens = min(c.tokens+1, burst)
		}
	}
}

func (c *Coordinator) leave(self *agent) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if self.name == "" || c.agents[self.name] != self {
		return
	}
	c.refill(time.Now())
	delete(c.agents, self.name)
	if c.away == nil {
		c.away = map[string]time.Time{}
	}
	c.away[self.name] = time.Now()
}
