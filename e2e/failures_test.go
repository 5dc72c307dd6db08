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
	f := startFleet(t, options{sidecars: 2})
	lines := jobLines("dam-watch", "brief", jobItems, jobTokens)
	leader := f.leader()
	submitted := f.submit(0, lines)
	leader.kill()
	again := f.submit(1, lines)
	NewWithT(t).Expect(again.ID).To(Equal(submitted.ID))
	f.awaitJob(submitted.ID, "completed")
	f.checkLedger(submitted.ID, "brief", jobItems, jobTokens)
	leader.start(t)
	f.await("the killed replica takes part again", func() bool {
		active := 0
		for _, replica := range f.status().GetReplicas() {
			if replica.GetActive() {
				active++
			}
		}
		return active == voters
	})
}

func TestSidecarKilledWithItemsInFlight(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{sidecars: 2})
	submitted := f.submit(0, jobLines("dam-watch", "brief", jobItems, jobTokens))
	f.await("both engines run items", func() bool {
		return len(f.engines[0].Ledger()) > 1 && len(f.engines[1].Ledger()) > 1
	})
	f.sidecar[0].kill()
	f.awaitJob(submitted.ID, "completed")
	f.checkLedger(submitted.ID, "brief", jobItems, jobTokens)
}

// A leader that is cut off for a long time must not answer with an old
// configuration once it is back, nor may its daemons fall back.
func TestFrozenLeaderNeitherBlocksNorRevertsTheConfiguration(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, options{sidecars: 1})
	old := f.leader()
	old.freeze()
	revision := f.apply(strings.Replace(configuration, "due: 8h", "due: 9h", 1))
	f.awaitInForce(revision, entries+1)
	old.resume()
	f.await("the old leader follows", func() bool { return f.status().GetLeader() != old.name })
	for i := range f.control {
		status := f.status()
		g.Expect(status.GetConfigRevision()).To(BeNumerically(">=", revision), "replica %d", i+1)
	}
	f.awaitInForce(revision, entries+1)
}

func TestAllControlReplicasKilledAndRestarted(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, options{sidecars: 2})
	submitted := f.submit(0, jobLines("dam-watch", "brief", jobItems, jobTokens))
	before := f.status().GetConfigRevision()
	for _, p := range f.control {
		p.kill()
	}
	for _, p := range f.control {
		p.start(t)
	}
	g.Expect(f.status().GetConfigRevision()).To(Equal(before))
	f.awaitJob(submitted.ID, "completed")
	f.checkLedger(submitted.ID, "brief", jobItems, jobTokens)
}

// The spare takes the place of a lost replica, and a second loss right after
// the repair loses nothing that was acknowledged.
func TestSecondLossRightAfterRepair(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{sidecars: 2, spares: 1})
	submitted := f.submit(0, jobLines("dam-watch", "brief", jobItems, jobTokens))
	lost := f.leader()
	lost.kill()
	f.await("the spare has replaced the lost replica", func() bool {
		spare, gone := false, true
		for _, replica := range f.status().GetReplicas() {
			id := replica.GetReplica().GetId()
			spare = spare || id == "c4" && !replica.GetReplica().GetLearner()
			gone = gone && id != lost.name
		}
		return spare && gone
	})
	f.leader().kill()
	f.awaitJob(submitted.ID, "completed")
	f.checkLedger(submitted.ID, "brief", jobItems, jobTokens)
}

// A replica whose disk was emptied must not vote as the one it was.
func TestEmptiedDiskDoesNotLoseAcknowledgedWork(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, options{sidecars: 1})
	revision := f.apply(strings.Replace(configuration, "due: 8h", "due: 9h", 1))
	leader := f.leader()
	var emptied int
	for i, p := range f.control {
		if p != leader {
			emptied = i
			break
		}
	}
	f.control[emptied].kill()
	f.wipe(emptied)
	f.control[emptied].start(t)
	g.Expect(f.status().GetConfigRevision()).To(BeNumerically(">=", revision))
	_, err := f.complete(0, "after the loss", 4)
	g.Expect(err).NotTo(HaveOccurred())
}

// A planned stop of every kind of daemon cuts off no stream.
func TestPlannedStopsCutOffNoStream(t *testing.T) {
	t.Parallel()
	const streams = 12
	slow := labengine.DefaultCost()
	slow.Base = 20 * time.Millisecond
	tests := []struct {
		name string
		stop func(*fleet) *process
	}{
		{"entry", func(f *fleet) *process { return f.entry[0] }},
		{"sidecar", func(f *fleet) *process { return f.sidecar[0] }},
		{"control", func(f *fleet) *process { return f.leader() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := startFleet(t, options{sidecars: 2, cost: slow})
			var wait sync.WaitGroup
			got := make([]answered, streams)
			errs := make([]error, streams)
			for i := range streams {
				wait.Add(1)
				go func() {
					defer wait.Done()
					body := completionBody{Model: "dam-watch", Prompt: fmt.Sprintf("stream %d", i), MaxTokens: 100, Stream: true}
					got[i], errs[i] = f.ask(0, body, "")
				}()
			}
			f.await("the streams run", func() bool {
				return len(f.engines[0].Ledger())+len(f.engines[1].Ledger()) >= streams
			})
			stopped := test.stop(f)
			stopped.beginStop()
			wait.Wait()
			for i := range streams {
				g.Expect(errs[i]).NotTo(HaveOccurred())
				g.Expect(got[i].whole).To(BeTrue(), "stream %d", i)
				g.Expect(got[i].text).To(Equal(labengine.ResponseText(fmt.Sprintf("stream %d", i), 100)))
			}
			g.Expect(stopped.awaitStop()).To(Equal(0))
		})
	}
}

// A non-idempotent request with a key runs at most once, whatever dies and
// however often it is sent again.
func TestKeyedRequestRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	slow := labengine.DefaultCost()
	slow.Base = 20 * time.Millisecond
	f := startFleet(t, options{sidecars: 2, cost: slow})
	const requests = 8
	const tokens = 60
	var wait sync.WaitGroup
	// A caller asks again after a refusal that says not run.
	send := func(entry, i int) (answered, error) {
		body := completionBody{Model: "once", Prompt: fmt.Sprintf("crew %d", i), MaxTokens: tokens}
		var got answered
		var err error
		f.await("the request is not refused", func() bool {
			got, err = f.ask(entry, body, fmt.Sprintf("key-%d", i))
			return err != nil || got.outcome != "not-run" || got.status == http.StatusConflict
		})
		return got, err
	}
	for i := range requests {
		wait.Add(1)
		go func() {
			defer wait.Done()
			_, _ = send(0, i)
		}()
	}
	f.await("the requests run", func() bool { return f.startsOf("once") >= requests/2 })
	f.sidecar[0].kill()
	wait.Wait()
	for i := range requests {
		got, err := send(1, i)
		g.Expect(err).NotTo(HaveOccurred())
		if got.status == http.StatusOK {
			g.Expect(got.text).To(Equal(labengine.ResponseText(fmt.Sprintf("crew %d", i), tokens)))
		}
	}
	g.Expect(f.startsOf("once")).To(BeNumerically("<=", requests))
}

// startsOf counts the requests that the engines have started, without the
// requests that warmed the fleet up.
func (f *fleet) startsOf(string) int {
	starts := 0
	for _, engine := range f.engines {
		for _, entry := range engine.Ledger() {
			starts += entry.Started
		}
	}
	return starts - f.warmUps()
}

func (f *fleet) warmUps() int { return len(f.entry) }

// A draining upstream finishes what runs and gets nothing new from any entry.
func TestDrainedUpstreamGetsNothingNew(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, options{sidecars: 2})
	response, err := http.Post(f.sidecarURL(0)+"/drain", "", nil)
	g.Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	before := len(f.engines[0].Ledger())
	for i := range 40 {
		_, err := f.complete(i%entries, fmt.Sprintf("after drain %d", i), 2)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(f.engines[0].Ledger()).To(HaveLen(before))
}

// A change of a model's version reaches every engine, those that check fencing
// numbers and those that do not, while requests go on being answered; a sidecar
// that is killed meanwhile carries its order out once it is back.
func TestChangeOfVersionWhileServing(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, options{sidecars: 2})
	changed := strings.ReplaceAll(configuration, "  model: dam-watch\n", "  model: dam-watch\n  version: \"2\"\n  minUpstreams: 1\n")
	f.apply(changed)
	f.await("an upstream has an order", func() bool { return f.ordersIssued() > 0 })
	f.sidecar[1].kill()
	f.sidecar[1].start(t)
	asked := 0
	f.await("every engine serves the new version", func() bool {
		_, err := f.complete(asked%entries, fmt.Sprintf("during the change %d", asked), 2)
		g.Expect(err).NotTo(HaveOccurred())
		asked++
		return f.versions() == "2 2"
	})
}

// ordersIssued counts the orders that the leader knows of.
func (f *fleet) ordersIssued() int {
	issued := 0
	for _, name := range []string{"s1", "s2"} {
		answer, err := operator.NewClient(f.controlURL(0)).Orders(name)
		if err == nil {
			issued += int(answer.GetFencingNumber())
		}
	}
	return issued
}

// versions returns the versions that the engines serve.
func (f *fleet) versions() string {
	var versions []string
	for _, engine := range f.engines {
		versions = append(versions, engine.Identity().Version)
	}
	return strings.Join(versions, " ")
}
