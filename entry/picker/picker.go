// Package picker chooses the endpoint of an attempt that an entry sends to an
// agent. It works on the agents' reports and on what the entry itself has sent
// since.
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

// KindNotReady reports that no endpoint accepts the attempt at present.
const KindNotReady Kind = "no endpoint is ready"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Requirements describes an attempt that needs an endpoint.
type Requirements struct {
	// Model, Adapter and Version describe an attempt for an engine; Service names
	// the plain service of any other attempt and is empty for an engine.
	Model   string
	Adapter string
	Version string
	Service string
	Class   call.Class
	// Prefix holds the hashes of the prompt's leading blocks, shortest prefix
	// first.
	Prefix []uint64
	// Suspect excludes endpoints that run another suspected request.
	Suspect bool
	// Excluded names the agents that must not be chosen.
	Excluded []string
}

// Candidate is an endpoint as a Choose function receives it.
type Candidate struct {
	Agent string
	// Load is the work at the endpoint, including attempts sent since its last
	// report, as a multiple of its request slots.
	Load float64
	// Resident reports that the adapter version is resident there or being
	// loaded.
	Resident bool
	// Local reports that the endpoint is in the entry's data centre.
	Local bool
	// PrefixBlocks is the number of the prompt's leading blocks that were last
	// sent to the endpoint.
	PrefixBlocks int
}

// Choice is a chosen endpoint. The attempt counts as load there until Release.
type Choice struct {
	Agent       string
	Address     string
	Incarnation uint64

	endpoint *endpoint
	suspect  bool
	// reports is the number of reports of the endpoint when it was chosen.
	reports uint64
}

// Picker holds the endpoints with their reported load and the attempts that
// this entry sent them. Its exported fields are set before use; it is safe for
// concurrent use.
type Picker struct {
	// DataCentre is the entry's data centre.
	DataCentre string
	// Choose replaces the picker's own rules: it returns the index of one of
	// the endpoints that accept the attempt. Nil uses the picker's rules.
	Choose func(candidates []Candidate) int
	// Random returns a number below n; nil uses the global generator.
	Random func(n int) int

	mutex     sync.Mutex
	endpoints map[string]*endpoint
	// pools holds the endpoints of each model or service, ordered by agent
	// name.
	pools map[string][]*endpoint
	// resident holds the endpoints of each adapter version, ordered by agent
	// name.
	resident map[string][]*endpoint
	prefixes prefixes
	changed  chan struct{}
}

// endpoint is the last report of an agent and the attempts sent since.
type endpoint struct {
	record roster.Record
	hash   uint64
	// reports counts the reports, and inFlight this entry's attempts there.
	// startedSince and endedSince count the attempts that started and ended
	// after the last report. suspects counts the attempts in flight whose request
	// is suspected.
	reports      uint64
	inFlight     int
	startedSince int
	endedSince   int
	suspects     int
}

// load returns the work at the endpoint that precedes an attempt of the class,
// as a multiple of its request slots.
func (e *endpoint) load(class call.Class) float64 {
	work := int(e.record.Running) + e.startedSince - e.endedSince
	for i, queued := range e.record.Queued {
		if i <= int(class) {
			work += int(queued)
		}
	}
	return float64(max(work, e.inFlight, 0)) / float64(max(e.record.RequestSlots, 1))
}

func (e *endpoint) ready() bool {
	return e.record.Ready && !e.record.Draining && !e.record.Removed
}

// poolKey returns the key of a model's or service's endpoints in Picker.pools.
func poolKey(model, service string) string {
	if service != "" {
		return "service/" + service
	}
	return "model/" + model
}

// adapterKey returns the key of an adapter version's endpoints in
// Picker.resident.
func adapterKey(adapter, version string) string { return adapter + "\x00" + version }

// Update applies changed records of the roster.
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
	e.reports++
	e.startedSince = 0
	e.endedSince = 0
	p.link(e)
}

// link adds the endpoint to the lists of its model or service and of its
// adapters.
func (p *Picker) link(e *endpoint) {
	key := poolKey(e.record.Model, e.record.Service)
	p.pools[key] = insert(p.pools[key], e)
	for _, r := range e.record.ResidentAdapters {
		key := adapterKey(r.Adapter, r.Version)
		p.resident[key] = insert(p.resident[key], e)
	}
}

// unlink removes the endpoint from the lists that link added it to.
func (p *Picker) unlink(e *endpoint) {
	remove(p.pools, poolKey(e.record.Model, e.record.Service), e)
	for _, r := range e.record.ResidentAdapters {
		remove(p.resident, adapterKey(r.Adapter, r.Version), e)
	}
}

func insert(list []*endpoint, e *endpoint) []*endpoint {
	at, found := slices.BinarySearchFunc(list, e.record.Agent, compareAgent)
	if found {
		return list
	}
	return slices.Insert(list, at, e)
}

func remove(lists map[string][]*endpoint, key string, e *endpoint) {
	list := lists[key]
	at, found := slices.BinarySearchFunc(list, e.record.Agent, compareAgent)
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

func compareAgent(e *endpoint, agent string) int { return strings.Compare(e.record.Agent, agent) }

// Changed returns a channel that is closed at the next change of a record.
func (p *Picker) Changed() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

// Lookup returns the incarnation and the address of an agent, or 0 if the
// agent is not in the roster.
func (p *Picker) Lookup(agent string) (uint64, string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e, ok := p.endpoints[agent]
	if !ok {
		return 0, ""
	}
	return e.record.Incarnation, e.record.Address
}

// Pick chooses an endpoint and counts the attempt there. Release ends the
// count.
func (p *Picker) Pick(req *Requirements) (*Choice, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.choose(req)
	if e == nil {
		return nil, &Error{Op: "pick", Kind: KindNotReady}
	}
	e.inFlight++
	e.startedSince++
	if req.Suspect {
		e.suspects++
	}
	p.prefixes.add(req.Prefix, e.record.Agent)
	return &Choice{
		Agent:       e.record.Agent,
		Address:     e.record.Address,
		Incarnation: e.record.Incarnation,
		endpoint:    e,
		suspect:     req.Suspect,
		reports:     e.reports,
	}, nil
}

// UpdateLoad applies the load that the chosen endpoint reported with an answer.
func (p *Picker) UpdateLoad(c *Choice, running int32, queued []int32) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := c.endpoint
	e.record.Running, e.record.Queued = running, queued
	e.reports++
	e.startedSince, e.endedSince = 0, 0
}

// Release ends the count of the attempt.
func (p *Picker) Release(c *Choice) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := c.endpoint
	e.inFlight--
	if c.reports == e.reports {
		e.startedSince--
	} else {
		e.endedSince++
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
