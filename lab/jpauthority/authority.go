// Package jpauthority creates a certificate authority and issues certificates for
// instances and operators, for tests and experiments.
package jpauthority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"jacinthpass/io/jptls"
)

const (
	certificateLifetime = 24 * time.Hour
	serialBits          = 64
)

// Authority is a certificate authority with a self-signed certificate.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New creates an authority that writes its files to dir.
func New(dir string) (*Authority, error) {
	au := &Authority{dir: dir, cert: template("authority")}
	au.cert.IsCA = true
	au.cert.BasicConstraintsValid = true
	au.cert.KeyUsage = x509.KeyUsageCertSign
	var err error
	if au.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return nil, err
	}
	return au, au.writeCertificate("ca.pem", au.cert, au.key)
}

func template(name string) *x509.Certificate {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	serial, err := rand.Int(rand.Reader, limit)
	if err != nil {
		panic(err) // the system has no random source
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     now.Add(certificateLifetime),
	}
}

// IssueInstance issues a certificate for the instance id with the IP address ip, for
// use as a server and as a client.
func (au *Authority) IssueInstance(id string, ip net.IP) (jptls.Files, error) {
	cert := template(id)
	cert.DNSNames = []string{id}
	cert.IPAddresses = []net.IP{ip}
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return au.issue(id, cert)
}

// IssueOperator issues a client certificate for an operator.
func (au *Authority) IssueOperator(name string) (jptls.Files, error) {
	cert := template(name)
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	return au.issue(name, cert)
}

// IssueExpiredOperator issues a client certificate for an operator that has expired.
func (au *Authority) IssueExpiredOperator(name string) (jptls.Files, error) {
	cert := template(name)
	cert.NotBefore = cert.NotBefore.Add(-2 * certificateLifetime)
	cert.NotAfter = cert.NotAfter.Add(-2 * certificateLifetime)
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	return au.issue(name, cert)
}

func (au *Authority) issue(name string, cert *x509.Certificate) (jptls.Files, error) {
	fs := jptls.Files{
		CA:          filepath.Join(au.dir, "ca.pem"),
		Certificate: filepath.Join(au.dir, name+".pem"),
		Key:         filepath.Join(au.dir, name+".key"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fs, err
	}
	text, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fs, err
	}
	if err := writePEM(fs.Key, "PRIVATE KEY", text); err != nil {
		return fs, err
	}
	return fs, au.writeCertificate(name+".pem", cert, key)
}

// writeCertificate signs a certificate with the authority's key and writes it to a
// file in PEM format.
func (au *Authority) writeCertificate(file string, cert *x509.Certificate, key *ecdsa.PrivateKey) error {
	text, err := x509.CreateCertificate(rand.Reader, cert, au.cert, &key.PublicKey, au.key)
	if err != nil {
		return err
	}
	return writePEM(filepath.Join(au.dir, file), "CERTIFICATE", text)
}

func writePEM(path, kind string, text []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: text}), 0o600)
}
