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
		ShortHelp:  "Prints the log lines about a request, item, job or version:N, and the cause of its outcome.",
		LongHelp:   "Reads the daemons' log files, or standard input if none is named.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return exitErrorf(ExitUsage, "expected an ID: a request, item, job or version:N")
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

// openLogs returns a reader of the concatenated files, or standard input if
// there are none.
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
		// Not closed: the process exits after reading.
		sources = append(sources, file)
	}
	return io.MultiReader(sources...), nil
}
