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

// lateContext ends, but is looked at only after both copies have ended too.
type lateContext struct{ context.Context }

func (c lateContext) Done() <-chan struct{} {
	time.Sleep(time.Second)
	return c.Context.Done()
}

// TestRelayEndsWhenAllEndAtOnce ends both streams and the context before the
// relay looks, which once left it waiting for ever in every second case.
func TestRelayEndsWhenAllEndAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 32 {
			caller, near := net.Pipe()
			far, leader := net.Pipe()
			_ = caller.Close()
			_ = leader.Close()
			ended := make(chan error, 1)
			go func() { ended <- relay(lateContext{ctx}, wire.New(near), wire.New(far)) }()
			select {
			case <-ended:
			case <-time.After(time.Minute):
				require.Fail(t, "the relay goes on")
			}
		}
	})
}
