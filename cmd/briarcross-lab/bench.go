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
	seed              uint64
	experimentPattern string
	goBenchFile       string
	resultsDir        string
	figuresDir        string
	revision          string
}

func benchCommand() *ffcli.Command {
	fs := flag.NewFlagSet("bench", flag.ContinueOnError)
	var settings benchSettings
	fs.Uint64Var(&settings.seed, "seed", 1, "seed of every experiment")
	fs.StringVar(&settings.experimentPattern, "run", "*", "glob pattern for the names of the experiments to run; empty runs none")
	fs.StringVar(&settings.goBenchFile, "go-bench", "", "file with the output of go test -bench to include")
	fs.StringVar(&settings.resultsDir, "results", "bench/results", "directory of the results")
	fs.StringVar(&settings.figuresDir, "figures", "docs/figures", "directory of the figures")
	fs.StringVar(&settings.revision, "commit", "uncommitted", "name of the measured revision")
	return &ffcli.Command{
		Name:       "bench",
		ShortUsage: "briarcross-lab bench [flags]",
		ShortHelp:  "run the experiments, print one line per measure, save the results and draw the figures",
		FlagSet:    fs,
		Options:    flagOptions(),
		Exec:       func(ctx context.Context, _ []string) error { return runBench(ctx, settings) },
	}
}

func runBench(ctx context.Context, settings benchSettings) error {
	measures, err := goBenchMeasures(settings.goBenchFile)
	if err != nil {
		return err
	}
	outOfBounds, err := experiment.WriteMeasures(os.Stdout, measures)
	if err != nil {
		return err
	}
	failedExperiments := 0
	for _, e := range bench.Experiments() {
		if matched, err := filepath.Match(settings.experimentPattern, e.Name); err != nil || !matched {
			continue
		}
		result, err := e.Run(ctx, settings.seed)
		if err != nil {
			failedExperiments++
			fmt.Printf("bench %s failed: %v\n", e.Name, err)
			continue
		}
		outOfBoundsHere, err := experiment.WriteMeasures(os.Stdout, result.Measures)
		if err != nil {
			return err
		}
		outOfBounds += outOfBoundsHere
		measures = append(measures, result.Measures...)
		if err := drawFigures(settings.figuresDir, result.Figures); err != nil {
			return err
		}
	}
	if err := saveMeasures(settings, measures); err != nil {
		return err
	}
	fmt.Printf("bench: %d measures, %d outside their bounds, %d experiments failed\n", len(measures), outOfBounds, failedExperiments)
	if failedExperiments > 0 {
		return eris.Errorf("%d experiments failed", failedExperiments)
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

// describeMachine returns the platform, the number of processors and, where
// /proc has it, the load average. It is called at the end of the run.
func describeMachine() string {
	text := fmt.Sprintf("%s/%s, %d processors", runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return text
	}
	return text + ", load average " + strings.TrimSpace(string(load))
}

func drawFigures(dir string, figures []experiment.Figure) error {
	for _, figure := range figures {
		if err := experiment.Draw(dir, figure); err != nil {
			return err
		}
	}
	return nil
}

// saveMeasures saves the measures and prints each that differs from its value at
// the last other commit that has it.
func saveMeasures(settings benchSettings, measures []experiment.Measure) error {
	record := experiment.Record{
		Commit:      settings.revision,
		UnixSeconds: time.Now().Unix(),
		Seed:        settings.seed,
		Machine:     describeMachine(),
		Measures:    measures,
	}
	if err := experiment.Save(settings.resultsDir, record); err != nil {
		return err
	}
	history, err := experiment.ReadHistory(settings.resultsDir)
	if err != nil {
		return err
	}
	for _, m := range measures {
		previousValue, commit, ok := experiment.PreviousValue(history, settings.revision, m.Name)
		if ok && previousValue != m.Value {
			fmt.Printf("bench change %s before=%.4g (%s) after=%.4g\n", m.Name, previousValue, commit, m.Value)
		}
	}
	return nil
}
