package launch

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/setup"
)

const (
	// dialTimeout bounds connecting, the TLS handshake included.
	dialTimeout = 3 * time.Second
	// handshakeTimeout bounds the accepting side of a TLS handshake.
	handshakeTimeout = 5 * time.Second
	// headerTimeout bounds reading the header of a request for metrics.
	headerTimeout = 5 * time.Second
)

// network connects to and accepts other processes of the system as the
// settings allow.
type network struct {
	// tls is nil without certificates.
	tls *tls.Config
	// open allows listening beyond loopback without certificates.
	open   bool
	dialer net.Dialer
}

func newNetwork(s *setup.Settings) (*network, error) {
	n := &network{open: s.AllowPlaintext, dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}}
	if !s.Secure() {
		return n, nil
	}
	config, err := s.TLS()
	if err != nil {
		return nil, err
	}
	n.tls = config
	return n, nil
}

// Dial returns a function that connects to the system's processes as the
// settings' certificates say.
func Dial(s *setup.Settings) (func(ctx context.Context, address string) (net.Conn, error), error) {
	n, err := newNetwork(s)
	if err != nil {
		return nil, err
	}
	return n.dial, nil
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := n.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{Op: "dial " + address, Kind: KindDial, Err: err}
	}
	if n.tls == nil {
		return conn, nil
	}
	return n.handshake(ctx, conn, address)
}

func (n *network) handshake(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
	config := n.tls.Clone()
	config.ServerName, _, _ = net.SplitHostPort(address)
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, &Error{Op: "dial " + address, Kind: KindCertificate, Err: err}
	}
	return secured, nil
}

func (n *network) listen(address string) (net.Listener, error) {
	if n.tls == nil && !n.open && !isLoopback(address) {
		return nil, &Error{Op: "listen " + address, Kind: KindExposed}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen " + address, Kind: KindListen, Err: err}
	}
	if n.tls == nil {
		return listener, nil
	}
	return &secureListener{Listener: listener, config: n.tls}, nil
}

func isLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}

// secureListener bounds the time of each handshake; crypto/tls does not.
type secureListener struct {
	net.Listener
	config *tls.Config
}

// Accept returns a connection whose handshake takes place at the first read,
// so that a slow peer holds up nobody else.
func (l *secureListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &secureConn{Conn: tls.Server(conn, l.config)}, nil
}

// secureConn performs a bounded handshake before the first byte.
type secureConn struct {
	*tls.Conn
	once sync.Once
	err  error
}

func (c *secureConn) handshake() error {
	c.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		if err := c.HandshakeContext(ctx); err != nil {
			c.err = &Error{Op: "accept", Kind: KindCertificate, Err: err}
		}
	})
	return c.err
}

// Read reads from the other process once its certificate is accepted.
func (c *secureConn) Read(p []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write writes to the other process once its certificate is accepted.
func (c *secureConn) Write(p []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// serveMetrics shows the daemon's counters on the private listener only and
// returns what ends it.
func serveMetrics(h host.Host, address string) (func(), error) {
	if address == "" {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen for metrics on " + address, Kind: KindListen, Err: err}
	}
	router := httprouter.New()
	router.Handler(http.MethodGet, "/debug/vars", h.Meter.Handler())
	server := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	h.Log.Write("metrics-listening", "address", listener.Addr())
	return func() { _ = server.Close() }, nil
}
