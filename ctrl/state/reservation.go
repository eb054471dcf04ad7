package state

import (
	"math"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
)

// applyReservations applies the reservations of a command. It returns false and
// changes nothing if they were proposed in another term.
func (m *Machine) applyReservations(term uint64, appendedBy time.Time, command *Command) bool {
	if command.ReservationTerm != 0 && command.ReservationTerm != term {
		return false
	}
	for _, reservation := range command.Reservations {
		m.setReservation(reservation, appendedBy)
	}
	return true
}

func (m *Machine) setReservation(update Reservation, appendedBy time.Time) {
	if m.reservations == nil {
		m.reservations = map[string]timedReservation{}
	}
	m.reservations[update.Workspace] = timedReservation{Reservation: update, appendedBy: appendedBy}
}

// fillRetryPools records the retry budget pools as unused: there are no requests
// before the first configuration, with which it is called.
func (m *Machine) fillRetryPools() {
	m.setReservation(fullRetryPool(budget.AllAgents), time.Time{})
	for service := range m.config.Services {
		m.setReservation(fullRetryPool(service), time.Time{})
	}
}

// fullRetryPool returns a reservation that leaves a retry budget pool full: its
// level is above every burst limit, which the reader of the pool applies.
func fullRetryPool(service string) Reservation {
	return Reservation{Workspace: budget.Account(service), Level: math.MaxInt64}
}

// dropStaleReservations removes the reservations of workspaces and services that
// the configuration no longer has.
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

// Reservation returns the committed reservation of a workspace and a local time
// by which it had been appended to the log. The lifetimes of its tokens' grants
// count from that time at the latest.
func (m *Machine) Reservation(workspace string) (reservation Reservation, appendedBy time.Time, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, ok := m.reservations[workspace]
	return known.Reservation, known.appendedBy, ok
}
