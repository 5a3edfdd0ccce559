// Package jptls provides mutual TLS between instances and operators: both ends of a
// connection present a certificate issued by the site's own authority.
package jptls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
)

// Files names PEM files. All names are empty if TLS is not used.
type Files struct {
	CA          string // certificates of the trusted authorities
	Certificate string // own certificate, followed by intermediate ones
	Key         string // key of the own certificate
}

// Enabled reports whether TLS is used.
func (fs Files) Enabled() bool { return fs != Files{} }

// Load returns settings for both ends of a connection, nil if TLS is not used.
// The accepting end requires a certificate.
func (fs Files) Load() (*tls.Config, error) {
	if !fs.Enabled() {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(fs.Certificate, fs.Key)
	if err != nil {
		return nil, fmt.Errorf("tls: certificate %q and key %q: %w", fs.Certificate, fs.Key, err)
	}
	text, err := os.ReadFile(fs.CA)
	if err != nil {
		return nil, fmt.Errorf("tls: ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("tls: ca %q holds no certificate", fs.CA)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"http/1.1"}, // the WebSocket handshake requires it
	}, nil
}

// CertificateError is returned if the certificate of the other end is not valid for
// the instance that it claims to be.
type CertificateError struct {
	ID  string
	Err error
}

func (ce *CertificateError) Error() string {
	return fmt.Sprintf("not the certificate of instance %s: %v", ce.ID, ce.Err)
}

func (ce *CertificateError) Unwrap() error { return ce.Err }

// CheckInstance returns a CertificateError unless a verified certificate belongs to the
// instance id: its common name or one of its DNS names is the id, and it may be
// used by servers. Certificates of operators are for clients only, so that an
// operator cannot impersonate an instance.
func CheckInstance(cert *x509.Certificate, id string) error {
	if cert.Subject.CommonName != id && !slices.Contains(cert.DNSNames, id) {
		return &CertificateError{id, fmt.Errorf("it names %q", cert.Subject.CommonName)}
	}
	uses := cert.ExtKeyUsage
	if len(uses) == 0 && len(cert.UnknownExtKeyUsage) == 0 ||
		slices.Contains(uses, x509.ExtKeyUsageAny) || slices.Contains(uses, x509.ExtKeyUsageServerAuth) {
		return nil
	}
	return &CertificateError{id, errors.New("it is for clients only")}
}

// ClientConfigFor returns a copy of cfg for dialling the instance id. The certificate
// need not contain the dialled address.
func ClientConfigFor(cfg *tls.Config, id string) *tls.Config {
	cfg = cfg.Clone()
	// The standard verification compares the address. VerifyConnection, which
	// runs also with this setting, verifies the chain and compares the id.
	cfg.InsecureSkipVerify = true
	cfg.VerifyConnection = func(cs tls.ConnectionState) error {
		leaf := cs.PeerCertificates[0]
		opts := x509.VerifyOptions{Roots: cfg.RootCAs, Intermediates: x509.NewCertPool()}
		for _, cert := range cs.PeerCertificates[1:] {
			opts.Intermediates.AddCert(cert)
		}
		if _, err := leaf.Verify(opts); err != nil {
			return &CertificateError{id, err}
		}
		return CheckInstance(leaf, id)
	}
	return cfg
}
