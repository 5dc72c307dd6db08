package daemon

import (
	"flag"
	"net"
	"os"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/transport"
)

// Settings are the settings that all daemons have. Each flag can also be set by
// an environment variable: BRIARCROSS_ and the flag in capitals with
// underscores.
type Settings struct {
	// ID is the unique name of the daemon.
	ID         string
	DataCentre string
	// Listen is the IP address and port for other daemons.
	Listen string
	// HTTP is the IP address and port of the HTTP interface.
	HTTP      string
	LogLevel  string
	LogFormat string
	TLS       TLSFiles
	HTTPTLS   HTTPTLSFiles
	// Operators is the file of operators' token hashes.
	Operators string
	// Pprof is the loopback address and port of the profiling server; empty
	// turns it off.
	Pprof string
	// StopTimeout is the longest time that a planned stop waits for running
	// requests.
	StopTimeout time.Duration
}

// Register adds the flags of the settings to a flag set.
func (s *Settings) Register(fs *flag.FlagSet) {
	fs.StringVar(&s.ID, "id", "", "unique name of this daemon")
	fs.StringVar(&s.DataCentre, "data-centre", "", "data centre of this daemon")
	fs.StringVar(&s.Listen, "listen", "", "IP address and port for other daemons")
	fs.StringVar(&s.HTTP, "http", "", "IP address and port of the HTTP interface")
	fs.StringVar(&s.LogLevel, "log-level", "info", "debug, info, warn or error")
	fs.StringVar(&s.LogFormat, "log-format", "logfmt", "logfmt, json or text")
	fs.DurationVar(&s.StopTimeout, "stop-wait", 30*time.Second, "longest time that a planned stop waits for running requests")
	fs.StringVar(&s.Operators, "operators", "", "file of operators' token hashes; if empty, only certificates are accepted, or every client if the HTTP interface has no TLS")
	fs.StringVar(&s.Pprof, "pprof", "", "loopback address and port of the profiling server; empty turns it off")
	s.TLS.Register(fs)
	s.HTTPTLS.Register(fs)
}

// Common returns the settings that all daemons have, from the settings of a
// daemon that embed them.
func (s *Settings) Common() *Settings {
	return s
}

// SettingError reports an invalid setting.
type SettingError struct {
	// Name is the name of the setting's flag, without the dash.
	Name   string
	Reason string
}

// Error implements error.
func (e *SettingError) Error() string {
	return "setting -" + e.Name + ": " + e.Reason
}

// NewSettingError returns a SettingError for the flag called name.
func NewSettingError(name, reason string) error {
	return &SettingError{Name: name, Reason: reason}
}

// Check returns a SettingError for the first invalid setting.
func (s *Settings) Check() error {
	if s.ID == "" {
		return NewSettingError("id", "is missing")
	}
	if s.DataCentre == "" {
		return NewSettingError("data-centre", "is missing")
	}
	if err := CheckAddress("listen", s.Listen); err != nil {
		return err
	}
	if err := CheckAddress("http", s.HTTP); err != nil {
		return err
	}
	if _, err := log.ParseLevel(s.LogLevel); err != nil {
		return NewSettingError("log-level", "must be debug, info, warn or error")
	}
	if _, ok := formatters[s.LogFormat]; !ok {
		return NewSettingError("log-format", "must be logfmt, json or text")
	}
	if s.StopTimeout <= 0 {
		return NewSettingError("stop-wait", "must be positive")
	}
	if s.Pprof != "" && !isLoopback(s.Pprof) {
		return NewSettingError("pprof", "must be a loopback address and a port, not "+s.Pprof)
	}
	return s.checkAccess()
}

// checkAccess returns an error for the first invalid setting of certificates
// and tokens.
func (s *Settings) checkAccess() error {
	if _, err := LoadTokens(s.Operators); err != nil {
		return NewSettingError("operators", err.Error())
	}
	if err := s.TLS.Check(s.Listen); err != nil {
		return err
	}
	if err := s.HTTPTLS.check(); err != nil {
		return err
	}
	if !s.httpUsesTLS() {
		return checkLoopback("http-tls-cert", s.HTTP)
	}
	return nil
}

// CheckAddress returns a SettingError if an address is not an IP address and a
// port.
func CheckAddress(name, address string) error {
	if address == "" {
		return NewSettingError(name, "is missing")
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return NewSettingError(name, "must be an IP address and a port, not "+address)
	}
	if net.ParseIP(host) == nil {
		return NewSettingError(name, "must begin with an IP address, not "+host)
	}
	return nil
}

// CheckAddresses returns a SettingError for the first invalid address of a
// list, or if the list is empty.
func CheckAddresses(name string, addresses []string) error {
	if len(addresses) == 0 {
		return NewSettingError(name, "is missing")
	}
	for _, address := range addresses {
		if err := CheckAddress(name, address); err != nil {
			return err
		}
	}
	return nil
}

// StringList is a flag value that holds the strings of a comma-separated list.
type StringList []string

// String implements flag.Value.
func (l *StringList) String() string {
	return strings.Join(*l, ",")
}

// Set implements flag.Value.
func (l *StringList) Set(text string) error {
	*l = nil
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			*l = append(*l, item)
		}
	}
	return nil
}

var formatters = map[string]log.Formatter{
	"logfmt": log.LogfmtFormatter,
	"json":   log.JSONFormatter,
	"text":   log.TextFormatter,
}

// NewLogger returns a logger that prefixes its lines with the name of a
// component.
func (s *Settings) NewLogger(component string) *log.Logger {
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	return log.NewWithOptions(os.Stderr, log.Options{
		Level:           level,
		Prefix:          component,
		Formatter:       formatters[s.LogFormat],
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
}

// NewIdentity returns the identity of this start of the process. The
// incarnation is taken from the wall clock, so that a later start has a higher
// one.
func (s *Settings) NewIdentity() *transport.Identity {
	return &transport.Identity{ID: s.ID, Incarnation: uint64(time.Now().UnixNano()), Address: s.Listen}
}

// ListenTCP listens on an address. An error names the setting of the address.
func ListenTCP(name, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "setting -%s", name)
	}
	return listener, nil
}
