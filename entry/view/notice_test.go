package view_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/view"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
)

func record(name string, started int64) advert.Record {
	return advert.Record{Name: name, Service: "s", Address: name + ":1", DataCentre: "d", Slots: 4, StartedMillis: started}
}

// Only what an endpoint said last counts, and only for the process that said it: a
// leaving endpoint must get no request, its successor must.
func TestNoticesOfEndpoints(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	leaving, pause := advert.Notice{Leaving: true}, advert.Notice{Pause: 3 * time.Second}
	type step struct {
		notice        advert.Notice
		sent, arrived float64
	}
	for name, test := range map[string]struct {
		steps []step
		// accepts are the answers at seconds 2, 4 and 20.
		accepts [3]bool
	}{
		"no notice":                             {nil, [3]bool{true, true, true}},
		"an answer without notice":              {[]step{{advert.Notice{}, 0, 1}}, [3]bool{true, true, true}},
		"leaving":                               {[]step{{leaving, 0, 1}}, [3]bool{false, false, false}},
		"leaving, an older answer without":      {[]step{{leaving, 0.5, 1}, {advert.Notice{}, 0.9, 1.5}}, [3]bool{false, false, false}},
		"leaving, a newer answer without":       {[]step{{leaving, 0.5, 1}, {advert.Notice{}, 1.1, 1.5}}, [3]bool{true, true, true}},
		"pause":                                 {[]step{{pause, 0, 1}}, [3]bool{false, true, true}},
		"pause, then an answer without":         {[]step{{pause, 0, 1}, {advert.Notice{}, 1.1, 1.5}}, [3]bool{false, true, true}},
		"a shorter pause does not end a longer": {[]step{{pause, 0, 1}, {advert.Notice{Pause: time.Millisecond}, 1.1, 1.5}}, [3]bool{false, true, true}},
		"a second pause":                        {[]step{{pause, 0, 1}, {pause, 1.2, 1.9}}, [3]bool{false, false, true}},
		"both":                                  {[]step{{advert.Notice{Leaving: true, Pause: time.Second}, 0, 1}}, [3]bool{false, false, false}},
	} {
		t.Run(name, func(t *testing.T) {
			first, other := record("a", 1), record("b", 1)
			es := &view.Endpoints{}
			list := func(records ...advert.Record) { es.Update(map[string][]advert.Record{"s": records}) }
			list(first, other)
			for _, step := range test.steps {
				es.RecordNotice(&first, step.notice, at(step.sent), at(step.arrived))
			}
			for i, seconds := range []float64{2, 4, 20} {
				require.Equal(t, test.accepts[i], es.Accepts("a", at(seconds)), "second %v", seconds)
				chosen, ok := es.ChoosePlain("s", map[string]bool{"b": true}, 0, at(seconds))
				require.Equal(t, test.accepts[i], ok)
				require.Equal(t, test.accepts[i], chosen.Name == "a")
				engines, _ := es.RankEngines("s", "k", 1, 0, nil, at(seconds))
				require.Len(t, engines, map[bool]int{true: 2, false: 1}[test.accepts[i]])
			}
			// A late announcement lists the process again; its notices still hold.
			list(other)
			list(first, other)
			require.Equal(t, test.accepts[0], es.Accepts("a", at(2)))
			list(record("a", 2), other)
			require.True(t, es.Accepts("a", at(2)), "a new process under the same name")
		})
	}
}

func TestFirstOpeningIsThatOfTheFirstEndpoint(t *testing.T) {
	now := time.Now()
	es := &view.Endpoints{}
	_, ok := es.FirstOpening("s", 0, nil, now)
	require.False(t, ok)
	records := []advert.Record{record("a", 1), record("b", 1), record("c", 1)}
	es.Update(map[string][]advert.Record{"s": records})
	es.RecordNotice(&records[0], advert.Notice{Pause: 5 * time.Second}, now, now)
	es.RecordNotice(&records[1], advert.Notice{Pause: 2 * time.Second}, now, now)
	es.RecordNotice(&records[2], advert.Notice{Leaving: true}, now, now)
	for excluded, want := range map[string]time.Duration{"": 2 * time.Second, "b": 5 * time.Second} {
		opening, ok := es.FirstOpening("s", 0, map[string]bool{excluded: true}, now)
		require.True(t, ok)
		require.Equal(t, want, opening.Wait)
		require.True(t, opening.Here)
		require.False(t, opening.Limited)
	}
	_, ok = es.FirstOpening("s", 0, map[string]bool{"a": true, "b": true}, now)
	require.False(t, ok, "only a leaving endpoint is left")
}

func TestNoticesAreBounded(t *testing.T) {
	now := time.Now()
	es := &view.Endpoints{}
	for i := range int64(10_000) {
		gone := record("a", i)
		es.RecordNotice(&gone, advert.Notice{Leaving: true}, now, now)
	}
	es.Update(map[string][]advert.Record{"s": {record("a", 9999), record("b", 1)}})
	require.False(t, es.Accepts("a", now), "the newest notices are kept")
	require.True(t, es.Accepts("b", now))
}
