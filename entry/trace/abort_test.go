package trace_test

import (
	"bytes"
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/trace"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
)

// An answer that was broken off had the same line as a refusal of the same code.
func TestEndOfRequestTellsAbortedAnswersFromRefusals(t *testing.T) {
	head := &call.Frame{Type: call.FrameHead, Status: http.StatusOK}
	for name, test := range map[string]struct {
		frames []*call.Frame
		err    error
		want   string
	}{
		"refused":     {nil, chain.Refuse(http.StatusBadGateway, "retry_budget", "none left"), "aborted=false"},
		"aborted":     {[]*call.Frame{head}, chain.Refuse(http.StatusBadGateway, "retry_budget", "none left"), "aborted=true"},
		"caller left": {[]*call.Frame{head}, &chain.Refusal{Status: chain.StatusClientClosed, Code: "caller_gone"}, "aborted=false"},
		"complete":    {[]*call.Frame{head}, nil, "aborted=false"},
	} {
		t.Run(name, func(t *testing.T) {
			var text bytes.Buffer
			tracer := &trace.Tracer{Host: host.Host{Meter: meter.New(), Log: event.New(&text, "entry")}}
			r := &chain.Request{ID: "r", Write: func(*call.Frame) error { return nil }}
			_ = tracer.Do(context.Background(), r, func(context.Context, *chain.Request) error {
				for _, frame := range test.frames {
					require.NoError(t, r.Write(frame))
				}
				return test.err
			})
			require.Contains(t, text.String(), test.want)
		})
	}
}
