package vnet

import (
	"net"
	"strings"
	"sync"
)

// listener implements net.Listener.
type listener struct {
	network *Network
	address string
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, &Error{Op: "accept", Kind: KindClosed, Err: net.ErrClosed}
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mutex.Lock()
		delete(l.network.listeners, l.address)
		l.network.mutex.Unlock()
		close(l.done)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

// address is a net.Addr of a Network.
type address string

func (a address) Network() string { return "vnet" }
func (a address) String() string  { return string(a) }

// hostOf returns the host of an address.
func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}
