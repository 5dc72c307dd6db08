package cli

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/lab/demo"
)

func (a *app) demoCommand() *ffcli.Command {
	fs := newFlagSet("demo")
	records := fs.String("records", "examples/inspection-records.jsonl", "file of inspection records in the OpenAI batch format")
	return a.withDefaults(&ffcli.Command{
		Name:       "demo",
		ShortUsage: "briarcross demo [flags]",
		ShortHelp:  "Runs a whole installation in one process, shows a batch job on it, and exits.",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			return demo.Run(demo.Options{Records: *records, Out: a.stdout})
		},
	})
}
