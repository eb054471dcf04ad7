// Package vnet is an in-memory network for tests: latency between data
// centres, silent partitions, connections that go silent for good, and
// crashes. It runs in virtual time inside a synctest bubble.
package vnet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindRefused Kind = "connection refused"
	KindTimeout Kind = "connection timed out"
	KindReset   Kind = "connection reset"
	KindInUse   Kind = "address in use"
	KindClosed  Kind = "closed"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// retransmitDelay is when a lost opening packet is sent again first, as Linux
// does.
const retransmitDelay = time.Second

// Network connects named hosts. Every address "host:port" belongs to the host
// before the colon.
type Network struct {
	// Latency returns the time one way between two hosts; nil means none.
	Latency func(from, to string) time.Duration

	mutex     sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cut       map[pair]bool
	changed   chan struct{}
}

// pair is one direction between two hosts.
type pair struct{ from, to string }

// New returns a network without partitions.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{},
		conns:     map[*conn]struct{}{},
		cut:       map[pair]bool{},
		changed:   make(chan struct{}),
	}
}

// Dialer returns a dial function for a host.
func (n *Network) Dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return n.dial(ctx, from, address)
	}
}

// Listen accepts connections to an address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.listeners[address] != nil {
		return nil, &Error{Op: "listen " + address, Kind: KindInUse}
	}
	l := &listener{network: n, address: address, queue: make(chan net.Conn, 128), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to := hostOf(address)
	if err := n.reach(ctx, from, to); err != nil {
		return nil, err
	}
	n.mutex.Lock()
	target := n.listeners[address]
	n.mutex.Unlock()
	if target == nil {
		return nil, &Error{Op: "dial " + address, Kind: KindRefused}
	}
	near, far := n.newPair(from, to)
	select {
	case target.queue <- far:
	case <-target.done:
		return nil, &Error{Op: "dial " + address, Kind: KindRefused}
	case <-ctx.Done():
		return nil, &Error{Op: "dial " + address, Kind: KindTimeout, Err: ctx.Err()}
	}
	return near, nil
}

// reach waits for one round trip. An opening packet that meets a partition is
// lost and sent again after retransmitDelay, then after twice that, and so on.
func (n *Network) reach(ctx context.Context, from, to string) error {
	again := retransmitDelay
	for {
		there, _ := n.blocked(from, to)
		back, _ := n.blocked(to, from)
		open := !there && !back
		wait := n.latency(from, to) + n.latency(to, from)
		if !open {
			wait = again
			again *= 2
		}
		if !pause.For(ctx, wait) {
			return &Error{Op: "dial " + to, Kind: KindTimeout, Err: ctx.Err()}
		}
		if open {
			return nil
		}
	}
}

func (n *Network) latency(from, to string) time.Duration {
	if n.Latency == nil {
		return 0
	}
	return n.Latency(from, to)
}

func (n *Network) blocked(from, to string) (bool, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cut[pair{from, to}], n.changed
}

// Cut holds back all bytes from one host to another, silently, until Heal.
func (n *Network) Cut(from, to string) { n.setCut(from, to, true) }

// Heal ends Cut; bytes held back arrive, as TCP would send them again.
func (n *Network) Heal(from, to string) { n.setCut(from, to, false) }

func (n *Network) setCut(from, to string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[pair{from, to}] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// Isolate cuts a host off from the others in both directions; Rejoin heals.
func (n *Network) Isolate(host string, others ...string) {
	for _, other := range others {
		n.Cut(host, other)
		n.Cut(other, host)
	}
}

// Rejoin ends Isolate.
func (n *Network) Rejoin(host string, others ...string) {
	for _, other := range others {
		n.Heal(host, other)
		n.Heal(other, host)
	}
}

// Silence makes every open connection between two hosts lose all further
// bytes for good, while new connections work.
func (n *Network) Silence(a, b string) {
	for _, c := range n.between(func(c *conn) bool { return c.joins(a, b) }) {
		c.silence()
	}
}

// Crash ends every connection and listener of a host as a killed process
// does: the other ends see a reset.
func (n *Network) Crash(host string) {
	n.closeListeners(host)
	for _, c := range n.between(func(c *conn) bool { return c.local == host }) {
		c.crash(true)
	}
}

// LoseHost ends every connection and listener of a host as a lost VM does: the
// other ends hear nothing.
func (n *Network) LoseHost(host string) {
	n.closeListeners(host)
	for _, c := range n.between(func(c *conn) bool { return c.local == host }) {
		c.crash(false)
	}
}

func (n *Network) between(match func(*conn) bool) []*conn {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var found []*conn
	for c := range n.conns {
		if match(c) {
			found = append(found, c)
		}
	}
	return found
}

func (n *Network) closeListeners(host string) {
	n.mutex.Lock()
	var found []*listener
	for address, l := range n.listeners {
		if hostOf(address) == host {
			found = append(found, l)
		}
	}
	n.mutex.Unlock()
	for _, l := range found {
		_ = l.Close()
	}
}
