package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/lab/capacity"
)

func capacityCommand() *ffcli.Command {
	fs := flag.NewFlagSet("capacity", flag.ContinueOnError)
	seed := fs.Uint64("seed", 1, "random seed of all measurements")
	output := fs.String("output", "docs/capacity-cores.md", "file to which the capacity page is written")
	return &ffcli.Command{
		Name:       "capacity",
		ShortUsage: "briarcross-lab capacity [flags]",
		ShortHelp:  "measure how the cost of each core grows with its load and write the capacity page",
		FlagSet:    fs,
		Options:    flagOptions(),
		Exec: func(context.Context, []string) error {
			costs, err := capacity.Measure(*seed, func(part string) {
				_, _ = fmt.Fprintln(os.Stderr, "capacity: measuring", part)
			})
			if err != nil {
				return err
			}
			var page bytes.Buffer
			if err := capacity.WritePage(&page, *seed, costs); err != nil {
				return err
			}
			const fileMode = 0o644
			if err := os.WriteFile(*output, page.Bytes(), fileMode); err != nil {
				return eris.Wrap(err, "write the capacity page")
			}
			for _, requirement := range capacity.Requirements(costs) {
				if !requirement.WithinLimit() {
					fmt.Printf("capacity: requirement exceeds its limit: %s, %s\n", requirement.Role, requirement.Quantity)
				}
			}
			return nil
		},
	}
}
