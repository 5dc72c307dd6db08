package sidecar

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

var startTime = time.Unix(1_000_000, 0)

func newTestSidecar(window int, configure func(*Options)) *Sidecar {
	o := Options{Incarnation: 7, Services: []string{"check"}, InitialWindow: window, MinWindow: window, MaxWindow: window}
	if configure != nil {
		configure(&o)
	}
	return New(o)
}

func onlineRequest(n int) Work {
	return Work{ID: AttemptID{RequestID: fmt.Sprint("o", n), Attempt: 1}, Service: "check", PromptTokens: 10, MaxTokens: 100, Idempotent: true}
}

func batchItem(n int) Work {
	w := onlineRequest(n)
	w.ID.RequestID = fmt.Sprint("b", n)
	w.Class = Batch
	return w
}

func step(s *Sidecar, now time.Time, in Input) []Output {
	s.Step(now, in)
	return drainOutputs(s)
}

// drainOutputs returns the outputs since the last call without FreeCapacity.
func drainOutputs(s *Sidecar) []Output {
	kept := []Output{}
	for _, out := range s.Drain() {
		if _, isRoom := out.(FreeCapacity); !isRoom {
			kept = append(kept, out)
		}
	}
	return kept
}

func submitBatchItems(s *Sidecar, count int) {
	for n := range count {
		s.Step(startTime, Submit{batchItem(n)})
	}
	s.Drain()
}

func TestOnlineStartsAtOnceOnAnIdleEngine(t *testing.T) {
	g := NewWithT(t)
	s := newTestSidecar(4, nil)
	g.Expect(step(s, startTime, Submit{onlineRequest(1)})).To(Equal([]Output{Start{ID: onlineRequest(1).ID}}))
	g.Expect(s.Load().RunningOnline).To(BeEquivalentTo(1))
	g.Expect(step(s, startTime, RunEnded{ID: onlineRequest(1).ID, Outcome: pb.Outcome_OUTCOME_DONE})).To(BeEmpty())
	g.Expect(s.Load().RunningOnline).To(BeZero())
}

func TestOnlineStopsTheCheapestBatchStreamInTheSameStep(t *testing.T) {
	g := NewWithT(t)
	s := newTestSidecar(4, nil)
	submitBatchItems(s, 3)
	s.Step(startTime, TokensProduced{ID: batchItem(0).ID, Count: 50})
	s.Step(startTime, TokensProduced{ID: batchItem(2).ID, Count: 50})
	g.Expect(step(s, startTime, Submit{onlineRequest(1)})).To(Equal([]Output{Start{ID: onlineRequest(1).ID}}))
	g.Expect(step(s, startTime, Submit{onlineRequest(2)})).To(Equal([]Output{
		Stop{ID: batchItem(1).ID},
		Start{ID: onlineRequest(2).ID},
	}))
	g.Expect(step(s, startTime, RunEnded{ID: batchItem(1).ID})).To(Equal([]Output{Requeued{ID: batchItem(1).ID}}))
}

func TestOnlineWaitsForPreemptedStreamWithWaitForStop(t *testing.T) {
	g := NewWithT(t)
	s := newTestSidecar(2, func(o *Options) { o.WaitForStop, o.CanPause = true, true })
	submitBatchItems(s, 1)
	step(s, startTime, Submit{onlineRequest(1)})
	g.Expect(step(s, startTime, Submit{onlineRequest(2)})).To(Equal([]Output{Stop{ID: batchItem(0).ID, Pause: true}}))
	g.Expect(step(s, startTime, RunEnded{ID: batchItem(0).ID, Paused: true})).To(Equal([]Output{
		Requeued{ID: batchItem(0).ID},
		Start{ID: onlineRequest(2).ID},
	}))
	step(s, startTime, RunEnded{ID: onlineRequest(1).ID, Outcome: pb.Outcome_OUTCOME_DONE})
	step(s, startTime, RunEnded{ID: onlineRequest(2).ID, Outcome: pb.Outcome_OUTCOME_DONE})
	s.Tick(startTime.Add(time.Minute))
	g.Expect(drainOutputs(s)).To(Equal([]Output{Start{ID: batchItem(0).ID, Resume: true}}))
}

func TestNonIdempotentItemIsNeverPreemptedAndDelaysNoOnlineRequest(t *testing.T) {
	g := NewWithT(t)
	s := newTestSidecar(2, nil)
	w := batchItem(1)
	w.Idempotent = false
	step(s, startTime, Submit{w})
	step(s, startTime, Submit{onlineRequest(1)})
	g.Expect(step(s, startTime, Submit{onlineRequest(2)})).To(Equal([]Output{Start{ID: onlineRequest(2).ID}}))
}

func TestItemThatFinishedDuringItsStopIsNotRunAgain(t *testing.T) {
	g := NewWithT(t)
	s := newTestSidecar(2, nil)
	submitBatchItems(s, 1)
	step(s, startTime, Submit{onlineRequest(1)})
	step(s, startTime, Submit{onlineRequest(2)})
	g.Expect(step(s, startTime, RunEnded{ID: batchItem(0).ID, Outcome: pb.Outcome_OUTCOME_DONE})).To(BeEmpty())
	g.Expect(step(s, startTime, Submit{batchItem(0)})).To(BeEmpty(), "an item that is leased again is not a duplicate")
}

func TestRefusals(t *testing.T) {
	notRun, unknown := pb.Outcome_OUTCOME_NOT_RUN, pb.Outcome_OUTCOME_UNKNOWN
	cases := map[string]struct {
		before  []Input
		change  func(*Work)
		outcome pb.Outcome
		reason  pb.Reason
	}{
		"draining":          {[]Input{Drain{}}, func(*Work) {}, notRun, pb.Reason_REASON_DRAINING},
		"service":           {nil, func(w *Work) { w.Service = "other" }, notRun, pb.Reason_REASON_UNKNOWN_SERVICE},
		"deadline":          {nil, func(w *Work) { w.Deadline = startTime }, notRun, pb.Reason_REASON_DEADLINE},
		"incarnation":       {nil, func(w *Work) { w.Incarnation = 6 }, unknown, pb.Reason_REASON_WRONG_INCARNATION},
		"running duplicate": {[]Input{Submit{onlineRequest(1)}}, func(*Work) {}, unknown, pb.Reason_REASON_DUPLICATE},
		"finished duplicate": {
			[]Input{Submit{onlineRequest(1)}, RunEnded{ID: onlineRequest(1).ID, Outcome: pb.Outcome_OUTCOME_DONE}},
			func(*Work) {}, unknown, pb.Reason_REASON_DUPLICATE,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newTestSidecar(2, nil)
			for _, in := range c.before {
				s.Step(startTime, in)
			}
			drainOutputs(s)
			w := onlineRequest(1)
			c.change(&w)
			out := step(s, startTime, Submit{w})
			g.Expect(out).To(HaveLen(1))
			refusal := out[0].(Refuse)
			g.Expect(refusal.Outcome).To(Equal(c.outcome))
			g.Expect(refusal.Reason).To(Equal(c.reason))
		})
	}
}

func TestDelayedCopyOfARefusedRequestDoesNotRun(t *testing.T) {
	g := NewWithT(t)
	s := newTestSidecar(2, nil)
	step(s, startTime, Drain{})
	step(s, startTime, Submit{onlineRequest(1)})
	step(s, startTime, Undrain{})
	out := step(s, startTime.Add(time.Second), Submit{onlineRequest(1)})
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].(Refuse).Reason).To(Equal(pb.Reason_REASON_DUPLICATE))
}

func TestQueuedRequestIsRefusedAtItsStartDeadline(t *testing.T) {
	g := NewWithT(t)
	s := newTestSidecar(1, nil)
	step(s, startTime, Submit{onlineRequest(1)})
	w := onlineRequest(2)
	w.StartDeadline = startTime.Add(time.Second)
	g.Expect(step(s, startTime, Submit{w})).To(BeEmpty())
	s.Tick(startTime.Add(time.Second))
	g.Expect(drainOutputs(s)).To(Equal([]Output{Refuse{
		ID: w.ID, Outcome: pb.Outcome_OUTCOME_NOT_RUN, Reason: pb.Reason_REASON_OVERLOADED,
	}}))
}

func TestCancelFreesTheSlot(t *testing.T) {
	g := NewWithT(t)
	s := newTestSidecar(1, nil)
	step(s, startTime, Submit{onlineRequest(1)})
	step(s, startTime, Submit{onlineRequest(2)})
	g.Expect(step(s, startTime, Cancel{onlineRequest(1).ID})).To(Equal([]Output{
		Stop{ID: onlineRequest(1).ID},
		Refuse{ID: onlineRequest(1).ID, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: pb.Reason_REASON_CANCELLED},
	}))
	g.Expect(step(s, startTime, RunEnded{ID: onlineRequest(1).ID})).To(Equal([]Output{Start{ID: onlineRequest(2).ID}}))
}

func TestDrainFinishesOnlineWorkAndReleasesBatchItems(t *testing.T) {
	g := NewWithT(t)
	s := newTestSidecar(2, nil)
	for n := range 3 {
		step(s, startTime, Submit{onlineRequest(n)})
	}
	step(s, startTime, Submit{batchItem(1)})
	g.Expect(step(s, startTime, Drain{})).To(Equal([]Output{ReleaseItem{ID: batchItem(1).ID}}))
	g.Expect(step(s, startTime, RunEnded{ID: onlineRequest(0).ID})).To(Equal([]Output{Start{ID: onlineRequest(2).ID}}))
	step(s, startTime, RunEnded{ID: onlineRequest(1).ID})
	g.Expect(step(s, startTime, RunEnded{ID: onlineRequest(2).ID})).To(Equal([]Output{Drained{}}))
}
