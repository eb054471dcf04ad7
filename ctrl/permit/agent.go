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
	// heartbeatInterval is the time between two messages to an agent.
	heartbeatInterval = time.Second
	// outboxSize limits the permits that wait to be sent to one agent.
	outboxSize = 64
	// maxDemands limits the demands kept per agent; further ones are ignored.
	maxDemands = 256
)

// Kind classifies the failures of this package.
type Kind string

// KindEnded means that the coordinator closed the agent's stream.
const KindEnded Kind = "stream ended"

// Error is this package's error type.
type Error = fault.Error[Kind]

// agent is one connected agent, guarded by the coordinator's mutex. Its name is empty
// until its first request.
type agent struct {
	name        string
	incarnation uint64
	demands     []*agentDemand
	// inFlight is the number of loads in flight that the agent reported last.
	inFlight int
	// outbox holds the permits to be sent, and close ends the stream.
	outbox chan *plane.Permit
	close  context.CancelFunc
}

// agentDemand is an agent's demand for one adapter version, with the times of its first
// and its last report.
type agentDemand struct {
	demand     plane.LoadDemand
	firstSeen  time.Time
	reportedAt time.Time
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

// removeDemand removes the demand for a granted version, until the agent reports it
// again.
func (a *agent) removeDemand(granted adapterVersion) {
	for index, d := range a.demands {
		if versionOf(&d.demand) == granted {
			a.demands = append(a.demands[:index], a.demands[index+1:]...)
			return
		}
	}
}

// replaceDemands replaces the agent's demands by the reported ones. Demands that were
// already known keep the time of their first report.
func (a *agent) replaceDemands(demands []plane.LoadDemand, now time.Time) {
	known := map[adapterVersion]time.Time{}
	for _, d := range a.demands {
		known[versionOf(&d.demand)] = d.firstSeen
	}
	a.demands = nil
	for _, reported := range demands[:min(len(demands), maxDemands)] {
		since, ok := known[versionOf(&reported)]
		if !ok {
			since = now
		}
		a.demands = append(a.demands, &agentDemand{demand: reported, firstSeen: since, reportedAt: now})
	}
}

// sortedAgents returns the agents sorted by name.
func sortedAgents(agents map[string]*agent) []*agent {
	list := make([]*agent, 0, len(agents))
	for _, a := range agents {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// Handle serves an agent's stream of plane.MethodPermit until it ends.
func (c *Coordinator) Handle(ctx context.Context, stream *wire.Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	release := stream.CloseOnDone(ctx)
	defer release()
	self := &agent{outbox: make(chan *plane.Permit, outboxSize), close: cancel}
	go write(ctx, stream, self.outbox)
	defer c.unregister(self)
	for {
		var request plane.PermitRequest
		if err := stream.Receive(&request); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return &Error{Op: "receive", Kind: KindEnded}
		}
		c.handleRequest(self, &request)
	}
}

// write sends queued permits immediately and a heartbeat each second.
func write(ctx context.Context, stream *wire.Stream, outbox <-chan *plane.Permit) {
	ticker := time.NewTicker(heartbeatInterval)
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

// handleRequest applies one request. A stream that has been replaced by a later stream
// of the same agent is closed.
func (c *Coordinator) handleRequest(self *agent, request *plane.PermitRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	c.settle(request.Results)
	if self.name == "" {
		c.register(self, request)
	}
	if c.agents[self.name] != self {
		self.close()
		return
	}
	self.replaceDemands(request.Demands, now)
	self.inFlight = int(request.InFlight)
	c.wakeRun()
}

// register makes a stream the agent's current one and closes its previous one.
func (c *Coordinator) register(self *agent, request *plane.PermitRequest) {
	self.name, self.incarnation = request.Agent, request.Incarnation
	c.refill(time.Now())
	if c.agents == nil {
		c.agents = map[string]*agent{}
	}
	if previous := c.agents[self.name]; previous != nil {
		previous.close()
	}
	c.agents[self.name] = self
	delete(c.lostAgents, self.name)
}

// settle ends permits by their results. An unused permit returns its token.
func (c *Coordinator) settle(results []plane.LoadResult) {
	for _, result := range results {
		if _, ok := c.outstanding[result.PermitID]; !ok {
			continue
		}
		delete(c.outstanding, result.PermitID)
		if result.Unused {
			c.tokens = min(c.tokens+1, burst)
		}
	}
}

// unregister records that an agent has disconnected, unless its stream was replaced.
func (c *Coordinator) unregister(self *agent) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if self.name == "" || c.agents[self.name] != self {
		return
	}
	c.refill(time.Now())
	delete(c.agents, self.name)
	if c.lostAgents == nil {
		c.lostAgents = map[string]time.Time{}
	}
	c.lostAgents[self.name] = time.Now()
}
