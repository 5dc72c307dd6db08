// Package testcert issues X.509 certificates for tests.
package testcert

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
	"testing"
	"time"
)

// Authority is a certificate authority.
type Authority struct {
	// CertFile is the path of the authority's certificate.
	CertFile    string
	dir         string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

// NewAuthority returns an authority whose files are removed when the test ends.
func NewAuthority(t *testing.T) *Authority {
	t.Helper()
	a := &Authority{dir: t.TempDir(), key: newKey(t)}
	a.CertFile = filepath.Join(a.dir, "ca.pem")
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		Subject:   pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	requireNoError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	requireNoError(t, err)
	writePEM(t, a.CertFile, "CERTIFICATE", der)
	return a
}

// Issue writes a certificate and its key and returns the paths of both files. The
// common name of the certificate is name, its organizational unit is role, and it
// is valid for 127.0.0.1. A second certificate of a name replaces the first.
func (a *Authority) Issue(t *testing.T, name, role string) (certificate, key string) {
	t.Helper()
	privateKey := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{role}},
		NotBefore:    time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &privateKey.PublicKey, a.key)
	requireNoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(privateKey)
	requireNoError(t, err)
	certificate, key = filepath.Join(a.dir, name+".pem"), filepath.Join(a.dir, name+".key")
	writePEM(t, key, "EC PRIVATE KEY", keyDER)
	writePEM(t, certificate, "CERTIFICATE", der)
	return certificate, key
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	requireNoError(t, err)
	return key
}

func writePEM(t *testing.T, file, blockType string, der []byte) {
	t.Helper()
	content := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	const mode = 0o600
	requireNoError(t, os.WriteFile(file, content, mode))
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
