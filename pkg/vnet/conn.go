package vnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// bufferSize is how many bytes one direction holds before a writer waits.
const bufferSize = 1 << 20

// conn is one end of a connection.
type conn struct {
	network       *Network
	local, remote string
	in, out       *pipe
	readLimit     deadline
	writeLimit    deadline
}

// deadline is a time that a waiting reader or writer watches.
type deadline struct {
	mutex   sync.Mutex
	at      time.Time
	changed chan struct{}
}

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

func (c *conn) joins(a, b string) bool {
	return (c.local == a && c.remote == b) || (c.local == b && c.remote == a)
}

func (c *conn) Read(p []byte) (int, error)  { return c.in.read(p, &c.readLimit) }
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p, &c.writeLimit) }

func (c *conn) Close() error {
	c.forget()
	c.in.stop(net.ErrClosed)
	c.out.finish(io.EOF)
	return nil
}

func (c *conn) forget() {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	delete(c.network.conns, c)
}

func (c *conn) silence() {
	c.in.lose()
	c.out.lose()
}

func (c *conn) crash(reset bool) {
	c.forget()
	c.in.stop(net.ErrClosed)
	if !reset {
		c.silence()
		c.out.stopWriting()
		return
	}
	c.out.finish(&Error{Op: "read", Kind: KindReset})
}

func (c *conn) LocalAddr() net.Addr  { return address(c.local + ":0") }
func (c *conn) RemoteAddr() net.Addr { return address(c.remote + ":0") }

func (c *conn) SetDeadline(t time.Time) error {
	c.readLimit.set(t)
	c.writeLimit.set(t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.readLimit.set(t)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeLimit.set(t)
	return nil
}

// chunk is bytes, or the end of the stream, that arrive at a time.
type chunk struct {
	at   time.Time
	data []byte
	end  error
}

// pipe is one direction of a connection.
type pipe struct {
	network  *Network
	from, to string
	mutex    sync.Mutex
	queue    []chunk
	held     int
	lost     bool
	finished bool
	stopped  error
	wake     chan struct{}
}

func newPipe(n *Network, from, to string) *pipe {
	return &pipe{network: n, from: from, to: to, wake: make(chan struct{})}
}

func (p *pipe) signal() {
	close(p.wake)
	p.wake = make(chan struct{})
}

func (p *pipe) write(data []byte, limit *deadline) (int, error) {
	for {
		p.mutex.Lock()
		if p.finished || p.stopped != nil {
			p.mutex.Unlock()
			return 0, &Error{Op: "write", Kind: KindReset, Err: net.ErrClosed}
		}
		if p.held < bufferSize {
			p.push(chunk{at: time.Now().Add(p.network.latency(p.from, p.to)), data: append([]byte(nil), data...)})
			p.mutex.Unlock()
			return len(data), nil
		}
		wake := p.wake
		p.mutex.Unlock()
		if err := wait(wake, nil, time.Time{}, limit); err != nil {
			return 0, err
		}
	}
}

func (p *pipe) push(c chunk) {
	p.held += len(c.data)
	if !p.lost {
		p.queue = append(p.queue, c)
	}
	p.signal()
}

func (p *pipe) read(out []byte, limit *deadline) (int, error) {
	for {
		blocked, healed := p.network.blocked(p.from, p.to)
		p.mutex.Lock()
		if p.stopped != nil {
			p.mutex.Unlock()
			return 0, p.stopped
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
		wake := p.wake
		p.mutex.Unlock()
		if err := wait(wake, healed, at, limit); err != nil {
			return 0, err
		}
	}
}

func (p *pipe) pop(out []byte) (int, error) {
	head := &p.queue[0]
	if head.end != nil {
		return 0, head.end
	}
	n := copy(out, head.data)
	head.data = head.data[n:]
	p.held -= n
	if len(head.data) == 0 {
		p.queue = p.queue[1:]
	}
	p.signal()
	return n, nil
}

// finish ends the direction after the bytes already written.
func (p *pipe) finish(end error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.finished {
		return
	}
	p.finished = true
	p.push(chunk{at: time.Now().Add(p.network.latency(p.from, p.to)), end: end})
}

// stop ends the reading side at once.
func (p *pipe) stop(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.stopped == nil {
		p.stopped = err
	}
	p.signal()
}

func (p *pipe) stopWriting() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.finished = true
	p.signal()
}

// lose drops what is under way and all that follows.
func (p *pipe) lose() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lost = true
	p.queue = nil
	p.signal()
}

// wait returns nil when something may have changed, or the deadline's error.
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
