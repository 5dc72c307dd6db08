package sidecar

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

var start = time.Unix(1_000_000, 0)

func newTest(window int, change func(*Options)) *Sidecar {
	o := Options{Incarnation: 7, Services: []string{"check"}, InitialWindow: window, MinWindow: window, MaxWindow: window}
	if change != nil {
		change(&o)
	}
	return New(o)
}

func online(n int) Work {
	return Work{ID: AttemptID{RequestID: fmt.Sprint("o", n), Attempt: 1}, Service: "check", PromptTokens: 10, MaxTokens: 100, Idempotent: true}
}

func batch(n int) Work {
	w := online(n)
	w.ID.RequestID = fmt.Sprint("b", n)
	w.Class = Batch
	return w
}

func step(s *Sidecar, now time.Time, in Input) []Output {
	s.Step(now, in)
	return outputs(s)
}

// outputs drains all outputs but the reports of batch room.
func outputs(s *Sidecar) []Output {
	kept := []Output{}
	for _, out := range s.Drain() {
		if _, isRoom := out.(FreeCapacity); !isRoom {
			kept = append(kept, out)
		}
	}
	return kept
}

func fillWithBatch(s *Sidecar, count int) {
	for n := range count {
		s.Step(start, Submit{batch(n)})
	}
	s.Drain()
}

func TestOnlineStartsAtOnceOnAnIdleEngine(t *testing.T) {
	g := NewWithT(t)
	s := newTest(4, nil)
	g.Expect(step(s, start, Submit{online(1)})).To(Equal([]Output{Start{ID: online(1).ID}}))
	g.Expect(s.Load().RunningOnline).To(BeEquivalentTo(1))
	g.Expect(step(s, start, RunEnded{ID: online(1).ID, Outcome: pb.Outcome_OUTCOME_DONE})).To(BeEmpty())
	g.Expect(s.Load().RunningOnline).To(BeZero())
}

func TestOnlineStopsTheCheapestBatchStreamInTheSameStep(t *testing.T) {
	g := NewWithT(t)
	s := newTest(4, nil)
	fillWithBatch(s, 3)
	s.Step(start, TokensProduced{ID: batch(0).ID, Count: 50})
	s.Step(start, TokensProduced{ID: batch(2).ID, Count: 50})
	g.Expect(step(s, start, Submit{online(1)})).To(Equal([]Output{Start{ID: online(1).ID}}))
	g.Expect(step(s, start, Submit{online(2)})).To(Equal([]Output{
		Stop{ID: batch(1).ID},
		Start{ID: online(2).ID},
	}))
	g.Expect(step(s, start, RunEnded{ID: batch(1).ID})).To(Equal([]Output{Requeued{ID: batch(1).ID}}))
}

func TestOnlineWaitsForTheStopWhenAsked(t *testing.T) {
	g := NewWithT(t)
	s := newTest(2, func(o *Options) { o.WaitForStop, o.CanPause = true, true })
	fillWithBatch(s, 1)
	step(s, start, Submit{online(1)})
	g.Expect(step(s, start, Submit{online(2)})).To(Equal([]Output{Stop{ID: batch(0).ID, Pause: true}}))
	g.Expect(step(s, start, RunEnded{ID: batch(0).ID, Paused: true})).To(Equal([]Output{
		Requeued{ID: batch(0).ID},
		Start{ID: online(2).ID},
	}))
	step(s, start, RunEnded{ID: online(1).ID, Outcome: pb.Outcome_OUTCOME_DONE})
	step(s, start, RunEnded{ID: online(2).ID, Outcome: pb.Outcome_OUTCOME_DONE})
	s.Tick(start.Add(time.Minute))
	g.Expect(outputs(s)).To(Equal([]Output{Start{ID: batch(0).ID, Resume: true}}))
}

func TestNonIdempotentBatchItemIsNeverStoppedAndHoldsNobodyBack(t *testing.T) {
	g := NewWithT(t)
	s := newTest(2, nil)
	w := batch(1)
	w.Idempotent = false
	step(s, start, Submit{w})
	step(s, start, Submit{online(1)})
	g.Expect(step(s, start, Submit{online(2)})).To(Equal([]Output{Start{ID: online(2).ID}}))
}

func TestItemThatFinishedDuringItsStopIsNotRunAgain(t *testing.T) {
	g := NewWithT(t)
	s := newTest(2, nil)
	fillWithBatch(s, 1)
	step(s, start, Submit{online(1)})
	step(s, start, Submit{online(2)})
	g.Expect(step(s, start, RunEnded{ID: batch(0).ID, Outcome: pb.Outcome_OUTCOME_DONE})).To(BeEmpty())
	g.Expect(step(s, start, Submit{batch(0)})).To(BeEmpty(), "a later lease of the item is not a duplicate")
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
		"deadline":          {nil, func(w *Work) { w.Deadline = start }, notRun, pb.Reason_REASON_DEADLINE},
		"incarnation":       {nil, func(w *Work) { w.Incarnation = 6 }, unknown, pb.Reason_REASON_WRONG_INCARNATION},
		"running duplicate": {[]Input{Submit{online(1)}}, func(*Work) {}, unknown, pb.Reason_REASON_DUPLICATE},
		"finished duplicate": {
			[]Input{Submit{online(1)}, RunEnded{ID: online(1).ID, Outcome: pb.Outcome_OUTCOME_DONE}},
			func(*Work) {}, unknown, pb.Reason_REASON_DUPLICATE,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newTest(2, nil)
			for _, in := range c.before {
				s.Step(start, in)
			}
			outputs(s)
			w := online(1)
			c.change(&w)
			out := step(s, start, Submit{w})
			g.Expect(out).To(HaveLen(1))
			refusal := out[0].(Refuse)
			g.Expect(refusal.Outcome).To(Equal(c.outcome))
			g.Expect(refusal.Reason).To(Equal(c.reason))
		})
	}
}

func TestDelayedCopyOfARefusedRequestDoesNotRun(t *testing.T) {
	g := NewWithT(t)
	s := newTest(2, nil)
	step(s, start, Drain{})
	step(s, start, Submit{online(1)})
	step(s, start, Undrain{})
	out := step(s, start.Add(time.Second), Submit{online(1)})
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].(Refuse).Reason).To(Equal(pb.Reason_REASON_DUPLICATE))
}

func TestQueuedRequestIsAnsweredWhenItsTimeHasPassed(t *testing.T) {
	g := NewWithT(t)
	s := newTest(1, nil)
	step(s, start, Submit{online(1)})
	w := online(2)
	w.StartDeadline = start.Add(time.Second)
	g.Expect(step(s, start, Submit{w})).To(BeEmpty())
	s.Tick(start.Add(time.Second))
	g.Expect(outputs(s)).To(Equal([]Output{Refuse{
		ID: w.ID, Outcome: pb.Outcome_OUTCOME_NOT_RUN, Reason: pb.Reason_REASON_OVERLOADED,
	}}))
}

func TestCancelFreesThePlace(t *testing.T) {
	g := NewWithT(t)
	s := newTest(1, nil)
	step(s, start, Submit{online(1)})
	step(s, start, Submit{online(2)})
	g.Expect(step(s, start, Cancel{online(1).ID})).To(Equal([]Output{
		Stop{ID: online(1).ID},
		Refuse{ID: online(1).ID, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: pb.Reason_REASON_CANCELLED},
	}))
	g.Expect(step(s, start, RunEnded{ID: online(1).ID})).To(Equal([]Output{Start{ID: online(2).ID}}))
}

func TestDrainFinishesAcceptedWorkAndGivesBatchBack(t *testing.T) {
	g := NewWithT(t)
	s := newTest(2, nil)
	for n := range 3 {
		step(s, start, Submit{online(n)})
	}
	step(s, start, Submit{batch(1)})
	g.Expect(step(s, start, Drain{})).To(Equal([]Output{ReleaseItem{ID: batch(1).ID}}))
	g.Expect(step(s, start, RunEnded{ID: online(0).ID})).To(Equal([]Output{Start{ID: online(2).ID}}))
	step(s, start, RunEnded{ID: online(1).ID})
	g.Expect(step(s, start, RunEnded{ID: online(2).ID})).To(Equal([]Output{Drained{}}))
}
