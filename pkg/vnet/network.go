// Package vnet is an in-memory network for tests. It simulates latency between hosts,
// network partitions, connections that lose all packets, crashed processes and lost
// VMs. It works in virtual time in a synctest bubble.
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

// retransmitDelay is the delay before the first retransmission of a lost SYN, as in
// Linux.
const retransmitDelay = time.Second

// Network connects named hosts. The host of an address is its part before the colon.
type Network struct {
	// Latency returns the one-way latency between two hosts; nil means zero.
	Latency func(from, to string) time.Duration

	mutex     sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cut       map[pair]bool
	// cutChanged is closed, and replaced, when cut changes.
	cutChanged chan struct{}
}

// pair is one direction between two hosts.
type pair struct{ from, to string }

// New returns a network without latency and partitions.
func New() *Network {
	return &Network{
		listeners:  map[string]*listener{},
		conns:      map[*conn]struct{}{},
		cut:        map[pair]bool{},
		cutChanged: make(chan struct{}),
	}
}

// Dialer returns the dial function of a host.
func (n *Network) Dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return n.dial(ctx, from, address)
	}
}

// Listen returns a listener on an address.
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
	if err := n.awaitRoundTrip(ctx, from, to); err != nil {
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

// awaitRoundTrip waits for one round trip, as for a TCP handshake. During a partition
// the SYN is lost; it is retransmitted after retransmitDelay, which doubles each time.
func (n *Network) awaitRoundTrip(ctx context.Context, from, to string) error {
	retransmit := retransmitDelay
	for {
		there, _ := n.blocked(from, to)
		back, _ := n.blocked(to, from)
		open := !there && !back
		wait := n.latency(from, to) + n.latency(to, from)
		if !open {
			wait = retransmit
			retransmit *= 2
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

// blocked reports whether a direction is cut, and returns a channel that is closed when
// any cut changes.
func (n *Network) blocked(from, to string) (bool, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cut[pair{from, to}], n.cutChanged
}

// Cut delays all bytes from one host to another until Heal, without any error.
func (n *Network) Cut(from, to string) { n.setCut(from, to, true) }

// Heal ends Cut. The delayed bytes arrive, as after retransmission by TCP.
func (n *Network) Heal(from, to string) { n.setCut(from, to, false) }

func (n *Network) setCut(from, to string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[pair{from, to}] = cut
	close(n.cutChanged)
	n.cutChanged = make(chan struct{})
}

// Isolate cuts the connection between a host and the others in both directions until
// Rejoin.
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

// Silence makes every open connection between two hosts lose all further bytes
// permanently. New connections work.
func (n *Network) Silence(a, b string) {
	for _, c := range n.connsMatching(func(c *conn) bool { return c.connects(a, b) }) {
		c.silence()
	}
}

// Crash ends all connections and listeners of a host as if its process were killed: the
// peers see a reset.
func (n *Network) Crash(host string) {
	n.closeListeners(host)
	for _, c := range n.connsMatching(func(c *conn) bool { return c.local == host }) {
		c.crash(true)
	}
}

// LoseHost ends all connections and listeners of a host as if its VM were lost: the
// peers receive nothing.
func (n *Network) LoseHost(host string) {
	n.closeListeners(host)
	for _, c := range n.connsMatching(func(c *conn) bool { return c.local == host }) {
		c.crash(false)
	}
}

// connsMatching returns the open connection ends that match.
func (n *Network) connsMatching(match func(*conn) bool) []*conn {
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
