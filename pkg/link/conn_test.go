package link_test

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
)

// frameHeader returns the header of a yamux data frame.
func frameHeader(stream, length uint32) []byte {
	header := make([]byte, 12)
	binary.BigEndian.PutUint32(header[4:], stream)
	binary.BigEndian.PutUint32(header[8:], length)
	return header
}

// openToRaw starts a session whose peer is the returned connection.
func openToRaw(t *testing.T) (*link.Session, net.Conn) {
	t.Helper()
	bubble.DropTimers()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	session, err := link.Client(near, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = session.Close() })
	go func() { _, _ = io.Copy(io.Discard, far) }()
	return session, far
}

// A receiver gives up at its deadline although a frame of its stream has arrived
// only in part. The multiplexer holds the stream's lock while it reads a frame's
// body, and a receiver that starts meanwhile would wait for the rest of it.
func TestReceiveEndsWhileFrameIsIncomplete(t *testing.T) {
	session, far := openToRaw(t)
	stream, err := session.Open("wait")
	require.NoError(t, err)
	const firstStream, bodySize = 1, 100
	_, err = far.Write(append(frameHeader(firstStream, bodySize), make([]byte, bodySize/10)...))
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)

	ended := make(chan error, 1)
	go func() {
		stream.AbortReceive()
		ended <- stream.Receive(&call.Probe{})
	}()
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(time.Second):
		t.Fatal("Receive waits for the rest of the frame")
	}
}

// A frame that is larger than any window ends the session; its body is not kept.
func TestFrameBeyondWindowEndsSession(t *testing.T) {
	session, far := openToRaw(t)
	_, err := session.Open("wait")
	require.NoError(t, err)
	_, err = far.Write(frameHeader(1, 1<<31))
	require.NoError(t, err)
	select {
	case <-session.Done():
	case <-time.After(time.Second):
		t.Fatal("the session is still open")
	}
}
