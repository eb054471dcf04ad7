package view

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/origin"
)

// neededMargin is how much longer than they may decide about streams several software versions
// count as mixed: control takes up to some seconds longer to tell entries that start that a
// version is too old, and they then need the records of streams.
const neededMargin = 30 * time.Second

// RecordSoftware records the software versions of announced or removed endpoints. It is called
// before the Update with the same change.
func (es *Endpoints) RecordSoftware(changed []advert.Record, now time.Time) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	for i := range changed {
		record := &changed[i]
		es.recordSoftware(record.Service, record.SoftwareVersion, now)
		for _, version := range record.FormerSoftware {
			es.recordSoftware(record.Service, version, now)
		}
		if _, known := es.reusedNames[record.Name]; known || len(record.FormerSoftware) > 0 {
			es.recordReuse(record, len(record.FormerSoftware) > 0, now)
		}
	}
	es.dropOldSoftware(now)
}

// recordSoftware records a software version of a service; es.mutex must be held.
func (es *Endpoints) recordSoftware(service, version string, now time.Time) {
	if es.softwareSeen == nil {
		es.softwareSeen = map[string]map[string]time.Time{}
	}
	if es.softwareSeen[service] == nil {
		es.softwareSeen[service] = map[string]time.Time{}
	}
	es.softwareSeen[service][version] = now
}

// recordReuse records the newest process under a name that processes of several versions have
// used, and when that was last known to have happened; es.mutex must be held.
func (es *Endpoints) recordReuse(newest *advert.Record, reused bool, now time.Time) {
	if es.reusedNames == nil {
		es.reusedNames = map[string]reusedName{}
	}
	known := es.reusedNames[newest.Name]
	known.version, known.started = newest.SoftwareVersion, newest.StartedMillis
	if reused {
		known.at = now
	}
	es.reusedNames[newest.Name] = known
}

// reusedName is a name that processes of several software versions have used.
type reusedName struct {
	// version and started are those of the newest process.
	version string
	started int64
	at      time.Time
}

// dropOldSoftware forgets versions and names that no longer matter; es.mutex must be held.
func (es *Endpoints) dropOldSoftware(now time.Time) {
	for service, versions := range es.softwareSeen {
		maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) > origin.Retention+neededMargin })
		if len(versions) == 0 {
			delete(es.softwareSeen, service)
		}
	}
	maps.DeleteFunc(es.reusedNames, func(_ string, reused reusedName) bool { return now.Sub(reused.at) > origin.Retention })
}

// OnlySoftware returns the software version that began all streams of a service that may
// still go on, and false if more than one may have begun some.
func (es *Endpoints) OnlySoftware(service string, now time.Time) (version string, only bool) {
	versions := es.SoftwareVersions(service, now)
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// SoftwareVersions returns the software versions that may have begun the streams of a service
// that still go on, sorted.
func (es *Endpoints) SoftwareVersions(service string, now time.Time) []string {
	return es.versionsSince(service, now.Add(-origin.Retention))
}

// versionsSince returns the software versions of a service that are listed or were announced
// or removed since the given time, sorted.
func (es *Endpoints) versionsSince(service string, since time.Time) []string {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	versions := map[string]bool{}
	for _, e := range es.services[service] {
		versions[e.record.SoftwareVersion] = true
	}
	for version, at := range es.softwareSeen[service] {
		if !at.Before(since) {
			versions[version] = true
		}
	}
	return slices.Sorted(maps.Keys(versions))
}

// MixesSoftware reports whether endpoints of several software versions may have begun the
// streams of a service that still go on, or of streams that an entry which starts soon
// cannot tell from these.
func (es *Endpoints) MixesSoftware(service string) bool {
	return len(es.versionsSince(service, time.Now().Add(-origin.Retention-neededMargin))) != 1
}

// ExcludeOtherSoftware adds the endpoints of a service whose software has another version to
// excluded, and returns how many endpoints of the service are not excluded then.
func (es *Endpoints) ExcludeOtherSoftware(service, version string, excluded map[string]bool) (left int) {
	return es.exclude(service, excluded, func(e *endpoint) bool { return e.record.SoftwareVersion != version })
}

// SoftwareReplaced reports whether a process of another software version may have answered in
// place of an endpoint, because it took the endpoint's name within the time that streams may
// go on: a process that starts again accepts requests before its announcement is known. The
// newest process under a name has not been replaced as far as is known.
func (es *Endpoints) SoftwareReplaced(endpoint *advert.Record, now time.Time) bool {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	reused, ok := es.reusedNames[endpoint.Name]
	if !ok || now.Sub(reused.at) > origin.Retention {
		return false
	}
	return endpoint.StartedMillis == 0 || endpoint.StartedMillis != reused.started || endpoint.SoftwareVersion != reused.version
}
