package state

import (
	"fmt"
	"slices"
	"sort"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// maxHistory is the number of configuration records kept, so that a
	// resubmission of one of them gets the same reply.
	maxHistory = 4096
	// maxDeltas is the number of deltas kept for daemons with an older
	// configuration.
	maxDeltas = 256
)

// number returns the current configuration's number. The caller holds the mutex.
func (m *Machine) number() uint64 {
	if m.config == nil {
		return 0
	}
	return m.config.Number
}

// propose puts the configuration in force if it is the next one. Otherwise it
// replies with the decision on the proposed number.
func (m *Machine) propose(proposal *Proposal) *plane.SubmitReply {
	if proposal.Delta == nil {
		return &plane.SubmitReply{Refused: plane.KindInvalid, Detail: "the submission is empty", ConfigNumber: m.number()}
	}
	number := proposal.Delta.To
	if number != m.number()+1 || proposal.Delta.From != m.number() {
		return m.checkNumber(number, proposal.Sum)
	}
	next, err := m.config.Apply(proposal.Delta)
	if err != nil {
		return &plane.SubmitReply{Refused: plane.KindInvalid, Detail: err.Error(), ConfigNumber: m.number()}
	}
	first := m.config == nil
	m.config = next
	m.history = append(m.history, ConfigRecord{Number: number, Sum: proposal.Sum, Author: proposal.Author})
	m.history = keepLast(m.history, maxHistory)
	m.deltas = keepLast(append(m.deltas, proposal.Delta), maxDeltas)
	m.dropStaleReservations()
	if first {
		m.fillRetryPools()
	}
	return &plane.SubmitReply{ConfigNumber: number, Winner: proposal.Author}
}

// keepLast shortens a growing list to its last limit elements each time it
// reaches twice that length. The copy releases the memory of the others.
func keepLast[T any](list []T, limit int) []T {
	if len(list) < 2*limit {
		return list
	}
	return slices.Clone(list[len(list)-limit:])
}

// CheckNumber returns the reply to a submission whose number is not the next
// one.
func (m *Machine) CheckNumber(number uint64, sum string) *plane.SubmitReply {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.checkNumber(number, sum)
}

// checkNumber is CheckNumber for callers that hold the mutex.
func (m *Machine) checkNumber(number uint64, sum string) *plane.SubmitReply {
	reply := &plane.SubmitReply{ConfigNumber: m.number()}
	if number == 0 || number > m.number() {
		reply.Refused = plane.KindInvalid
		reply.Detail = fmt.Sprintf("number %d is not the next one, %d", number, m.number()+1)
		return reply
	}
	index := sort.Search(len(m.history), func(i int) bool { return m.history[i].Number >= number })
	if index == len(m.history) || m.history[index].Number != number {
		reply.Refused = plane.KindConflict
		reply.Detail = fmt.Sprintf("number %d was decided too long ago to compare; the newest is %d", number, m.number())
		return reply
	}
	reply.Winner = m.history[index].Author
	if m.history[index].Sum == sum {
		return reply
	}
	reply.Refused = plane.KindConflict
	reply.Detail = fmt.Sprintf("number %d has other content, submitted by %q; the newest is %d", number, reply.Winner, m.number())
	return reply
}

// Config returns the committed configuration and its author, or nil before the
// first configuration.
func (m *Machine) Config() (config *conf.Config, author string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.history) > 0 {
		author = m.history[len(m.history)-1].Author
	}
	return m.config, author
}

// Number returns the number of the committed configuration, or 0 before the
// first one.
func (m *Machine) Number() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.number()
}

// Deltas returns the delta from a configuration number to the committed
// configuration. It returns nil if that number is current, and the complete
// configuration if the number is 0, unknown or too old.
func (m *Machine) Deltas(from uint64) *conf.Delta {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.config == nil || from == m.number() {
		return nil
	}
	first := slices.IndexFunc(m.deltas, func(d *conf.Delta) bool { return d.From == from })
	if from == 0 || first < 0 {
		return conf.Diff(nil, m.config)
	}
	return joinDeltas(m.deltas[first:], m.config)
}

// joinDeltas merges consecutive deltas into one; last is the configuration that
// they produce.
func joinDeltas(deltas []*conf.Delta, last *conf.Config) *conf.Delta {
	if len(deltas) == 1 {
		return deltas[0]
	}
	put := &conf.Config{Number: last.Number, Weights: last.Weights, Limits: last.Limits}
	joined := &conf.Delta{From: deltas[0].From, To: last.Number, Put: put}
	for _, delta := range deltas {
		put.Workspaces = addChanged(put.Workspaces, delta.Put.Workspaces, delta.DropWorkspaces)
		put.Keys = addChanged(put.Keys, delta.Put.Keys, delta.DropKeys)
		put.Adapters = addChanged(put.Adapters, delta.Put.Adapters, delta.DropAdapters)
		put.Routes = addChanged(put.Routes, delta.Put.Routes, delta.DropRoutes)
		put.Services = addChanged(put.Services, delta.Put.Services, delta.DropServices)
	}
	joined.DropWorkspaces = splitDropped(put.Workspaces, last.Workspaces)
	joined.DropKeys = splitDropped(put.Keys, last.Keys)
	joined.DropAdapters = splitDropped(put.Adapters, last.Adapters)
	joined.DropRoutes = splitDropped(put.Routes, last.Routes)
	joined.DropServices = splitDropped(put.Services, last.Services)
	return joined
}

// addChanged adds the entries that a delta puts or drops to changed. Dropped ones
// get a zero value.
func addChanged[V any](changed, put map[string]V, drop []string) map[string]V {
	if changed == nil {
		changed = map[string]V{}
	}
	for name, value := range put {
		changed[name] = value
	}
	for _, name := range drop {
		var zero V
		changed[name] = zero
	}
	return changed
}

// splitDropped gives each changed entry its value in last. Entries that last does
// not have are removed from changed and their names returned, sorted.
func splitDropped[V any](changed, last map[string]V) (drop []string) {
	for name := range changed {
		value, ok := last[name]
		if ok {
			changed[name] = value
			continue
		}
		delete(changed, name)
		drop = append(drop, name)
	}
	slices.Sort(drop)
	return drop
}
