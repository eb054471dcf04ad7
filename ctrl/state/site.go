package state

import (
	"cmp"
	"slices"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// releaseKey names an adapter.
type releaseKey struct{ model, adapter string }

// applySite applies what belongs to opaque routes: whole configurations,
// announcements of endpoints, and versions of adapters.
func (m *Machine) applySite(command *Command, result *Result) {
	if command.FullConfig != nil {
		result.Config = m.replace(command.FullConfig)
	}
	for _, report := range command.Announcements {
		if m.census.Apply(report, m.changes+1) {
			m.changes++
		}
	}
	for _, leave := range command.Departures {
		if m.census.Remove(leave.Name, leave.StartedMillis, m.changes+1) {
			m.changes++
		}
	}
	if command.Release != nil {
		m.release(*command.Release)
	}
}

// replace puts a configuration in force whose number is higher than the
// present one's. Any other is acknowledged and changes nothing.
func (m *Machine) replace(next *conf.Config) *plane.SubmitReply {
	if next.Number <= m.number() {
		return &plane.SubmitReply{ConfigNumber: m.number()}
	}
	if m.config != nil {
		m.deltas = lastOf(append(m.deltas, conf.Diff(m.config, next)), mostDeltas)
	}
	first := m.config == nil
	m.config = next
	m.history = append(m.history, ConfigRecord{Number: next.Number})
	m.history = lastOf(m.history, mostDecided)
	m.dropHorizons()
	if first {
		m.fillPools()
	}
	return &plane.SubmitReply{ConfigNumber: next.Number}
}

// release notes the newest version of an adapter; an older one changes
// nothing.
func (m *Machine) release(named plane.Release) {
	key := releaseKey{named.Model, named.Adapter}
	if known, ok := m.releases[key]; ok && known.Version >= named.Version {
		return
	}
	if m.releases == nil {
		m.releases = map[releaseKey]plane.Release{}
	}
	m.changes++
	named.Revision = m.changes
	m.releases[key] = named
}

func (m *Machine) releasesSince(revision uint64) []plane.Release {
	var changed []plane.Release
	for _, release := range m.releases {
		if release.Revision > revision {
			changed = append(changed, release)
		}
	}
	slices.SortFunc(changed, func(a, b plane.Release) int { return cmp.Compare(a.Revision, b.Revision) })
	return changed
}

func (m *Machine) restoreSite(shown *image) {
	m.changes = shown.EndpointsRevision
	m.census.Restore(shown.Endpoints)
	m.releases = map[releaseKey]plane.Release{}
	for _, release := range shown.Releases {
		m.releases[releaseKey{release.Model, release.Adapter}] = release
	}
}

// EndpointsRevision returns the count of changes of endpoints and releases.
func (m *Machine) EndpointsRevision() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.changes
}

// EndpointsSince returns the endpoints and releases that changed after a revision, and
// the present one.
func (m *Machine) EndpointsSince(revision uint64) (endpoints []advert.Record, releases []plane.Release, now uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.census.ChangedSince(revision), m.releasesSince(revision), m.changes
}

// AcceptsAnnouncement reports whether an announcement would change the table of endpoints.
func (m *Machine) AcceptsAnnouncement(report *advert.Record) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.census.Accepts(report)
}

// HasRelease reports whether a version of an adapter, or a newer one, is known.
func (m *Machine) HasRelease(named *plane.Release) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, ok := m.releases[releaseKey{named.Model, named.Adapter}]
	return ok && known.Version >= named.Version
}
