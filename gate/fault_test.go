package gate_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/gate"
	"github.com/briarcross/briarcross/pb"
)

// soakSeedsVariable is the environment variable that sets the number of seeds per
// soak test.
const soakSeedsVariable = "BRIARCROSS_SOAK_SEEDS"

func soakSeeds(defaultSeeds int) int {
	if n, err := strconv.Atoi(os.Getenv(soakSeedsVariable)); err == nil && n > 0 {
		return n
	}
	return defaultSeeds
}

// mixedRequests returns a generator of requests of which some are not idempotent
// and some are resumable.
func mixedRequests(seed uint64) func(n int) gate.Request {
	random := core.NewRand(seed)
	idempotentRequest := onlineRequests(random)
	return func(n int) gate.Request {
		r := idempotentRequest(n)
		r.Idempotent = random.IntN(3) > 0
		r.Resumable = r.Idempotent && random.IntN(2) > 0
		return r
	}
}

// contractViolations checks a finished run: each request is finished exactly once,
// outcomes match what the engines ran and the caller received, and no
// non-idempotent request ran twice.
func (f *fleet) contractViolations() []string {
	violations := []string{}
	for id, c := range f.calls {
		outcome := c.finish.Outcome
		switch {
		case c.finishes != 1 && !c.entry.crashed:
			violations = append(violations, fmt.Sprintf("request %s was finished %d times, want once", id, c.finishes))
		case c.finishes == 0:
		case outcome == pb.Outcome_OUTCOME_NOT_RUN && c.engineStarts > 0:
			violations = append(violations, fmt.Sprintf("request %s was finished as not run (%s) but ran %d times", id, c.finish.Reason, c.engineStarts))
		case outcome == pb.Outcome_OUTCOME_DONE && c.relayedTokens != c.request.MaxTokens:
			violations = append(violations, fmt.Sprintf("request %s was finished as done after %d of %d tokens", id, c.relayedTokens, c.request.MaxTokens))
		}
		if !c.request.Idempotent && c.engineStarts > 1 {
			violations = append(violations, fmt.Sprintf("non-idempotent request %s ran %d times", id, c.engineStarts))
		}
	}
	slices.Sort(violations)
	return violations
}

func (f *fleet) countOutcome(outcome pb.Outcome) int {
	count := 0
	for _, c := range f.calls {
		if c.finishes > 0 && c.finish.Outcome == outcome {
			count++
		}
	}
	return count
}

// faultSchedule injects one kind of fault during a run.
type faultSchedule struct {
	name              string
	requestsPerSecond float64
	inject            func(f *fleet)
	// minDoneShare is the minimum share of requests that must succeed.
	minDoneShare float64
}

const faultRunTime = 8 * time.Second

// scheduleCrash crashes a host after a delay and boots it again after down. If the
// host is still down 300 ms after the crash, the entries get a MemberGone.
func (f *fleet) scheduleCrash(hostIndex int, at, down time.Duration) {
	f.after(at, func() {
		h := f.hosts[hostIndex]
		h.crash()
		f.after(300*time.Millisecond, func() {
			for _, e := range f.entries {
				if h.sidecar == nil {
					e.step(gate.MemberGone{ID: h.id})
				}
			}
		})
		f.after(down, h.boot)
	})
}

var faultSchedules = []faultSchedule{
	{name: "upstreams die during answers", requestsPerSecond: 40, minDoneShare: 0.8, inject: func(f *fleet) {
		for i := range 6 {
			f.scheduleCrash(i%len(f.hosts), time.Duration(i)*1100*time.Millisecond, 900*time.Millisecond)
		}
	}},
	{name: "sidecars restart between send and answer", requestsPerSecond: 40, minDoneShare: 0.7, inject: func(f *fleet) {
		for i := range 12 {
			f.scheduleCrash(i%len(f.hosts), time.Duration(i)*600*time.Millisecond, 0)
		}
	}},
	{name: "sends arrive twice and late", requestsPerSecond: 40, minDoneShare: 1, inject: func(f *fleet) {
		f.duplicatePermille = 500
	}},
	{name: "duplicates meet restarts", requestsPerSecond: 40, minDoneShare: 0.7, inject: func(f *fleet) {
		f.duplicatePermille = 500
		for i := range 12 {
			f.scheduleCrash(i%len(f.hosts), time.Duration(i)*600*time.Millisecond, 10*time.Millisecond)
		}
	}},
	{name: "duplicates meet overload", requestsPerSecond: 150, minDoneShare: 0.3, inject: func(f *fleet) {
		f.duplicatePermille = 500
	}},
	{name: "one engine is ten times slower", requestsPerSecond: 30, minDoneShare: 0.98, inject: func(f *fleet) {
		f.hosts[0].engine.slowdown = 10
	}},
	{name: "callers go away", requestsPerSecond: 40, minDoneShare: 0.5, inject: func(f *fleet) {
		for i := range 80 {
			f.after(time.Duration(i)*100*time.Millisecond, func() {
				for _, e := range f.entries {
					id := fmt.Sprint("r", f.random.IntN(len(f.calls)+1))
					e.step(gate.CallerGone{ID: id})
				}
			})
		}
	}},
	{name: "an entry is lost", requestsPerSecond: 40, minDoneShare: 0.5, inject: func(f *fleet) {
		f.after(3*time.Second, func() { f.entries[0].crash() })
	}},
	{name: "load far above capacity with hedges", requestsPerSecond: 600, minDoneShare: 0.05, inject: func(f *fleet) {
		f.profile.HedgeAfterMs = 200
	}},
	{name: "upstreams leave one after another", requestsPerSecond: 15, minDoneShare: 1, inject: func(f *fleet) {
		for i, h := range f.hosts[:3] {
			f.after(time.Duration(i+1)*time.Second, h.startDraining)
		}
	}},
}

// runFaults runs one schedule with a seed until all requests have reached their
// deadline, and returns the fleet.
func runFaults(seed uint64, s faultSchedule) *fleet {
	f := newFleet(seed, 2, 4, modeBriarcross)
	f.nextBatchItem = batchItems(core.NewRand(seed + 5))
	for _, h := range f.hosts {
		h.leaseBatchItems()
	}
	f.after(100*time.Millisecond, func() { f.startPoissonLoad(s.requestsPerSecond, faultRunTime, mixedRequests(seed+9)) })
	s.inject(f)
	f.runFor(faultRunTime)
	f.nextBatchItem = nil
	f.runFor(70 * time.Second)
	return f
}

func TestSoakFaults(t *testing.T) {
	for _, s := range faultSchedules {
		t.Run(s.name, func(t *testing.T) {
			for seed := range uint64(soakSeeds(2)) {
				f := runFaults(seed, s)
				for _, violation := range f.contractViolations() {
					t.Errorf("seed %d: %s", seed, violation)
				}
				done := float64(f.countOutcome(pb.Outcome_OUTCOME_DONE)) / float64(len(f.calls))
				if done < s.minDoneShare {
					t.Errorf("seed %d: a share of %.3f of the requests succeeded, want at least %.3f", seed, done, s.minDoneShare)
				}
				if t.Failed() {
					t.Fatalf("replay: go test ./gate -run 'TestSoakFaults/%s' with %s=%d", s.name, soakSeedsVariable, seed+1)
				}
			}
		})
	}
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	g := NewWithT(t)
	finishes := func() map[string]gate.Finish {
		f := runFaults(1, faultSchedules[0])
		all := map[string]gate.Finish{"events": {Attempt: uint32(f.sequence)}}
		for id, c := range f.calls {
			all[id] = c.finish
		}
		return all
	}
	g.Expect(finishes()).To(Equal(finishes()))
}

func TestOnlineBurstStartsAtOnceOnEnginesFullOfBatchWork(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3, 1, 2, modeBriarcross)
	f.nextBatchItem = batchItems(core.NewRand(4))
	for _, h := range f.hosts {
		h.leaseBatchItems()
	}
	f.runFor(10 * time.Second)
	g.Expect(f.hosts[0].sidecar.Load().GetRunningBatch()).To(BeNumerically(">", 40))
	nextRequest := onlineRequests(core.NewRand(5))
	for n := range 30 {
		f.arrive(f.entries[0], nextRequest(n))
	}
	f.runFor(5 * time.Millisecond)
	started := 0
	for _, c := range f.calls {
		started += c.engineStarts
	}
	g.Expect(started).To(Equal(30), "each request must start as soon as its message arrives")
	f.runFor(20 * time.Second)
	g.Expect(f.contractViolations()).To(BeEmpty())
	g.Expect(f.countOutcome(pb.Outcome_OUTCOME_DONE)).To(Equal(30))
}

func TestGoodputUnderTenfoldOverload(t *testing.T) {
	g := NewWithT(t)
	goodput := func(requestsPerSecond float64) int {
		f := newFleet(1, 2, 2, modeBriarcross)
		f.after(10*time.Millisecond, func() { f.startPoissonLoad(requestsPerSecond, 20*time.Second, onlineRequests(core.NewRand(2))) })
		f.runFor(25 * time.Second)
		return f.callerStats(epoch.Add(5*time.Second), epoch.Add(20*time.Second)).withinTarget
	}
	const capacity = 50
	g.Expect(float64(goodput(capacity * 10))).To(BeNumerically(">=", 0.9*float64(goodput(capacity))))
}

func TestDrainingHostFailsNoRequest(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(8, 2, 3, modeBriarcross)
	f.after(100*time.Millisecond, func() { f.startPoissonLoad(30, 6*time.Second, onlineRequests(core.NewRand(6))) })
	f.runFor(2 * time.Second)
	f.hosts[0].startDraining()
	f.runFor(20 * time.Second)
	g.Expect(f.hosts[0].drained).To(BeTrue())
	g.Expect(f.contractViolations()).To(BeEmpty())
	g.Expect(f.countOutcome(pb.Outcome_OUTCOME_DONE)).To(Equal(len(f.calls)))
}

func TestSlowEngineDoesNotReduceGoodput(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 2, 4, modeBriarcross)
	f.hosts[0].engine.slowdown = 10
	f.after(100*time.Millisecond, func() { f.startPoissonLoad(40, 20*time.Second, onlineRequests(core.NewRand(6))) })
	f.runFor(30 * time.Second)
	stats := f.callerStats(epoch.Add(5*time.Second), epoch.Add(30*time.Second))
	g.Expect(float64(stats.withinTarget) / float64(stats.done)).To(BeNumerically(">=", 0.95))
}
