package view

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/origin"
)

// RecordSoftware records the software versions of announced or removed endpoints.
func (es *Endpoints) RecordSoftware(changed []advert.Record, now time.Time) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	for i := range changed {
		es.recordSoftware(&changed[i], now)
	}
	for service, versions := range es.softwareSeen {
		for version, at := range versions {
			if now.Sub(at) > origin.Retention {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(es.softwareSeen, service)
		}
	}
}

// recordSoftware records the software version of one endpoint; es.mutex must be held.
func (es *Endpoints) recordSoftware(record *advert.Record, now time.Time) {
	if es.softwareSeen == nil {
		es.softwareSeen = map[string]map[string]time.Time{}
	}
	if es.softwareSeen[record.Service] == nil {
		es.softwareSeen[record.Service] = map[string]time.Time{}
	}
	es.softwareSeen[record.Service][record.SoftwareVersion] = now
}

// OnlySoftware returns the software version that began all streams of a service that may
// still go on, and false if more than one may have begun some.
func (es *Endpoints) OnlySoftware(service string, now time.Time) (version string, only bool) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	versions := map[string]bool{}
	for _, e := range es.services[service] {
		versions[e.record.SoftwareVersion] = true
	}
	for version, at := range es.softwareSeen[service] {
		if now.Sub(at) <= origin.Retention {
			versions[version] = true
		}
	}
	for version = range versions {
	}
	return version, len(versions) == 1
}

// MixesSoftware reports whether endpoints of several software versions may have begun the
// streams of a service that still go on.
func (es *Endpoints) MixesSoftware(service string) bool {
	_, only := es.OnlySoftware(service, time.Now())
	return !only
}

// ExcludeOtherSoftware adds the endpoints of a service whose software has another version to
// excluded, and returns how many endpoints of the service are not excluded then.
func (es *Endpoints) ExcludeOtherSoftware(service, version string, excluded map[string]bool) (left int) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	for _, e := range es.services[service] {
		if e.record.SoftwareVersion != version {
			excluded[e.record.Name] = true
		}
		if !excluded[e.record.Name] {
			left++
		}
	}
	return left
}

// CountOthers returns the number of endpoints of a service, apart from one and those
// excluded, of all software versions and of the same as that one.
func (es *Endpoints) CountOthers(endpoint *advert.Record, excluded map[string]bool) (all, sameSoftware int) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	for _, e := range es.services[endpoint.Service] {
		if excluded[e.record.Name] || e.record.Name == endpoint.Name {
			continue
		}
		all++
		if e.record.SoftwareVersion == endpoint.SoftwareVersion {
			sameSoftware++
		}
	}
	return all, sameSoftware
}

// SoftwareReplaced reports whether a process of another software version is known to have
// taken an endpoint's place under its name. Which of the two answered a request is then
// uncertain.
func (es *Endpoints) SoftwareReplaced(endpoint *advert.Record) bool {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	e := es.byName[endpoint.Name]
	return e != nil && e.record.SoftwareVersion != endpoint.SoftwareVersion
}
