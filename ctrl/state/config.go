package state

import (
	"fmt"
	"slices"
	"sort"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// mostDecided is how many numbers of the history are remembered, so that
	// a resend of one of them gets the same answer.
	mostDecided = 4096
	// mostDeltas is how many deltas are kept for daemons that are behind.
	mostDeltas = 256
)

func (m *Machine) number() uint64 {
	if m.config == nil {
		return 0
	}
	return m.config.Number
}

// propose commits the configuration if it is the next one, and otherwise
// answers for the number that it wants to be.
func (m *Machine) propose(proposal *Proposal) *plane.SubmitReply {
	if proposal.Delta == nil {
		return &plane.SubmitReply{Refused: plane.KindInvalid, Detail: "the submission is empty", ConfigNumber: m.number()}
	}
	number := proposal.Delta.To
	if number != m.number()+1 || proposal.Delta.From != m.number() {
		return m.judge(number, proposal.Sum)
	}
	next, err := m.config.Apply(proposal.Delta)
	if err != nil {
		return &plane.SubmitReply{Refused: plane.KindInvalid, Detail: err.Error(), ConfigNumber: m.number()}
	}
	first := m.config == nil
	m.config = next
	m.history = append(m.history, ConfigRecord{Number: number, Sum: proposal.Sum, Author: proposal.Author})
	m.history = lastOf(m.history, mostDecided)
	m.deltas = lastOf(append(m.deltas, proposal.Delta), mostDeltas)
	m.dropHorizons()
	if first {
		m.fillPools()
	}
	return &plane.SubmitReply{ConfigNumber: number, Winner: proposal.Author}
}

// lastOf returns the last most elements, in a new array now and then so that
// the first ones can be collected.
func lastOf[T any](list []T, most int) []T {
	if len(list) < 2*most {
		return list
	}
	return slices.Clone(list[len(list)-most:])
}

// CheckNumber answers a submission of a number that is not the next one.
func (m *Machine) CheckNumber(number uint64, sum string) *plane.SubmitReply {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.judge(number, sum)
}

func (m *Machine) judge(number uint64, sum string) *plane.SubmitReply {
	reply := &plane.SubmitReply{ConfigNumber: m.number()}
	if number == 0 || number > m.number() {
		reply.Refused = plane.KindInvalid
		reply.Detail = fmt.Sprintf("number %d is not the next one, %d", number, m.number()+1)
		return reply
	}
	at := sort.Search(len(m.history), func(i int) bool { return m.history[i].Number >= number })
	if at == len(m.history) || m.history[at].Number != number {
		reply.Refused = plane.KindConflict
		reply.Detail = fmt.Sprintf("number %d was decided too long ago to compare; the newest is %d", number, m.number())
		return reply
	}
	reply.Winner = m.history[at].Author
	if m.history[at].Sum == sum {
		return reply
	}
	reply.Refused = plane.KindConflict
	reply.Detail = fmt.Sprintf("number %d has other content, submitted by %q; the newest is %d", number, reply.Winner, m.number())
	return reply
}

// Config returns the committed configuration and its author; nil before the
// first one.
func (m *Machine) Config() (config *conf.Config, author string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.history) > 0 {
		author = m.history[len(m.history)-1].Author
	}
	return m.config, author
}

// Number returns the number of the committed configuration; 0 before the
// first one.
func (m *Machine) Number() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.number()
}

// Deltas returns the delta that leads from a number to the committed
// configuration: nil when there is nothing new, the whole configuration when
// the number is 0, unknown, or too old.
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
	return join(m.deltas[first:], m.config)
}

// join makes one delta of several in sequence, which lead to last.
func join(deltas []*conf.Delta, last *conf.Config) *conf.Delta {
	if len(deltas) == 1 {
		return deltas[0]
	}
	put := &conf.Config{Number: last.Number, Weights: last.Weights}
	joined := &conf.Delta{From: deltas[0].From, To: last.Number, Put: put}
	for _, delta := range deltas {
		put.Workspaces = touch(put.Workspaces, delta.Put.Workspaces, delta.DropWorkspaces)
		put.Keys = touch(put.Keys, delta.Put.Keys, delta.DropKeys)
		put.Adapters = touch(put.Adapters, delta.Put.Adapters, delta.DropAdapters)
		put.Routes = touch(put.Routes, delta.Put.Routes, delta.DropRoutes)
	}
	joined.DropWorkspaces = settle(put.Workspaces, last.Workspaces)
	joined.DropKeys = settle(put.Keys, last.Keys)
	joined.DropAdapters = settle(put.Adapters, last.Adapters)
	joined.DropRoutes = settle(put.Routes, last.Routes)
	return joined
}

// touch adds the names that a delta puts or drops to a set.
func touch[V any](names, put map[string]V, drop []string) map[string]V {
	if names == nil {
		names = map[string]V{}
	}
	for name, value := range put {
		names[name] = value
	}
	for _, name := range drop {
		var none V
		names[name] = none
	}
	return names
}

// settle gives each touched name its last value, and takes out and returns
// those that have none, sorted.
func settle[V any](names, last map[string]V) (drop []string) {
	for name := range names {
		value, ok := last[name]
		if ok {
			names[name] = value
			continue
		}
		delete(names, name)
		drop = append(drop, name)
	}
	slices.Sort(drop)
	return drop
}
