package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	labengine "github.com/briarcross/briarcross/lab/engine"
	"github.com/briarcross/briarcross/operator"
	. "github.com/onsi/gomega"
)

const (
	jobItems  = 120
	jobTokens = 20
)

func TestLeaderKilledRightAfterAcknowledgingAJob(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{sidecarCount: 2})
	lines := jobLines("dam-watch", "brief", jobItems, jobTokens)
	leader := f.leader()
	submitted := f.submitJob(0, lines)
	leader.kill()
	again := f.submitJob(1, lines)
	NewWithT(t).Expect(again.ID).To(Equal(submitted.ID))
	f.awaitJob(submitted.ID, "completed")
	f.checkResults(submitted.ID, "brief", jobItems, jobTokens)
	leader.start(t)
	f.await("the killed replica is active again", func() bool {
		active := 0
		for _, replica := range f.status().GetReplicas() {
			if replica.GetActive() {
				active++
			}
		}
		return active == voterCount
	})
}

func TestSidecarKilledWithItemsInFlight(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{sidecarCount: 2})
	submitted := f.submitJob(0, jobLines("dam-watch", "brief", jobItems, jobTokens))
	f.await("both engines run items", func() bool {
		return len(f.engines[0].Ledger()) > 1 && len(f.engines[1].Ledger()) > 1
	})
	f.sidecars[0].kill()
	f.awaitJob(submitted.ID, "completed")
	f.checkResults(submitted.ID, "brief", jobItems, jobTokens)
}

// A leader that was frozen while a new configuration was accepted must not serve
// the old one after it resumes, and its daemons must not revert to it.
func TestFrozenLeaderNeitherBlocksNorRevertsTheConfiguration(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, fleetOptions{sidecarCount: 1})
	oldLeader := f.leader()
	oldLeader.freeze()
	revision := f.apply(strings.Replace(testConfiguration, "due: 8h", "due: 9h", 1))
	f.awaitRevisionInForce(revision, entryCount+1)
	oldLeader.resume()
	f.await("the status names a leader other than the frozen one", func() bool { return f.status().GetLeader() != oldLeader.name })
	for i := range f.controls {
		status := f.status()
		g.Expect(status.GetConfigRevision()).To(BeNumerically(">=", revision), "replica %d", i+1)
	}
	f.awaitRevisionInForce(revision, entryCount+1)
}

func TestAllControlReplicasKilledAndRestarted(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, fleetOptions{sidecarCount: 2})
	submitted := f.submitJob(0, jobLines("dam-watch", "brief", jobItems, jobTokens))
	before := f.status().GetConfigRevision()
	for _, p := range f.controls {
		p.kill()
	}
	for _, p := range f.controls {
		p.start(t)
	}
	g.Expect(f.status().GetConfigRevision()).To(Equal(before))
	f.awaitJob(submitted.ID, "completed")
	f.checkResults(submitted.ID, "brief", jobItems, jobTokens)
}

// A spare replaces a lost replica, and the loss of a second replica right after
// the repair loses no acknowledged job or result.
func TestSecondLossRightAfterRepair(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{sidecarCount: 2, spareCount: 1})
	submitted := f.submitJob(0, jobLines("dam-watch", "brief", jobItems, jobTokens))
	lost := f.leader()
	lost.kill()
	f.await("the spare has replaced the lost replica", func() bool {
		spareVotes, lostRemoved := false, true
		for _, replica := range f.status().GetReplicas() {
			id := replica.GetReplica().GetId()
			spareVotes = spareVotes || id == "c4" && !replica.GetReplica().GetLearner()
			lostRemoved = lostRemoved && id != lost.name
		}
		return spareVotes && lostRemoved
	})
	f.leader().kill()
	f.awaitJob(submitted.ID, "completed")
	f.checkResults(submitted.ID, "brief", jobItems, jobTokens)
}

// A replica that restarts with a deleted data directory must not vote under its
// former identity, or an acknowledged configuration could be lost.
func TestEmptiedDiskDoesNotLoseAcknowledgedWork(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, fleetOptions{sidecarCount: 1})
	revision := f.apply(strings.Replace(testConfiguration, "due: 8h", "due: 9h", 1))
	leader := f.leader()
	var emptiedIndex int
	for i, p := range f.controls {
		if p != leader {
			emptiedIndex = i
			break
		}
	}
	f.controls[emptiedIndex].kill()
	f.removeData(emptiedIndex)
	f.controls[emptiedIndex].start(t)
	g.Expect(f.status().GetConfigRevision()).To(BeNumerically(">=", revision))
	_, err := f.completeAndCheck(0, "after the loss", 4)
	g.Expect(err).NotTo(HaveOccurred())
}

// A planned stop of an entry, a sidecar or the control leader interrupts no
// stream.
func TestPlannedStopsInterruptNoStream(t *testing.T) {
	t.Parallel()
	const streams = 12
	slow := labengine.DefaultCost()
	slow.Base = 20 * time.Millisecond
	tests := []struct {
		name string
		stop func(*fleet) *process
	}{
		{"entry", func(f *fleet) *process { return f.entries[0] }},
		{"sidecar", func(f *fleet) *process { return f.sidecars[0] }},
		{"control", func(f *fleet) *process { return f.leader() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := startFleet(t, fleetOptions{sidecarCount: 2, cost: slow})
			var wg sync.WaitGroup
			got := make([]completionResponse, streams)
			errs := make([]error, streams)
			for i := range streams {
				wg.Add(1)
				go func() {
					defer wg.Done()
					body := completionBody{Model: "dam-watch", Prompt: fmt.Sprintf("stream %d", i), MaxTokens: 100, Stream: true}
					got[i], errs[i] = f.sendCompletion(0, body, "")
				}()
			}
			f.await("the engines have started all streams", func() bool {
				return len(f.engines[0].Ledger())+len(f.engines[1].Ledger()) >= streams
			})
			stopped := test.stop(f)
			stopped.requestStop()
			wg.Wait()
			for i := range streams {
				g.Expect(errs[i]).NotTo(HaveOccurred())
				g.Expect(got[i].complete).To(BeTrue(), "stream %d", i)
				g.Expect(got[i].text).To(Equal(labengine.ResponseText(fmt.Sprintf("stream %d", i), 100)))
			}
			g.Expect(stopped.waitExit()).To(Equal(0))
		})
	}
}

// A non-idempotent request with an idempotency key runs at most once, although a
// sidecar is killed while it runs and the caller sends it again.
func TestKeyedRequestRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	slow := labengine.DefaultCost()
	slow.Base = 20 * time.Millisecond
	f := startFleet(t, fleetOptions{sidecarCount: 2, cost: slow})
	const requests = 8
	const tokens = 60
	var wg sync.WaitGroup
	// send repeats a request that was refused as not run, except for a conflict.
	send := func(entry, i int) (completionResponse, error) {
		body := completionBody{Model: "once", Prompt: fmt.Sprintf("crew %d", i), MaxTokens: tokens}
		var got completionResponse
		var err error
		f.await("the request is not refused as not run", func() bool {
			got, err = f.sendCompletion(entry, body, fmt.Sprintf("key-%d", i))
			return err != nil || got.outcome != "not-run" || got.status == http.StatusConflict
		})
		return got, err
	}
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = send(0, i)
		}()
	}
	f.await("the engines have started half of the requests", func() bool { return f.startCount("once") >= requests/2 })
	f.sidecars[0].kill()
	wg.Wait()
	for i := range requests {
		got, err := send(1, i)
		g.Expect(err).NotTo(HaveOccurred())
		if got.status == http.StatusOK {
			g.Expect(got.text).To(Equal(labengine.ResponseText(fmt.Sprintf("crew %d", i), tokens)))
		}
	}
	g.Expect(f.startCount("once")).To(BeNumerically("<=", requests))
}

// startCount returns the number of requests of all services that the engines
// have started, without the warm-up requests of awaitServing.
func (f *fleet) startCount(string) int {
	starts := 0
	for _, engine := range f.engines {
		for _, entry := range engine.Ledger() {
			starts += entry.Started
		}
	}
	return starts - f.warmUpCount()
}

func (f *fleet) warmUpCount() int { return len(f.entries) }

// A draining upstream finishes its running requests and gets no new ones from any
// entry.
func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, fleetOptions{sidecarCount: 2})
	response, err := http.Post(f.sidecarURL(0)+"/drain", "", nil)
	g.Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	before := len(f.engines[0].Ledger())
	for i := range 40 {
		_, err := f.completeAndCheck(i%entryCount, fmt.Sprintf("after drain %d", i), 2)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(f.engines[0].Ledger()).To(HaveLen(before))
}

// A change of a model's version reaches every engine, whether or not it checks
// fencing numbers, while all requests succeed. A sidecar that is killed meanwhile
// executes its order after its restart.
func TestChangeOfVersionWhileServing(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, fleetOptions{sidecarCount: 2})
	changed := strings.ReplaceAll(testConfiguration, "  model: dam-watch\n", "  model: dam-watch\n  version: \"2\"\n  minUpstreams: 1\n")
	f.apply(changed)
	f.await("an upstream has an order", func() bool { return f.orderCount() > 0 })
	f.sidecars[1].kill()
	f.sidecars[1].start(t)
	sentRequests := 0
	f.await("every engine serves the new version", func() bool {
		_, err := f.completeAndCheck(sentRequests%entryCount, fmt.Sprintf("during the change %d", sentRequests), 2)
		g.Expect(err).NotTo(HaveOccurred())
		sentRequests++
		return f.engineVersions() == "2 2"
	})
}

// orderCount returns the sum of the upstreams' fencing numbers, as the first
// control replica reports them. It is zero before the first order.
func (f *fleet) orderCount() int {
	count := 0
	for _, name := range []string{"s1", "s2"} {
		response, err := operator.NewClient(f.controlURL(0)).Orders(name)
		if err == nil {
			count += int(response.GetFencingNumber())
		}
	}
	return count
}

// engineVersions returns the model versions that the engines serve, separated by
// spaces.
func (f *fleet) engineVersions() string {
	var versions []string
	for _, engine := range f.engines {
		versions = append(versions, engine.Identity().Version)
	}
	return strings.Join(versions, " ")
}
