package sidecar

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/pb"
)

// machine compares a sidecar with a model of its contract.
type machine struct {
	sidecar *Sidecar
	now     time.Time
	// submitted is the number of submitted requests and items; it numbers the
	// next one.
	submitted int
	work      map[AttemptID]Work
	running   map[AttemptID]bool
	stopped   map[AttemptID]bool
	// starts and finalResults count the starts and the final responses of each
	// attempt.
	starts       map[AttemptID]int
	finalResults map[AttemptID]int
	refused      map[AttemptID]pb.Outcome
	// pendingDuplicate is the attempt that was submitted again and must be refused
	// as a duplicate.
	pendingDuplicate *AttemptID
}

func newMachine(t *rapid.T) *machine {
	o := Options{
		Incarnation: 7, Services: []string{"check"}, InitialWindow: 3, MinWindow: 2, MaxWindow: 6,
		MaxQueue: 5, CanPause: rapid.Bool().Draw(t, "canPause"),
		WaitForStop: rapid.Bool().Draw(t, "waitForStop"),
	}
	return &machine{
		sidecar: New(o), now: startTime, work: map[AttemptID]Work{}, running: map[AttemptID]bool{},
		stopped: map[AttemptID]bool{}, starts: map[AttemptID]int{}, finalResults: map[AttemptID]int{},
		refused: map[AttemptID]pb.Outcome{},
	}
}

func (m *machine) step(t *rapid.T, in Input) {
	m.sidecar.Step(m.now, in)
	m.checkOutputs(t)
}

func (m *machine) checkOutputs(t *rapid.T) {
	for _, out := range m.sidecar.Drain() {
		switch out := out.(type) {
		case Start:
			m.recordStart(t, out)
		case Stop:
			if !m.running[out.ID] || m.stopped[out.ID] {
				t.Fatalf("Stop of %v, which is not running or was already stopped", out.ID)
			}
			m.stopped[out.ID] = true
		case Refuse:
			m.recordRefusal(t, out)
		case ReleaseItem:
			if out.Ran != (m.starts[out.ID] > 0) {
				t.Fatalf("%v was released with Ran %t after %d starts", out.ID, out.Ran, m.starts[out.ID])
			}
			m.finalResults[out.ID]++
		}
	}
}

func (m *machine) recordStart(t *rapid.T, out Start) {
	w := m.work[out.ID]
	if m.running[out.ID] || m.finalResults[out.ID] > 0 {
		t.Fatalf("Start of %v, which is running or has a final response", out.ID)
	}
	m.starts[out.ID]++
	m.running[out.ID] = true
	if !w.Idempotent && m.starts[out.ID] > 1 {
		t.Fatalf("non-idempotent %v started twice", out.ID)
	}
	if w.Class == Online && m.starts[out.ID] > 1 {
		t.Fatalf("online request %v started twice", out.ID)
	}
}

func (m *machine) recordRefusal(t *rapid.T, out Refuse) {
	if m.pendingDuplicate != nil && *m.pendingDuplicate == out.ID && out.Reason == pb.Reason_REASON_DUPLICATE {
		m.pendingDuplicate = nil
		return
	}
	if out.Outcome == pb.Outcome_OUTCOME_NOT_RUN && m.starts[out.ID] > 0 {
		t.Fatalf("%v was refused as not run after a Start", out.ID)
	}
	m.finalResults[out.ID]++
	m.refused[out.ID] = out.Outcome
}

func (m *machine) pickID(t *rapid.T, from map[AttemptID]bool) (AttemptID, bool) {
	ids := []AttemptID{}
	for n := range m.submitted {
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
		ID:    AttemptID{RequestID: fmt.Sprint(m.submitted), Attempt: 1},
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
	m.submitted++
	m.work[w.ID] = w
	m.step(t, Submit{w})
}

func (m *machine) resend(t *rapid.T) {
	if m.submitted == 0 {
		return
	}
	id := AttemptID{RequestID: fmt.Sprint(rapid.IntRange(0, m.submitted-1).Draw(t, "again")), Attempt: 1}
	w := m.work[id]
	if w.Class == Batch {
		return
	}
	m.pendingDuplicate = &id
	m.step(t, Submit{w})
	if m.pendingDuplicate != nil {
		t.Fatalf("duplicate of %v was not refused as a duplicate", id)
	}
}

func (m *machine) endRun(t *rapid.T) {
	id, ok := m.pickID(t, m.running)
	if !ok {
		return
	}
	delete(m.running, id)
	in := RunEnded{ID: id, Outcome: pb.Outcome_OUTCOME_DONE}
	stopped := m.stopped[id]
	if stopped && rapid.Bool().Draw(t, "stopped") {
		in.Outcome, in.Paused = pb.Outcome_OUTCOME_UNKNOWN, m.sidecar.options.CanPause
	}
	delete(m.stopped, id)
	requeued := stopped && m.finalResults[id] == 0 && in.Outcome != pb.Outcome_OUTCOME_DONE
	if !requeued && m.finalResults[id] == 0 {
		m.finalResults[id]++
	}
	m.step(t, in)
}

// check compares the sidecar with the model after each step.
func (m *machine) check(t *rapid.T) {
	s := m.sidecar
	for id, n := range m.finalResults {
		if n > 1 {
			t.Fatalf("%v has %d final responses", id, n)
		}
	}
	if s.streams.total() != len(m.running) || s.streams.stoppingCount != len(m.stopped) {
		t.Fatalf("sidecar counts %d running and %d stopping streams, model %d and %d",
			s.streams.total(), s.streams.stoppingCount, len(m.running), len(m.stopped))
	}
	full := s.streams.onlineCount >= s.window.size
	waits := s.options.WaitForStop && s.streams.stoppingCount > 0
	if s.onlineQueue.len() > 0 && !full && !waits {
		t.Fatalf("online requests wait for batch streams: %d queued, %d online of %d running streams in a window of %d",
			s.onlineQueue.len(), s.streams.onlineCount, s.streams.total(), s.window.size)
	}
	if s.onlineQueue.len()+s.batchQueue.len()+s.streams.total() != len(s.entries) {
		t.Fatalf("sidecar holds %d entries, but its queues and streams %d", len(s.entries), s.onlineQueue.len()+s.batchQueue.len()+s.streams.total())
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
			"end":    m.endRun,
			"tokens": func(t *rapid.T) {
				if id, ok := m.pickID(t, m.running); ok {
					m.step(t, TokensProduced{ID: id, Count: 1})
				}
			},
			"cancel": func(t *rapid.T) {
				if m.submitted > 0 {
					n := rapid.IntRange(0, m.submitted-1).Draw(t, "cancelled")
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
				m.sidecar.Tick(m.now)
				m.checkOutputs(t)
			},
			"": m.check,
		})
		m.finish(t)
	})
}

// finish drains the sidecar and checks that each submission has exactly one final
// response.
func (m *machine) finish(t *rapid.T) {
	m.step(t, Drain{})
	for range 1000 {
		if len(m.running) == 0 {
			break
		}
		m.endRun(t)
		m.now = m.now.Add(10 * time.Millisecond)
		m.sidecar.Tick(m.now)
		m.checkOutputs(t)
	}
	if len(m.sidecar.entries) > 0 || m.sidecar.deadlines.Len() > 0 || m.sidecar.batchWaits.Len() > 0 {
		t.Fatalf("entries left after the drain: %d, with %d deadlines and %d batch waits", len(m.sidecar.entries), m.sidecar.deadlines.Len(), m.sidecar.batchWaits.Len())
	}
	for id := range m.work {
		if m.finalResults[id] != 1 {
			t.Fatalf("%v has %d final responses, want 1", id, m.finalResults[id])
		}
	}
}
