package drain

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxKeepAlive is the time for which answers announce that their connection stays
	// open. A stop without other requests lasts about as long.
	maxKeepAlive = 5 * time.Second
	// latencyReserve is how much longer a connection stays open: the announced time begins
	// when the caller has the answer, and its next request takes time to arrive.
	latencyReserve = time.Second
	// maxFirstRequestDelay is how long a stopping entry waits for the first request on a
	// connection that it has accepted. Callers send it as soon as the connection is open.
	maxFirstRequestDelay = 500 * time.Millisecond
)

// callerConn is a caller's connection that is closed between two requests or not at all:
// http.Server closes an idle connection also while it reads a request, and would then serve a
// request whose answer it cannot send.
type callerConn struct {
	net.Conn

	mutex sync.Mutex
	// unread is set while no request is served and nothing of the next one has been read,
	// closed once the drain has closed the connection.
	unread, closed bool
	// active is set while a request is served. early is set if the start of the next request
	// has been read meanwhile.
	active, early bool
	// expired is set once the rest of a request header is not waited for any more.
	expired bool
	// heldUntil is the time until which a caller may use the idle connection.
	heldUntil time.Time
}

// NetConn returns the connection inside.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

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
	// http.Server reads a single byte while it serves a request whose body it has read.
	c.early = c.active && len(data) == 1
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// setActive records that a whole request header has been read.
func (c *callerConn) setActive() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active, c.early, c.unread = true, false, false
	if c.expired {
		c.expired = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// setIdle records that the answer to the last request has been sent, and until when the
// connection is held for the next one.
func (c *callerConn) setIdle(heldUntil time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active = false
	c.unread = !c.early
	c.heldUntil = heldUntil
}

// closeUnread closes the connection if nothing of a request has been read, and reports
// whether it did.
func (c *callerConn) closeUnread() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.unread || c.closed {
		return false
	}
	c.closed = true
	_ = c.Close()
	return true
}

// expire ends the wait for the rest of a request header. A header that is whole is served.
func (c *callerConn) expire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.active || c.unread {
		return
	}
	c.expired = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
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
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(d.connections, c)
		d.signalIdle()
		return
	}
	if d.connections == nil {
		d.connections = map[*callerConn]uint64{}
	}
	// A release that was scheduled before this change of state has no effect.
	d.changes++
	d.connections[c] = d.changes
	switch state {
	case http.StateActive:
		c.setActive()
	case http.StateIdle:
		c.setIdle(time.Now().Add(d.keepAlive() + latencyReserve))
		if d.closing {
			d.scheduleRelease(c)
		}
	}
}

// keepAlive returns the time for which an idle connection may be used after an answer. The
// shortest time that a process may run after Begin honours it.
func (d *Drain) keepAlive() time.Duration {
	if d.Grace == 0 {
		return maxKeepAlive
	}
	return max(min(maxKeepAlive, (d.Grace-latencyReserve).Truncate(time.Second)), 0)
}

// CloseIdle closes each connection once its caller may not use it any more, at the latest when
// the process exits. It is called when no more connections are accepted. The first request
// on a connection is awaited briefly.
func (d *Drain) CloseIdle() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.closing = true
	firstRequest := time.Now().Add(maxFirstRequestDelay)
	for c := range d.connections {
		c.holdUntil(firstRequest)
		d.scheduleRelease(c)
	}
}

// holdUntil sets the end of the time for a first request.
func (c *callerConn) holdUntil(end time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.heldUntil.IsZero() {
		c.heldUntil = end
	}
}

// releaseTime returns when the connection is closed unless it is used before.
func (c *callerConn) releaseTime() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.heldUntil
}

// after calls do after a delay. Timers with a duration of zero can crash the runtime in
// synctest bubbles.
func after(delay time.Duration, do func()) { time.AfterFunc(max(delay, time.Nanosecond), do) }

// scheduleRelease closes a connection without a request when its time ends. The caller holds
// the mutex.
func (d *Drain) scheduleRelease(c *callerConn) {
	change := d.connections[c]
	end := c.releaseTime()
	if !d.exitTime.IsZero() && d.exitTime.Before(end) {
		end = d.exitTime
	}
	after(time.Until(end), func() { d.release(c, change) })
}

// release closes a connection on which nothing has been read, or limits the time of a request
// header of which a part has been read.
func (d *Drain) release(c *callerConn, change uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.connections[c] != change {
		return
	}
	if c.closeUnread() {
		d.closedIdle++
		return
	}
	if d.HeaderTimeout > 0 {
		after(d.HeaderTimeout, func() { d.expire(c, change) })
	}
}

// expire ends the wait for a request header that has not arrived in time.
func (d *Drain) expire(c *callerConn, change uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.connections[c] == change {
		c.expire()
	}
}

// releaseAll closes the connections without a request when the process exits.
func (d *Drain) releaseAll() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for c := range d.connections {
		if c.closeUnread() {
			d.closedIdle++
		} else {
			c.expire()
		}
	}
}
