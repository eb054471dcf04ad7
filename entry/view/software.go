package view

import "github.com/tanagerspindle/tanagerspindle/pkg/advert"

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
