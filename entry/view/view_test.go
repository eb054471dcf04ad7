package view_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/view"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
)

var start = time.Unix(1000, 0)

func endpoints(count int) map[string][]advert.Record {
	usable := map[string][]advert.Record{}
	for i := range count {
		name := fmt.Sprint("e", i)
		usable["s"] = append(usable["s"], advert.Record{Name: name, Service: "s", Address: name + ":1", DataCentre: "d", Slots: 4})
	}
	return usable
}

// mostChosen returns the endpoint that is chosen most often.
func mostChosen(v *view.Endpoints, excluded map[string]bool, now time.Time) string {
	counts, chosen := map[string]int{}, ""
	for i := range 100 {
		if e, ok := v.ChoosePlain("s", excluded, float64(i)/100, now); ok {
			counts[e.Name]++
			if counts[e.Name] > counts[chosen] {
				chosen = e.Name
			}
		}
	}
	return chosen
}

// The only available endpoint of a service is used whatever its failures, as
// there is no other to compare it with.
func TestLastEndpointIsUsed(t *testing.T) {
	v := &view.Endpoints{DataCentre: "d"}
	v.Update(endpoints(1))
	for range 50 {
		v.RecordAnswer("e0", time.Second, true, time.Now())
	}
	require.Equal(t, "e0", mostChosen(v, nil, start))
	v.MarkUnreachable("e0", start)
	require.Equal(t, "e0", mostChosen(v, nil, start))
	require.Empty(t, mostChosen(v, map[string]bool{"e0": true}, start))
	require.Empty(t, mostChosen(&view.Endpoints{}, nil, start))
}

func TestBadEndpointsAreAvoided(t *testing.T) {
	for name, degrade := range map[string]func(v *view.Endpoints){
		"slow":        func(v *view.Endpoints) { v.RecordAnswer("e0", 400*time.Millisecond, false, time.Now()) },
		"failing":     func(v *view.Endpoints) { v.RecordAnswer("e0", 30*time.Millisecond, true, time.Now()) },
		"unreachable": func(v *view.Endpoints) { v.MarkUnreachable("e0", start) },
		"busy":        func(v *view.Endpoints) { v.BeginRequest("e0") },
	} {
		v := &view.Endpoints{DataCentre: "d"}
		v.Update(endpoints(3))
		for range 40 {
			for _, e := range []string{"e0", "e1", "e2"} {
				v.RecordAnswer(e, 30*time.Millisecond, false, time.Now())
			}
			degrade(v)
		}
		for i := range 100 {
			e, _ := v.ChoosePlain("s", nil, float64(i)/100, start)
			require.NotEqual(t, "e0", e.Name, name)
		}
	}
}

// Failures that all endpoints have in common exclude none of them.
func TestFailuresOfAllEndpointsAreIgnored(t *testing.T) {
	v := &view.Endpoints{DataCentre: "d"}
	v.Update(endpoints(3))
	for i := range 300 {
		v.RecordAnswer(fmt.Sprint("e", i%3), 30*time.Millisecond, i/3%7 == 0, time.Now())
	}
	chosen := map[string]bool{}
	for i := range 100 {
		e, _ := v.ChoosePlain("s", nil, float64(i)/100, start)
		chosen[e.Name] = true
	}
	require.Len(t, chosen, 3)
}

func TestUnreachableEndpointIsTriedAgain(t *testing.T) {
	v := &view.Endpoints{DataCentre: "d"}
	v.Update(endpoints(2))
	v.MarkUnreachable("e0", start)
	require.Equal(t, "e1", mostChosen(v, nil, start.Add(300*time.Millisecond)))
	v.BeginRequest("e1")
	require.Equal(t, "e0", mostChosen(v, nil, start.Add(time.Second)))
}

func TestNewProcessHasNoResidentAdapters(t *testing.T) {
	v := &view.Endpoints{DataCentre: "d"}
	v.Update(endpoints(2))
	v.MarkResident("e0", "m/a", start)
	require.True(t, v.LikelyResident("e0", "m/a", start.Add(time.Second)))
	require.False(t, v.LikelyResident("e0", "m/a", start.Add(time.Minute)))
	updated := endpoints(2)
	updated["s"][0].StartedMillis = 7
	v.Update(updated)
	require.False(t, v.LikelyResident("e0", "m/a", start.Add(time.Second)))
	delete(updated, "s")
	v.Update(updated)
	require.False(t, v.Known("e0"))
}
