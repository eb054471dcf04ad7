package link_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// FuzzFrames checks that a session ends when its peer has sent any bytes and closed
// the connection, whatever streams are open.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{})
	f.Add(append(frameHeader(1, 3), 1, 2, 3))
	f.Add(frameHeader(2, 1<<31))
	f.Add([]byte{0, 1, 0, 1, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 1, 0})
	bubble.DropTimers()
	f.Fuzz(func(t *testing.T, sent []byte) {
		near, far := net.Pipe()
		handlers := map[string]link.Handler{"": func(_ context.Context, s *wire.Stream) error { return s.Receive(&call.Probe{}) }}
		session, err := link.Server(near, handlers)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.Copy(io.Discard, far) }()
		stream, err := session.Open("wait")
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			_ = stream.Receive(&call.Probe{})
			close(ended)
		}()
		_, _ = far.Write(sent)
		_ = far.Close()
		for _, done := range []<-chan struct{}{session.Done(), ended} {
			select {
			case <-done:
			case <-time.After(10 * time.Second):
				t.Fatal("the session is still open")
			}
		}
	})
}
