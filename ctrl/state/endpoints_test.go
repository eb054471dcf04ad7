package state_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/origin"
)

func announced(name, version string, started int64) advert.Record {
	return advert.Record{Name: name, Service: "s", Address: name + ":1", DataCentre: "d", SoftwareVersion: version, StartedMillis: started, Seq: 1}
}

// versionsAtStart returns the software versions that a daemon learns of that has just
// started, and whether an endpoint of the version is left.
func versionsAtStart(m *state.Machine) map[string]bool {
	versions := map[string]bool{}
	endpoints, _, _ := m.EndpointsSince(0)
	for _, e := range endpoints {
		versions[e.SoftwareVersion] = versions[e.SoftwareVersion] || !e.Removed
		for _, former := range e.FormerSoftware {
			versions[former] = versions[former] || false
		}
	}
	return versions
}

// An announcement for a service that the configuration lacks is used as soon as it has it, also
// by a replica that was restored in between.
func TestAnnouncementWaitsForItsService(t *testing.T) {
	m := &state.Machine{}
	apply(t, m, 1, &state.Command{FullConfig: &conf.Config{Number: 1, Services: map[string]conf.Service{"s": {}}}})
	live, early := announced("live", "v1", 1), announced("early", "v1", 2)
	early.Service, early.Address = "later", live.Address
	apply(t, m, 2, &state.Command{Announcements: []advert.Record{live}})
	require.True(t, m.AcceptsAnnouncement(&early))
	apply(t, m, 3, &state.Command{Announcements: []advert.Record{early}})
	require.False(t, m.AcceptsAnnouncement(&early), "it is deferred already")
	data, err := m.Snapshot()
	require.NoError(t, err)
	restored := &state.Machine{}
	require.NoError(t, restored.Restore(data))
	for _, machine := range []*state.Machine{m, restored} {
		before := machine.EndpointsRevision()
		endpoints, _, _ := machine.EndpointsSince(0)
		require.Len(t, endpoints, 1)
		require.Equal(t, "live", endpoints[0].Name)
		apply(t, machine, 4, &state.Command{FullConfig: &conf.Config{Number: 2, Services: map[string]conf.Service{"later": {}, "s": {}}}})
		endpoints, _, revision := machine.EndpointsSince(before)
		require.Greater(t, revision, before)
		require.Len(t, endpoints, 2, "the later process holds the address now")
		require.Equal(t, []string{"early", "live"}, []string{endpoints[0].Name, endpoints[1].Name})
		require.True(t, endpoints[1].Removed)
	}
}

// A daemon that has just started did not learn of removed endpoints, so that it took the
// software version that is left for the one that began all streams.
func TestNewDaemonLearnsOfRemovedEndpoints(t *testing.T) {
	m := &state.Machine{}
	apply(t, m, 1, &state.Command{Announcements: []advert.Record{announced("a", "v1", 0), announced("b", "v2", 0)}})
	apply(t, m, 2, &state.Command{Departures: []state.Departure{{Name: "a"}}})
	require.Equal(t, map[string]bool{"v1": false, "v2": true}, versionsAtStart(m))
}

// More endpoints were replaced in one release than a daemon that has just started learned
// of, so that it did not learn of a version whose endpoints had left first.
func TestNewDaemonLearnsOfAllVersionsOfLargeRelease(t *testing.T) {
	m := &state.Machine{}
	apply(t, m, 1, &state.Command{Announcements: []advert.Record{announced("first", "v1", 0), announced("last", "v2", 0)}})
	apply(t, m, 2, &state.Command{Departures: []state.Departure{{Name: "first"}}})
	for i := range 300 {
		name := fmt.Sprint("e", i)
		apply(t, m, 3, &state.Command{Announcements: []advert.Record{announced(name, "v2", 0)}})
		apply(t, m, 4, &state.Command{Departures: []state.Departure{{Name: name}}})
	}
	require.Equal(t, map[string]bool{"v1": false, "v2": true}, versionsAtStart(m))
	endpoints, _, _ := m.EndpointsSince(0)
	require.Len(t, endpoints, 3, "the start of a daemon does not cost a message for each endpoint that has left")
}

// All endpoints started again under their names with other software, and a daemon that had
// just started knew nothing of the version before.
func TestNewDaemonLearnsOfVersionReplacedUnderItsName(t *testing.T) {
	m := &state.Machine{}
	apply(t, m, 1, &state.Command{Announcements: []advert.Record{announced("a", "v1", 1)}})
	apply(t, m, 2, &state.Command{Announcements: []advert.Record{announced("a", "v2", 2)}})
	require.Equal(t, map[string]bool{"v1": false, "v2": true}, versionsAtStart(m))
	apply(t, m, 3, &state.Command{Departures: []state.Departure{{Name: "a"}}})
	require.Equal(t, map[string]bool{"v1": false, "v2": false}, versionsAtStart(m))
	data, err := m.Snapshot()
	require.NoError(t, err)
	restored := &state.Machine{}
	require.NoError(t, restored.Restore(data))
	require.Equal(t, versionsAtStart(m), versionsAtStart(restored))
}

// Versions that ended long ago made every daemon that started refuse streams of unknown
// origin, although one version alone can have begun them. Also, a replica that has just
// started again must not take a version for one that ended long ago.
func TestNewDaemonLearnsOnlyOfVersionsThatMayHaveBegunStreams(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		both, second := map[string]bool{"v1": false, "v2": true}, map[string]bool{"v2": true}
		for _, change := range []func(m *state.Machine){
			func(m *state.Machine) {
				apply(t, m, 1, &state.Command{Announcements: []advert.Record{announced("a", "v1", 1), announced("b", "v2", 1)}})
				apply(t, m, 2, &state.Command{Departures: []state.Departure{{Name: "a"}}})
			},
			func(m *state.Machine) {
				apply(t, m, 1, &state.Command{Announcements: []advert.Record{announced("a", "v1", 1)}})
				apply(t, m, 2, &state.Command{Announcements: []advert.Record{announced("a", "v2", 2)}})
			},
		} {
			m := &state.Machine{}
			change(m)
			time.Sleep(origin.Retention - time.Second)
			require.Equal(t, both, versionsAtStart(m))
			_, due := m.AgedEndpoints(time.Now())
			require.False(t, due)
			time.Sleep(2 * time.Second)
			require.Equal(t, second, versionsAtStart(m))
			aged, due := m.AgedEndpoints(time.Now())
			require.True(t, due)
			again := &state.Machine{}
			restart(t, m, again)
			require.Equal(t, both, versionsAtStart(again), "a replica that starts does not know how old its entries are")
			apply(t, m, 3, &state.Command{AgedRevision: aged})
			_, due = m.AgedEndpoints(time.Now())
			require.False(t, due, "committed once")
			restart(t, m, again)
			require.Equal(t, second, versionsAtStart(again), "the replicas have agreed on it")
			apply(t, again, 4, &state.Command{AgedRevision: 1})
			require.Equal(t, second, versionsAtStart(again), "a late command")
		}
	})
}

// A change that is younger than the retention must not be taken for an old one because
// changes follow each other closely.
func TestAgeOfChangesThatFollowEachOther(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m := &state.Machine{}
		left := map[string]time.Time{}
		for i := range 3000 {
			name, version := fmt.Sprint("e", i), fmt.Sprint("v", i/100)
			apply(t, m, 1, &state.Command{Announcements: []advert.Record{announced(name, version, 0)}})
			apply(t, m, 2, &state.Command{Departures: []state.Departure{{Name: name}}})
			left[version] = time.Now()
			time.Sleep(100 * time.Millisecond)
			known := versionsAtStart(m)
			for version, at := range left {
				age := time.Since(at)
				if _, ok := known[version]; !ok {
					require.GreaterOrEqual(t, age, origin.Retention, version)
				} else {
					require.Less(t, age, origin.Retention+2*time.Second, version)
				}
			}
		}
	})
}

// restart restores a replica from the snapshot of another one.
func restart(t *testing.T, from, to *state.Machine) {
	data, err := from.Snapshot()
	require.NoError(t, err)
	require.NoError(t, to.Restore(data))
}
