package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/operator"
)

// The exit codes of the command line.
const (
	// ExitSuccess means that the command succeeded.
	ExitSuccess = 0
	// ExitFailed means that the command failed; the message on stderr names
	// the error.
	ExitFailed = 1
	// ExitUsage means that a flag, setting, argument or input file is invalid.
	ExitUsage = 2
	// ExitConflict means that a change, order or job was refused because it
	// conflicts with the current state.
	ExitConflict = 3
	// ExitOutcomeUnknown means that a change may have been carried out. Repeat
	// the command; an order needs the same change ID.
	ExitOutcomeUnknown = 4
	// ExitDifferent means that diff found differences, or that a watched job is
	// completed but some of its items failed.
	ExitDifferent = 5
)

const environmentPrefix = "BRIARCROSS"

// app holds the standard streams, which all commands share.
type app struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

// exitError is an error with the exit code of the command that returns it.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

// Main runs the command line and returns its exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr}
	root := a.root()
	err := root.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		err = &exitError{ExitUsage, err}
	}
	if err == nil {
		err = root.Run(context.Background())
	}
	if err == nil {
		return ExitSuccess
	}
	if errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprintln(stdout, a.usage(root, args))
		return ExitUsage
	}
	_, _ = fmt.Fprintf(stderr, "briarcross: %v\n", err)
	a.printConflict(err)
	return exitCode(err)
}

// usage returns the help text of the innermost command that the arguments name.
func (a *app) usage(command *ffcli.Command, args []string) string {
	for _, arg := range args {
		for _, sub := range command.Subcommands {
			if sub.Name == arg {
				command = sub
				break
			}
		}
	}
	return ffcli.DefaultUsageFunc(command)
}

var failureExitCodes = map[operator.FailureKind]int{
	operator.Invalid:        ExitUsage,
	operator.NotDone:        ExitFailed,
	operator.OutcomeUnknown: ExitOutcomeUnknown,
	operator.Conflict:       ExitConflict,
}

func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var failure *operator.Failure
	if errors.As(err, &failure) {
		return failureExitCodes[failure.Kind]
	}
	if code, ok := jobExitCode(err); ok {
		return code
	}
	var setting *daemon.SettingError
	if errors.As(err, &setting) {
		return ExitUsage
	}
	return ExitFailed
}

func (a *app) root() *ffcli.Command {
	fs := newFlagSet("briarcross")
	subcommands := append(a.daemonCommands(), a.nodeCommand(), a.demoCommand())
	subcommands = append(subcommands, a.operatorCommands()...)
	subcommands = append(subcommands, a.completionCommand(a.root), a.explainCommand(), a.tokenCommand(), a.versionCommand())
	return a.withDefaults(&ffcli.Command{
		Name:        "briarcross",
		ShortUsage:  "briarcross <command> [flags]",
		ShortHelp:   "Serves online and batch inference on one fleet.",
		FlagSet:     fs,
		Subcommands: subcommands,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return exitErrorf(ExitUsage, "unknown command: %s", args[0])
			}
			return flag.ErrHelp
		},
	})
}

func newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	return fs
}

// withDefaults makes a command read its flags from environment variables too,
// and disables ffcli's own usage output, so that a usage error prints one line.
func (a *app) withDefaults(c *ffcli.Command) *ffcli.Command {
	if c.FlagSet == nil {
		c.FlagSet = newFlagSet(c.Name)
	}
	c.Options = []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)}
	c.UsageFunc = func(*ffcli.Command) string { return "" }
	return c
}
