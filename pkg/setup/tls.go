package setup

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// Secure reports whether the settings name a certificate, its key and an authority, so
// that connections between the system's processes use mutual TLS.
func (s *Settings) Secure() bool { return s.Certificate != "" && s.Key != "" && s.Authority != "" }

// TLS returns the TLS configuration for both ends of a connection between two
// processes of the system. Each end presents its certificate and verifies that an
// authority named in the settings signed the peer's certificate.
func (s *Settings) TLS() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, &Error{Op: "load certificate", Kind: KindCertificate, Err: err}
	}
	pool, err := s.authorities()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

func (s *Settings) authorities() (*x509.CertPool, error) {
	text, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, &Error{Op: "load authority", Kind: KindCertificate, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &Error{Op: "load authority", Kind: KindCertificate, Err: fmt.Errorf("no certificate in the file")}
	}
	return pool, nil
}

// checkCertificates loads the certificate files, so that an unusable file is reported
// when the daemon starts.
func (c *checker) checkCertificates() {
	s := c.settings
	if s.Certificate == "" && s.Key == "" && s.Authority == "" {
		return
	}
	if !s.Secure() {
		c.fail("certificate", "certificate, key and authority go together")
		return
	}
	if _, err := tls.LoadX509KeyPair(s.Certificate, s.Key); err != nil {
		c.fail("certificate", "cannot be used with the key: %v", err)
	}
	if _, err := s.authorities(); err != nil {
		c.fail("authority", "%v", err)
	}
}
