package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/lab/bench"
	"github.com/briarcross/briarcross/lab/experiment"
)

type benchSettings struct {
	seed    uint64
	run     string
	goBench string
	results string
	figures string
	commit  string
}

func benchCommand() *ffcli.Command {
	fs := flag.NewFlagSet("bench", flag.ContinueOnError)
	var s benchSettings
	fs.Uint64Var(&s.seed, "seed", 1, "seed of every experiment")
	fs.StringVar(&s.run, "run", "*", "pattern of the names of the experiments to run; empty runs none")
	fs.StringVar(&s.goBench, "go-bench", "", "file with the output of go test -bench to take in")
	fs.StringVar(&s.results, "results", "bench/results", "folder of the results")
	fs.StringVar(&s.figures, "figures", "docs/figures", "folder of the figures")
	fs.StringVar(&s.commit, "commit", "uncommitted", "name of the measured revision")
	return &ffcli.Command{
		Name:       "bench",
		ShortUsage: "briarcross-lab bench [flags]",
		ShortHelp:  "run the experiments, print one line for each measure, keep and draw the results",
		FlagSet:    fs,
		Options:    options(),
		Exec:       func(ctx context.Context, _ []string) error { return runBench(ctx, s) },
	}
}

func runBench(ctx context.Context, s benchSettings) error {
	measures, err := goBenchMeasures(s.goBench)
	if err != nil {
		return err
	}
	short, err := experiment.WriteMeasures(os.Stdout, measures)
	if err != nil {
		return err
	}
	failed := 0
	for _, e := range bench.Experiments() {
		if matched, err := filepath.Match(s.run, e.Name); err != nil || !matched {
			continue
		}
		result, err := e.Run(ctx, s.seed)
		if err != nil {
			failed++
			fmt.Printf("bench %s failed: %v\n", e.Name, err)
			continue
		}
		shorts, err := experiment.WriteMeasures(os.Stdout, result.Measures)
		if err != nil {
			return err
		}
		short += shorts
		measures = append(measures, result.Measures...)
		if err := drawAll(s.figures, result.Figures); err != nil {
			return err
		}
	}
	if err := keep(s, measures); err != nil {
		return err
	}
	fmt.Printf("bench: %d measures, %d short of their bounds, %d experiments failed\n", len(measures), short, failed)
	if failed > 0 {
		return eris.Errorf("%d experiments failed", failed)
	}
	return nil
}

func goBenchMeasures(file string) ([]experiment.Measure, error) {
	if file == "" {
		return nil, nil
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "open go test -bench output")
	}
	defer func() { _ = f.Close() }()
	measures, err := experiment.ParseGoBench(f)
	bench.ApplyBounds(measures)
	return measures, err
}

// machine describes the machine and how busy it is at the end of the run.
func machine() string {
	text := fmt.Sprintf("%s/%s, %d processors", runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return text
	}
	return text + ", load average " + strings.TrimSpace(string(load))
}

func drawAll(folder string, figures []experiment.Figure) error {
	for _, figure := range figures {
		if err := experiment.Draw(folder, figure); err != nil {
			return err
		}
	}
	return nil
}

// keep saves the measures and prints what changed since the last commit that
// has them.
func keep(s benchSettings, measures []experiment.Measure) error {
	record := experiment.Record{
		Commit:      s.commit,
		UnixSeconds: time.Now().Unix(),
		Seed:        s.seed,
		Machine:     machine(),
		Measures:    measures,
	}
	if err := experiment.Save(s.results, record); err != nil {
		return err
	}
	history, err := experiment.ReadHistory(s.results)
	if err != nil {
		return err
	}
	for _, m := range measures {
		before, commit, ok := experiment.PreviousValue(history, s.commit, m.Name)
		if ok && before != m.Value {
			fmt.Printf("bench change %s before=%.4g (%s) after=%.4g\n", m.Name, before, commit, m.Value)
		}
	}
	return nil
}
