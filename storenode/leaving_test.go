package storenode

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/node"
)

var noHooks = node.SlotHooks{
	LoadChanged: func() {}, HealthChanged: func(dispatch.HealthChange) {}, Leaving: func(dispatch.LeavingChange) {},
	RateChanged: func(dispatch.RateChange) {}, PreemptionRequested: func(dispatch.PreemptionRequest) {},
}

func newTestSlots() *node.SlotPool {
	return node.NewSlotPool(dispatch.Options{DataCentre: "d", Seed: 1, PeerTimeout: time.Hour}, noHooks)
}

// startLeavingRun returns an item with a slot of an engine that leaves, which is the only
// upstream in the pool of its leader.
func startLeavingRun(t *testing.T) (*testEngine, *testRun, *node.SlotPool) {
	t.Helper()
	e := startEngine(t)
	e.leaving = true
	slots := newTestSlots()
	slots.UpdateUpstreams([]fleet.Upstream{{ID: "u", StartUnixMs: 5, Sequence: 1, Service: "s", Address: e.address, DataCentre: "d", Slots: 8, Phase: fleet.Ready}})
	run := newTestRun(e, "")
	run.item.runner.node = &Node{Dispatcher: &node.Dispatcher{Slots: slots}}
	grant, refused := acquire(slots)
	NewWithT(t).Expect(refused).To(BeNil())
	run.item.grant, run.item.preempted = grant, &atomic.Bool{}
	return e, run, slots
}

func acquire(slots *node.SlotPool) (dispatch.Grant, *dispatch.Refusal) {
	return slots.Acquire(context.Background(), dispatch.SlotRequest{Service: "s", Class: dispatch.Batch, Urgent: true})
}

func refusedReason(slots *node.SlotPool) func() dispatch.Reason {
	return func() dispatch.Reason {
		grant, refused := acquire(slots)
		if refused == nil {
			slots.Release(grant, dispatch.Inconclusive)
			return ""
		}
		return refused.Reason
	}
}

// executeRun executes a run on its leader or on a worker. The channel receives the status with
// which it ends.
func executeRun(t *testing.T, run *testRun, onWorker bool) <-chan int {
	t.Helper()
	var workers []string
	if onWorker {
		workers = append(workers, startWorker(t).address)
	}
	run.item.runner.workers = startLeader(t, 1, workers...)
	run.item.runner.engines = startWorker(t).service.engines
	ended := make(chan int, 1)
	go func() {
		_, status, _ := run.item.execute(context.Background())
		ended <- status
	}()
	return ended
}

// The engine says that it leaves at the start of a long run.
func TestLeavingEngineGetsFurtherItems(t *testing.T) {
	for name, runsOnWorker := range map[string]bool{"leader": false, "worker": true} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			e, run, slots := startLeavingRun(t)
			ended := executeRun(t, run, runsOnWorker)
			expect.Eventually(refusedReason(slots), testTimeout, time.Millisecond).Should(Equal(dispatch.NoUpstream))
			expect.Consistently(ended, 50*time.Millisecond).ShouldNot(Receive())
			close(e.gate)
			expect.Eventually(ended, testTimeout).Should(Receive(Equal(http.StatusOK)))
			expect.Expect(run.text()).To(Equal("one\ntwo\nthree"))
		})
	}
}

// A leader that was elected after the engine's answer places an item there again.
func TestWorkerRunsItemOfNewLeaderAtLeavingEngine(t *testing.T) {
	expect := NewWithT(t)
	worker := startWorker(t)
	worker.service.slots.MarkLeaving(dispatch.LeavingNotice{Upstream: "u", StartUnixMs: 5, Source: dispatch.SourceAnswer})
	e, run, slots := startLeavingRun(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	end, ok := startLeader(t, 2, worker.address).run(ctx, run.item)
	expect.Expect(ok).To(BeTrue())
	expect.Expect(end).To(Equal(runEnd{jobpages.NotRun, dispatch.Inconclusive, 0, "leaving"}))
	expect.Expect(slots.IsLeaving("u", 5)).To(BeTrue())
	expect.Expect(e.after).To(BeEmpty())
}
