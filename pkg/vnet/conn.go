package vnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// bufferSize is the number of unread bytes in one direction of a connection from which
// writes block.
const bufferSize = 1 << 20

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	network       *Network
	local, remote string
	in, out       *pipe
	readDeadline  deadline
	writeDeadline deadline
}

// deadline is a read or write deadline that may change while a call is blocked.
type deadline struct {
	mutex   sync.Mutex
	at      time.Time
	changed chan struct{}
}

// get returns the deadline and a channel that is closed when the deadline changes.
func (d *deadline) get() (time.Time, <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.at, d.changed
}

func (d *deadline) set(at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.at = at
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// newPair returns both ends of a new connection.
func (n *Network) newPair(from, to string) (near, far *conn) {
	there := newPipe(n, from, to)
	back := newPipe(n, to, from)
	near = &conn{network: n, local: from, remote: to, in: back, out: there}
	far = &conn{network: n, local: to, remote: from, in: there, out: back}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conns[near] = struct{}{}
	n.conns[far] = struct{}{}
	return near, far
}

// connects reports whether the connection is between the two hosts.
func (c *conn) connects(a, b string) bool {
	return (c.local == a && c.remote == b) || (c.local == b && c.remote == a)
}

func (c *conn) Read(p []byte) (int, error)  { return c.in.read(p, &c.readDeadline) }
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p, &c.writeDeadline) }

func (c *conn) Close() error {
	c.unregister()
	c.in.closeRead(net.ErrClosed)
	c.out.finish(io.EOF)
	return nil
}

func (c *conn) unregister() {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	delete(c.network.conns, c)
}

// silence makes the connection lose all further bytes in both directions.
func (c *conn) silence() {
	c.in.dropAll()
	c.out.dropAll()
}

// crash ends this end of the connection as a lost process or VM does. With reset, the
// peer sees a reset; otherwise it receives nothing more.
func (c *conn) crash(reset bool) {
	c.unregister()
	c.in.closeRead(net.ErrClosed)
	if !reset {
		c.silence()
		c.out.closeWrite()
		return
	}
	c.out.finish(&Error{Op: "read", Kind: KindReset})
}

func (c *conn) LocalAddr() net.Addr  { return address(c.local + ":0") }
func (c *conn) RemoteAddr() net.Addr { return address(c.remote + ":0") }

func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return nil
}

// chunk is data, or the end of the stream with an error, that arrives at a time.
type chunk struct {
	at   time.Time
	data []byte
	end  error
}

// pipe is one direction of a connection, between the hosts from and to.
type pipe struct {
	network  *Network
	from, to string
	mutex    sync.Mutex
	// queue holds the chunks that are in flight or unread.
	queue []chunk
	// buffered is the number of bytes written but not read.
	buffered int
	// dropping means that all further bytes are discarded.
	dropping bool
	// finished makes writes fail.
	finished bool
	// readError, if set, is returned by reads and makes writes fail.
	readError error
	// changed is closed, and replaced, when any of these fields changes.
	changed chan struct{}
}

func newPipe(n *Network, from, to string) *pipe {
	return &pipe{network: n, from: from, to: to, changed: make(chan struct{})}
}

// signal wakes blocked readers and writers. The caller must hold the mutex.
func (p *pipe) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) write(data []byte, limit *deadline) (int, error) {
	for {
		p.mutex.Lock()
		if p.finished || p.readError != nil {
			p.mutex.Unlock()
			return 0, &Error{Op: "write", Kind: KindReset, Err: net.ErrClosed}
		}
		if p.buffered < bufferSize {
			p.enqueue(chunk{at: time.Now().Add(p.network.latency(p.from, p.to)), data: append([]byte(nil), data...)})
			p.mutex.Unlock()
			return len(data), nil
		}
		wake := p.changed
		p.mutex.Unlock()
		if err := wait(wake, nil, time.Time{}, limit); err != nil {
			return 0, err
		}
	}
}

// enqueue adds a chunk, unless the direction drops all. The caller must hold the mutex.
func (p *pipe) enqueue(c chunk) {
	p.buffered += len(c.data)
	if !p.dropping {
		p.queue = append(p.queue, c)
	}
	p.signal()
}

func (p *pipe) read(out []byte, limit *deadline) (int, error) {
	for {
		blocked, healed := p.network.blocked(p.from, p.to)
		p.mutex.Lock()
		if p.readError != nil {
			p.mutex.Unlock()
			return 0, p.readError
		}
		var at time.Time
		if len(p.queue) > 0 && !blocked {
			at = p.queue[0].at
			if !time.Now().Before(at) {
				n, err := p.pop(out)
				p.mutex.Unlock()
				return n, err
			}
		}
		wake := p.changed
		p.mutex.Unlock()
		if err := wait(wake, healed, at, limit); err != nil {
			return 0, err
		}
	}
}

// pop reads from the first chunk, which must have arrived. The caller must hold the
// mutex.
func (p *pipe) pop(out []byte) (int, error) {
	head := &p.queue[0]
	if head.end != nil {
		return 0, head.end
	}
	n := copy(out, head.data)
	head.data = head.data[n:]
	p.buffered -= n
	if len(head.data) == 0 {
		p.queue = p.queue[1:]
	}
	p.signal()
	return n, nil
}

// finish makes reads return end after the bytes already written. Later writes fail.
func (p *pipe) finish(end error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.finished {
		return
	}
	p.finished = true
	p.enqueue(chunk{at: time.Now().Add(p.network.latency(p.from, p.to)), end: end})
}

// closeRead makes reads fail with err immediately, and writes with a reset.
func (p *pipe) closeRead(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.readError == nil {
		p.readError = err
	}
	p.signal()
}

// closeWrite makes writes fail; the reader does not notice it.
func (p *pipe) closeWrite() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.finished = true
	p.signal()
}

// dropAll discards the bytes in flight and all bytes written later.
func (p *pipe) dropAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.dropping = true
	p.queue = nil
	p.signal()
}

// wait blocks until the state of the pipe, the partitions or the deadline may have
// changed, or until the time at, if any. It returns an error when the deadline has
// passed.
func wait(wake, healed <-chan struct{}, at time.Time, limit *deadline) error {
	end, moved := limit.get()
	var arrive, expire <-chan time.Time
	if !at.IsZero() {
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		arrive = timer.C
	}
	if !end.IsZero() {
		if !time.Now().Before(end) {
			return os.ErrDeadlineExceeded
		}
		timer := time.NewTimer(time.Until(end))
		defer timer.Stop()
		expire = timer.C
	}
	select {
	case <-wake:
	case <-healed:
	case <-arrive:
	case <-moved:
	case <-expire:
		return os.ErrDeadlineExceeded
	}
	return nil
}
