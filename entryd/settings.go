package entryd

import (
	"flag"
	"time"

	"github.com/briarcross/briarcross/daemon"
)

// Settings configure an entry.
type Settings struct {
	daemon.Settings
	Control       daemon.List
	Registrars    daemon.List
	ShutdownDelay time.Duration
	MaxBodyBytes  int
	TokensFile    string
}

// Register adds the flags of the settings to a set.
func (s *Settings) Register(fs *flag.FlagSet) {
	s.Settings.Register(fs)
	fs.Var(&s.Control, "control", "addresses of the control replicas, separated by commas")
	fs.Var(&s.Registrars, "registrars", "datagram addresses of entries that register members, separated by commas")
	fs.DurationVar(&s.ShutdownDelay, "balancer-wait", 2*time.Second, "time between reporting not ready and refusing connections")
	fs.IntVar(&s.MaxBodyBytes, "max-body-bytes", 8<<20, "largest body of an online request")
	fs.StringVar(&s.TokensFile, "tokens", "", "file of callers' token hashes; empty trusts the Briarcross-Caller header")
}

// Check reports the first wrong setting.
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
		return daemon.Wrong("balancer-wait", "must not be negative")
	}
	if s.MaxBodyBytes <= 0 {
		return daemon.Wrong("max-body-bytes", "must be positive")
	}
	if _, err := daemon.LoadTokens(s.TokensFile); err != nil {
		return daemon.Wrong("tokens", err.Error())
	}
	return nil
}
