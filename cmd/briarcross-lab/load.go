package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/lab/load"
)

func loadCommand() *ffcli.Command {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	planFile := fs.String("plan", "", "YAML file of the load plan")
	output := fs.String("o", "table", "output format: table or json")
	targets := fs.String("targets", "", "comma-separated base URLs that replace the plan's targets")
	quiet := fs.Bool("quiet", false, "do not print progress")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "briarcross-lab load -plan FILE [flags]",
		ShortHelp:  "send load according to a plan and check every response",
		FlagSet:    fs,
		Options:    flagOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			plan, err := readPlan(*planFile, splitList(*targets))
			if err != nil {
				return err
			}
			runner := load.NewRunner(plan)
			if !*quiet {
				runner.OnProgress = showProgress
			}
			report, err := runner.Run(ctx)
			if err != nil {
				return err
			}
			if err := writeReport(report, *output); err != nil {
				return err
			}
			if len(report.Violations) > 0 {
				return eris.Errorf("the load run found %d violations", len(report.Violations))
			}
			return nil
		},
	}
}

func readPlan(file string, targets []string) (*load.Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the load plan")
	}
	plan, err := load.ParsePlan(text)
	if err != nil {
		return nil, err
	}
	if len(targets) > 0 {
		plan.Targets = targets
	}
	return plan, nil
}

func showProgress(p load.Progress) {
	_, _ = fmt.Fprintf(os.Stderr, "load: %3.0f s, %d of %d started, %d in flight\n",
		p.Elapsed.Seconds(), p.Started, p.Planned, p.InFlight)
}

func writeReport(report *load.Report, output string) error {
	if output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return report.WriteTable(os.Stdout)
}
