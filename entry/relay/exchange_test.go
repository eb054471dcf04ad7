package relay

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// A stream that stalls while its answer waits for more tokens gets another
// stallTimeout. If it goes on within that time it is sound again, and is not cut
// when the time ends.
func TestResumedStreamIsNotCut(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		agent := wire.New(far)
		e := &exchange{stream: wire.New(near), attempt: &call.Attempt{}, extending: true}
		e.stalled()
		time.Sleep(stallTimeout / 2)
		e.endGrace()
		time.Sleep(stallTimeout)
		go func() { _ = agent.Send(&call.Frame{ID: make([]byte, 16), Type: call.FramePart}) }()
		require.NoError(t, e.stream.Receive(&call.Frame{}))

		e.stalled()
		time.Sleep(stallTimeout + time.Second)
		require.Error(t, e.stream.Receive(&call.Frame{}), "a stream that does not go on is cut")
	})
}
