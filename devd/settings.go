package devd

import (
	"flag"

	"github.com/briarcross/briarcross/daemon"
	labengine "github.com/briarcross/briarcross/lab/engine"
)

const (
	controlReplicas   = 3
	maxDaemonsPerKind = 32
	maxBasePort       = 65000
)

// Settings configure the installation.
type Settings struct {
	DataDir    string
	BasePort   int
	Entries    int
	Sidecars   int
	ConfigFile string
	LogLevel   string
	Seed       uint64
	// EngineCost is the cost model of the fake engines; zero means the default.
	EngineCost labengine.Cost
}

// Register adds the flags of the settings to a set.
func (s *Settings) Register(fs *flag.FlagSet) {
	fs.StringVar(&s.DataDir, "data", "", "folder for the control replicas' data folders; empty keeps the state in memory only")
	fs.IntVar(&s.BasePort, "base-port", 7400, "first of the ports that are used on 127.0.0.1")
	fs.IntVar(&s.Entries, "entries", 2, "number of entries")
	fs.IntVar(&s.Sidecars, "sidecars", 2, "number of sidecars with a fake engine each")
	fs.StringVar(&s.ConfigFile, "config", "", "YAML file of profiles and services to apply at the start; empty applies the built-in example")
	fs.StringVar(&s.LogLevel, "log-level", "info", "debug, info, warn or error")
	fs.Uint64Var(&s.Seed, "seed", 1, "seed of the fake engines")
}

// Check reports the first wrong setting.
func (s *Settings) Check() error {
	if s.BasePort < 1 || s.BasePort > maxBasePort {
		return daemon.Wrong("base-port", "must be between 1 and 65000")
	}
	if s.Entries < 1 || s.Entries > maxDaemonsPerKind {
		return daemon.Wrong("entries", "must be between 1 and 32")
	}
	if s.Sidecars < 1 || s.Sidecars > maxDaemonsPerKind {
		return daemon.Wrong("sidecars", "must be between 1 and 32")
	}
	return nil
}
