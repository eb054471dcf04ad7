// Package picker chooses the endpoint for an attempt.
package picker

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

// Kind classifies the failures of this package.
type Kind string

// KindNone says that no endpoint may take the attempt now.
const KindNone Kind = "no endpoint is ready"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Requirements describes an attempt that needs an endpoint.
type Requirements struct {
	// Model, Adapter and Version name an engine's work; Service is empty then.
	Model   string
	Adapter string
	Version string
	Service string
	Class   call.Class
	// Prefix holds the hashes of the prompt's leading blocks, shortest first.
	Prefix []uint64
	// Suspect keeps the attempt away from endpoints with another suspect.
	Suspect bool
	// Excluded names the agents that are excluded.
	Excluded []string
}

// Candidate is an endpoint as a Choose function sees it.
type Candidate struct {
	Agent string
	// Load is the work there, with what was sent since its report, as a
	// multiple of its places.
	Load float64
	// Resident says that the adapter version is there or arriving.
	Resident bool
	// Near says that it is in the entry's data centre.
	Near bool
	// PrefixBlocks is the number of the prompt's leading blocks last sent there.
	PrefixBlocks int
}

// Choice is a chosen endpoint. It counts as load there until Release.
type Choice struct {
	Agent       string
	Address     string
	Incarnation uint64

	endpoint *endpoint
	suspect  bool
	counted  uint64
}

// Picker keeps a view of the endpoints and of what this entry sent them.
type Picker struct {
	// DataCentre is the entry's data centre.
	DataCentre string
	// Choose picks among all ready endpoints in place of the picker's own
	// rules; it returns an index. Nil keeps the own rules.
	Choose func(candidates []Candidate) int
	// Random returns a number below n; nil uses the global generator.
	Random func(n int) int

	mutex     sync.Mutex
	endpoints map[string]*endpoint
	// pools holds the endpoints of each model or service by agent name.
	pools map[string][]*endpoint
	// resident holds the endpoints with an adapter version, by agent name.
	resident map[string][]*endpoint
	prefixes prefixes
	changed  chan struct{}
}

// endpoint is the last report of an agent and what was sent since.
type endpoint struct {
	record roster.Record
	hash   uint64
	// report counts the reports; own counts this entry's attempts there, and
	// since and ended those that began and ended after the last report.
	report   uint64
	own      int
	since    int
	ended    int
	suspects int
}

func (e *endpoint) load(class call.Class) float64 {
	work := int(e.record.Running) + e.since - e.ended
	for i, queued := range e.record.Queued {
		if i <= int(class) {
			work += int(queued)
		}
	}
	return float64(max(work, e.own, 0)) / float64(max(e.record.RequestSlots, 1))
}

func (e *endpoint) ready() bool {
	return e.record.Ready && !e.record.Draining && !e.record.Removed
}

func pool(model, service string) string {
	if service != "" {
		return "service/" + service
	}
	return "model/" + model
}

func slot(adapter, version string) string { return adapter + "\x00" + version }

// Update takes changed records of the roster.
func (p *Picker) Update(records []roster.Record) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.endpoints == nil {
		p.endpoints = map[string]*endpoint{}
		p.pools = map[string][]*endpoint{}
		p.resident = map[string][]*endpoint{}
	}
	for _, record := range records {
		p.update(record)
	}
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

func (p *Picker) update(record roster.Record) {
	e, ok := p.endpoints[record.Agent]
	if ok {
		p.unlink(e)
	}
	if record.Removed {
		delete(p.endpoints, record.Agent)
		return
	}
	if !ok || e.record.Incarnation != record.Incarnation {
		e = &endpoint{hash: xxhash.Sum64String(record.Agent)}
		p.endpoints[record.Agent] = e
	}
	e.record = record
	e.report++
	e.since = 0
	e.ended = 0
	p.link(e)
}

func (p *Picker) link(e *endpoint) {
	key := pool(e.record.Model, e.record.Service)
	p.pools[key] = insert(p.pools[key], e)
	for _, r := range e.record.ResidentAdapters {
		key := slot(r.Adapter, r.Version)
		p.resident[key] = insert(p.resident[key], e)
	}
}

func (p *Picker) unlink(e *endpoint) {
	drop(p.pools, pool(e.record.Model, e.record.Service), e)
	for _, r := range e.record.ResidentAdapters {
		drop(p.resident, slot(r.Adapter, r.Version), e)
	}
}

func insert(list []*endpoint, e *endpoint) []*endpoint {
	at, found := slices.BinarySearchFunc(list, e.record.Agent, byAgent)
	if found {
		return list
	}
	return slices.Insert(list, at, e)
}

func drop(lists map[string][]*endpoint, key string, e *endpoint) {
	list := lists[key]
	at, found := slices.BinarySearchFunc(list, e.record.Agent, byAgent)
	if !found {
		return
	}
	list = slices.Delete(list, at, at+1)
	if len(list) == 0 {
		delete(lists, key)
		return
	}
	lists[key] = list
}

func byAgent(e *endpoint, agent string) int { return strings.Compare(e.record.Agent, agent) }

// Changed is closed when a record changes after the call.
func (p *Picker) Changed() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

// Incarnation returns the incarnation of an agent that the roster knows, or 0,
// and its address.
func (p *Picker) Incarnation(agent string) (uint64, string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e, ok := p.endpoints[agent]
	if !ok {
		return 0, ""
	}
	return e.record.Incarnation, e.record.Address
}

// Pick chooses an endpoint and counts the attempt there.
func (p *Picker) Pick(want *Requirements) (*Choice, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.choose(want)
	if e == nil {
		return nil, &Error{Op: "pick", Kind: KindNone}
	}
	e.own++
	e.since++
	if want.Suspect {
		e.suspects++
	}
	p.prefixes.note(want.Prefix, e.record.Agent)
	return &Choice{
		Agent:       e.record.Agent,
		Address:     e.record.Address,
		Incarnation: e.record.Incarnation,
		endpoint:    e,
		suspect:     want.Suspect,
		counted:     e.report,
	}, nil
}

// UpdateLoad takes the load that came with an answer of the choice's endpoint.
func (p *Picker) UpdateLoad(c *Choice, running int32, queued []int32) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := c.endpoint
	e.record.Running, e.record.Queued = running, queued
	e.report++
	e.since, e.ended = 0, 0
}

// Release ends the attempt's count.
func (p *Picker) Release(c *Choice) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := c.endpoint
	e.own--
	if c.counted == e.report {
		e.since--
	} else {
		e.ended++
	}
	if c.suspect {
		e.suspects--
	}
}

func (p *Picker) random(n int) int {
	if p.Random != nil {
		return p.Random(n)
	}
	return rand.IntN(n)
}
