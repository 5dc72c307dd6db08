package sidecard

import (
	"flag"
	"net/url"

	"github.com/briarcross/briarcross/daemon"
)

// Kinds of upstreams.
const (
	KindModel = "model"
	KindPlain = "plain"
)

const maxWindowLimit = 4096

// Settings configures a sidecar.
type Settings struct {
	daemon.Settings
	// Engine is the base URL of the upstream.
	Engine string
	// Kind is KindModel or KindPlain.
	Kind string
	// Services are the names of the services that the upstream serves.
	Services daemon.StringList
	// Control and Registrars are the addresses of the control replicas and of
	// the entries that register members.
	Control    daemon.StringList
	Registrars daemon.StringList
	// MaxWindow bounds the concurrent requests at the upstream.
	MaxWindow int
	// MaxQueue bounds the queued online requests.
	MaxQueue int
}

// Register adds the flags of the settings to a set.
func (s *Settings) Register(fs *flag.FlagSet) {
	s.Settings.Register(fs)
	fs.StringVar(&s.Engine, "engine", "", "base URL of the upstream")
	fs.StringVar(&s.Kind, "kind", KindModel, "model engine or plain service: model or plain")
	fs.Var(&s.Services, "services", "names of the services that the upstream serves, separated by commas")
	fs.Var(&s.Control, "control", "addresses of the control replicas, separated by commas")
	fs.Var(&s.Registrars, "registrars", "datagram addresses of entries that register members, separated by commas")
	fs.IntVar(&s.MaxWindow, "max-window", 64, "largest number of requests at the upstream at a time")
	fs.IntVar(&s.MaxQueue, "max-queue", 256, "largest number of waiting online requests")
}

// Check returns an error for the first invalid setting.
func (s *Settings) Check() error {
	if err := s.Settings.Check(); err != nil {
		return err
	}
	parsed, err := url.Parse(s.Engine)
	if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		return daemon.NewSettingError("engine", "must be an http URL, not "+s.Engine)
	}
	if s.Kind != KindModel && s.Kind != KindPlain {
		return daemon.NewSettingError("kind", "must be model or plain, not "+s.Kind)
	}
	if len(s.Services) == 0 {
		return daemon.NewSettingError("services", "is missing")
	}
	if err := daemon.CheckAddresses("control", s.Control); err != nil {
		return err
	}
	if err := daemon.CheckAddresses("registrars", s.Registrars); err != nil {
		return err
	}
	if s.MaxWindow < 1 || s.MaxWindow > maxWindowLimit {
		return daemon.NewSettingError("max-window", "must be between 1 and 4096")
	}
	if s.MaxQueue < 1 {
		return daemon.NewSettingError("max-queue", "must be positive")
	}
	return nil
}
