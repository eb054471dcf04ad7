package view_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/view"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
)

// An endpoint whose answers take 0.3 ms longer than those of the others, because of a new
// connection, got no more requests.
func TestSmallDifferencesOfLatencyExcludeNoEndpoint(t *testing.T) {
	es := &view.Endpoints{DataCentre: "d"}
	es.Update(map[string][]advert.Record{"s": {record("a", 1), record("b", 1)}})
	now := time.Now()
	for range 20 {
		es.RecordAnswer("a", 440*time.Microsecond, false)
		es.RecordAnswer("b", 130*time.Microsecond, false)
	}
	chosen := map[string]int{}
	for i := range 100 {
		endpoint, _ := es.ChoosePlain("s", nil, float64(i)/100, now)
		chosen[endpoint.Name]++
	}
	require.Equal(t, map[string]int{"a": 50, "b": 50}, chosen)
}
