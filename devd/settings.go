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

// Settings configures an installation.
type Settings struct {
	// DataDir holds the data folders of the control replicas; if it is empty,
	// their state is in memory only.
	DataDir string
	// BasePort is the first port that the installation uses on 127.0.0.1.
	BasePort int
	// Entries is the number of entries.
	Entries int
	// Sidecars is the number of sidecars with a fake engine; there is one more
	// for the fake plain service.
	Sidecars int
	// ConfigFile is the first configuration; empty selects the built-in example.
	ConfigFile string
	LogLevel   string
	// Seed is the seed of the fake engines.
	Seed uint64
	// EngineCost is the cost model of the fake engines; zero selects its default.
	EngineCost labengine.CostModel
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

// Check returns an error for the first invalid setting.
func (s *Settings) Check() error {
	if s.BasePort < 1 || s.BasePort > maxBasePort {
		return daemon.NewSettingError("base-port", "must be between 1 and 65000")
	}
	if s.Entries < 1 || s.Entries > maxDaemonsPerKind {
		return daemon.NewSettingError("entries", "must be between 1 and 32")
	}
	if s.Sidecars < 1 || s.Sidecars > maxDaemonsPerKind {
		return daemon.NewSettingError("sidecars", "must be between 1 and 32")
	}
	return nil
}
