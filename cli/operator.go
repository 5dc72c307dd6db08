package cli

import (
	"context"
	"crypto/tls"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/operator"
)

const defaultServer = "http://127.0.0.1:7400"

// operatorFlags are the flags of all operators' commands.
type operatorFlags struct {
	server   string
	output   string
	token    string
	operator string
	tls      daemon.TLSFiles
}

func (f *operatorFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.server, "server", defaultServer, "base URL of a control replica's HTTP interface")
	fs.StringVar(&f.output, "o", outputTable, "output format: table, json or yaml")
	fs.StringVar(&f.token, "token", "", "operator's token; prefer the environment variable BRIARCROSS_TOKEN, since other users can see flags")
	fs.StringVar(&f.operator, "operator", os.Getenv("USER"), "operator name recorded with changes")
	f.tls.Register(fs)
}

// check validates the output format.
func (f *operatorFlags) check() error {
	switch f.output {
	case outputTable, outputJSON, outputYAML:
		return nil
	default:
		return exitErrorf(ExitUsage, "setting -o: must be table, json or yaml, not %s", f.output)
	}
}

func (f *operatorFlags) credentials() (operator.Credentials, error) {
	config, err := clientTLS(&f.tls)
	return operator.Credentials{Token: f.token, TLS: config}, err
}

// client returns a client of the control replica that -server names.
func (f *operatorFlags) client() (*operator.Client, error) {
	return f.clientFor(f.server)
}

func (f *operatorFlags) clientFor(server string) (*operator.Client, error) {
	credentials, err := f.credentials()
	if err != nil {
		return nil, err
	}
	return operator.NewClientWithCredentials(server, credentials), nil
}

// clientTLS loads a client's certificate files. The result is nil if none is
// set.
func clientTLS(files *daemon.TLSFiles) (*tls.Config, error) {
	config, err := files.LoadClientConfig()
	if err != nil {
		return nil, exitErrorf(ExitUsage, "setting -tls-cert: %v", err)
	}
	return config, nil
}

// operatorCommand returns a command with the operators' flags that calls a
// control replica.
func (a *app) operatorCommand(name, usage, help string, run func(f *operatorFlags, c *operator.Client, args []string) error) *ffcli.Command {
	fs := newFlagSet(name)
	flags := &operatorFlags{}
	flags.register(fs)
	return a.withDefaults(&ffcli.Command{
		Name:       name,
		ShortUsage: "briarcross " + usage,
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if err := flags.check(); err != nil {
				return err
			}
			c, err := flags.client()
			if err != nil {
				return err
			}
			return run(flags, c, args)
		},
	})
}

// commandGroup returns a command that only has subcommands.
func (a *app) commandGroup(name, help string, subcommands ...*ffcli.Command) *ffcli.Command {
	return a.withDefaults(&ffcli.Command{
		Name:        name,
		ShortUsage:  "briarcross " + name + " <command> [flags]",
		ShortHelp:   help,
		Subcommands: subcommands,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return exitErrorf(ExitUsage, "unknown command: %s %s", name, args[0])
			}
			return flag.ErrHelp
		},
	})
}

func (a *app) operatorCommands() []*ffcli.Command {
	return []*ffcli.Command{
		a.getCommand(),
		a.describeCommand(),
		a.applyCommand(),
		a.editCommand(),
		a.diffCommand(),
		a.historyCommand(),
		a.deleteCommand(),
		a.jobCommands(),
		a.upstreamCommands(),
		a.orderCommands(),
		a.statusCommand(),
		a.rolloutCommands(),
	}
}

// oneArgument returns the only argument of a command.
func oneArgument(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", exitErrorf(ExitUsage, "expected exactly one argument, %s; flags come before it", what)
	}
	return args[0], nil
}

func noArguments(args []string) error {
	if len(args) > 0 {
		return exitErrorf(ExitUsage, "unexpected argument: %s; flags come before arguments", args[0])
	}
	return nil
}
