package e2e

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestPlatformServesStreamsAndJobs(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startPlatformFleet(t, 2, 3, false)
	for i, prefix := range []string{"/resumable/", "/once/", "/resumable/"} {
		id := fmt.Sprintf("r-%d", i)
		got := f.sendRequest(f.entries[i%2], prefix, id)
		g.Expect(got.status).To(Equal(http.StatusOK))
		g.Expect(got.body).To(Equal(expectedStream(id)))
		g.Expect(got.stamp).To(HaveSuffix("." + id))
		g.Expect(f.ledger.runTimes(id)).To(HaveLen(1))
	}
	g.Expect(f.sendRequest(f.entries[0], "/never/", "r-9").status).To(Equal(http.StatusNotFound))

	const items = 12
	g.Expect(f.submitJob(f.entries[0], "job", items)).To(Equal(http.StatusAccepted))
	g.Expect(f.submitJob(f.entries[1], "job", items)).To(Equal(http.StatusAccepted))
	f.awaitResults("job", items)
	status, _ := f.sendJobRequest(http.MethodDelete, f.entries[1], "/lots/job", "job", "")
	g.Expect(status).To(Equal(http.StatusOK))
	status, _ = f.readJobPage(f.entries[0], "unknown", 0)
	g.Expect(status).To(Equal(http.StatusNotFound))
}

// awaitResults waits until an entry returns a result for every item of a job, and
// checks the results.
func (f *platformFleet) awaitResults(job string, items int) {
	f.t.Helper()
	var page jobPage
	f.await("job "+job+" is done", func() bool {
		for _, n := range f.entries {
			var status int
			if status, page = f.readJobPage(n, job, 0); status == http.StatusOK && len(page.Results) == items {
				return true
			}
		}
		return false
	})
	seen := make(map[string]bool)
	for _, r := range page.Results {
		if problem := resultProblem(job, items, r.ID, r.State, r.Text); problem != "" || seen[r.ID] {
			f.t.Errorf("job %s item %s: %s", job, r.ID, problem)
		}
		seen[r.ID] = true
	}
}

func TestPlatformConfigurationSurvivesTheLossOfAllControlReplicas(t *testing.T) {
	t.Parallel()
	f := startPlatformFleet(t, 1, 2, false)
	version := f.replaceConfiguration()
	for _, n := range f.controls {
		n.kill()
	}
	for _, n := range f.controls {
		f.startNode(n, false)
	}
	f.await("a restarted control replica returns the configuration", func() bool {
		status, body := f.readConfiguration(f.controls[1])
		return status == http.StatusOK && strings.Contains(body, fmt.Sprintf(`"Version":%d`, version))
	})
	f.replaceConfiguration()
}

// A storage replica that loses its data directory right after an acknowledgement
// is replaced by a new replica at the same address. The same loss at a second
// replica then loses no acknowledged job.
func TestPlatformJobsSurviveAnEmptiedDiskAndASecondLoss(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startPlatformFleet(t, 1, 2, false)
	const items = 6
	for i := range 5 {
		job := fmt.Sprintf("job-%d", i)
		f.await(job+" is accepted", func() bool { return f.submitJob(f.entries[0], job, items) == http.StatusAccepted })
	}
	for i := range 2 {
		n := f.stores[i]
		n.kill()
		g.Expect(os.RemoveAll(n.dataDir)).To(Succeed())
		before := len(n.readLog(t))
		f.startNode(n, false)
		f.await(n.name+" is a voter again", func() bool { return n.isVoter(n.readLog(t)[before:]) })
	}
	for i := range 5 {
		f.awaitResults(fmt.Sprintf("job-%d", i), items)
	}
}

func (n *platformNode) readLog(t *testing.T) string {
	t.Helper()
	log, err := os.ReadFile(n.logPath)
	if err != nil {
		t.Fatal(err)
	}
	return string(log)
}

// isVoter reports whether the last membership in a part of a storage replica's
// log lists the replica as a voter.
func (n *platformNode) isVoter(log string) bool {
	lines := strings.Split(log, "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.Contains(lines[i], `"members"`) {
			return strings.Contains(lines[i], n.internalAddress()+" ")
		}
	}
	return false
}

func TestPlatformPlannedStopInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	f := startPlatformFleet(t, 2, 3, false)
	stopping := f.entries[0]
	failures := make(chan string, 64)
	finished := make(chan struct{})
	started := make(chan struct{})
	go func() {
		defer close(finished)
		for i := 0; ; i++ {
			id := fmt.Sprintf("s-%d", i)
			got := f.sendRequest(stopping, "/once/", id)
			if got.status == 0 {
				return // The entry has stopped accepting connections.
			}
			if !got.complete && got.status != http.StatusServiceUnavailable {
				failures <- fmt.Sprintf("%s: status %d, %v", id, got.status, got.err)
			}
			if i == 3 {
				close(started)
			}
		}
	}()
	<-started
	stopping.requestStop()
	if code := stopping.waitExit(); code != 0 {
		t.Errorf("the entry exited with code %d, want 0", code)
	}
	<-finished
	close(failures)
	for failure := range failures {
		t.Error(failure)
	}
}

func TestPlatformDrainingEngineGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	f := startPlatformFleet(t, 1, 3, false)
	drainingEngine := f.engines[0]
	drainingEngine.draining.Store(true)
	f.await("a control replica acknowledges the heartbeat that reports draining", func() bool { return drainingEngine.drainAckUnixMs.Load() > 0 })
	i := 0
	f.await("requests have been sent for longer than the drain timeout", func() bool {
		i++
		f.sendRequest(f.entries[0], "/resumable/", fmt.Sprintf("d-%d", i))
		return i > 60
	})
	if late := drainingEngine.lateRequests.Load(); late > 0 {
		t.Errorf("%d requests reached a draining engine after the drain timeout", late)
	}
}
