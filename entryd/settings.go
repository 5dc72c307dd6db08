package entryd

import (
	"flag"
	"strconv"
	"time"

	"github.com/briarcross/briarcross/clientlimit"
	"github.com/briarcross/briarcross/daemon"
)

// Settings is the configuration of an entry.
type Settings struct {
	daemon.Settings
	// Control holds the addresses of the control replicas.
	Control daemon.StringList
	// Registrars holds the datagram addresses of the entries that are registrars.
	Registrars daemon.StringList
	// ShutdownDelay is the time between reporting not ready and the shutdown, in
	// which the load balancer stops sending requests.
	ShutdownDelay time.Duration
	// MaxBodyBytes limits the body of an online request.
	MaxBodyBytes int
	// MemoryBytes is the memory of the process; zero means unknown.
	MemoryBytes int64
	// Clients limits what callers may hold.
	Clients daemon.ClientSettings
	// TokensFile holds the hashes of callers' bearer tokens. If it is empty, the
	// Briarcross-Caller header is trusted.
	TokensFile string
}

// Register defines the flags of the settings in fs.
func (s *Settings) Register(fs *flag.FlagSet) {
	s.Settings.Register(fs)
	fs.Var(&s.Control, "control", "addresses of the control replicas, separated by commas")
	fs.Var(&s.Registrars, "registrars", "datagram addresses of entries that register members, separated by commas")
	fs.DurationVar(&s.ShutdownDelay, "balancer-wait", 2*time.Second, "time between reporting not ready and refusing connections")
	fs.IntVar(&s.MaxBodyBytes, "max-body-bytes", 8<<20, "largest body of an online request")
	fs.Int64Var(&s.MemoryBytes, "memory-bytes", 1<<30, "memory of the process")
	s.Clients.Register(fs)
	fs.StringVar(&s.TokensFile, "tokens", "", "file of callers' token hashes; empty trusts the Briarcross-Caller header")
}

// Check returns an error for the first invalid setting.
func (s *Settings) Check() error {
	if err := s.Settings.Check(); err != nil {
		return err
	}
	if err := daemon.CheckAddresses("control", s.Control); err != nil {
		return err
	}
	if err := daemon.CheckAddresses("registrars", s.Registrars); err != nil {
		return err
	}
	if s.ShutdownDelay < 0 {
		return daemon.NewSettingError("balancer-wait", "must not be negative")
	}
	if s.MaxBodyBytes <= 0 {
		return daemon.NewSettingError("max-body-bytes", "must be positive")
	}
	if err := s.checkClients(); err != nil {
		return err
	}
	if _, err := daemon.LoadTokens(s.TokensFile); err != nil {
		return daemon.NewSettingError("tokens", err.Error())
	}
	return nil
}

// clientLimits returns the limits of what callers may hold.
func (s *Settings) clientLimits() (clientlimit.Limits, error) {
	return s.Clients.Limits(s.MemoryBytes, 0)
}

// checkClients returns an error if the largest body could not be served.
func (s *Settings) checkClients() error {
	if s.MemoryBytes < 0 {
		return daemon.NewSettingError("memory-bytes", "must not be negative")
	}
	if err := s.Clients.Check(); err != nil {
		return err
	}
	limits, err := s.clientLimits()
	if err != nil {
		return daemon.NewSettingError("memory-bytes", err.Error())
	}
	if largest := daemon.BodyMemory(int64(s.MaxBodyBytes), bodyCost); limits.MemoryBytes-limits.ReservedBytes < largest {
		return daemon.NewSettingError("memory-bytes", "holds no body of max-body-bytes: one takes up to "+strconv.FormatInt(largest, 10)+" bytes of client-memory-bytes, of which a quarter is for small requests")
	}
	return nil
}
