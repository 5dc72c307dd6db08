// Command briarcross-lab holds the development tools: fake upstreams, a load
// generator, experiments and the generator of the capacity page.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "BRIARCROSS_LAB"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := rootCommand().ParseAndRun(ctx, os.Args[1:])
	stop()
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return
	}
	_, _ = fmt.Fprintln(os.Stderr, "briarcross-lab:", err)
	os.Exit(1)
}

func rootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "briarcross-lab",
		ShortUsage: "briarcross-lab <command> [flags]",
		FlagSet:    flag.NewFlagSet("briarcross-lab", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			engineCommand(),
			serviceCommand(),
			loadCommand(),
			benchCommand(),
			capacityCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// flagOptions makes a command read each flag from an environment variable too,
// such as BRIARCROSS_LAB_LISTEN.
func flagOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(envPrefix)}
}
