package view_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/view"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
)

// A hedge must not go to an endpoint that has the request, was tried before, is
// unreachable or would have to load the adapter.
func TestAlternativeIsAnotherUsableEndpoint(t *testing.T) {
	now := time.Now()
	es := &view.Endpoints{DataCentre: "d"}
	es.Update(map[string][]advert.Record{"s": {record("a", 4), record("b", 4), record("c", 4)}})
	es.MarkUnreachable("c", now)
	for range 20 {
		alternative, found := es.FindAlternative("s", "a", "", nil, 0.9, now)
		require.True(t, found)
		require.Equal(t, "b", alternative.Endpoint.Name)
	}
	_, found := es.FindAlternative("s", "a", "", map[string]bool{"b": true}, 0, now)
	require.False(t, found)
	_, found = es.FindAlternative("s", "a", "m/x", nil, 0, now)
	require.False(t, found, "no endpoint is known to hold the adapter")
	es.MarkResident("b", "m/x", now)
	_, found = es.FindAlternative("s", "a", "m/x", nil, 0, now)
	require.True(t, found)
	es.RecordAgentQuery("b", false, now, now)
	_, found = es.FindAlternative("s", "a", "", nil, 0, now)
	require.False(t, found, "its agent does not answer")
}

// One request more at the first endpoint makes it the more loaded one; two equally loaded
// ones have no difference. The load of the service counts the requests of all entries: with
// its own alone, no entry of many would ever see the peak.
func TestLoadsOfAlternative(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		entries := 1
		es := &view.Endpoints{DataCentre: "d", Position: func() (int, int) { return 0, entries }}
		es.Update(map[string][]advert.Record{"s": {record("a", 4), record("b", 4)}})
		endA := es.BeginRequest("a")
		alternative, _ := es.FindAlternative("s", "a", "", nil, 0, time.Now())
		require.Equal(t, 0.25, alternative.FirstLoad)
		require.Zero(t, alternative.Load)
		endB := es.BeginRequest("b")
		alternative, _ = es.FindAlternative("s", "a", "", nil, 0, time.Now())
		require.Equal(t, alternative.FirstLoad, alternative.Load)
		require.InDelta(t, 0, alternative.ServiceLoad, 0.01, "a moment is no load")
		time.Sleep(20 * time.Second)
		for entries = range 4 {
			alternative, _ = es.FindAlternative("s", "a", "", nil, 0, time.Now())
			require.InDelta(t, 0.25*float64(max(entries, 1)), alternative.ServiceLoad, 0.01)
		}
		endA()
		endB()
		time.Sleep(20 * time.Second)
		alternative, _ = es.FindAlternative("s", "a", "", nil, 0, time.Now())
		require.InDelta(t, 0, alternative.ServiceLoad, 0.01)
		es.SetLoad("a", 900, time.Now())
		es.SetLoad("b", 700, time.Now())
		alternative, _ = es.FindAlternative("s", "a", "", nil, 0, time.Now())
		require.InDelta(t, 0.8, alternative.ServiceLoad, 0.001, "as the agents report")
	})
}

// An endpoint whose attempts are cancelled for being slow is avoided as if it had answered
// late. It would look as fast as its few answers that came in time otherwise. A cancelled
// attempt that was shorter than usual says nothing.
func TestCancelledAttemptsCountAsSlow(t *testing.T) {
	now := time.Now()
	es := &view.Endpoints{DataCentre: "d"}
	es.Update(map[string][]advert.Record{"s": {record("a", 4), record("b", 4)}})
	choices := func() map[string]int {
		chosen := map[string]int{}
		for i := range 20 {
			endpoint, _ := es.ChoosePlain("s", nil, float64(i)/20, now)
			chosen[endpoint.Name]++
		}
		return chosen
	}
	for range 20 {
		es.RecordAnswer("a", 20*time.Millisecond, false, now)
		es.RecordAnswer("b", 20*time.Millisecond, false, now)
		es.RecordSlowAnswer("b", time.Millisecond, now)
	}
	require.Len(t, choices(), 2)
	for range 20 {
		es.RecordSlowAnswer("a", 200*time.Millisecond, now)
	}
	require.Zero(t, choices()["a"])
}
