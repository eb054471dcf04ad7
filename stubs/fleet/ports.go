package fleet

import (
	"context"
	"net"
	"sync"
)

// Ports assigns a loopback address to each name, so that a complete deployment runs on real
// TCP within one operating system process.
type Ports struct {
	mutex     sync.Mutex
	addresses map[string]string
	listeners map[string]net.Listener
}

// Address returns the loopback address of a name. It reserves the port by listening on it
// until Listen takes the listener over. When no port is free, it returns the name itself.
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

// Listen returns the listener that Address reserved, or opens a new one.
func (p *Ports) Listen(address string) (net.Listener, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if listener, ok := p.listeners[address]; ok {
		delete(p.listeners, address)
		return listener, nil
	}
	return net.Listen("tcp", address)
}

// Dialer returns a function that connects by TCP. The host's name is unused, because all
// hosts share the loopback interface.
func (p *Ports) Dialer(string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		dialer := &net.Dialer{}
		return dialer.DialContext(ctx, "tcp", address)
	}
}
