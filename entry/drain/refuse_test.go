package drain

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
)

// A request on a kept connection that would be cut when the process exits was begun after the
// linger time; one that ends before is served.
func TestLateRequestIsServedOnlyIfItEndsBeforeExit(t *testing.T) {
	const left = 5 * time.Second
	for _, test := range []struct {
		name    string
		kind    string
		maxWait time.Duration
		closing bool
		exit    bool
		served  bool
	}{
		{"ends in time", conf.RouteOpaque, left - time.Second, true, true, true},
		{"may outlast", conf.RouteOpaque, left + time.Second, true, true, false},
		{"no limit on the whole answer", conf.RouteModel, left - time.Second, true, true, false},
		{"during the linger time", conf.RouteOpaque, left + time.Second, false, true, true},
		{"without a limit on the stop", conf.RouteOpaque, left + time.Second, true, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := &Drain{closing: test.closing}
			if test.exit {
				d.Grace, d.exitTime = left, time.Now().Add(left)
			}
			r := &chain.Request{Start: time.Now(), MaxWait: test.maxWait, Route: conf.Route{Kind: test.kind}}
			served := false
			late := func(ctx context.Context, r *chain.Request) error {
				return d.RefuseLate(ctx, r, func(context.Context, *chain.Request) error { served = true; return nil })
			}
			err := d.RefuseAtExit(t.Context(), r, late)
			require.Equal(t, test.served, served)
			if test.served {
				require.NoError(t, err)
				return
			}
			refusal := chain.RefusalOf(err)
			require.Equal(t, 503, refusal.Status)
			require.Equal(t, chain.RanNo, refusal.Ran)
			require.Equal(t, exitRetryAfter, refusal.RetryAfter)
			_, refused := d.Counts()
			require.Equal(t, 1, refused)
		})
	}
}

// An answer announced a time for its connection that a stop does not honour.
func TestAnnouncedTimeEndsBeforeExit(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		0:                       maxKeepAlive,
		time.Minute:             maxKeepAlive,
		4500 * time.Millisecond: 3 * time.Second,
		1500 * time.Millisecond: 0,
		500 * time.Millisecond:  0,
	} {
		require.Equal(t, want, (&Drain{Grace: grace}).keepAlive(), grace)
	}
}
