package cli

import (
	"context"
	"flag"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/controld"
	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/devd"
	"github.com/briarcross/briarcross/entryd"
	"github.com/briarcross/briarcross/sidecard"
)

// runningDaemon is a daemon that has started and can be stopped.
type runningDaemon interface {
	// FatalErrors delivers an error after which the process must exit.
	FatalErrors() <-chan error
	// Stop stops the daemon gracefully.
	Stop() error
}

// daemonSettings are the settings of one daemon: Register defines their flags
// and Check validates them.
type daemonSettings interface {
	Register(*flag.FlagSet)
	Check() error
}

func (a *app) daemonCommands() []*ffcli.Command {
	control, sidecar, entry, dev := &controld.Settings{}, &sidecard.Settings{}, &entryd.Settings{}, &devd.Settings{}
	return []*ffcli.Command{
		a.daemonCommand("control", "Runs a control replica, which holds the replicated state.", control, func() (runningDaemon, error) {
			return controld.Start(control)
		}),
		a.daemonCommand("sidecar", "Runs the sidecar of one upstream.", sidecar, func() (runningDaemon, error) {
			return sidecard.Start(sidecar)
		}),
		a.daemonCommand("entry", "Runs an entry, which serves callers.", entry, func() (runningDaemon, error) {
			limitHeap(entry.MemoryBytes)
			return entryd.Start(entry)
		}),
		a.daemonCommand("dev", "Runs all daemons and fake engines in one process.", dev, func() (runningDaemon, error) {
			return devd.Start(dev)
		}),
	}
}

func (a *app) daemonCommand(name, help string, s daemonSettings, start func() (runningDaemon, error)) *ffcli.Command {
	fs := newFlagSet(name)
	s.Register(fs)
	return a.withDefaults(&ffcli.Command{
		Name:       name,
		ShortUsage: "briarcross " + name + " [flags]",
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return exitErrorf(ExitUsage, "unexpected argument: %s", args[0])
			}
			if err := s.Check(); err != nil {
				return err
			}
			profiling, err := startProfiling(s)
			if err != nil {
				return err
			}
			defer profiling.Stop()
			return runDaemon(start)
		},
	})
}

// startProfiling starts the profiling server if the daemon's settings enable
// it. The result is nil if there is none.
func startProfiling(s daemonSettings) (*daemon.ProfilingServer, error) {
	common, ok := s.(interface{ Common() *daemon.Settings })
	if !ok {
		return nil, nil
	}
	return common.Common().StartProfiling()
}

// runDaemon runs a daemon until SIGINT or SIGTERM, or until it reports a fatal
// error.
func runDaemon(start func() (runningDaemon, error)) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	d, err := start()
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		// Restores the default signal handling: a second signal kills the
		// process.
		cancel()
		return d.Stop()
	case err := <-d.FatalErrors():
		return err
	}
}
