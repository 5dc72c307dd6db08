package daemon

import (
	"crypto/tls"
	"flag"
	"net"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
)

// HTTPTLSFiles names the files of the certificate that a daemon presents on its
// HTTP interface, and of its private key. If both are empty, the daemon
// presents the certificate of its TLSFiles, if set.
type HTTPTLSFiles struct {
	Certificate string
	Key         string
	certificate fileValue[tls.Certificate]
}

// Register adds the flags to a flag set.
func (f *HTTPTLSFiles) Register(fs *flag.FlagSet) {
	fs.StringVar(&f.Certificate, "http-tls-cert", "", "file of the certificate of the HTTP interface; empty uses -tls-cert")
	fs.StringVar(&f.Key, "http-tls-key", "", "file of the private key of -http-tls-cert")
}

// Enabled reports whether a certificate file is set.
func (f *HTTPTLSFiles) Enabled() bool {
	return f.Certificate != ""
}

func (f *HTTPTLSFiles) check() error {
	if f.Enabled() && f.Key == "" {
		return NewSettingError("http-tls-key", "is missing although -http-tls-cert is set")
	}
	if !f.Enabled() && f.Key != "" {
		return NewSettingError("http-tls-cert", "is missing although -http-tls-key is set")
	}
	if !f.Enabled() {
		return nil
	}
	if _, err := f.load(); err != nil {
		return NewSettingError("http-tls-cert", err.Error())
	}
	return nil
}

func (f *HTTPTLSFiles) load() (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, eris.Wrap(err, "load certificate and private key")
	}
	return &pair, nil
}

// current returns the certificate of the current files, or the last valid one.
// It returns nil if there was never a valid one.
func (f *HTTPTLSFiles) current() *tls.Certificate {
	return f.certificate.get(f.load, f.Certificate, f.Key)
}

// httpUsesTLS reports whether the HTTP interface uses TLS.
func (s *Settings) httpUsesTLS() bool {
	return s.HTTPTLS.Enabled() || s.TLS.Enabled()
}

// HTTPListener wraps the listener of the HTTP interface with TLS if certificate
// files are set. Clients need no certificate; one that they present must be
// signed by the daemons' certificate authority.
func (s *Settings) HTTPListener(inner net.Listener) net.Listener {
	if !s.httpUsesTLS() {
		return inner
	}
	return tls.NewListener(inner, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.httpTLSConfig()
		},
	})
}

func (s *Settings) httpTLSConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if s.TLS.Enabled() {
		own := s.TLS.Config()
		if own == nil {
			return nil, eris.New("no valid certificate was loaded from the files of -tls-cert, -tls-key and -tls-ca")
		}
		config.Certificates = own.Certificates
		config.ClientCAs = own.ClientCAs
		config.ClientAuth = tls.VerifyClientCertIfGiven
	}
	if s.HTTPTLS.Enabled() {
		pair := s.HTTPTLS.current()
		if pair == nil {
			return nil, eris.New("no valid certificate was loaded from the files of -http-tls-cert and -http-tls-key")
		}
		config.Certificates = []tls.Certificate{*pair}
	}
	return config, nil
}

// WarnUnencrypted logs a warning for each interface of the daemon without TLS.
func (s *Settings) WarnUnencrypted(logger *log.Logger) {
	if !s.TLS.Enabled() {
		logger.Warn("connections between daemons are not encrypted, which is accepted on loopback only; set -tls-cert", "listen", s.Listen)
	}
	if !s.httpUsesTLS() {
		logger.Warn("HTTP interface is not encrypted, which is accepted on loopback only; set -http-tls-cert", "http", s.HTTP)
	}
}
