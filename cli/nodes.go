package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/controlnode"
	"github.com/briarcross/briarcross/entrynode"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/platform"
	"github.com/briarcross/briarcross/storenode"
)

const (
	// settingsPollInterval is the interval between checks of the settings file,
	// which may change without a signal.
	settingsPollInterval = time.Second
	// memoryLimitFraction is the part of the process's memory at which the garbage
	// collector starts to run more often; the rest is for stacks and buffers.
	memoryLimitFraction = 0.7
)

// runningNode is a running daemon whose seeds can be replaced.
type runningNode interface {
	runningDaemon
	SetSeeds([]string)
}

// nodeCommand returns the command with the daemons that read the platform's
// settings file.
func (a *app) nodeCommand() *ffcli.Command {
	return a.withDefaults(&ffcli.Command{
		Name:       "node",
		ShortUsage: "briarcross node <role>",
		ShortHelp:  "Runs a daemon on the platform; the environment variable " + platform.SettingsVariable + " names its settings file.",
		Subcommands: []*ffcli.Command{
			a.nodeRoleCommand(node.RoleEntry, "Serves callers.", func(s *node.Settings, l *log.Logger) (runningNode, error) {
				return entrynode.Start(s, platform.Codec{HedgeShare: s.HedgeShare}, l, platform.EntryHandlers)
			}),
			a.nodeRoleCommand(node.RoleControl, "Runs a control replica.", func(s *node.Settings, l *log.Logger) (runningNode, error) {
				return controlnode.Start(s, l, controlnode.RoutingCodec{ServiceNames: platform.ServiceNames, Change: platform.RoutingChange}, platform.ControlHandler)
			}),
			a.nodeRoleCommand(node.RoleStore, "Runs a storage replica.", func(s *node.Settings, l *log.Logger) (runningNode, error) {
				return storenode.Start(s, platform.Codec{}, l)
			}),
		},
		Exec: func(context.Context, []string) error {
			return exitErrorf(ExitUsage, "expected a role: entry, control or store")
		},
	})
}

func (a *app) nodeRoleCommand(role, help string, start func(*node.Settings, *log.Logger) (runningNode, error)) *ffcli.Command {
	fs := newFlagSet(role)
	flagSettings := &node.Settings{}
	fs.StringVar(&flagSettings.MetricsAddress, "metrics", "", "address of the metrics server; empty disables it")
	fs.StringVar(&flagSettings.BindAddress, "listen", "", "address to listen on for other daemons, if address translation makes it differ from the advertised one")
	if role != node.RoleControl {
		flagSettings.Clients.Register(fs)
	}
	if role == node.RoleStore {
		fs.IntVar(&flagSettings.MaxOpenItems, "max-open-items", 0, "items of the jobs that are not completed; 0 means what the memory allows")
		fs.Int64Var(&flagSettings.MaxOpenBytes, "max-open-bytes", 0, "size of the items of the jobs that are not completed; 0 means a quarter of the disk")
	}
	if role == node.RoleEntry {
		fs.IntVar(&flagSettings.MaxJobItems, "max-job-items", 0, "items of a job; 0 means 1000")
		fs.Float64Var(&flagSettings.HedgeShare, "hedge-share", 0, "share of requests, from 0 to 1, that may have a second attempt where the configuration states none")
	}
	return a.withDefaults(&ffcli.Command{
		Name:       role,
		ShortUsage: "briarcross node " + role + " [flags]",
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			return runNode(role, flagSettings, start)
		},
	})
}

// runNode runs a daemon until SIGINT or SIGTERM, or until it reports a fatal
// error.
func runNode(role string, flagSettings *node.Settings, start func(*node.Settings, *log.Logger) (runningNode, error)) error {
	path := platform.SettingsPath()
	settings, err := platform.LoadSettings(path, role)
	if err != nil {
		return err
	}
	settings.MetricsAddress, settings.BindAddress, settings.HedgeShare = flagSettings.MetricsAddress, flagSettings.BindAddress, flagSettings.HedgeShare
	settings.Clients, settings.MaxJobItems = flagSettings.Clients, flagSettings.MaxJobItems
	settings.MaxOpenItems, settings.MaxOpenBytes = flagSettings.MaxOpenItems, flagSettings.MaxOpenBytes
	if err := settings.Check(role); err != nil {
		return err
	}
	limitHeap(settings.MemoryBytes)
	writer := eventlog.NewWriter(os.Stdout)
	defer writer.Close()
	logger := eventlog.New(writer, settings.ID, role)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)

	daemon, err := start(settings, logger)
	if err != nil {
		logger.Error(eventlog.StartFailed, "error", err)
		return err
	}
	logger.Info(eventlog.Started, "address", settings.Address, "data_centre", settings.DataCentre, "first_start", settings.FirstStart, "seeds", settings.Seeds)
	err = superviseNode(daemon, settings, logger, path, stop, reload)
	logger.Info(eventlog.Stopped, "error", err)
	return err
}

// limitHeap sets the heap at which the garbage collector starts to run more often, in a process
// with a limit of its memory; zero means unknown.
func limitHeap(memoryBytes int64) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memoryBytes)))
	}
}

// superviseNode reloads the settings file when it changes or on SIGHUP, and
// passes the seeds to the daemon, until the daemon stops.
func superviseNode(daemon runningNode, settings *node.Settings, logger *log.Logger, path string, stop, reload <-chan os.Signal) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	loadedModTime := modTime(path)
	for {
		select {
		case <-stop:
			return daemon.Stop()
		case err := <-daemon.FatalErrors():
			return err
		case <-ticker.C:
			if currentModTime := modTime(path); currentModTime.Equal(loadedModTime) {
				continue
			}
		case <-reload:
		}
		loadedModTime = modTime(path)
		changed, err := platform.LoadSettings(path, settings.Role)
		if err != nil {
			logger.Error(eventlog.SettingsRejected, "error", err)
			continue
		}
		logger.Info(eventlog.SettingsReloaded, "seeds", changed.Seeds)
		daemon.SetSeeds(changed.Seeds)
	}
}

// modTime returns a file's modification time, or zero if the file cannot be
// read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
