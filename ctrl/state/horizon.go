package state

import (
	"math"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
)

// applyReservations applies the horizons of a command, unless they were drawn up in
// another term.
func (m *Machine) applyReservations(term uint64, seen time.Time, command *Command) bool {
	if command.ReservationTerm != 0 && command.ReservationTerm != term {
		return false
	}
	for _, horizon := range command.Reservations {
		m.setReservation(horizon, seen)
	}
	return true
}

func (m *Machine) setReservation(horizon Reservation, seen time.Time) {
	if m.reservations == nil {
		m.reservations = map[string]timedReservation{}
	}
	m.reservations[horizon.Workspace] = timedReservation{Reservation: horizon, appendedBy: seen}
}

// fillRetryPools records that nothing of the pools of repeats was used before the first
// configuration.
func (m *Machine) fillRetryPools() {
	m.setReservation(fullRetryPool(budget.AllAgents), time.Time{})
	for service := range m.config.Services {
		m.setReservation(fullRetryPool(service), time.Time{})
	}
}

// fullRetryPool is a pool that holds as much as it may.
func fullRetryPool(service string) Reservation {
	return Reservation{Workspace: budget.Account(service), Level: math.MaxInt64}
}

// dropStaleReservations forgets the workspaces and services that the configuration no
// longer has.
func (m *Machine) dropStaleReservations() {
	for account := range m.reservations {
		if service, pool := budget.Service(account); pool {
			if _, ok := m.config.Services[service]; ok || service == budget.AllAgents {
				continue
			}
		}
		if _, ok := m.config.Workspaces[account]; !ok {
			delete(m.reservations, account)
		}
	}
}

// Reservation returns the committed reservation of a workspace and a local time at
// which it had been appended to the log: its tokens were granted for a while
// from then on at the latest.
func (m *Machine) Reservation(workspace string) (horizon Reservation, seen time.Time, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, ok := m.reservations[workspace]
	return known.Reservation, known.appendedBy, ok
}
