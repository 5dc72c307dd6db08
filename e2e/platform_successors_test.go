package e2e

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"
)

const (
	// powerRecoveryBound is the time after a start of all daemons in which they must serve
	// all engines again: two heartbeat intervals and the claim delay until control knows the
	// engines, then an election and the takeover of the jobs.
	powerRecoveryBound = 10 * time.Second
)

// Running engines whose addresses had several engines were missing after a start of all daemons,
// and accepted items stayed without a run. See docs/incidents/2026-12-06-lost-after-power.md.
func TestPlatformServesAfterLossOfPowerAmidSuccessors(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name       string
		hidesStart bool
		// settled is the time from the last start of an engine to the loss of power.
		settled time.Duration
	}{
		{"start times, settled", false, 4 * claimDelay},
		{"no start times, settled", true, 4 * claimDelay},
		{"no start times, within the claim delay", true, claimDelay / 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startPlatformFleet(t, 2, 6, false)
			stopLoad := f.startLoad("l")
			defer stopLoad()
			stopJobs := f.startJobs()
			f.succeedEngines(test.hidesStart)
			time.Sleep(test.settled)
			accepted := stopJobs()
			formerRuns := make(map[*fakeEngine]int32)
			for _, e := range f.formerEngines {
				formerRuns[e] = e.runCount.Load()
			}
			f.losePower(f.stores[0])
			started := time.Now()
			for _, e := range f.engines {
				e.runCount.Store(0)
			}
			for _, n := range f.entries {
				f.awaitRecovery(started, n.name+" completes a request", func() bool {
					return f.sendRequest(n, "/resumable/", fmt.Sprintf("after-%s-%d", n.name, time.Now().UnixNano())).complete
				})
			}
			for _, e := range f.engines {
				f.awaitRecovery(started, e.id+" gets a run", func() bool { return e.runCount.Load() > 0 })
			}
			f.awaitRecovery(started, fmt.Sprintf("all %d accepted jobs are done", len(accepted)), func() bool {
				for len(accepted) > 0 && f.jobIsDone(accepted[0]) {
					accepted = accepted[1:]
				}
				return len(accepted) == 0
			})
			for e, runs := range formerRuns {
				if now := e.runCount.Load(); now != runs {
					t.Errorf("the former engine %s got %d requests after its end", e.id, now-runs)
				}
			}
		})
	}
}

// succeedEngines lets three of the engines crash at a time and others start at their addresses,
// until each address has had at least three.
func (f *platformFleet) succeedEngines(hidesStart bool) {
	f.t.Helper()
	// The IDs of the first engines begin with "i".
	for round, prefix := range []string{"c", "r", "e", "x", "a"} {
		var crashed []int
		for i := range f.engines {
			if (i+round)%2 == 0 {
				crashed = append(crashed, i)
				f.engines[i].stop()
			}
		}
		time.Sleep(claimDelay * time.Duration(round%3) / 2)
		for _, i := range crashed {
			successor := f.startSuccessor(f.engines[i], fmt.Sprintf("%s-%d", prefix, i), hidesStart)
			f.formerEngines = append(f.formerEngines, f.engines[i])
			f.engines[i] = successor
		}
		time.Sleep(2 * claimDelay)
	}
}

// losePower kills all daemons, deletes the data directory of one, and starts all again.
func (f *platformFleet) losePower(emptied *platformNode) {
	f.t.Helper()
	for _, n := range f.nodes() {
		n.kill()
	}
	if err := os.RemoveAll(emptied.dataDir); err != nil {
		f.t.Fatal(err)
	}
	for _, n := range f.nodes() {
		f.startNode(n, false)
	}
}

// awaitRecovery awaits a condition, which must hold within powerRecoveryBound after a start.
func (f *platformFleet) awaitRecovery(started time.Time, goal string, condition func() bool) {
	f.t.Helper()
	f.await(goal, condition)
	if took := time.Since(started); took > powerRecoveryBound {
		f.t.Errorf("%s: %v after the start, later than %v", goal, took, powerRecoveryBound)
	} else {
		f.t.Logf("%s: %v after the start", goal, took.Round(time.Millisecond))
	}
}

// startJobs submits jobs until stop is called, which returns those that were accepted.
func (f *platformFleet) startJobs() (stop func() []string) {
	done := make(chan struct{})
	var accepted []string
	var sender sync.WaitGroup
	sender.Go(func() {
		for i := 0; ; i++ {
			job := fmt.Sprintf("job-%d", i)
			if f.submitJob(f.entries[i%len(f.entries)], job, soakItems) == http.StatusAccepted {
				accepted = append(accepted, job)
			}
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	return func() []string {
		close(done)
		sender.Wait()
		return accepted
	}
}

// jobIsDone reports whether an entry returns the correct result of each item of a job.
func (f *platformFleet) jobIsDone(job string) bool {
	for _, n := range f.entries {
		status, page := f.readJobPage(n, job, 0)
		if status != http.StatusOK || len(page.Results) != soakItems {
			continue
		}
		seen := make(map[string]bool)
		for _, r := range page.Results {
			if problem := resultProblem(job, soakItems, r.ID, r.State, r.Text); problem != "" || seen[r.ID] {
				f.t.Errorf("job %s item %s: %s", job, r.ID, problem)
			}
			seen[r.ID] = true
		}
		return true
	}
	return false
}
