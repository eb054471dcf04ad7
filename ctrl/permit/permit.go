// Package permit spends the fleet's load budget: it chooses which agent may
// load which adapter next.
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
	// life is how long a permit may be used after it arrived.
	life = 2 * time.Second
	// loadLimit is how long a load may take before its permit is forgotten.
	loadLimit = 40 * time.Second
	// tick is the longest pause between two looks at the demand.
	tick = 100 * time.Millisecond
	// awayTime is how long a lost agent is taken to load on its static share.
	awayTime = time.Minute
	// burst is the number of loads that may be permitted at once after a
	// pause.
	burst = 1.0
	// termShift puts the term above the count in a permit's ID, so that an
	// agent's report never ends another leader's permit.
	termShift = 32
)

// Candidate is one wish of one agent.
type Candidate struct {
	Agent  string
	Demand plane.LoadDemand
	// Since is when the coordinator first heard of it.
	Since time.Time
	// LongestWait is the longest wait of a request by now.
	LongestWait time.Duration
}

// key identifies an adapter version.
type key struct{ adapter, version string }

func keyOf(w *plane.LoadDemand) key { return key{w.Adapter, w.Version} }

// Coordinator gives permits for loads at the control leader. Its exported
// fields are set before Run; it is safe for concurrent use.
type Coordinator struct {
	// Host is the control daemon's.
	Host host.Host
	// LoadsPerSecond is the weight store's rate in loads per second.
	LoadsPerSecond float64
	// MaxInFlight is the largest number of loads in flight.
	MaxInFlight int
	// Weight returns a workspace's share, above 0; nil weighs all alike.
	Weight func(workspace string) float64
	// Choose returns the index of the candidate that may load next; there is
	// at least one. Nil chooses by urgency, fairly over workspaces.
	Choose func(now time.Time, candidates []Candidate) int

	mutex   sync.Mutex
	term    uint64
	last    uint64
	agents  map[string]*agent
	away    map[string]time.Time
	flights map[uint64]*flight
	tokens  float64
	filled  time.Time
	turns   turns
	wake    chan struct{}
}

// flight is a permit that has not ended.
type flight struct {
	agent string
	key   key
	until time.Time
}

// Reset forgets everything at a change of leadership; term is the new one.
// Agents connect anew.
func (c *Coordinator) Reset(term uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, a := range c.agents {
		a.close()
	}
	c.term = term
	c.last = 0
	c.agents = nil
	c.away = nil
	c.flights = nil
	c.turns = turns{}
	c.tokens = 0
	c.filled = time.Now()
}

// Run gives permits until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(c.grant())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-c.woken():
		}
		timer.Stop()
	}
}

func (c *Coordinator) woken() chan struct{} {
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

// signal makes Run look at the demand now. The mutex is held.
func (c *Coordinator) signal() {
	select {
	case c.wakeLocked() <- struct{}{}:
	default:
	}
}

// grant gives as many permits as the budget allows, and returns the time to
// the next look: when the next token is there, if that is what lacks.
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
		c.permit(now, candidates[c.choose(now, candidates)])
	}
	if c.tokens >= 1 || c.LoadsPerSecond <= 0 {
		return tick
	}
	missing := time.Duration((1 - c.tokens) / (c.LoadsPerSecond * c.present()) * float64(time.Second))
	return min(missing+time.Microsecond, tick)
}

func (c *Coordinator) choose(now time.Time, candidates []Candidate) int {
	if c.Choose != nil {
		return c.Choose(now, candidates)
	}
	return c.turns.choose(candidates, c.weight)
}

func (c *Coordinator) weight(workspace string) float64 {
	if c.Weight == nil {
		return 1
	}
	return max(c.Weight(workspace), minWeight)
}

// refill adds the tokens of the time passed. Lost agents may load on their
// static share, which is kept back for them.
func (c *Coordinator) refill(now time.Time) {
	if !c.filled.IsZero() {
		c.tokens += now.Sub(c.filled).Seconds() * c.LoadsPerSecond * c.present()
		c.tokens = min(c.tokens, burst)
	}
	c.filled = now
}

// present is the share of the known agents that are connected.
func (c *Coordinator) present() float64 {
	known := len(c.agents) + len(c.away)
	if known == 0 {
		return 1
	}
	return max(float64(len(c.agents)), minWeight) / float64(known)
}

func (c *Coordinator) expire(now time.Time) {
	for id, f := range c.flights {
		if now.After(f.until) {
			delete(c.flights, id)
		}
	}
	for name, since := range c.away {
		if now.Sub(since) > awayTime {
			delete(c.away, name)
		}
	}
}

// inFlight counts the loads in flight: by the permits, and by the agents'
// reports where these know of more.
func (c *Coordinator) inFlight() int {
	permitted := map[string]int{}
	for _, f := range c.flights {
		permitted[f.agent]++
	}
	total := len(c.flights)
	for name, a := range c.agents {
		total += max(0, a.flight-permitted[name])
	}
	return total
}

// candidates lists the wishes that may be granted now.
func (c *Coordinator) candidates(now time.Time) []Candidate {
	flying := map[key]bool{}
	own := map[string]map[key]bool{}
	for _, f := range c.flights {
		flying[f.key] = true
		if own[f.agent] == nil {
			own[f.agent] = map[key]bool{}
		}
		own[f.agent][f.key] = true
	}
	var list []Candidate
	for _, a := range sorted(c.agents) {
		for _, w := range a.wishes {
			id := keyOf(&w.wish)
			if own[a.name][id] || (flying[id] && !w.wish.ExtraCopy) {
				continue
			}
			waited := w.wish.LongestWait.Std() + now.Sub(w.heard)
			list = append(list, Candidate{Agent: a.name, Demand: w.wish, Since: w.since, LongestWait: waited})
		}
	}
	return list
}

// permit gives one permit. The mutex is held.
func (c *Coordinator) permit(now time.Time, chosen Candidate) {
	a := c.agents[chosen.Agent]
	c.last++
	p := &plane.Permit{
		ID: c.term<<termShift | c.last, Adapter: chosen.Demand.Adapter, Version: chosen.Demand.Version,
		Lifetime: span.Duration(life), Term: c.term,
	}
	a.forget(keyOf(&chosen.Demand))
	if !a.send(p) {
		return
	}
	c.tokens--
	if c.flights == nil {
		c.flights = map[uint64]*flight{}
	}
	c.flights[p.ID] = &flight{agent: a.name, key: keyOf(&chosen.Demand), until: now.Add(life + loadLimit)}
	if c.Host.Meter != nil {
		c.Host.Meter.Add("permits", 1)
	}
}
