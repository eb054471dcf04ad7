package daemon

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// delayedDoneContext delays Done until both copies of the relay have ended.
type delayedDoneContext struct{ context.Context }

func (c delayedDoneContext) Done() <-chan struct{} {
	time.Sleep(time.Second)
	return c.Context.Done()
}

// TestRelayEndsWhenStreamsAndContextEndTogether ends both streams and the context before the
// relay waits for any of them. A relay with a race between the three ends waits forever in about
// half of these cases, hence the repetition.
func TestRelayEndsWhenStreamsAndContextEndTogether(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 32 {
			caller, near := net.Pipe()
			far, leader := net.Pipe()
			_ = caller.Close()
			_ = leader.Close()
			ended := make(chan error, 1)
			go func() { ended <- relay(delayedDoneContext{ctx}, wire.New(near), wire.New(far)) }()
			select {
			case <-ended:
			case <-time.After(time.Minute):
				require.Fail(t, "the relay did not end")
			}
		}
	})
}
