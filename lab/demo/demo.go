// Package demo shows the main job on a whole installation in one process: an
// online answer, batch jobs, a change of a profile, and a planned stop.
package demo

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/devd"
)

const (
	entries    = 2
	sidecars   = 2
	pollTime   = 50 * time.Millisecond
	stepLimit  = 60 * time.Second
	neverDone  = 2
	logLevel   = "error"
	maxTokens  = 24
	longTokens = 150
)

// Options configure a demo.
type Options struct {
	// Records is a file of inspection records in the OpenAI batch format.
	Records string
	// Out receives the report.
	Out io.Writer
}

// demo is a running demonstration.
type demo struct {
	options Options
	cluster *devd.Cluster
	records []byte
}

// step is one part of the demonstration.
type step struct {
	title string
	run   func() error
}

// Run runs the demonstration and returns the first failure.
func Run(o Options) (err error) {
	records, err := os.ReadFile(o.Records)
	if err != nil {
		return eris.Wrap(err, "read inspection records")
	}
	settings := &devd.Settings{Entries: entries, Sidecars: sidecars, LogLevel: logLevel, Seed: 1}
	settings.BasePort = devd.FreeBasePort(settings.PortCount())
	if err := settings.Check(); err != nil {
		return err
	}
	cluster, err := devd.Start(settings)
	if err != nil {
		return err
	}
	d := &demo{options: o, cluster: cluster, records: records}
	defer func() {
		stopErr := cluster.Stop()
		if err == nil {
			err = stopErr
		}
	}()
	return d.run()
}

func (d *demo) run() error {
	d.printf("three control replicas, %d entries, %d sidecars before fake engines, one before a plain service\n", entries, sidecars)
	steps := []step{
		{"an online answer, token by token", d.online},
		{"a call of a plain service", d.plain},
		{"a batch job of inspection records", d.batch},
		{"a cancelled job stops", d.cancel},
		{"a changed profile comes into force on every daemon", d.changeProfile},
		{"a planned stop of a sidecar while it streams", d.plannedStop},
	}
	for number, s := range steps {
		d.printf("\n%d. %s\n", number+1, s.title)
		if err := s.run(); err != nil {
			return eris.Wrap(err, s.title)
		}
	}
	d.printf("\nall parts of the demonstration held\n")
	return nil
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.options.Out, format, args...)
}

// await polls a condition until it holds or the limit of a step is over.
func await(what string, condition func() (bool, error)) error {
	limit := time.NewTimer(stepLimit)
	defer limit.Stop()
	ticker := time.NewTicker(pollTime)
	defer ticker.Stop()
	for {
		held, err := condition()
		if held || err != nil {
			return err
		}
		select {
		case <-limit.C:
			return eris.Errorf("timeout while waiting until %s", what)
		case <-ticker.C:
		}
	}
}
