package state

import (
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
)

// mostFormer is how many former incarnations of an agent are remembered.
const mostFormer = 16

// enrol returns the fencing number of an agent incarnation, a new one if it is
// new, or 0 if a later incarnation exists.
func (m *Machine) enrol(enrol AgentIncarnation) uint64 {
	now := time.Now()
	known := m.fences[enrol.Agent]
	if known != nil && known.Incarnation == enrol.Incarnation {
		known.Ended = false
		return known.Number
	}
	if known != nil && slices.Contains(known.Former, enrol.Incarnation) {
		return 0
	}
	m.next++
	fresh := &fence{Fence: Fence{Agent: enrol.Agent, Incarnation: enrol.Incarnation, Number: m.next}, free: now}
	if known != nil {
		fresh.Former = lastOf(append(slices.Clone(known.Former), known.Incarnation), mostFormer)
		fresh.free = now.Add(lease.Length + lease.DriftMargin)
		if known.Ended {
			fresh.free = known.free
		}
	}
	if m.fences == nil {
		m.fences = map[string]*fence{}
	}
	m.fences[enrol.Agent] = fresh
	return m.next
}

// end notes that an incarnation will order its engine no more.
func (m *Machine) end(end AgentIncarnation) {
	known := m.fences[end.Agent]
	if known != nil && known.Incarnation == end.Incarnation {
		known.Ended = true
	}
}

// freeAt returns when the former incarnations of a restored fence hold no
// lease, counted from now because local times are not in snapshots.
func (m *Machine) freeAt(former Fence, now time.Time) time.Time {
	if len(former.Former) == 0 {
		return now
	}
	return now.Add(lease.Length + lease.DriftMargin)
}

// Fence returns the newest incarnation of an agent with its fencing number,
// and how long a lease of a former incarnation may still last. A lease is
// renewed only after a quorum round begun after the heartbeat came, so every
// lease of a former incarnation counts from before the new one was committed.
func (m *Machine) Fence(agent string) (newest Fence, wait time.Duration, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.fences[agent]
	if known == nil {
		return Fence{}, 0, false
	}
	return known.Fence, max(time.Until(known.free), 0), true
}
