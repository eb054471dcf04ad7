package fleet

import (
	"context"
	"net"
	"sync"
)

// Ports hands out loopback addresses for the names of hosts, so that a whole
// deployment runs in one process on real TCP.
type Ports struct {
	mutex     sync.Mutex
	addresses map[string]string
	listeners map[string]net.Listener
}

// Address returns the loopback address that stands for a name and keeps its
// port open until Listen takes it over.
func (p *Ports) Address(name string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if address, ok := p.addresses[name]; ok {
		return address
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return name
	}
	if p.addresses == nil {
		p.addresses = map[string]string{}
		p.listeners = map[string]net.Listener{}
	}
	address := listener.Addr().String()
	p.addresses[name] = address
	p.listeners[address] = listener
	return address
}

// Listen accepts connections on an address.
func (p *Ports) Listen(address string) (net.Listener, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if listener, ok := p.listeners[address]; ok {
		delete(p.listeners, address)
		return listener, nil
	}
	return net.Listen("tcp", address)
}

// Dialer returns a dial function; the host's name does not matter here.
func (p *Ports) Dialer(string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		dialer := &net.Dialer{}
		return dialer.DialContext(ctx, "tcp", address)
	}
}
