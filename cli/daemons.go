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

// runningDaemon is a running daemon.
type runningDaemon interface {
	// Faults delivers an error after which the process must stop.
	Faults() <-chan error
	// Stop ends the daemon without cutting off requests.
	Stop() error
}

// daemonSettings are the daemonSettings of one daemon.
type daemonSettings interface {
	Register(*flag.FlagSet)
	Check() error
}

func (a *app) daemonCommands() []*ffcli.Command {
	control, sidecar, entry, dev := &controld.Settings{}, &sidecard.Settings{}, &entryd.Settings{}, &devd.Settings{}
	return []*ffcli.Command{
		a.daemonCommand("control", "Runs a control replica, which keeps the agreed state.", control, func() (runningDaemon, error) {
			return controld.Start(control)
		}),
		a.daemonCommand("sidecar", "Runs the process beside one upstream.", sidecar, func() (runningDaemon, error) {
			return sidecard.Start(sidecar)
		}),
		a.daemonCommand("entry", "Runs an entry, which callers reach.", entry, func() (runningDaemon, error) {
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

// startProfiling serves profiles when the settings of a daemon ask for it.
func startProfiling(s daemonSettings) (*daemon.Profiling, error) {
	common, ok := s.(interface{ Common() *daemon.Settings })
	if !ok {
		return nil, nil
	}
	return common.Common().StartProfiling()
}

// runDaemon runs a daemon until a signal stops it or it breaks.
func runDaemon(start func() (runningDaemon, error)) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	d, err := start()
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		// A second signal ends the process at once.
		cancel()
		return d.Stop()
	case err := <-d.Faults():
		return err
	}
}
