package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"flag"
	"net"
	"os"

	"github.com/rotisserie/eris"
)

// TLSFiles name the certificate files of a daemon. All empty means plain TCP,
// which is accepted on loopback only.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string

	config fileValue[tls.Config]
}

// Register adds the flags to a set.
func (f *TLSFiles) Register(fs *flag.FlagSet) {
	fs.StringVar(&f.Certificate, "tls-cert", "", "file of this daemon's certificate")
	fs.StringVar(&f.Key, "tls-key", "", "file of this daemon's private key")
	fs.StringVar(&f.Authority, "tls-ca", "", "file of the authority that signs all daemons' certificates")
}

// Enabled reports whether certificate files are set.
func (f *TLSFiles) Enabled() bool {
	return f.Certificate != ""
}

// Check reports incomplete or unreadable files, and plain TCP off loopback.
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

// checkLoopback reports an address off loopback, for which a setting must name
// a certificate.
func checkLoopback(setting, address string) error {
	if !isLoopback(address) {
		return NewSettingError(setting, "is missing; without certificates only loopback addresses are accepted, not "+address)
	}
	return nil
}

// isLoopback reports whether an address and port is on loopback.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// Config returns the current mutual TLS configuration. It reads the files
// again when one of them has changed, and keeps the last good configuration
// when the new files are damaged.
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

// Listener wraps a listener with mutual TLS when certificate files are set.
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

// ClientConfigSource returns the source of configurations for outgoing connections,
// or nil for plain TCP.
func (f *TLSFiles) ClientConfigSource() func() *tls.Config {
	if !f.Enabled() {
		return nil
	}
	return f.Config
}

// LoadClientConfig returns the configuration of a command that ends soon: the authority
// to trust and, when set, the certificate to show. It is nil when no file is
// set.
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

// loadAuthority reads the certificates of an authority.
func loadAuthority(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("no certificate in %s", file)
	}
	return pool, nil
}
