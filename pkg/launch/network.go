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
	// dialTimeout bounds connecting, including the TLS handshake.
	dialTimeout = 3 * time.Second
	// handshakeTimeout bounds the accepting side of a TLS handshake.
	handshakeTimeout = 5 * time.Second
	// headerTimeout bounds reading the header of a request to the metrics server.
	headerTimeout = 5 * time.Second
)

// network dials and accepts connections between the system's processes, with mutual
// TLS if the settings name certificates.
type network struct {
	// tls is nil without certificates.
	tls *tls.Config
	// allowPlaintext allows listening beyond loopback without certificates.
	allowPlaintext bool
	dialer         net.Dialer
}

func newNetwork(s *setup.Settings) (*network, error) {
	n := &network{allowPlaintext: s.AllowPlaintext, dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}}
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

// Dial returns a function that connects to processes of the system, with mutual TLS if
// the settings name certificates.
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
	if n.tls == nil && !n.allowPlaintext && !isLoopback(address) {
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

// secureListener is a TLS listener with a timeout for handshakes, which crypto/tls
// does not have.
type secureListener struct {
	net.Listener
	config *tls.Config
}

// Accept returns a connection whose handshake takes place at the first read or write,
// so that a slow peer does not delay other connections.
func (l *secureListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &secureConn{Conn: tls.Server(conn, l.config)}, nil
}

// secureConn performs the handshake, with a timeout, before the first read or write.
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

// Read completes the handshake if necessary and reads.
func (c *secureConn) Read(p []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write completes the handshake if necessary and writes.
func (c *secureConn) Write(p []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// serveMetrics starts a server for the daemon's counters on its own listener, if
// address is not empty, and returns a function that closes it.
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
