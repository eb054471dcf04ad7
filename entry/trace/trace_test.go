package trace_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/trace"
	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
)

// Of streams that were refused before the search for their origin, the log did not tell that
// they were continued ones, so that it could not be counted where these end.
func TestEndOfRequestNamesTheContinuedStream(t *testing.T) {
	for name, test := range map[string]struct {
		request chain.Request
		want    string
	}{
		"new":             {chain.Request{}, "continued= "},
		"continued":       {chain.Request{FirstAttempt: "0123abcd", LastEventID: "7"}, "continued=0123abcd"},
		"without attempt": {chain.Request{LastEventID: "7"}, "continued=unnamed"},
		"long":            {chain.Request{FirstAttempt: strings.Repeat("x", 5000)}, "continued=" + strings.Repeat("x", 64)},
	} {
		t.Run(name, func(t *testing.T) {
			var text bytes.Buffer
			tracer := &trace.Tracer{Host: host.Host{Meter: meter.New(), Log: event.New(&text, "entry")}}
			err := tracer.Do(context.Background(), &test.request, func(context.Context, *chain.Request) error {
				return chain.Refuse(http.StatusTooManyRequests, "rate_limited", "refused before the search")
			})
			require.Error(t, err)
			line := strings.NewReplacer("\n", " ", `""`, "").Replace(text.String())
			require.Contains(t, line, test.want)
			require.Contains(t, line, "code=rate_limited")
			require.Less(t, len(line), 1000)
		})
	}
}
