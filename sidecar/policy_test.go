package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

const millisecond = time.Millisecond

// adaptPeriods adapts the window for a number of periods in which latePercent of
// the samples miss their target.
func adaptPeriods(w *concurrencyWindow, periods, latePercent int, usage windowUsage) {
	for range periods {
		for n := range 100 {
			took := 40 * millisecond
			if n < latePercent {
				took = 80 * millisecond
			}
			w.addTokenInterval(took, 50*millisecond)
		}
		w.adapt(w.adaptedAt.Add(windowAdaptPeriod), usage)
	}
}

func TestWindowAdaptsToLatencyTargets(t *testing.T) {
	g := NewWithT(t)
	w := newWindow(Options{InitialWindow: 10, MinWindow: 2, MaxWindow: 64})
	adaptPeriods(&w, 3, 0, windowUsage{slots: 5})
	g.Expect(w.size).To(Equal(10), "a window that is not full does not grow")
	adaptPeriods(&w, 1, 0, windowUsage{slots: 10, awaitingFirstToken: 5})
	g.Expect(w.size).To(Equal(10), "a window whose streams wait for first tokens does not grow")
	adaptPeriods(&w, 1, 0, windowUsage{slots: 10})
	g.Expect(w.size).To(Equal(20), "the window doubles until the first sign of overload")
	adaptPeriods(&w, 1, 20, windowUsage{slots: 20})
	g.Expect(w.size).To(Equal(18))
	adaptPeriods(&w, 1, 0, windowUsage{slots: 18})
	g.Expect(w.size).To(Equal(20), "after overload the window grows by an eighth")
	adaptPeriods(&w, 100, 100, windowUsage{slots: 20})
	g.Expect(w.size).To(Equal(2))
}

func TestWindowShrinksOnlyAfterConsecutiveQueuedReports(t *testing.T) {
	g := NewWithT(t)
	w := newWindow(Options{InitialWindow: 40, MinWindow: 2, MaxWindow: 64})
	queue := EngineLoad{Running: 8, Queued: 1, KVFree: 0.5}
	for range 10 {
		for range queuedReportsToShrink - 1 {
			w.applyEngineLoad(queue)
		}
		w.applyEngineLoad(EngineLoad{Running: 8, KVFree: 0.5})
	}
	g.Expect(w.size).To(Equal(40))
	queue.Running = 24
	for range queuedReportsToShrink {
		w.applyEngineLoad(queue)
	}
	g.Expect(w.size).To(Equal(24))
}

func TestInterferenceModelFitsStepTimeDespitePrompts(t *testing.T) {
	g := NewWithT(t)
	model := newInterferenceModel(1000)
	g.Expect(model.batchLimit(0, 32)).To(Equal(32), "without samples there is no limit")
	for n := range 2000 {
		streams := n % 40
		step := 10*millisecond + time.Duration(streams)*200*time.Microsecond
		if n%10 == 0 {
			step += 20 * millisecond
		}
		model.addStepTime(step, streams)
	}
	base, slope, ok := model.fit()
	g.Expect(ok).To(BeTrue())
	g.Expect(base).To(BeNumerically("~", 0.010, 0.001))
	g.Expect(slope).To(BeNumerically("~", 0.0002, 0.00003))
	g.Expect(model.batchLimit(0, 200)).To(BeNumerically("~", 50, 10), "a bound of one allows the step time to double")
	model.setBound(100)
	g.Expect(model.batchLimit(0, 200)).To(BeNumerically("~", 3, 1))
	model.setBound(20)
	g.Expect(model.batchLimit(0, 200)).To(Equal(1), "the total bound allows one stream")
	model.setBound(1)
	g.Expect(model.batchLimit(0, 200)).To(BeZero())
}

func TestPrefixIndexDistrustsBlocksAfterEventGap(t *testing.T) {
	g := NewWithT(t)
	p := newPrefixIndex()
	p.apply(CacheEvent{Sequence: 1, Stored: []uint64{1, 2}})
	p.add([]uint64{3})
	g.Expect(p.countCached([]uint64{1, 2, 3, 4})).To(Equal(3))
	p.apply(CacheEvent{Sequence: 2, Evicted: []uint64{2}})
	g.Expect(p.countCached([]uint64{1, 2, 3})).To(Equal(1))
	p.apply(CacheEvent{Sequence: 2, Stored: []uint64{2}})
	g.Expect(p.countCached([]uint64{1, 2})).To(Equal(1), "an event that is not newer is ignored")
	p.apply(CacheEvent{Sequence: 9, Stored: []uint64{7}})
	g.Expect(p.countCached([]uint64{1})).To(BeZero(), "block 1 may have been evicted in the gap")
	g.Expect(p.countCached([]uint64{7})).To(Equal(1))
	p.apply(CacheEvent{Sequence: 10, Cleared: true})
	g.Expect(p.countCached([]uint64{7})).To(BeZero())
}

func TestBatchRampsUpAfterPreemption(t *testing.T) {
	g := NewWithT(t)
	s := newTestSidecar(16, nil)
	submitBatchItems(s, 15)
	stopped := []AttemptID{}
	for n := range 12 {
		for _, out := range step(s, startTime, Submit{onlineRequest(n)}) {
			if stop, ok := out.(Stop); ok {
				stopped = append(stopped, stop.ID)
			}
		}
	}
	g.Expect(stopped).To(HaveLen(11))
	for _, id := range stopped {
		step(s, startTime, RunEnded{ID: id, Outcome: pb.Outcome_OUTCOME_UNKNOWN})
	}
	for n := range 12 {
		step(s, startTime, RunEnded{ID: onlineRequest(n).ID, Outcome: pb.Outcome_OUTCOME_DONE})
	}
	counts := []int{s.streams.batchCount()}
	for n := range 4 {
		s.Tick(startTime.Add(onlineActiveTime + time.Duration(n)*rampPeriod))
		counts = append(counts, s.streams.batchCount())
	}
	g.Expect(counts[0]).To(BeNumerically("<", 8), "batch streams do not all return at once")
	g.Expect(counts[len(counts)-1]).To(Equal(15))
}

func TestBatchItemIsReleasedAfterMaxBatchWait(t *testing.T) {
	g := NewWithT(t)
	s := newTestSidecar(2, nil)
	for n := range 2 {
		step(s, startTime, Submit{onlineRequest(n)})
	}
	step(s, startTime, Submit{batchItem(1)})
	s.Tick(startTime.Add(DefaultMaxBatchWait))
	g.Expect(drainOutputs(s)).To(Equal([]Output{ReleaseItem{ID: batchItem(1).ID}}))
}

// observeRunTime runs one online request for a time, so that the sidecar expects
// this run time, and returns the time of its end.
func observeRunTime(s *Sidecar, runTime time.Duration) time.Time {
	w := onlineRequest(1000)
	s.Step(startTime, Submit{w})
	end := startTime.Add(runTime)
	s.Step(end, RunEnded{ID: w.ID, Outcome: pb.Outcome_OUTCOME_DONE})
	s.Drain()
	return end
}

func TestRequestThatWouldMissFirstTokenTargetIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := newTestSidecar(1, nil)
	now := observeRunTime(s, time.Second)
	step(s, now, Submit{onlineRequest(1)})
	late := onlineRequest(2)
	late.FirstTokenTarget = 900 * millisecond
	g.Expect(step(s, now, Submit{late})).To(Equal([]Output{Refuse{
		ID: late.ID, Outcome: pb.Outcome_OUTCOME_NOT_RUN,
		Reason: pb.Reason_REASON_OVERLOADED, RetryAfter: time.Second,
	}}))
	patient := onlineRequest(3)
	patient.FirstTokenTarget = 1100 * millisecond
	g.Expect(step(s, now, Submit{patient})).To(BeEmpty())
}

func TestRequestThatWaitedTooLongIsNotStarted(t *testing.T) {
	g := NewWithT(t)
	s := newTestSidecar(1, nil)
	step(s, startTime, Submit{onlineRequest(1)})
	w := onlineRequest(2)
	w.FirstTokenTarget = time.Second
	step(s, startTime, Submit{w})
	out := step(s, startTime.Add(1100*millisecond), RunEnded{ID: onlineRequest(1).ID})
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].(Refuse).Reason).To(Equal(pb.Reason_REASON_OVERLOADED))
}

func TestSmallExcessOverBatchLimitIsNotPreempted(t *testing.T) {
	g := NewWithT(t)
	s := newTestSidecar(40, nil)
	submitBatchItems(s, 24)
	for n := range 200 {
		streams := n % 40
		s.interference.addStepTime(10*millisecond+time.Duration(streams)*500*time.Microsecond, streams)
	}
	w := onlineRequest(1)
	w.HarmPermille = 1000
	g.Expect(step(s, startTime, Submit{w})).To(Equal([]Output{Start{ID: w.ID}}), "24 streams exceed the limit of 21 by less than a quarter")
	strict := onlineRequest(2)
	strict.HarmPermille = 200
	stops := 0
	for _, out := range step(s, startTime, Submit{strict}) {
		if _, ok := out.(Stop); ok {
			stops++
		}
	}
	g.Expect(stops).To(BeNumerically(">", 18))
}
