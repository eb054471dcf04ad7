package state

import (
	"math"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
)

// reserveAll applies the horizons of a command, unless they were drawn up in
// another term.
func (m *Machine) reserveAll(term uint64, seen time.Time, command *Command) bool {
	if command.ReservationTerm != 0 && command.ReservationTerm != term {
		return false
	}
	for _, horizon := range command.Reservations {
		m.reserve(horizon, seen)
	}
	return true
}

func (m *Machine) reserve(horizon Reservation, seen time.Time) {
	if m.horizons == nil {
		m.horizons = map[string]reservation{}
	}
	m.horizons[horizon.Workspace] = reservation{Reservation: horizon, seen: seen}
}

// fillPools records that nothing of the pools of repeats was used before the first
// configuration.
func (m *Machine) fillPools() {
	m.reserve(fullPool(budget.AllAgents), time.Time{})
	for service := range m.config.Services {
		m.reserve(fullPool(service), time.Time{})
	}
}

// fullPool is a pool that holds as much as it may.
func fullPool(service string) Reservation {
	return Reservation{Workspace: budget.Account(service), Level: math.MaxInt64}
}

// dropHorizons forgets the workspaces and services that the configuration no
// longer has.
func (m *Machine) dropHorizons() {
	for account := range m.horizons {
		if service, pool := budget.Service(account); pool {
			if _, ok := m.config.Services[service]; ok || service == budget.AllAgents {
				continue
			}
		}
		if _, ok := m.config.Workspaces[account]; !ok {
			delete(m.horizons, account)
		}
	}
}

// Reservation returns the committed reservation of a workspace and a local time at
// which it had been appended to the log: its tokens were granted for a while
// from then on at the latest.
func (m *Machine) Reservation(workspace string) (horizon Reservation, seen time.Time, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, ok := m.horizons[workspace]
	return known.Reservation, known.seen, ok
}
