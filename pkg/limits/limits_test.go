package limits_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/limits"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// report is a statement of a process that started at the given time, made some time ago.
func report(endpoint string, started int64, limit float64, ago time.Duration) advert.LimitReport {
	return advert.LimitReport{
		Endpoint: endpoint, StartedMillis: started, Named: limit >= 0, RequestsPerSecond: max(limit, 0), SentAgo: span.Duration(ago), ArrivedAgo: span.Duration(ago),
	}
}

const none = -1

// Entries that report the same limit, late or in another order, must not undo each other's
// newer statements.
func TestNewestStatementOfEachProcessHolds(t *testing.T) {
	table := &limits.Table{}
	now := time.Now()
	require.False(t, table.Merge([]advert.LimitReport{report("a", 1, none, 0)}, now), "no limit to end")
	require.Empty(t, table.Reports(now))
	require.True(t, table.Merge([]advert.LimitReport{report("a", 1, 2, time.Second), report("b", 1, 5, 0)}, now))
	revision := table.Revision()
	require.False(t, table.Merge([]advert.LimitReport{report("a", 1, 2, 0)}, now), "confirmed")
	require.False(t, table.Merge([]advert.LimitReport{report("a", 1, none, 500*time.Millisecond)}, now), "an older answer")
	require.Equal(t, revision, table.Revision())
	now = now.Add(time.Second)
	require.True(t, table.Merge([]advert.LimitReport{report("a", 1, none, 0)}, now), "a newer answer")
	require.Greater(t, table.Revision(), revision)
	require.Equal(t, []advert.LimitReport{report("a", 1, none, 0), report("b", 1, 5, time.Second)}, table.Reports(now))
	require.True(t, table.Merge([]advert.LimitReport{report("a", 2, 7, 0)}, now), "another process")
	require.Len(t, table.Reports(now), 3)
}

func TestStatementsExpire(t *testing.T) {
	table := &limits.Table{}
	now := time.Now()
	table.Merge([]advert.LimitReport{report("a", 1, 2, 0), report("b", 1, 2, time.Second)}, now)
	table.Merge([]advert.LimitReport{report("b", 1, none, 0)}, now)
	require.Len(t, table.Reports(now), 2)
	require.Len(t, table.Reports(now.Add(2*time.Minute)), 1, "the end of a limit is passed on for a minute")
	require.Empty(t, table.Reports(now.Add(11*time.Minute)))
}

func TestStatementsAreBounded(t *testing.T) {
	table := &limits.Table{}
	now := time.Now()
	for started := range int64(10_000) {
		table.Merge([]advert.LimitReport{report("a", started, 2, 0)}, now)
	}
	require.Len(t, table.Reports(now), 4096)
}

func TestReportsAreChecked(t *testing.T) {
	good := report("a", 1, 2, time.Second)
	require.NoError(t, good.Check())
	for name, change := range map[string]func(r *advert.LimitReport){
		"no endpoint":    func(r *advert.LimitReport) { r.Endpoint = "" },
		"negative limit": func(r *advert.LimitReport) { r.RequestsPerSecond = -1 },
		"sent later":     func(r *advert.LimitReport) { r.SentAgo = 0 },
		"in the future":  func(r *advert.LimitReport) { r.ArrivedAgo, r.SentAgo = -1, 0 },
	} {
		bad := good
		change(&bad)
		require.Error(t, bad.Check(), name)
	}
}
