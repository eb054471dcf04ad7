package guard_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/guard"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
)

// A quarantined request is refused, also before a further attempt; on an opaque
// route with a status that other requests of the same content may come back
// after.
func TestQuarantine(t *testing.T) {
	for kind, status := range map[string]int{
		conf.RouteModel: http.StatusUnprocessableEntity, conf.RouteService: http.StatusUnprocessableEntity,
		conf.RouteOpaque: http.StatusServiceUnavailable,
	} {
		banned, suspect := time.Duration(0), false
		g := &guard.Guard{Banned: func([]byte) (time.Duration, bool) { return banned, suspect }}
		r := &chain.Request{Route: conf.Route{Kind: kind}}
		require.NoError(t, g.Do(context.Background(), r, func(context.Context, *chain.Request) error { return nil }))
		require.False(t, r.Suspect)
		suspect = true
		require.NoError(t, r.Check())
		require.True(t, r.Suspect, "suspected meanwhile")
		banned = time.Minute
		refusal := chain.RefusalOf(r.Check())
		require.Equal(t, status, refusal.Status)
		require.Equal(t, time.Minute, refusal.RetryAfter)
		require.Equal(t, chain.RanNo, refusal.Ran)
	}
}
