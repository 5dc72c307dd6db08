package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"flag"
	"net"
	"os"

	"github.com/rotisserie/eris"
)

// TLSFiles names the files of a daemon's certificate, its private key, and the
// certificate authority. If all are empty, connections are unencrypted, which
// is accepted on loopback only.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string

	config fileValue[tls.Config]
}

// Register adds the flags to a flag set.
func (f *TLSFiles) Register(fs *flag.FlagSet) {
	fs.StringVar(&f.Certificate, "tls-cert", "", "file with the certificate of this process")
	fs.StringVar(&f.Key, "tls-key", "", "file with the private key of this process")
	fs.StringVar(&f.Authority, "tls-ca", "", "file of the authority that signs all daemons' certificates")
}

// Enabled reports whether a certificate file is set.
func (f *TLSFiles) Enabled() bool {
	return f.Certificate != ""
}

// Check returns an error if files are missing or invalid, or if no files are
// set and listen is not a loopback address.
func (f *TLSFiles) Check(listen string) error {
	if !f.Enabled() {
		return checkLoopback("tls-cert", listen)
	}
	if f.Key == "" {
		return NewSettingError("tls-key", "is missing although -tls-cert is set")
	}
	if f.Authority == "" {
		return NewSettingError("tls-ca", "is missing although -tls-cert is set")
	}
	if _, err := f.load(); err != nil {
		return NewSettingError("tls-cert", err.Error())
	}
	return nil
}

// checkLoopback returns an error if an address is not on loopback, since then
// the setting must name a certificate.
func checkLoopback(setting, address string) error {
	if !isLoopback(address) {
		return NewSettingError(setting, "is missing; without certificates only loopback addresses are accepted, not "+address)
	}
	return nil
}

// isLoopback reports whether an address with a port is a loopback address.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// Config returns the current mutual TLS configuration. It loads the files again
// when one of them has changed, and keeps the last valid configuration if the
// new files are invalid.
func (f *TLSFiles) Config() *tls.Config {
	return f.config.get(f.load, f.Certificate, f.Key, f.Authority)
}

func (f *TLSFiles) load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, eris.Wrap(err, "load certificate")
	}
	pool, err := loadAuthority(f.Authority)
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

// Listener wraps a listener with mutual TLS if certificate files are set.
func (f *TLSFiles) Listener(inner net.Listener) net.Listener {
	if !f.Enabled() {
		return inner
	}
	return tls.NewListener(inner, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return f.Config(), nil
		},
	})
}

// ClientConfigSource returns a function that returns the current configuration
// for outgoing connections, or nil if they are unencrypted.
func (f *TLSFiles) ClientConfigSource() func() *tls.Config {
	if !f.Enabled() {
		return nil
	}
	return f.Config
}

// LoadClientConfig loads the TLS configuration of a short-lived client: the
// certificate authority to trust and, if set, the client certificate. It
// returns nil if no file is set. The files are not loaded again when they
// change.
func (f *TLSFiles) LoadClientConfig() (*tls.Config, error) {
	if !f.Enabled() && f.Authority == "" {
		return nil, nil
	}
	pool, err := loadAuthority(f.Authority)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	if !f.Enabled() {
		return config, nil
	}
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, eris.Wrap(err, "load certificate")
	}
	config.Certificates = []tls.Certificate{pair}
	return config, nil
}

// loadAuthority loads the certificates of a certificate authority.
func loadAuthority(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("no PEM certificate in certificate authority file %s", file)
	}
	return pool, nil
}
