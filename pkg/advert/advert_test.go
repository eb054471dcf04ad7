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
			copied.Restore(table.Snapshot())
			require.Equal(t, table.Snapshot(), copied.Snapshot())
			require.Equal(t, table.Available(), copied.Available())
		})
	}
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
// which software versions had begun the streams that still go on.
func TestRecentlyRemovedEndpoints(t *testing.T) {
	table := advert.Table{}
	for i := range 5 {
		name := fmt.Sprint("e", i)
		require.True(t, table.Apply(advert.Record{Name: name, Service: "s", Address: name, DataCentre: "d", SoftwareVersion: fmt.Sprint("v", i), Seq: 1}, uint64(i+1)))
	}
	require.Empty(t, table.RecentlyRemoved(2))
	for i := range 3 {
		require.True(t, table.Remove(fmt.Sprint("e", i), 0, uint64(10-i)))
	}
	removed := table.RecentlyRemoved(2)
	require.Len(t, removed, 2)
	require.Equal(t, "v0", removed[0].SoftwareVersion)
	require.Equal(t, "v1", removed[1].SoftwareVersion)
	fresh := advert.Table{}
	fresh.Merge(append(table.ChangedSince(0), removed...))
	require.Len(t, fresh.Available()["s"], 2)
	report := advert.Record{Name: "e0", Service: "s", Address: "e0", DataCentre: "d", Seq: 9}
	require.False(t, fresh.Accepts(&report), "a removed process stays removed")
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
