package demo

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/devd"
	"github.com/briarcross/briarcross/operator"
	"github.com/briarcross/briarcross/pb"
)

const longJobItems = 400

// longJobLines returns a job, in the OpenAI batch format, that runs long enough
// to be cancelled.
func longJobLines() []byte {
	var lines strings.Builder
	for i := range longJobItems {
		body, _ := json.Marshal(completionBody{Model: devd.ModelServiceName, Prompt: fmt.Sprintf("Record %d of the long job", i), MaxTokens: longResponseTokens})
		fmt.Fprintf(&lines, `{"custom_id":"long-%d","method":"POST","url":"/v1/completions","body":%s}`+"\n", i, body)
	}
	return []byte(lines.String())
}

// startedItemCount returns how many times the engines have started items of a
// job.
func (d *demo) startedItemCount(jobID string) int {
	started := 0
	for _, engine := range d.cluster.Engines {
		for _, entry := range engine.Ledger() {
			if strings.HasPrefix(entry.ID, jobID+"/") {
				started += entry.Started
			}
		}
	}
	return started
}

// runningRequestCount returns how many requests the sidecars hold, queued ones
// included.
func (d *demo) runningRequestCount() int {
	running := 0
	for _, sidecar := range d.cluster.Sidecars {
		running += sidecar.RequestCount()
	}
	return running
}

const changedProfile = `kind: Profile
name: inspector
schemaVersion: 1
spec:
  class: online
  firstToken: 700ms
  betweenTokens: 100ms
  due: 45s
  idempotent: true
  maxAttempts: 3
  priority: 5
`

// showProfileChange applies a changed profile and waits until every daemon
// reports that its revision is in force.
func (d *demo) showProfileChange() error {
	start := time.Now()
	revision, err := operator.NewClient(d.cluster.ControlURL(0)).Apply("changed.yaml", []byte(changedProfile), "demo")
	if err != nil {
		return err
	}
	daemons := entryCount + sidecarCount + 1
	err = await("the change is in force", func() (bool, error) {
		status, err := operator.NewClient(d.cluster.ControlURL(1)).Status()
		if err != nil {
			return false, err
		}
		return daemonsAtRevision(status, revision) == daemons, nil
	})
	if err != nil {
		return err
	}
	d.printf("   revision %d is in force on all %d daemons after %d ms\n", revision, daemons, time.Since(start).Milliseconds())
	for _, entry := range d.cluster.Entries {
		if entry.Revision() < revision {
			return eris.Errorf("entry still has revision %d", entry.Revision())
		}
	}
	return nil
}

func daemonsAtRevision(status *pb.StatusAnswer, revision uint64) int {
	daemons := make(map[string]bool)
	for _, daemon := range status.GetDaemons() {
		if daemon.GetRevision() >= revision {
			daemons[daemon.GetDaemon()] = true
		}
	}
	return len(daemons)
}
