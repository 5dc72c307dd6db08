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

// soakVariable names the environment variable with the number of seeds for each
// soak test.
const soakVariable = "BRIARCROSS_SOAK_SEEDS"

func soakSeeds(fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(soakVariable)); err == nil && n > 0 {
		return n
	}
	return fallback
}

// mixedAsk makes requests of which some are not idempotent and some resumable.
func mixedAsk(seed uint64) func(n int) gate.Request {
	random := core.NewRand(seed)
	plain := onlineAsk(random)
	return func(n int) gate.Request {
		r := plain(n)
		r.Idempotent = random.IntN(3) > 0
		r.Resumable = r.Idempotent && random.IntN(2) > 0
		return r
	}
}

// check returns the promises that a finished run has broken.
func (f *fleet) check() []string {
	broken := []string{}
	for id, c := range f.calls {
		outcome := c.finish.Outcome
		switch {
		case c.finishes != 1 && !c.front.lost:
			broken = append(broken, fmt.Sprintf("%s was answered %d times", id, c.finishes))
		case c.finishes == 0:
		case outcome == pb.Outcome_OUTCOME_NOT_RUN && c.started > 0:
			broken = append(broken, fmt.Sprintf("%s was answered not-run (%s) and ran %d times", id, c.finish.Reason, c.started))
		case outcome == pb.Outcome_OUTCOME_DONE && c.tokens != c.request.MaxTokens:
			broken = append(broken, fmt.Sprintf("%s was answered done with %d of %d tokens", id, c.tokens, c.request.MaxTokens))
		}
		if !c.request.Idempotent && c.started > 1 {
			broken = append(broken, fmt.Sprintf("%s is not idempotent and ran %d times", id, c.started))
		}
	}
	slices.Sort(broken)
	return broken
}

func (f *fleet) count(outcome pb.Outcome) int {
	count := 0
	for _, c := range f.calls {
		if c.finishes > 0 && c.finish.Outcome == outcome {
			count++
		}
	}
	return count
}

// faults is a schedule of one kind of fault over a run.
type faults struct {
	name string
	rate float64
	plan func(f *fleet)
	// done is the least share of requests that must end well.
	done float64
}

const faultRun = 8 * time.Second

func (f *fleet) crashLater(n int, at, down time.Duration) {
	f.after(at, func() {
		h := f.hosts[n]
		h.crash()
		f.after(300*time.Millisecond, func() {
			for _, g := range f.gates {
				if h.core == nil {
					g.step(gate.MemberGone{ID: h.id})
				}
			}
		})
		f.after(down, h.boot)
	})
}

var schedules = []faults{
	{name: "upstreams die during answers", rate: 40, done: 0.8, plan: func(f *fleet) {
		for i := range 6 {
			f.crashLater(i%len(f.hosts), time.Duration(i)*1100*time.Millisecond, 900*time.Millisecond)
		}
	}},
	{name: "sidecars restart between send and answer", rate: 40, done: 0.7, plan: func(f *fleet) {
		for i := range 12 {
			f.crashLater(i%len(f.hosts), time.Duration(i)*600*time.Millisecond, 0)
		}
	}},
	{name: "sends arrive twice and late", rate: 40, done: 1, plan: func(f *fleet) {
		f.duplicates = 500
	}},
	{name: "duplicates meet restarts", rate: 40, done: 0.7, plan: func(f *fleet) {
		f.duplicates = 500
		for i := range 12 {
			f.crashLater(i%len(f.hosts), time.Duration(i)*600*time.Millisecond, 10*time.Millisecond)
		}
	}},
	{name: "duplicates meet overload", rate: 150, done: 0.3, plan: func(f *fleet) {
		f.duplicates = 500
	}},
	{name: "one engine is ten times slower", rate: 30, done: 0.98, plan: func(f *fleet) {
		f.hosts[0].engine.slow = 10
	}},
	{name: "callers go away", rate: 40, done: 0.5, plan: func(f *fleet) {
		for i := range 80 {
			f.after(time.Duration(i)*100*time.Millisecond, func() {
				for _, g := range f.gates {
					id := fmt.Sprint("r", f.random.IntN(len(f.calls)+1))
					g.step(gate.CallerGone{ID: id})
				}
			})
		}
	}},
	{name: "an entry is lost", rate: 40, done: 0.5, plan: func(f *fleet) {
		f.after(3*time.Second, func() { f.gates[0].crash() })
	}},
	{name: "load far above capacity with hedges", rate: 600, done: 0.05, plan: func(f *fleet) {
		f.profile.HedgeAfterMs = 200
	}},
	{name: "upstreams leave one after another", rate: 15, done: 1, plan: func(f *fleet) {
		for i, h := range f.hosts[:3] {
			f.after(time.Duration(i+1)*time.Second, h.leave)
		}
	}},
}

// runFaults plays one schedule with a seed and returns the finished fleet.
func runFaults(seed uint64, s faults) *fleet {
	f := newFleet(seed, 2, 4, briarcross)
	f.items = batchItems(core.NewRand(seed + 5))
	for _, h := range f.hosts {
		h.pull()
	}
	f.after(100*time.Millisecond, func() { f.poisson(s.rate, faultRun, mixedAsk(seed+9)) })
	s.plan(f)
	f.runFor(faultRun)
	f.items = nil
	f.runFor(70 * time.Second)
	return f
}

func TestSoakFaults(t *testing.T) {
	for _, s := range schedules {
		t.Run(s.name, func(t *testing.T) {
			for seed := range uint64(soakSeeds(2)) {
				f := runFaults(seed, s)
				for _, broken := range f.check() {
					t.Errorf("seed %d: %s", seed, broken)
				}
				done := float64(f.count(pb.Outcome_OUTCOME_DONE)) / float64(len(f.calls))
				if done < s.done {
					t.Errorf("seed %d: %.3f of the requests ended well, want %.3f", seed, done, s.done)
				}
				if t.Failed() {
					t.Fatalf("replay: go test ./gate -run 'TestSoakFaults/%s' with %s=%d", s.name, soakVariable, seed+1)
				}
			}
		})
	}
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	g := NewWithT(t)
	ends := func() map[string]gate.Finish {
		f := runFaults(1, schedules[0])
		all := map[string]gate.Finish{"events": {Attempt: uint32(f.sequence)}}
		for id, c := range f.calls {
			all[id] = c.finish
		}
		return all
	}
	g.Expect(ends()).To(Equal(ends()))
}

func TestOnlineBurstStartsAtOnceOnEnginesFullOfBatchWork(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3, 1, 2, briarcross)
	f.items = batchItems(core.NewRand(4))
	for _, h := range f.hosts {
		h.pull()
	}
	f.runFor(10 * time.Second)
	g.Expect(f.hosts[0].core.Load().GetRunningBatch()).To(BeNumerically(">", 40))
	ask := onlineAsk(core.NewRand(5))
	for n := range 30 {
		f.arrive(f.gates[0], ask(n))
	}
	f.runFor(5 * time.Millisecond)
	started := 0
	for _, c := range f.calls {
		started += c.started
	}
	g.Expect(started).To(Equal(30), "each request starts as soon as its message is there")
	f.runFor(20 * time.Second)
	g.Expect(f.check()).To(BeEmpty())
	g.Expect(f.count(pb.Outcome_OUTCOME_DONE)).To(Equal(30))
}

func TestGoodputUnderTenfoldOverload(t *testing.T) {
	g := NewWithT(t)
	goodput := func(perSecond float64) int {
		f := newFleet(1, 2, 2, briarcross)
		f.after(10*time.Millisecond, func() { f.poisson(perSecond, 20*time.Second, onlineAsk(core.NewRand(2))) })
		f.runFor(25 * time.Second)
		return f.figures(epoch.Add(5*time.Second), epoch.Add(20*time.Second)).good
	}
	const capacity = 50
	g.Expect(float64(goodput(capacity * 10))).To(BeNumerically(">=", 0.9*float64(goodput(capacity))))
}

func TestDrainingHostFailsNoRequest(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(8, 2, 3, briarcross)
	f.after(100*time.Millisecond, func() { f.poisson(30, 6*time.Second, onlineAsk(core.NewRand(6))) })
	f.runFor(2 * time.Second)
	f.hosts[0].leave()
	f.runFor(20 * time.Second)
	g.Expect(f.hosts[0].drained).To(BeTrue())
	g.Expect(f.check()).To(BeEmpty())
	g.Expect(f.count(pb.Outcome_OUTCOME_DONE)).To(Equal(len(f.calls)))
}

func TestSlowEngineDoesNotReduceGoodput(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 2, 4, briarcross)
	f.hosts[0].engine.slow = 10
	f.after(100*time.Millisecond, func() { f.poisson(40, 20*time.Second, onlineAsk(core.NewRand(6))) })
	f.runFor(30 * time.Second)
	all := f.figures(epoch.Add(5*time.Second), epoch.Add(30*time.Second))
	g.Expect(float64(all.good) / float64(all.done)).To(BeNumerically(">=", 0.95))
}
