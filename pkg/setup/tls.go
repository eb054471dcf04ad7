package setup

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// Secure reports whether the settings name certificates.
func (s *Settings) Secure() bool { return s.Certificate != "" && s.Key != "" && s.Authority != "" }

// TLS returns the configuration of both ends of a connection between two
// processes of the system: each shows its certificate and checks that an
// authority of the settings signed the other's.
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

// checkCertificates tries the files, so that a bad one shows at the start.
func (k *checker) checkCertificates() {
	s := k.setup
	if s.Certificate == "" && s.Key == "" && s.Authority == "" {
		return
	}
	if !s.Secure() {
		k.fail("certificate", "certificate, key and authority go together")
		return
	}
	if _, err := tls.LoadX509KeyPair(s.Certificate, s.Key); err != nil {
		k.fail("certificate", "cannot be used with the key: %v", err)
	}
	if _, err := s.authorities(); err != nil {
		k.fail("authority", "%v", err)
	}
}
