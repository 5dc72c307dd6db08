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

// stoppable is a running daemon.
type stoppable interface {
	// Faults delivers an error after which the process must stop.
	Faults() <-chan error
	// Stop ends the daemon without cutting off requests.
	Stop() error
}

// settings are the settings of one daemon.
type settings interface {
	Register(*flag.FlagSet)
	Check() error
}

func (a *app) daemonCommands() []*ffcli.Command {
	control, sidecar, entry, dev := &controld.Settings{}, &sidecard.Settings{}, &entryd.Settings{}, &devd.Settings{}
	return []*ffcli.Command{
		a.daemonCommand("control", "Runs a control replica, which keeps the agreed state.", control, func() (stoppable, error) {
			return controld.Start(control)
		}),
		a.daemonCommand("sidecar", "Runs the process beside one upstream.", sidecar, func() (stoppable, error) {
			return sidecard.Start(sidecar)
		}),
		a.daemonCommand("entry", "Runs an entry, which callers reach.", entry, func() (stoppable, error) {
			return entryd.Start(entry)
		}),
		a.daemonCommand("dev", "Runs all daemons and fake engines in one process.", dev, func() (stoppable, error) {
			return devd.Start(dev)
		}),
	}
}

func (a *app) daemonCommand(name, help string, s settings, start func() (stoppable, error)) *ffcli.Command {
	fs := newFlagSet(name)
	s.Register(fs)
	return a.command(&ffcli.Command{
		Name:       name,
		ShortUsage: "briarcross " + name + " [flags]",
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return failf(ExitUsage, "unexpected argument: %s", args[0])
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
func startProfiling(s settings) (*daemon.ProfilingServer, error) {
	common, ok := s.(interface{ Common() *daemon.Settings })
	if !ok {
		return nil, nil
	}
	return common.Common().StartProfiling()
}

// runDaemon runs a daemon until a signal stops it or it breaks.
func runDaemon(start func() (stoppable, error)) error {
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
