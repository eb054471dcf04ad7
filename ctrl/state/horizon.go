package state

import "time"

// reserveAll applies the horizons of a command, unless they were drawn up in
// another term.
func (m *Machine) reserveAll(term uint64, command *Command) bool {
	if command.HorizonTerm != 0 && command.HorizonTerm != term {
		return false
	}
	for _, horizon := range command.Horizons {
		m.reserve(horizon)
	}
	return true
}

func (m *Machine) reserve(horizon Horizon) {
	if m.horizons == nil {
		m.horizons = map[string]reservation{}
	}
	m.horizons[horizon.Workspace] = reservation{Horizon: horizon, seen: time.Now()}
}

// dropHorizons forgets the workspaces that the configuration no longer has.
func (m *Machine) dropHorizons() {
	for workspace := range m.horizons {
		if _, ok := m.config.Workspaces[workspace]; !ok {
			delete(m.horizons, workspace)
		}
	}
}

// Horizon returns the committed reservation of a workspace and the local time
// at which it was applied here, which is never before it was committed.
func (m *Machine) Horizon(workspace string) (horizon Horizon, seen time.Time, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, ok := m.horizons[workspace]
	return known.Horizon, known.seen, ok
}
