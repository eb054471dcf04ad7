package state

import (
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
)

// maxFormer is the number of former incarnations kept for each agent, see
// keepLast.
const maxFormer = 16

// enrol returns the fencing number of an agent incarnation. An unknown
// incarnation gets the next number; a former one gets 0.
func (m *Machine) enrol(agent AgentIncarnation) uint64 {
	now := time.Now()
	known := m.fences[agent.Agent]
	if known != nil && known.Incarnation == agent.Incarnation {
		known.Ended = false
		return known.Number
	}
	if known != nil && slices.Contains(known.Former, agent.Incarnation) {
		return 0
	}
	m.lastFence++
	fresh := &agentFence{Fence: Fence{Agent: agent.Agent, Incarnation: agent.Incarnation, Number: m.lastFence}, leasesEndAt: now}
	if known != nil {
		fresh.Former = keepLast(append(slices.Clone(known.Former), known.Incarnation), maxFormer)
		fresh.leasesEndAt = now.Add(lease.Length + lease.DriftMargin)
		if known.Ended {
			fresh.leasesEndAt = known.leasesEndAt
		}
	}
	if m.fences == nil {
		m.fences = map[string]*agentFence{}
	}
	m.fences[agent.Agent] = fresh
	return m.lastFence
}

// endIncarnation records that an agent incarnation has stopped and sends no
// further commands to its engine.
func (m *Machine) endIncarnation(ended AgentIncarnation) {
	known := m.fences[ended.Agent]
	if known != nil && known.Incarnation == ended.Incarnation {
		known.Ended = true
	}
}

// leasesEndAfterRestore returns when the last lease of an agent's former
// incarnations has ended. Snapshots hold no local times, so a full lease is
// counted from now.
func (m *Machine) leasesEndAfterRestore(restored Fence, now time.Time) time.Time {
	if len(restored.Former) == 0 {
		return now
	}
	return now.Add(lease.Length + lease.DriftMargin)
}

// Fence returns the newest incarnation of an agent with its fencing number,
// and how long a lease of a former incarnation may still last. A lease is
// renewed only after a quorum round that began after the heartbeat arrived, so
// every lease of a former incarnation was last renewed before the new
// incarnation was committed.
func (m *Machine) Fence(agent string) (newest Fence, wait time.Duration, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.fences[agent]
	if known == nil {
		return Fence{}, 0, false
	}
	return known.Fence, max(time.Until(known.leasesEndAt), 0), true
}
