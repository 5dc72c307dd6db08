package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

const millisecond = time.Millisecond

// adaptFor changes the window as if one share of the samples were late.
func adaptFor(w *window, periods, late int, u usage) {
	for range periods {
		for n := range 100 {
			took := 40 * millisecond
			if n < late {
				took = 80 * millisecond
			}
			w.interval(took, 50*millisecond)
		}
		w.adapt(w.changed.Add(windowPeriod), u)
	}
}

func TestWindowFollowsTheTargets(t *testing.T) {
	g := NewWithT(t)
	w := newWindow(Options{InitialWindow: 10, MinWindow: 2, MaxWindow: 64})
	adaptFor(&w, 3, 0, usage{places: 5})
	g.Expect(w.size).To(Equal(10), "a window that is not full does not grow")
	adaptFor(&w, 1, 0, usage{places: 10, silent: 5})
	g.Expect(w.size).To(Equal(10), "nor one whose streams wait for first tokens")
	adaptFor(&w, 1, 0, usage{places: 10})
	g.Expect(w.size).To(Equal(20), "it doubles at first")
	adaptFor(&w, 1, 20, usage{places: 20})
	g.Expect(w.size).To(Equal(18))
	adaptFor(&w, 1, 0, usage{places: 18})
	g.Expect(w.size).To(Equal(20), "and then grows slowly")
	adaptFor(&w, 100, 100, usage{places: 20})
	g.Expect(w.size).To(Equal(2))
}

func TestOneLateReportDoesNotCutTheWindow(t *testing.T) {
	g := NewWithT(t)
	w := newWindow(Options{InitialWindow: 40, MinWindow: 2, MaxWindow: 64})
	queue := EngineLoad{Running: 8, Queued: 1, KVFree: 0.5}
	for range 10 {
		for range windowReports - 1 {
			w.correct(queue)
		}
		w.correct(EngineLoad{Running: 8, KVFree: 0.5})
	}
	g.Expect(w.size).To(Equal(40))
	queue.Running = 24
	for range windowReports {
		w.correct(queue)
	}
	g.Expect(w.size).To(Equal(24))
}

func TestHarmLearnsTheStepAndIgnoresPrompts(t *testing.T) {
	g := NewWithT(t)
	h := newHarm(1000)
	g.Expect(h.limit(0, 32)).To(Equal(32), "nothing is known at first")
	for n := range 2000 {
		streams := n % 40
		step := 10*millisecond + time.Duration(streams)*200*time.Microsecond
		if n%10 == 0 {
			step += 20 * millisecond
		}
		h.interval(step, streams)
	}
	base, slope, ok := h.fit()
	g.Expect(ok).To(BeTrue())
	g.Expect(base).To(BeNumerically("~", 0.010, 0.001))
	g.Expect(slope).To(BeNumerically("~", 0.0002, 0.00003))
	g.Expect(h.limit(0, 200)).To(BeNumerically("~", 50, 10), "a harm of one doubles the step")
	h.note(100)
	g.Expect(h.limit(0, 200)).To(BeNumerically("~", 3, 1))
	h.note(20)
	g.Expect(h.limit(0, 200)).To(Equal(1), "the whole bound allows one")
	h.note(1)
	g.Expect(h.limit(0, 200)).To(BeZero())
}

func TestPrefixIndexDoubtsBlocksAfterAGap(t *testing.T) {
	g := NewWithT(t)
	p := newPrefixIndex()
	p.apply(CacheEvent{Sequence: 1, Stored: []uint64{1, 2}})
	p.add([]uint64{3})
	g.Expect(p.match([]uint64{1, 2, 3, 4})).To(Equal(3))
	p.apply(CacheEvent{Sequence: 2, Evicted: []uint64{2}})
	g.Expect(p.match([]uint64{1, 2, 3})).To(Equal(1))
	p.apply(CacheEvent{Sequence: 2, Stored: []uint64{2}})
	g.Expect(p.match([]uint64{1, 2})).To(Equal(1), "an old event changes nothing")
	p.apply(CacheEvent{Sequence: 9, Stored: []uint64{7}})
	g.Expect(p.match([]uint64{1})).To(BeZero(), "block 1 may have been evicted in the gap")
	g.Expect(p.match([]uint64{7})).To(Equal(1))
	p.apply(CacheEvent{Sequence: 10, Cleared: true})
	g.Expect(p.match([]uint64{7})).To(BeZero())
}

func TestBatchReturnsGraduallyAfterAYield(t *testing.T) {
	g := NewWithT(t)
	s := newTest(16, nil)
	fillWithBatch(s, 15)
	stopped := []AttemptID{}
	for n := range 12 {
		for _, out := range step(s, start, Submit{online(n)}) {
			if stop, ok := out.(Stop); ok {
				stopped = append(stopped, stop.ID)
			}
		}
	}
	g.Expect(stopped).To(HaveLen(11))
	for _, id := range stopped {
		step(s, start, RunEnded{ID: id, Outcome: pb.Outcome_OUTCOME_UNKNOWN})
	}
	for n := range 12 {
		step(s, start, RunEnded{ID: online(n).ID, Outcome: pb.Outcome_OUTCOME_DONE})
	}
	counts := []int{s.streams.batch()}
	for n := range 4 {
		s.Tick(start.Add(onlineMemory + time.Duration(n)*rampPeriod))
		counts = append(counts, s.streams.batch())
	}
	g.Expect(counts[0]).To(BeNumerically("<", 8), "not all at once")
	g.Expect(counts[len(counts)-1]).To(Equal(15))
}

func TestBatchItemThatFindsNoPlaceIsGivenBack(t *testing.T) {
	g := NewWithT(t)
	s := newTest(2, nil)
	for n := range 2 {
		step(s, start, Submit{online(n)})
	}
	step(s, start, Submit{batch(1)})
	s.Tick(start.Add(DefaultMaxBatchWait))
	g.Expect(outputs(s)).To(Equal([]Output{ReleaseItem{ID: batch(1).ID}}))
}

// learnHold lets the sidecar see a request that held its place for a time.
func learnHold(s *Sidecar, hold time.Duration) time.Time {
	w := online(1000)
	s.Step(start, Submit{w})
	end := start.Add(hold)
	s.Step(end, RunEnded{ID: w.ID, Outcome: pb.Outcome_OUTCOME_DONE})
	s.Drain()
	return end
}

func TestRequestThatCannotMakeItsTargetIsRefusedOnArrival(t *testing.T) {
	g := NewWithT(t)
	s := newTest(1, nil)
	now := learnHold(s, time.Second)
	step(s, now, Submit{online(1)})
	late := online(2)
	late.FirstTokenTarget = 900 * millisecond
	g.Expect(step(s, now, Submit{late})).To(Equal([]Output{Refuse{
		ID: late.ID, Outcome: pb.Outcome_OUTCOME_NOT_RUN,
		Reason: pb.Reason_REASON_OVERLOADED, RetryAfter: time.Second,
	}}))
	patient := online(3)
	patient.FirstTokenTarget = 1100 * millisecond
	g.Expect(step(s, now, Submit{patient})).To(BeEmpty())
}

func TestRequestThatWaitedTooLongIsNotStarted(t *testing.T) {
	g := NewWithT(t)
	s := newTest(1, nil)
	step(s, start, Submit{online(1)})
	w := online(2)
	w.FirstTokenTarget = time.Second
	step(s, start, Submit{w})
	out := step(s, start.Add(1100*millisecond), RunEnded{ID: online(1).ID})
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].(Refuse).Reason).To(Equal(pb.Reason_REASON_OVERLOADED))
}

func TestSmallExcessOverTheHarmBoundIsBorne(t *testing.T) {
	g := NewWithT(t)
	s := newTest(40, nil)
	fillWithBatch(s, 24)
	for n := range 200 {
		streams := n % 40
		s.harm.interval(10*millisecond+time.Duration(streams)*500*time.Microsecond, streams)
	}
	w := online(1)
	w.HarmPermille = 1000
	g.Expect(step(s, start, Submit{w})).To(Equal([]Output{Start{ID: w.ID}}), "24 are little more than 21")
	strict := online(2)
	strict.HarmPermille = 200
	stops := 0
	for _, out := range step(s, start, Submit{strict}) {
		if _, ok := out.(Stop); ok {
			stops++
		}
	}
	g.Expect(stops).To(BeNumerically(">", 18))
}
