package cli

import (
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const defaultServer = "http://127.0.0.1:7400"

// operatorFlags are common to the operators' commands.
type operatorFlags struct {
	server string
	output string
}

func (f *operatorFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.server, "server", defaultServer, "base URL of a control replica's HTTP interface")
	fs.StringVar(&f.output, "o", "table", "output format: table, json or yaml")
}

func (a *app) operatorCommands() []*ffcli.Command {
	return []*ffcli.Command{
		a.getCommand(),
		a.applyCommand(),
		a.statusCommand(),
	}
}
