// Package demo demonstrates the main functions on a whole installation in one
// process: an online response, a call of a plain service, batch jobs, a change of
// a profile, and a planned stop of a sidecar.
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
	entryCount            = 2
	sidecarCount          = 2
	pollInterval          = 50 * time.Millisecond
	stepTimeout           = 60 * time.Second
	expectedFailedRecords = 2
	logLevel              = "error"
	shortResponseTokens   = 24
	longResponseTokens    = 150
)

// Options configure the demonstration.
type Options struct {
	// Records is the name of a file of inspection records in the OpenAI batch
	// format.
	Records string
	// Out receives the report of the demonstration.
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

// Run runs the demonstration and returns the error of the first step that fails.
func Run(options Options) (err error) {
	records, err := os.ReadFile(options.Records)
	if err != nil {
		return eris.Wrap(err, "read inspection records")
	}
	settings := &devd.Settings{Entries: entryCount, Sidecars: sidecarCount, LogLevel: logLevel, Seed: 1}
	settings.BasePort = devd.FreeBasePort(settings.PortCount())
	if err := settings.Check(); err != nil {
		return err
	}
	cluster, err := devd.Start(settings)
	if err != nil {
		return err
	}
	d := &demo{options: options, cluster: cluster, records: records}
	defer func() {
		stopErr := cluster.Stop()
		if err == nil {
			err = stopErr
		}
	}()
	return d.run()
}

func (d *demo) run() error {
	d.printf("three control replicas, %d entries, %d sidecars in front of fake engines, one in front of a plain service\n", entryCount, sidecarCount)
	steps := []step{
		{"an online response, streamed token by token", d.showOnline},
		{"a call of a plain service", d.showPlainService},
		{"a batch job of inspection records", d.showBatch},
		{"cancellation of a running job", d.showCancellation},
		{"activation of a changed profile on every daemon", d.showProfileChange},
		{"a planned stop of a sidecar while it streams", d.showPlannedStop},
	}
	for number, s := range steps {
		d.printf("\n%d. %s\n", number+1, s.title)
		if err := s.run(); err != nil {
			return eris.Wrap(err, s.title)
		}
	}
	d.printf("\nall steps of the demonstration succeeded\n")
	return nil
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.options.Out, format, args...)
}

// await polls a condition until it holds, fails, or stepTimeout has passed.
func await(conditionName string, condition func() (bool, error)) error {
	timeout := time.NewTimer(stepTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		done, err := condition()
		if done || err != nil {
			return err
		}
		select {
		case <-timeout.C:
			return eris.Errorf("timed out waiting until %s", conditionName)
		case <-ticker.C:
		}
	}
}
