package burn

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// counts returns windows with the given numbers of bad requests per 1,000, for a
// target share of 99%.
func counts(short, medium, long int64) []plane.BurnWindow {
	var windows []plane.BurnWindow
	for i, bad := range []int64{short, medium, long} {
		windows = append(windows, plane.BurnWindow{
			Workspace: "w", Route: "r", Length: span.Duration(WindowLengths()[i]), Good: 1000 - bad, Bad: bad, Share: 0.99,
		})
	}
	return windows
}

func TestPages(t *testing.T) {
	hour, six := span.Duration(time.Hour), span.Duration(6*time.Hour)
	for name, test := range map[string]struct {
		short, medium, long int64
		pages               []span.Duration
	}{
		"nothing bad":                    {0, 0, 0, []span.Duration{}},
		"within budget":                  {10, 10, 10, []span.Duration{}},
		"fast burn at the threshold":     {144, 144, 30, []span.Duration{hour}},
		"fast burn just below":           {143, 143, 30, []span.Duration{}},
		"fast burn that has ended":       {0, 500, 40, []span.Duration{}},
		"fast burn that has just begun":  {900, 100, 20, []span.Duration{}},
		"slow burn at the threshold":     {60, 60, 60, []span.Duration{six}},
		"slow burn just below":           {59, 59, 59, []span.Duration{}},
		"slow burn that has ended":       {10, 100, 60, []span.Duration{}},
		"fast burn over the whole time":  {200, 200, 200, []span.Duration{hour, six}},
		"slow although fast in the hour": {100, 200, 100, []span.Duration{six}},
	} {
		t.Run(name, func(t *testing.T) {
			report := New(counts(test.short, test.medium, test.long))
			require.Len(t, report.Objectives, 1)
			require.Equal(t, test.pages, report.Objectives[0].Pages)
		})
	}
}

func TestFewRequestsDoNotPage(t *testing.T) {
	for bad, want := range map[int64]int{minRequests - 1: 0, minRequests: 2} {
		windows := counts(0, 0, 0)
		for i := range windows {
			windows[i].Good, windows[i].Bad = 0, bad
		}
		require.Len(t, New(windows).Objectives[0].Pages, want)
	}
}

func TestRatesSharesAndOrder(t *testing.T) {
	windows := append(counts(20, 40, 10), counts(0, 0, 0)...)
	windows = append(windows, plane.BurnWindow{Workspace: "a", Route: "r", Length: span.Duration(LongWindow), Share: 0.9})
	windows = append(windows, plane.BurnWindow{Workspace: "z", Route: "r", Length: span.Duration(ShortWindow), Bad: 20, Share: 0.9})
	windows = append(windows, plane.BurnWindow{Workspace: "z", Route: "r", Length: span.Duration(MediumWindow), Bad: 20, Share: 0.95})
	report := New(windows)
	require.Equal(t, "a", report.Objectives[0].Workspace)
	require.InDelta(t, 1, report.Objectives[0].Windows[0].GoodShare, 0)
	summed := report.Objectives[1].Windows
	require.Equal(t, []int64{20, 40, 10}, []int64{summed[0].Bad, summed[1].Bad, summed[2].Bad})
	require.InDelta(t, 0.98, summed[1].GoodShare, 1e-9)
	require.InDelta(t, 2, summed[1].Rate, 1e-9)
	require.InDelta(t, 2.0/720, summed[1].BudgetSpent, 1e-9)
	require.Zero(t, Rate(1, 1, 1))
}

func TestPagingObjectivesComeFirst(t *testing.T) {
	windows := counts(200, 200, 200)
	for _, count := range counts(0, 0, 0) {
		count.Workspace = "a"
		windows = append(windows, count)
	}
	report := New(windows)
	require.Equal(t, "w", report.Objectives[0].Workspace)
}
