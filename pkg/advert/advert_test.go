package advert_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
)

func report(name, address string, started int64, seq uint64) advert.Record {
	return advert.Record{Name: name, Service: "s", Address: address, DataCentre: "d", Slots: 4, StartedMillis: started, Seq: seq}
}

func draining(name, address string, started int64, seq uint64) advert.Record {
	r := report(name, address, started, seq)
	r.Draining = true
	return r
}

// step is one announcement, or the removal of the endpoint named by removed.
type step struct {
	report  advert.Record
	removed string
	started int64
	changes bool
}

func TestAnnouncements(t *testing.T) {
	for name, scenario := range map[string]struct {
		steps  []step
		usable []string
	}{
		"repeated": {[]step{
			{report: report("a", "1", 5, 1), changes: true},
			{report: report("a", "1", 5, 2)},
		}, []string{"a"}},
		"late one does not undo draining": {[]step{
			{report: report("a", "1", 5, 1), changes: true},
			{report: draining("a", "1", 5, 3), changes: true},
			{report: report("a", "1", 5, 2)},
		}, nil},
		"late one does not undo the removal": {[]step{
			{report: report("a", "1", 5, 1), changes: true},
			{removed: "a", changes: true},
			{report: report("a", "1", 5, 2)},
			{removed: "a"},
		}, nil},
		"same name, started later": {[]step{
			{report: draining("a", "1", 5, 9), changes: true},
			{report: report("a", "1", 8, 1), changes: true},
			{report: draining("a", "1", 5, 10)},
		}, []string{"a"}},
		"same name after the removal": {[]step{
			{report: report("a", "1", 5, 9), changes: true},
			{removed: "a", changes: true},
			{report: report("a", "1", 8, 1), changes: true},
		}, []string{"a"}},
		"removal of a former process": {[]step{
			{report: report("a", "1", 8, 1), changes: true},
			{removed: "a", started: 5},
		}, []string{"a"}},
		"address taken over": {[]step{
			{report: report("a", "1", 5, 1), changes: true},
			{report: report("b", "1", 7, 1), changes: true},
			{report: report("a", "1", 5, 2)},
		}, []string{"b"}},
		"late announcement from the former holder of an address": {[]step{
			{report: report("b", "1", 7, 1), changes: true},
			{report: report("a", "1", 5, 2)},
		}, []string{"b"}},
		"late announcement after the holder has moved on": {[]step{
			{report: report("a", "1", 5, 1), changes: true},
			{report: report("b", "1", 7, 1), changes: true},
			{removed: "b", changes: true},
			{report: report("a", "1", 5, 2)},
		}, nil},
		"removal of an unknown endpoint": {[]step{{removed: "x"}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			table := &advert.Table{}
			for i, s := range scenario.steps {
				changed := false
				if s.removed != "" {
					changed = table.Remove(s.removed, s.started, uint64(i+1))
				} else {
					changed = table.Apply(s.report, uint64(i+1))
				}
				require.Equal(t, s.changes, changed, "step %d", i)
			}
			var names []string
			for _, record := range table.Available()["s"] {
				names = append(names, record.Name)
			}
			require.Equal(t, scenario.usable, names)
			copied := &advert.Table{}
			copied.Restore(table.Snapshot(), nil)
			require.Equal(t, table.Snapshot(), copied.Snapshot())
			require.Equal(t, table.Available(), copied.Available())
		})
	}
}

// One announcement for a service that is not configured took a live endpoint out for good:
// its address went to the announced name, and its own announcements were refused from then on.
func TestAnnouncementsForOtherServicesDisplaceNoEndpoint(t *testing.T) {
	foreign := func(name, address string, started int64, seq uint64) advert.Record {
		r := report(name, address, started, seq)
		r.Service = "other"
		return r
	}
	for name, scenario := range map[string]struct {
		// early steps come before the services are configured.
		early, steps []step
		usable       []string
		// usableOther is what the other service has once it is configured as well.
		usableOther []string
	}{
		"another name at the address": {
			[]step{{report: report("a", "1", 5, 1), changes: true}},
			[]step{{report: foreign("x", "1", 9, 1)}, {report: draining("a", "1", 5, 2), changes: true}, {report: report("a", "1", 5, 3), changes: true}},
			[]string{"a"},
			[]string{"x"},
		},
		"the same name, started later": {
			[]step{{report: report("a", "1", 5, 1), changes: true}},
			[]step{{report: foreign("a", "1", 1<<60, 1)}, {report: foreign("a", "2", 5, 1<<60)}, {report: report("a", "1", 6, 1), changes: true}},
			[]string{"a"},
			[]string{"a"},
		},
		"an endpoint that was displaced before returns": {
			[]step{{report: report("a", "1", 5, 1), changes: true}, {report: foreign("x", "1", 9, 1), changes: true}, {report: report("a", "1", 5, 2)}},
			[]step{{report: report("a", "1", 5, 3), changes: true}, {report: foreign("x", "1", 9, 2)}},
			[]string{"a"},
			nil,
		},
		"and one whose name was taken": {
			[]step{{report: report("a", "1", 5, 1), changes: true}, {report: foreign("a", "2", 9, 1), changes: true}, {report: report("a", "1", 5, 2)}},
			[]step{{report: report("a", "1", 5, 3), changes: true}},
			[]string{"a"},
			nil,
		},
		"an endpoint that left does not return": {
			[]step{{report: report("a", "1", 5, 1), changes: true}, {removed: "a", changes: true}},
			[]step{{report: foreign("x", "1", 9, 1)}, {report: report("a", "1", 5, 2)}},
			nil,
			[]string{"x"},
		},
		"an address that is free": {
			nil,
			[]step{{report: foreign("x", "1", 9, 1)}, {report: report("a", "1", 5, 1), changes: true}},
			[]string{"a"},
			[]string{"x"},
		},
		"the deferred endpoint leaves": {
			nil,
			[]step{{report: foreign("x", "1", 9, 1)}, {removed: "x", started: 8}, {removed: "x", started: 9}},
			nil,
			nil,
		},
		"the latest deferred announcement counts": {
			nil,
			[]step{{report: foreign("x", "1", 9, 3)}, {report: foreign("x", "2", 9, 2)}, {report: foreign("y", "3", 9, 1)}, {report: foreign("z", "3", 10, 1)}},
			nil,
			[]string{"x", "z"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			configured := map[string]bool{"s": true, "other": true}
			table := &advert.Table{Configured: func(service string) bool { return configured[service] }}
			revision := uint64(0)
			play := func(steps []step) {
				for i, s := range steps {
					revision++
					changed := false
					if s.removed != "" {
						changed = table.Remove(s.removed, s.started, revision)
					} else {
						changed = table.Apply(s.report, revision)
					}
					require.Equal(t, s.changes, changed, "step %d", i)
				}
			}
			names := func(service string) (names []string) {
				for _, record := range table.Available()[service] {
					names = append(names, record.Name)
				}
				return names
			}
			play(scenario.early)
			configured["other"] = false
			play(scenario.steps)
			require.Equal(t, scenario.usable, names("s"))
			require.Equal(t, revision, table.ApplyDeferred(revision), "none is due")
			copied := &advert.Table{Configured: table.Configured}
			copied.Restore(table.Snapshot(), table.Deferred())
			configured["other"] = true
			require.Equal(t, table.ApplyDeferred(revision), copied.ApplyDeferred(revision))
			require.Equal(t, scenario.usableOther, names("other"))
			require.Equal(t, table.Snapshot(), copied.Snapshot())
			require.Empty(t, table.Deferred())
		})
	}
}

func TestDeferredAnnouncementsAreBounded(t *testing.T) {
	table := &advert.Table{Configured: func(service string) bool { return service == "s" }}
	for i := range 5000 {
		r := report(fmt.Sprint("x", i), fmt.Sprint(i), int64(i), 1)
		r.Service = "other"
		table.Apply(r, 1)
	}
	require.Len(t, table.Deferred(), 1024)
	require.Empty(t, table.Snapshot())
}

func TestFollowerHasTheSameTable(t *testing.T) {
	table, follower := &advert.Table{}, &advert.Table{}
	table.Apply(report("a", "1", 5, 1), 1)
	table.Apply(report("b", "2", 5, 1), 2)
	follower.Merge(table.ChangedSince(0))
	table.Apply(draining("a", "1", 5, 2), 3)
	table.Apply(report("c", "2", 6, 1), 4)
	changed := table.ChangedSince(2)
	require.Len(t, changed, 3)
	follower.Merge(changed)
	follower.Merge(changed[:1])
	require.Equal(t, table.Snapshot(), follower.Snapshot())
	require.Len(t, table.ChangedSince(0), 2, "an empty table needs no tombstones")
}

func TestInvalidRecords(t *testing.T) {
	good := report("a", "1", 5, 1)
	require.NoError(t, good.Check())
	for _, change := range []func(*advert.Record){
		func(r *advert.Record) { r.Name = "" },
		func(r *advert.Record) { r.Service = "" },
		func(r *advert.Record) { r.Address = "" },
		func(r *advert.Record) { r.DataCentre = "" },
		func(r *advert.Record) { r.Slots = -1 },
		func(r *advert.Record) { r.StartedMillis = -1 },
	} {
		bad := good
		change(&bad)
		require.ErrorIs(t, bad.Check(), &advert.Error{Kind: advert.KindField})
	}
}

// A daemon that has just started did not learn which endpoints had been removed, and so not
// which software versions had begun the streams that still go on. It learned of the last 64
// only, which may all have had one version.
func TestSoftwareOfRemovedEndpoints(t *testing.T) {
	const endpoints, versions = 200, 4
	table := advert.Table{}
	revision := uint64(0)
	for i := range endpoints {
		revision++
		name := fmt.Sprint("e", i)
		require.True(t, table.Apply(advert.Record{Name: name, Service: "s", Address: name, DataCentre: "d", SoftwareVersion: fmt.Sprint("v", i*versions/endpoints), Seq: 1}, revision))
	}
	require.Empty(t, table.RemovedSoftware(0))
	for i := range endpoints - 1 {
		revision++
		require.True(t, table.Remove(fmt.Sprint("e", i), 0, revision))
	}
	removed := table.RemovedSoftware(0)
	require.Len(t, removed, versions, "one of each version")
	for i, record := range removed {
		require.Equal(t, fmt.Sprint("v", i), record.SoftwareVersion, "the last one removed comes last")
		require.True(t, record.Removed)
	}
	require.Equal(t, "e198", removed[versions-1].Name)
	require.Len(t, table.RemovedSoftware(removed[1].Revision), versions-2, "only those removed after a revision")
	fresh := advert.Table{}
	fresh.Merge(append(table.ChangedSince(0), removed...))
	require.Len(t, fresh.Available()["s"], 1)
	report := advert.Record{Name: "e198", Service: "s", Address: "e198", DataCentre: "d", Seq: 9}
	require.False(t, fresh.Accepts(&report), "a removed process stays removed")
}

// A process that took the place of another one under its name left no trace of the version
// that had served before.
func TestFormerSoftwareOfNameIsKept(t *testing.T) {
	table := advert.Table{}
	announce := func(version string, started int64, revision uint64) advert.Record {
		record := advert.Record{Name: "e", Service: "s", Address: "e", DataCentre: "d", SoftwareVersion: version, StartedMillis: started, Seq: 1}
		// What a process claims of its name's past is not believed.
		record.FormerSoftware, record.FormerRevision = []string{"forged"}, 99
		require.True(t, table.Apply(record, revision))
		known, _ := table.Get("e")
		return known
	}
	require.Empty(t, announce("v1", 1, 1).FormerSoftware)
	require.Empty(t, announce("v1", 2, 2).FormerSoftware, "the same version started again")
	second := announce("v2", 3, 3)
	require.Equal(t, []string{"v1"}, second.FormerSoftware)
	require.EqualValues(t, 3, second.FormerRevision)
	again := announce("v2", 4, 4)
	require.Equal(t, second.FormerSoftware, again.FormerSoftware)
	require.EqualValues(t, 3, again.FormerRevision, "the version did not change again")
	require.True(t, table.Remove("e", 0, 5))
	require.Equal(t, []string{"v1"}, table.RemovedSoftware(0)[0].FormerSoftware)
	require.Equal(t, []string{"v1", "v2"}, announce("v3", 5, 6).FormerSoftware, "also after a removal")
	require.Equal(t, []string{"v2", "v3"}, announce("v1", 6, 7).FormerSoftware[0:2], "each version once")
	for i := range 20 {
		require.LessOrEqual(t, len(announce(fmt.Sprint("w", i), int64(10+i), uint64(10+i)).FormerSoftware), 4)
	}
}

// An endpoint whose software version changes must be announced to the entries.
func TestSoftwareVersionIsAnnounced(t *testing.T) {
	table := advert.Table{}
	record := advert.Record{Name: "e", Service: "s", Address: "e", DataCentre: "d", SoftwareVersion: "v1", Seq: 1}
	require.True(t, table.Apply(record, 1))
	record.Seq = 2
	require.False(t, table.Apply(record, 2), "the same again")
	record.SoftwareVersion, record.Seq = "v2", 3
	require.True(t, table.Apply(record, 2))
}
