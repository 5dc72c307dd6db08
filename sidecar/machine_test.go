package sidecar

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/pb"
)

// machine holds a sidecar against a model of its contract.
type machine struct {
	core    *Sidecar
	now     time.Time
	next    int
	work    map[AttemptID]Work
	running map[AttemptID]bool
	stopped map[AttemptID]bool
	// starts counts the starts of each ID, answers the final answers.
	starts  map[AttemptID]int
	answers map[AttemptID]int
	refused map[AttemptID]pb.Outcome
	// duplicate is the submission that a duplicate refusal may answer.
	duplicate *AttemptID
}

func newMachine(t *rapid.T) *machine {
	o := Options{
		Incarnation: 7, Services: []string{"check"}, InitialWindow: 3, MinWindow: 2, MaxWindow: 6,
		MaxQueue: 5, CanPause: rapid.Bool().Draw(t, "canPause"),
		WaitForStop: rapid.Bool().Draw(t, "waitForStop"),
	}
	return &machine{
		core: New(o), now: start, work: map[AttemptID]Work{}, running: map[AttemptID]bool{},
		stopped: map[AttemptID]bool{}, starts: map[AttemptID]int{}, answers: map[AttemptID]int{},
		refused: map[AttemptID]pb.Outcome{},
	}
}

func (m *machine) step(t *rapid.T, in Input) {
	m.core.Step(m.now, in)
	m.drain(t)
}

func (m *machine) drain(t *rapid.T) {
	for _, out := range m.core.Drain() {
		switch out := out.(type) {
		case Start:
			m.started(t, out)
		case Stop:
			if !m.running[out.ID] || m.stopped[out.ID] {
				t.Fatalf("stop of %v, which does not run or was stopped", out.ID)
			}
			m.stopped[out.ID] = true
		case Refuse:
			m.refuse(t, out)
		case ReleaseItem:
			if out.Ran != (m.starts[out.ID] > 0) {
				t.Fatalf("%v was given back with ran %t after %d starts", out.ID, out.Ran, m.starts[out.ID])
			}
			m.answers[out.ID]++
		}
	}
}

func (m *machine) started(t *rapid.T, out Start) {
	w := m.work[out.ID]
	if m.running[out.ID] || m.answers[out.ID] > 0 {
		t.Fatalf("start of %v, which runs or was answered", out.ID)
	}
	m.starts[out.ID]++
	m.running[out.ID] = true
	if !w.Idempotent && m.starts[out.ID] > 1 {
		t.Fatalf("%v is not idempotent and started twice", out.ID)
	}
	if w.Class == Online && m.starts[out.ID] > 1 {
		t.Fatalf("online request %v started twice", out.ID)
	}
}

func (m *machine) refuse(t *rapid.T, out Refuse) {
	if m.duplicate != nil && *m.duplicate == out.ID && out.Reason == pb.Reason_REASON_DUPLICATE {
		m.duplicate = nil
		return
	}
	if out.Outcome == pb.Outcome_OUTCOME_NOT_RUN && m.starts[out.ID] > 0 {
		t.Fatalf("%v was refused as not run after a start", out.ID)
	}
	m.answers[out.ID]++
	m.refused[out.ID] = out.Outcome
}

func (m *machine) pick(t *rapid.T, from map[AttemptID]bool) (AttemptID, bool) {
	ids := []AttemptID{}
	for n := range m.next {
		id := AttemptID{RequestID: fmt.Sprint(n), Attempt: 1}
		if from[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return AttemptID{}, false
	}
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

func (m *machine) submit(t *rapid.T) {
	w := Work{
		ID:    AttemptID{RequestID: fmt.Sprint(m.next), Attempt: 1},
		Class: Class(rapid.IntRange(0, 1).Draw(t, "class")), Service: "check",
		Priority:     uint32(rapid.IntRange(0, 2).Draw(t, "priority")),
		PromptTokens: rapid.IntRange(1, 500).Draw(t, "prompt"), MaxTokens: 100,
		Idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") > 0,
	}
	if rapid.Bool().Draw(t, "due") {
		w.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "deadline")) * time.Millisecond)
		w.FirstTokenTarget = time.Second
		w.StartDeadline = m.now.Add(500 * time.Millisecond)
	}
	m.next++
	m.work[w.ID] = w
	m.step(t, Submit{w})
}

func (m *machine) resend(t *rapid.T) {
	if m.next == 0 {
		return
	}
	id := AttemptID{RequestID: fmt.Sprint(rapid.IntRange(0, m.next-1).Draw(t, "again")), Attempt: 1}
	w := m.work[id]
	if w.Class == Batch {
		return
	}
	m.duplicate = &id
	m.step(t, Submit{w})
	if m.duplicate != nil {
		t.Fatalf("duplicate of %v was not refused", id)
	}
}

func (m *machine) end(t *rapid.T) {
	id, ok := m.pick(t, m.running)
	if !ok {
		return
	}
	delete(m.running, id)
	in := RunEnded{ID: id, Outcome: pb.Outcome_OUTCOME_DONE}
	stopped := m.stopped[id]
	if stopped && rapid.Bool().Draw(t, "stopped") {
		in.Outcome, in.Paused = pb.Outcome_OUTCOME_UNKNOWN, m.core.options.CanPause
	}
	delete(m.stopped, id)
	requeued := stopped && m.answers[id] == 0 && in.Outcome != pb.Outcome_OUTCOME_DONE
	if !requeued && m.answers[id] == 0 {
		m.answers[id]++
	}
	m.step(t, in)
}

// check compares the core with the model after each step.
func (m *machine) check(t *rapid.T) {
	s := m.core
	for id, n := range m.answers {
		if n > 1 {
			t.Fatalf("%v was answered %d times", id, n)
		}
	}
	if s.streams.count() != len(m.running) || s.streams.stopping != len(m.stopped) {
		t.Fatalf("core counts %d running and %d stopping, model %d and %d",
			s.streams.count(), s.streams.stopping, len(m.running), len(m.stopped))
	}
	full := s.streams.online >= s.window.size
	waits := s.options.WaitForStop && s.streams.stopping > 0
	if s.online.len() > 0 && !full && !waits {
		t.Fatalf("online work waits behind batch work: %d queued, %d online of %d running in a window of %d",
			s.online.len(), s.streams.online, s.streams.count(), s.window.size)
	}
	if s.online.len()+s.batch.len()+s.streams.count() != len(s.work) {
		t.Fatalf("table holds %d entries, queues and streams %d", len(s.work), s.online.len()+s.batch.len()+s.streams.count())
	}
}

func TestSidecarMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit,
			"burst": func(t *rapid.T) {
				for range rapid.IntRange(2, 8).Draw(t, "burst") {
					m.submit(t)
				}
			},
			"resend": m.resend,
			"end":    m.end,
			"tokens": func(t *rapid.T) {
				if id, ok := m.pick(t, m.running); ok {
					m.step(t, TokensProduced{ID: id, Count: 1})
				}
			},
			"cancel": func(t *rapid.T) {
				if m.next > 0 {
					n := rapid.IntRange(0, m.next-1).Draw(t, "cancelled")
					m.step(t, Cancel{AttemptID{RequestID: fmt.Sprint(n), Attempt: 1}})
				}
			},
			"report": func(t *rapid.T) {
				m.step(t, EngineLoad{Running: rapid.IntRange(0, 6).Draw(t, "running"), Queued: rapid.IntRange(0, 2).Draw(t, "queued"), KVFree: 0.5})
			},
			"drain":   func(t *rapid.T) { m.step(t, Drain{}) },
			"undrain": func(t *rapid.T) { m.step(t, Undrain{}) },
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				m.core.Tick(m.now)
				m.drain(t)
			},
			"": m.check,
		})
		m.finish(t)
	})
}

// finish drains the core and holds it to one answer for each submission.
func (m *machine) finish(t *rapid.T) {
	m.step(t, Drain{})
	for range 1000 {
		if len(m.running) == 0 {
			break
		}
		m.end(t)
		m.now = m.now.Add(10 * time.Millisecond)
		m.core.Tick(m.now)
		m.drain(t)
	}
	if len(m.core.work) > 0 || m.core.expiry.Len() > 0 || m.core.held.Len() > 0 {
		t.Fatalf("left behind: %d entries, %d expiries, %d held", len(m.core.work), m.core.expiry.Len(), m.core.held.Len())
	}
	for id := range m.work {
		if m.answers[id] != 1 {
			t.Fatalf("%v was answered %d times", id, m.answers[id])
		}
	}
}
