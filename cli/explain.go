package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/explain"
)

func (a *app) explainCommand() *ffcli.Command {
	return a.withDefaults(&ffcli.Command{
		Name:       "explain",
		ShortUsage: "briarcross explain <id> [log file ...]",
		ShortHelp:  "Prints the way of a request, item, job or version:N from the daemons' logs, and its cause.",
		LongHelp:   "Reads the log files, or standard input if none is named.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return exitErrorf(ExitUsage, "explain needs an ID")
			}
			source, err := a.openLogs(args[1:])
			if err != nil {
				return err
			}
			lines, err := explain.Find(source, args[0])
			if err != nil {
				return err
			}
			for _, l := range lines {
				if _, err := fmt.Fprintln(a.stdout, l.Raw); err != nil {
					return err
				}
			}
			_, err = fmt.Fprintln(a.stdout, "cause:", explain.Cause(lines))
			return err
		},
	})
}

// openLogs returns the content of some files one after the other.
func (a *app) openLogs(paths []string) (io.Reader, error) {
	if len(paths) == 0 {
		return a.stdin, nil
	}
	var sources []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		// The process ends after reading.
		sources = append(sources, file)
	}
	return io.MultiReader(sources...), nil
}
