package view_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/view"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
)

// A sound endpoint that was silent was avoided for seconds after it had continued.
func TestSilentEndpointIsAvoidedUntilItContinues(t *testing.T) {
	now := time.Now()
	v := &view.Endpoints{DataCentre: "d"}
	v.Update(map[string][]advert.Record{"s": {
		{Name: "e0", Service: "s", Address: "e0:1", DataCentre: "d", Slots: 4}, {Name: "e1", Service: "s", Address: "e1:1", DataCentre: "d", Slots: 4},
	}})
	chosen := func() (names []string) {
		for _, random := range []float64{0, 0.9} {
			record, ok := v.ChoosePlain("s", nil, random, now)
			require.True(t, ok)
			names = append(names, record.Name)
		}
		return names
	}
	require.ElementsMatch(t, []string{"e0", "e1"}, chosen())

	v.RecordHeard("e0", now.Add(-time.Second))
	v.RecordSilence("e0", now.Add(-time.Second), now)
	require.Equal(t, []string{"e1", "e1"}, chosen())
	require.Equal(t, time.Second, v.Silence("e0", now))
	excluded := map[string]bool{}
	require.Equal(t, 1, v.ExcludeUnresponsive("s", excluded, now))
	require.Equal(t, map[string]bool{"e0": true}, excluded)

	v.RecordHeard("e0", now)
	require.ElementsMatch(t, []string{"e0", "e1"}, chosen(), "after a part of an answer")

	// Other requests of the endpoint receive answers: only one hangs.
	v.RecordHeard("e0", now.Add(-10*time.Millisecond))
	v.RecordSilence("e0", now.Add(-time.Second), now)
	require.Zero(t, func() int { return 2 - v.ExcludeUnresponsive("s", map[string]bool{}, now) }(), "endpoints avoided")
}

// An endpoint that was silent while a connection to it was attempted was avoided for up to four
// seconds, also after it had continued the answers under way. One that refused stays avoided.
func TestEndpointIsUsedAgainOnceItContinuesAfterConnectTimeouts(t *testing.T) {
	now := time.Now()
	v := &view.Endpoints{DataCentre: "d"}
	v.Update(endpoints(2))
	avoided := func() bool { return v.ExcludeUnresponsive("s", map[string]bool{}, now) < 2 }
	for range 5 {
		v.RecordConnectTimeout("e0", now)
		require.True(t, avoided())
		now = now.Add(4 * time.Second)
	}
	v.RecordConnectTimeout("e0", now)
	v.RecordHeard("e0", now)
	require.False(t, avoided())
	v.RecordConnectTimeout("e0", now)
	v.MarkUnreachable("e0", now)
	v.RecordHeard("e0", now)
	require.True(t, avoided())
}
