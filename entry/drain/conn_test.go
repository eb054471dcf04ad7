package drain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requestStart is the part of a request that arrives before the idle connections are closed.
const requestStart = "GET / HTTP/1.1\r\n"

// startServer runs a server for a drain and returns its address, and a channel that gets the
// number of bytes of each read from a connection.
func startServer(t *testing.T, d *Drain) (address string, reads chan int) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	reads = make(chan int, 100)
	handler := func(w http.ResponseWriter, _ *http.Request) {
		defer d.Enter()()
		_, _ = io.WriteString(w, "whole")
	}
	server := &http.Server{Handler: http.HandlerFunc(handler), ConnState: d.TrackConnection, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(d.Track(&readListener{Listener: inner, reads: reads})) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String(), reads
}

// readListener reports the reads from its connections.
type readListener struct {
	net.Listener
	reads chan int
}

type readConn struct {
	net.Conn
	reads chan int
}

func (l *readListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &readConn{Conn: conn, reads: l.reads}, err
}

func (c *readConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 1 {
		c.reads <- n
	}
	return n, err
}

// ask sends a request in two parts, between which meanwhile is called, and returns its answer.
func ask(t *testing.T, conn net.Conn, meanwhile func()) *http.Response {
	_, err := io.WriteString(conn, requestStart)
	require.NoError(t, err)
	meanwhile()
	_, err = io.WriteString(conn, "Host: entry\r\n\r\n")
	require.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "a request whose start was read has an answer")
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
	return answer
}

// The server closed an idle connection while it read a request, and served the request without
// being able to answer it.
func TestConnectionIsNotClosedWhileItsRequestIsRead(t *testing.T) {
	d := &Drain{}
	address, reads := startServer(t, d)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	ask(t, conn, func() {})
	for len(reads) > 0 {
		<-reads
	}
	ask(t, conn, func() {
		// The server may have read one byte while it still sent the answer.
		require.GreaterOrEqual(t, <-reads, len(requestStart)-1)
		// The drain knows of the read once the connection's Read has returned.
		time.Sleep(50 * time.Millisecond)
		d.CloseIdle()
	})
	_, err = conn.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err, "the connection is closed after the answer")
	require.NoError(t, d.Wait(t.Context()))
}

// An idle connection does not hold up the drain.
func TestIdleConnectionIsClosed(t *testing.T) {
	d := &Drain{}
	address, _ := startServer(t, d)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	ask(t, conn, func() {})
	d.CloseIdle()
	_, err = conn.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
	require.NoError(t, d.Wait(t.Context()))
}

// A request that arrives as its connection is closed is not served.
func TestClosedConnectionReadsNoRequest(t *testing.T) {
	server, caller := net.Pipe()
	c := &callerConn{Conn: server, unread: true}
	c.closeUnread()
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	_, err = caller.Write([]byte("x"))
	require.Error(t, err)
}

// The server reads the first byte of the next request while it sends an answer: the connection
// was then closed as if nothing of that request had been read.
func TestConnectionIsNotClosedAfterEarlyRead(t *testing.T) {
	server, caller := net.Pipe()
	c := &callerConn{Conn: server, unread: true}
	c.setActive()
	go func() { _, _ = caller.Write([]byte("GET")) }()
	_, err := c.Read(make([]byte, 1))
	require.NoError(t, err)
	c.setIdle(time.Now())
	require.False(t, c.closeUnread())
	_, err = c.Read(make([]byte, 2))
	require.NoError(t, err)
}

// A request whose header is whole as the wait for it ends is served: reads fail only until then.
func TestExpiredConnectionServesWholeHeader(t *testing.T) {
	server, caller := net.Pipe()
	c := &callerConn{Conn: server, unread: true}
	go func() { _, _ = caller.Write([]byte("GET")) }()
	_, err := c.Read(make([]byte, 3))
	require.NoError(t, err)
	c.expire()
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	c.setActive()
	go func() { _, _ = caller.Write([]byte("x")) }()
	_, err = c.Read(make([]byte, 1))
	require.NoError(t, err)
}
