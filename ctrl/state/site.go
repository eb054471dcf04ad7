package state

import (
	"cmp"
	"slices"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// adapterKey names an adapter.
type adapterKey struct{ model, adapter string }

// applyOpaqueRoutes applies what belongs to opaque routes: whole configurations,
// announcements of endpoints, and versions of adapters.
func (m *Machine) applyOpaqueRoutes(command *Command, result *Result) {
	if command.FullConfig != nil {
		result.Config = m.replaceConfig(command.FullConfig)
	}
	for _, report := range command.Announcements {
		if m.endpoints.Apply(report, m.endpointsRevision+1) {
			m.endpointsRevision++
		}
	}
	for _, leave := range command.Departures {
		if m.endpoints.Remove(leave.Name, leave.StartedMillis, m.endpointsRevision+1) {
			m.endpointsRevision++
		}
	}
	if command.Release != nil {
		m.setRelease(*command.Release)
	}
}

// replaceConfig puts a configuration in force whose number is higher than the
// present one's. Any other is acknowledged and changes nothing.
func (m *Machine) replaceConfig(next *conf.Config) *plane.SubmitReply {
	if next.Number <= m.number() {
		return &plane.SubmitReply{ConfigNumber: m.number()}
	}
	if m.config != nil {
		m.deltas = keepLast(append(m.deltas, conf.Diff(m.config, next)), maxDeltas)
	}
	first := m.config == nil
	m.config = next
	m.history = append(m.history, ConfigRecord{Number: next.Number})
	m.history = keepLast(m.history, maxHistory)
	m.dropStaleReservations()
	if first {
		m.fillRetryPools()
	}
	return &plane.SubmitReply{ConfigNumber: next.Number}
}

// setRelease notes the newest version of an adapter; an older one changes
// nothing.
func (m *Machine) setRelease(named plane.Release) {
	key := adapterKey{named.Model, named.Adapter}
	if known, ok := m.releases[key]; ok && known.Version >= named.Version {
		return
	}
	if m.releases == nil {
		m.releases = map[adapterKey]plane.Release{}
	}
	m.endpointsRevision++
	named.Revision = m.endpointsRevision
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

func (m *Machine) restoreOpaqueRoutes(shown *image) {
	m.endpointsRevision = shown.EndpointsRevision
	m.endpoints.Restore(shown.Endpoints)
	m.releases = map[adapterKey]plane.Release{}
	for _, release := range shown.Releases {
		m.releases[adapterKey{release.Model, release.Adapter}] = release
	}
}

// EndpointsRevision returns the count of changes of endpoints and releases.
func (m *Machine) EndpointsRevision() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.endpointsRevision
}

// EndpointsSince returns the endpoints and releases that changed after a revision, and
// the present one.
func (m *Machine) EndpointsSince(revision uint64) (endpoints []advert.Record, releases []plane.Release, now uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.endpoints.Since(revision), m.releasesSince(revision), m.endpointsRevision
}

// AcceptsAnnouncement reports whether an announcement would change the table of endpoints.
func (m *Machine) AcceptsAnnouncement(report *advert.Record) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.endpoints.Accepts(report)
}

// HasRelease reports whether a version of an adapter, or a newer one, is known.
func (m *Machine) HasRelease(named *plane.Release) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, ok := m.releases[adapterKey{named.Model, named.Adapter}]
	return ok && known.Version >= named.Version
}
