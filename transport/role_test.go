package transport

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// certificateAuthority signs certificates for tests.
type certificateAuthority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	pool        *x509.CertPool
}

func newAuthority(t *testing.T) *certificateAuthority {
	t.Helper()
	g := NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &certificateAuthority{key, certificate, pool}
}

// config returns the mutual TLS configuration of a daemon with a role.
func (a *certificateAuthority) config(t *testing.T, role Role) *tls.Config {
	t.Helper()
	g := NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{OrganizationalUnit: []string{string(role)}},
		NotBefore:    time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	g.Expect(err).NotTo(HaveOccurred())
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      a.pool,
		ClientCAs:    a.pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
}

// serveTLS starts a server with a role that echoes envelopes of entries only.
func serveTLS(t *testing.T, a *certificateAuthority, role Role) string {
	t.Helper()
	listener := listen(t)
	server := NewServer(&Identity{ID: "server"}, func(class Class, stream *Stream) {
		if stream.HasRole(RoleEntry) {
			echo(class, stream)
		}
	})
	done := make(chan error, 1)
	config := a.config(t, role)
	go func() { done <- server.Serve(tls.NewListener(listener, config)) }()
	t.Cleanup(func() {
		server.Close()
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String()
}

func TestCertificatesGrantRoles(t *testing.T) {
	trusted, foreign := newAuthority(t), newAuthority(t)
	sidecar := serveTLS(t, trusted, RoleSidecar)
	tests := []struct {
		name     string
		config   *tls.Config
		class    Class
		accepted bool
	}{
		{"an entry's online request", trusted.config(t, RoleEntry), Online, true},
		{"a sidecar's online request", trusted.config(t, RoleSidecar), Online, false},
		{"a sidecar that acts as control", trusted.config(t, RoleEntry), Control, false},
		{"a foreign authority's certificate", foreign.config(t, RoleEntry), Online, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := NewClient(&Identity{ID: "client"}, func() *tls.Config { return test.config })
			defer client.Close()
			NewWithT(t).Expect(exchangeOnce(client, test.class, sidecar) == nil).To(Equal(test.accepted))
		})
	}
}

func exchangeOnce(client *Client, class Class, address string) error {
	stream, err := client.Open(context.Background(), class, address)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Send(dataEnvelope("x")); err != nil {
		return err
	}
	_, err = stream.Receive()
	return err
}

func TestPlainClientIsRefusedByATLSServer(t *testing.T) {
	client := NewClient(&Identity{ID: "client"}, nil)
	defer client.Close()
	address := serveTLS(t, newAuthority(t), RoleSidecar)
	NewWithT(t).Expect(exchangeOnce(client, Online, address)).NotTo(Succeed())
}
