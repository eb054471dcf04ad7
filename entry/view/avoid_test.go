package view_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/view"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
)

// An endpoint that once answered slowly, or failed, was avoided for good at low load, since
// only requests to it could show that it has recovered.
func TestEndpointThatWasSlowOnceIsUsedAgain(t *testing.T) {
	const pause = 50 * time.Millisecond
	for name, test := range map[string]struct {
		latency time.Duration
		failed  bool
	}{"slow": {40 * time.Millisecond, false}, "failed": {0, true}} {
		t.Run(name, func(t *testing.T) {
			es := &view.Endpoints{DataCentre: "d"}
			es.Update(map[string][]advert.Record{"s": {record("a", 1), record("b", 1)}})
			now := time.Now()
			answer := func(name string, latency time.Duration, failed bool) { es.RecordAnswer(name, latency, failed, now) }
			for range 20 {
				answer("a", time.Millisecond, false)
				answer("b", time.Millisecond, false)
			}
			for range 4 {
				answer("a", test.latency, test.failed)
			}
			chosen := map[string]int{}
			avoided := time.Duration(0)
			for i := range 400 {
				now = now.Add(pause)
				endpoint, ok := es.ChoosePlain("s", nil, float64(i%10)/10, now)
				require.True(t, ok)
				answer(endpoint.Name, time.Millisecond, false)
				if chosen[endpoint.Name]++; chosen["a"] == 0 {
					avoided += pause
				}
			}
			require.Positive(t, avoided, "it is avoided at first")
			require.LessOrEqual(t, avoided, 10*time.Second)
			require.Greater(t, chosen["a"], 100, "then it is used as before")
		})
	}
}

// An endpoint whose answers take 0.3 ms longer than those of the others, because of a new
// connection, got no more requests.
func TestSmallDifferencesOfLatencyExcludeNoEndpoint(t *testing.T) {
	es := &view.Endpoints{DataCentre: "d"}
	es.Update(map[string][]advert.Record{"s": {record("a", 1), record("b", 1)}})
	now := time.Now()
	for range 20 {
		es.RecordAnswer("a", 440*time.Microsecond, false, now)
		es.RecordAnswer("b", 130*time.Microsecond, false, now)
	}
	chosen := map[string]int{}
	for i := range 100 {
		endpoint, _ := es.ChoosePlain("s", nil, float64(i)/100, now)
		chosen[endpoint.Name]++
	}
	require.Equal(t, map[string]int{"a": 50, "b": 50}, chosen)
}
