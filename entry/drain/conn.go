package drain

import (
	"net"
	"net/http"
	"sync"
)

// callerConn is a caller's connection that is closed between two requests or not at all:
// http.Server closes an idle connection also while it reads a request, and would then serve a
// request whose answer it cannot send.
type callerConn struct {
	net.Conn

	mutex sync.Mutex
	// unread is set while nothing of the next request has been read, closed once the drain
	// has closed the connection.
	unread, closed bool
}

// Read implements net.Conn.
func (c *callerConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 {
		return n, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.unread = false
	return n, err
}

// setIdle records that the answer to the last request has been sent.
func (c *callerConn) setIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unread = true
}

// closeUnread closes the connection if nothing of a request has been read.
func (c *callerConn) closeUnread() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.unread {
		c.closed = true
		_ = c.Close()
	}
}

// CloseWrite lets http.Server send an answer before it closes a connection with unread bytes.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return &Error{Op: "close for writing", Kind: KindUnsupported}
}

// SetLinger lets httpc.Reset reset the connection.
func (c *callerConn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return &Error{Op: "set linger", Kind: KindUnsupported}
}

// listener makes each connection a callerConn.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, unread: true}, nil
}

// Track returns a listener whose connections the drain can close. TrackConnection must be the
// ConnState of its server.
func (d *Drain) Track(inner net.Listener) net.Listener { return listener{inner} }

// TrackConnection is the ConnState of the server for callers.
func (d *Drain) TrackConnection(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		c.setIdle()
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(d.connections, c)
		d.signalIdle()
		return
	}
	if d.connections == nil {
		d.connections = map[*callerConn]http.ConnState{}
	}
	d.connections[c] = state
	if state == http.StateIdle && d.closing {
		c.closeUnread()
	}
}

// CloseIdle closes the connections that have no request now, and later each of the others
// after its answer. New connections stay open for their first request.
func (d *Drain) CloseIdle() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.closing = true
	for c, state := range d.connections {
		if state == http.StateIdle {
			c.closeUnread()
		}
	}
}

// CloseUnread closes the connections on which no whole request header has arrived.
func (d *Drain) CloseUnread() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for c, state := range d.connections {
		if state != http.StateActive {
			_ = c.Close()
		}
	}
}
