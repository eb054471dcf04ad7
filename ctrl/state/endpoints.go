package state

import (
	"cmp"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// adapterKey identifies an adapter of a model.
type adapterKey struct{ model, adapter string }

// applyOpaqueRoutes applies the parts of a command that serve opaque routes:
// full configurations, endpoint announcements and departures, and adapter
// versions.
func (m *Machine) applyOpaqueRoutes(command *Command, result *Result) {
	if command.FullConfig != nil {
		result.Config = m.replaceConfig(command.FullConfig)
	}
	table := m.endpointTable()
	m.endpointsRevision = table.ApplyDeferred(m.endpointsRevision)
	for _, record := range command.Announcements {
		if table.Apply(record, m.endpointsRevision+1) {
			m.endpointsRevision++
		}
	}
	for _, departure := range command.Departures {
		if table.Remove(departure.Name, departure.StartedMillis, m.endpointsRevision+1) {
			m.endpointsRevision++
		}
	}
	m.agedRevision = max(m.agedRevision, command.AgedRevision)
	if command.Release != nil {
		m.setRelease(*command.Release)
	}
}

// replaceConfig puts a full configuration in force if its number is higher
// than the current one. Any other configuration is acknowledged and ignored.
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

// endpointTable returns the table of endpoints for the configuration in force.
func (m *Machine) endpointTable() *advert.Table {
	m.endpoints.Configured = m.isConfigured
	return &m.endpoints
}

// isConfigured reports whether the configuration has a service. Before the first one, all
// announcements count: endpoints may start before it is submitted.
func (m *Machine) isConfigured(service string) bool {
	if m.config == nil {
		return true
	}
	_, ok := m.config.Services[service]
	return ok
}

// setRelease records the version of an adapter, unless the recorded version is
// the same or newer.
func (m *Machine) setRelease(update plane.Release) {
	key := adapterKey{update.Model, update.Adapter}
	if known, ok := m.releases[key]; ok && known.Version >= update.Version {
		return
	}
	if m.releases == nil {
		m.releases = map[adapterKey]plane.Release{}
	}
	m.endpointsRevision++
	update.Revision = m.endpointsRevision
	m.releases[key] = update
}

// releasesSince returns the releases that changed after a revision, oldest
// change first.
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

func (m *Machine) restoreOpaqueRoutes(stored *image) {
	m.endpointsRevision = stored.EndpointsRevision
	m.endpointTable().Restore(stored.Endpoints, stored.DeferredEndpoints)
	m.agedRevision = stored.AgedRevision
	m.ages.reset(m.endpointsRevision, time.Now())
	m.releases = map[adapterKey]plane.Release{}
	for _, release := range stored.Releases {
		m.releases[adapterKey{release.Model, release.Adapter}] = release
	}
}

// EndpointsRevision returns the number of changes to endpoints and releases.
func (m *Machine) EndpointsRevision() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.endpointsRevision
}

// EndpointsSince returns the endpoints and releases that changed after a
// revision, and the current revision. For revision 0 it includes removed endpoints that show
// which software versions may have begun the streams that still go on.
func (m *Machine) EndpointsSince(revision uint64) (endpoints []advert.Record, releases []plane.Release, now uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	aged := max(m.agedRevision, m.ages.aged(time.Now()))
	endpoints = m.endpoints.ChangedSince(revision)
	if revision == 0 {
		endpoints = append(endpoints, m.endpoints.RemovedSoftware(aged)...)
	}
	for i := range endpoints {
		if endpoints[i].FormerRevision <= aged {
			endpoints[i].FormerSoftware, endpoints[i].FormerRevision = nil, 0
		}
	}
	return endpoints, m.releasesSince(revision), m.endpointsRevision
}

// AgedEndpoints returns the AgedRevision that a command may state, and false if the replicas
// have agreed on it already.
func (m *Machine) AgedEndpoints(now time.Time) (revision uint64, due bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	revision = m.ages.aged(now)
	return revision, revision > m.agedRevision
}

// AcceptsAnnouncement reports whether an announcement would change the table
// of endpoints or be deferred.
func (m *Machine) AcceptsAnnouncement(record *advert.Record) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.endpointTable().Accepts(record)
}

// DefersAnnouncement reports whether an announcement is for a service that is not configured.
func (m *Machine) DefersAnnouncement(record *advert.Record) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.endpointTable().Defers(record)
}

// HasRelease reports whether the given version of an adapter, or a newer one,
// is recorded.
func (m *Machine) HasRelease(release *plane.Release) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, ok := m.releases[adapterKey{release.Model, release.Adapter}]
	return ok && known.Version >= release.Version
}
