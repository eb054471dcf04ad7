// Package permit allocates the fleet's budget of adapter loads: it decides which agent may
// load which adapter next. It runs at the control leader.
package permit

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

const (
	// permitLifetime is how long a permit may be used after its arrival.
	permitLifetime = 2 * time.Second
	// maxLoadTime is how long a load may take before its permit no longer counts as in
	// flight.
	maxLoadTime = 40 * time.Second
	// tick is the longest interval between two checks of the demand.
	tick = 100 * time.Millisecond
	// lostAgentRetention is how long a disconnected agent is assumed to load at its
	// static share of the budget.
	lostAgentRetention = time.Minute
	// burst is the number of loads that may be permitted at once after a
	// pause.
	burst = 1.0
	// termShift places the term above the counter in a permit's ID, so that a result
	// reported by an agent never settles a permit of another leader.
	termShift = 32
)

// Candidate is an agent's demand for one adapter version that may be granted.
type Candidate struct {
	Agent  string
	Demand plane.LoadDemand
	// Since is when the demand was first reported.
	Since time.Time
	// LongestWait is the longest time that a request has been waiting by now.
	LongestWait time.Duration
}

// adapterVersion identifies an adapter version.
type adapterVersion struct{ adapter, version string }

// versionOf returns the adapter version that a demand is for.
func versionOf(d *plane.LoadDemand) adapterVersion { return adapterVersion{d.Adapter, d.Version} }

// Coordinator issues permits for adapter loads at the control leader. Its exported fields
// are set before Run; it is safe for concurrent use.
type Coordinator struct {
	// Host is the host of the control daemon.
	Host host.Host
	// LoadsPerSecond is the load rate that the weight store sustains.
	LoadsPerSecond float64
	// MaxInFlight is the maximum number of loads in flight.
	MaxInFlight int
	// Weight returns a workspace's scheduling weight, above 0; nil weighs all equally.
	Weight func(workspace string) float64
	// Choose returns the index of the candidate that may load next; there is at
	// least one candidate. Nil chooses by urgency, and fairly between workspaces.
	Choose func(now time.Time, candidates []Candidate) int

	mutex  sync.Mutex
	term   uint64
	lastID uint64
	// agents are the connected agents; lostAgents holds when the others disconnected.
	agents     map[string]*agent
	lostAgents map[string]time.Time
	// outstanding are the permits without a result, by ID.
	outstanding map[uint64]*outstandingPermit
	// tokens is the number of loads that may be permitted now, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	scheduler  scheduler
	// wake makes Run check the demand.
	wake chan struct{}
}

// outstandingPermit is a permit whose result has not been reported.
type outstandingPermit struct {
	agent   string
	key     adapterVersion
	expires time.Time
}

// Reset drops all state at a change of leadership and closes the agents' streams, so that
// they reconnect. term is the new leader's term.
func (c *Coordinator) Reset(term uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, a := range c.agents {
		a.close()
	}
	c.term = term
	c.lastID = 0
	c.agents = nil
	c.lostAgents = nil
	c.outstanding = nil
	c.scheduler = scheduler{}
	c.tokens = 0
	c.refilledAt = time.Now()
}

// Run issues permits until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(c.grant())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-c.wakeChannel():
		}
		timer.Stop()
	}
}

func (c *Coordinator) wakeChannel() chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.wakeLocked()
}

func (c *Coordinator) wakeLocked() chan struct{} {
	if c.wake == nil {
		c.wake = make(chan struct{}, 1)
	}
	return c.wake
}

// wakeRun makes Run check the demand immediately. The caller holds the mutex.
func (c *Coordinator) wakeRun() {
	select {
	case c.wakeLocked() <- struct{}{}:
	default:
	}
}

// grant issues as many permits as the budget allows and returns the time until the next
// check: when the next token is available if tokens are lacking, else tick.
func (c *Coordinator) grant() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	c.refill(now)
	c.expire(now)
	for c.tokens >= 1 && c.inFlight() < c.MaxInFlight {
		candidates := c.candidates(now)
		if len(candidates) == 0 {
			return tick
		}
		c.issue(now, candidates[c.choose(now, candidates)])
	}
	if c.tokens >= 1 || c.LoadsPerSecond <= 0 {
		return tick
	}
	missing := time.Duration((1 - c.tokens) / (c.LoadsPerSecond * c.connectedShare()) * float64(time.Second))
	return min(missing+time.Microsecond, tick)
}

func (c *Coordinator) choose(now time.Time, candidates []Candidate) int {
	if c.Choose != nil {
		return c.Choose(now, candidates)
	}
	return c.scheduler.choose(candidates, c.weight)
}

func (c *Coordinator) weight(workspace string) float64 {
	if c.Weight == nil {
		return 1
	}
	return max(c.Weight(workspace), minWeight)
}

// refill adds the tokens for the time since the last refill. Disconnected agents may load
// at their static share, which is withheld from the budget.
func (c *Coordinator) refill(now time.Time) {
	if !c.refilledAt.IsZero() {
		c.tokens += now.Sub(c.refilledAt).Seconds() * c.LoadsPerSecond * c.connectedShare()
		c.tokens = min(c.tokens, burst)
	}
	c.refilledAt = now
}

// connectedShare returns the fraction of the known agents that are connected.
func (c *Coordinator) connectedShare() float64 {
	known := len(c.agents) + len(c.lostAgents)
	if known == 0 {
		return 1
	}
	return max(float64(len(c.agents)), minWeight) / float64(known)
}

// expire drops the permits and the disconnected agents whose time is over.
func (c *Coordinator) expire(now time.Time) {
	for id, f := range c.outstanding {
		if now.After(f.expires) {
			delete(c.outstanding, id)
		}
	}
	for name, since := range c.lostAgents {
		if now.Sub(since) > lostAgentRetention {
			delete(c.lostAgents, name)
		}
	}
}

// inFlight counts the loads in flight: the outstanding permits, plus what agents report
// beyond their permits.
func (c *Coordinator) inFlight() int {
	permitted := map[string]int{}
	for _, f := range c.outstanding {
		permitted[f.agent]++
	}
	total := len(c.outstanding)
	for name, a := range c.agents {
		total += max(0, a.inFlight-permitted[name])
	}
	return total
}

// candidates returns the demands that may be granted now. A version that is already
// being loaded is a candidate for another agent only if an extra copy is requested.
func (c *Coordinator) candidates(now time.Time) []Candidate {
	loading := map[adapterVersion]bool{}
	own := map[string]map[adapterVersion]bool{}
	for _, f := range c.outstanding {
		loading[f.key] = true
		if own[f.agent] == nil {
			own[f.agent] = map[adapterVersion]bool{}
		}
		own[f.agent][f.key] = true
	}
	var list []Candidate
	for _, a := range sortedAgents(c.agents) {
		for _, d := range a.demands {
			id := versionOf(&d.demand)
			if own[a.name][id] || (loading[id] && !d.demand.ExtraCopy) {
				continue
			}
			waited := d.demand.LongestWait.Std() + now.Sub(d.reportedAt)
			list = append(list, Candidate{Agent: a.name, Demand: d.demand, Since: d.firstSeen, LongestWait: waited})
		}
	}
	return list
}

// issue sends a permit to the chosen agent, if its outbox has room. The caller holds the
// mutex.
func (c *Coordinator) issue(now time.Time, chosen Candidate) {
	a := c.agents[chosen.Agent]
	c.lastID++
	p := &plane.Permit{
		ID: c.term<<termShift | c.lastID, Adapter: chosen.Demand.Adapter, Version: chosen.Demand.Version,
		Lifetime: span.Duration(permitLifetime), Term: c.term,
	}
	a.removeDemand(versionOf(&chosen.Demand))
	if !a.send(p) {
		return
	}
	c.tokens--
	if c.outstanding == nil {
		c.outstanding = map[uint64]*outstandingPermit{}
	}
	c.outstanding[p.ID] = &outstandingPermit{agent: a.name, key: versionOf(&chosen.Demand), expires: now.Add(permitLifetime + maxLoadTime)}
	if c.Host.Meter != nil {
		c.Host.Meter.Add("permits", 1)
	}
}
