package launch

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/setup"
)

// output is a buffer that is safe for concurrent use.
type output struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.String()
}

func writeSettings(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

const entrySettings = `{"role": "entry", "name": "e1", "data_centre": "rajkot", // thin VM
	"http": "127.0.0.1:0", "control": ["127.0.0.1:7000"], "metrics": "127.0.0.1:0"}`

func TestMainExitCodes(t *testing.T) {
	file := writeSettings(t, entrySettings)
	for name, test := range map[string]struct {
		role      string
		arguments []string
		serve     error
		want      int
	}{
		"no argument":     {setup.RoleEntry, nil, nil, ExitUsage},
		"no such file":    {setup.RoleEntry, []string{file + "x"}, nil, ExitUsage},
		"another role":    {setup.RoleAgent, []string{file}, nil, ExitUsage},
		"daemon fails":    {setup.RoleEntry, []string{file}, fmt.Errorf("broken"), ExitFailed},
		"daemon finishes": {setup.RoleEntry, []string{file}, nil, ExitStopped},
	} {
		t.Run(name, func(t *testing.T) {
			p := Program{Role: test.role, Arguments: test.arguments, Output: &output{}}
			p.Serve = func(context.Context, host.Host, *setup.Settings) error { return test.serve }
			require.Equal(t, test.want, p.Main())
		})
	}
}

func TestFirstSignalDrainsAndSecondForcesExit(t *testing.T) {
	for name, test := range map[string]struct {
		signals int
		want    int
	}{"one": {1, ExitStopped}, "two": {2, ExitForced}} {
		t.Run(name, func(t *testing.T) {
			signals := make(chan os.Signal, 2)
			log := &output{}
			p := Program{Role: setup.RoleEntry, Arguments: []string{writeSettings(t, entrySettings)}, Output: log, Signals: signals}
			forced := make(chan struct{})
			defer close(forced)
			p.Serve = func(ctx context.Context, _ host.Host, _ *setup.Settings) error {
				signals <- syscall.SIGTERM
				<-ctx.Done()
				if test.signals == 2 {
					signals <- os.Interrupt
					<-forced
				}
				return nil
			}
			require.Equal(t, test.want, p.Main(), log)
			require.Contains(t, log.String(), "event=stopping signal=terminated")
		})
	}
}

func TestMetricsOnPrivateListenerOnly(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	settings := fmt.Sprintf(`{"role": "entry", "name": "e1", "data_centre": "d", "http": "127.0.0.1:0",
		"control": ["127.0.0.1:7000"], "metrics": %q}`, address)
	p := Program{Role: setup.RoleEntry, Arguments: []string{writeSettings(t, settings)}, Output: &output{}}
	p.Serve = func(_ context.Context, h host.Host, _ *setup.Settings) error {
		h.Meter.Add("served", 3)
		response, err := http.Get("http://" + address + "/debug/vars")
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		require.Contains(t, string(body), `"served": 3`)
		return err
	}
	require.Equal(t, ExitStopped, p.Main())
	_, err = net.Dial("tcp", address)
	require.Error(t, err)
}

func TestListenBeyondLoopbackNeedsCertificatesOrOpen(t *testing.T) {
	closed, err := newNetwork(&setup.Settings{})
	require.NoError(t, err)
	_, err = closed.listen("0.0.0.0:0")
	require.ErrorIs(t, err, &Error{Kind: KindExposed})
	open, err := newNetwork(&setup.Settings{AllowPlaintext: true})
	require.NoError(t, err)
	listener, err := open.listen("0.0.0.0:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
}

// issueCertificates writes the files of a new authority and of a certificate that it
// signed, and returns settings that name them.
func issueCertificates(t *testing.T, dir string) *setup.Settings {
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	signed, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	require.NoError(t, err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: authority.NotBefore, NotAfter: authority.NotAfter,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, leaf, authority, &key.PublicKey, authorityKey)
	require.NoError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	write := func(name, kind string, data []byte) string {
		file := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return file
	}
	return &setup.Settings{
		Certificate: write("cert.pem", "CERTIFICATE", certificate),
		Key:         write("key.pem", "EC PRIVATE KEY", private),
		Authority:   write("authority.pem", "CERTIFICATE", signed),
	}
}

func TestMutualTLSAcceptsOnlyOwnAuthority(t *testing.T) {
	own, err := newNetwork(issueCertificates(t, t.TempDir()))
	require.NoError(t, err)
	foreign, err := newNetwork(issueCertificates(t, t.TempDir()))
	require.NoError(t, err)
	// The client trusts the server but presents a certificate of another authority.
	foreignCertificate := &network{tls: &tls.Config{RootCAs: own.tls.RootCAs, Certificates: foreign.tls.Certificates, MinVersion: tls.VersionTLS13}}
	noCertificate := &network{tls: &tls.Config{RootCAs: own.tls.RootCAs, MinVersion: tls.VersionTLS13}}
	listener, err := own.listen("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go echo(listener)
	for name, test := range map[string]struct {
		from *network
		good bool
	}{
		"home": {own, true}, "stranger": {foreign, false}, "impostor": {foreignCertificate, false},
		"nobody": {noCertificate, false}, "plain": {&network{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.good, exchangeBytes(test.from, listener.Addr().String()) == nil)
		})
	}
}

func echo(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(conn, conn)
			_ = conn.Close()
		}()
	}
}

// exchangeBytes dials an echo server and fails if it gets no echo.
func exchangeBytes(n *network, address string) error {
	conn, err := n.dial(context.Background(), address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte("longer than the header of a TLS record")); err != nil {
		return err
	}
	_, err = io.ReadFull(conn, make([]byte, 4))
	return err
}
