package advert_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
)

func report(name, address string, born int64, seq uint64) advert.Record {
	return advert.Record{Name: name, Service: "s", Address: address, DataCentre: "d", Slots: 4, StartedMillis: born, Seq: seq}
}

func leaving(name, address string, born int64, seq uint64) advert.Record {
	r := report(name, address, born, seq)
	r.Draining = true
	return r
}

// step is one announcement, or a farewell when gone is set.
type step struct {
	report  advert.Record
	gone    string
	born    int64
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
		"late one does not undo leaving": {[]step{
			{report: report("a", "1", 5, 1), changes: true},
			{report: leaving("a", "1", 5, 3), changes: true},
			{report: report("a", "1", 5, 2)},
		}, nil},
		"late one does not undo the end": {[]step{
			{report: report("a", "1", 5, 1), changes: true},
			{gone: "a", changes: true},
			{report: report("a", "1", 5, 2)},
			{gone: "a"},
		}, nil},
		"same name, born later": {[]step{
			{report: leaving("a", "1", 5, 9), changes: true},
			{report: report("a", "1", 8, 1), changes: true},
			{report: leaving("a", "1", 5, 10)},
		}, []string{"a"}},
		"same name after its end": {[]step{
			{report: report("a", "1", 5, 9), changes: true},
			{gone: "a", changes: true},
			{report: report("a", "1", 8, 1), changes: true},
		}, []string{"a"}},
		"farewell of a former process": {[]step{
			{report: report("a", "1", 8, 1), changes: true},
			{gone: "a", born: 5},
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
			{gone: "b", changes: true},
			{report: report("a", "1", 5, 2)},
		}, nil},
		"farewell of a stranger": {[]step{{gone: "x"}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			table := &advert.Table{}
			for i, s := range scenario.steps {
				changed := false
				if s.gone != "" {
					changed = table.Remove(s.gone, s.born, uint64(i+1))
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
	table.Apply(leaving("a", "1", 5, 2), 3)
	table.Apply(report("c", "2", 6, 1), 4)
	changed := table.ChangedSince(2)
	require.Len(t, changed, 3)
	follower.Merge(changed)
	follower.Merge(changed[:1])
	require.Equal(t, table.Snapshot(), follower.Snapshot())
	require.Len(t, table.ChangedSince(0), 2, "one who has nothing needs nobody who is gone")
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
