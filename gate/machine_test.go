package gate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/pb"
)

// askState is the model's view of one request.
type askState struct {
	request  Request
	finishes int
	outcome  pb.Outcome
	claimed  bool
	granted  bool
	closed   int
	// live attempts run; doubtful ones may have been seen by an engine.
	live     []uint32
	doubtful int
	sends    int
	relayed  bool
}

// machine holds a gate against a model of its contract.
type machine struct {
	core *Gate
	now  time.Time
	asks map[string]*askState
	next int
}

func newMachine(t *rapid.T) *machine {
	core := newTest(rapid.IntRange(1, 4).Draw(t, "members"), func(p *pb.Profile) {
		p.DueMs = 5000
		p.CallerInFlight = 6
		p.HedgeAfterMs = uint32(rapid.SampledFrom([]int{0, 100}).Draw(t, "hedge"))
	})
	return &machine{core: core, now: start, asks: map[string]*askState{}}
}

func (m *machine) step(t *rapid.T, in Input) {
	m.core.Step(m.now, in)
	m.drain(t)
}

func (m *machine) drain(t *rapid.T) {
	for _, out := range m.core.Drain() {
		switch out := out.(type) {
		case OpenClaim:
			m.asks[out.ID].claimed = true
		case Send:
			m.sent(t, out)
		case Abort:
			m.abort(t, out)
		case CloseClaim:
			m.closed(t, out)
		case Finish:
			m.finished(t, out)
		}
	}
}

func (m *machine) sent(t *rapid.T, out Send) {
	a := m.asks[out.ID]
	a.sends++
	switch {
	case a.finishes > 0:
		t.Fatalf("%s was sent after its answer", out.ID)
	case !a.request.Idempotent && (len(a.live) > 0 || a.doubtful > 0):
		t.Fatalf("%s is not idempotent and was sent while an earlier attempt may run", out.ID)
	case a.relayed && !a.request.Resumable:
		t.Fatalf("%s was sent again after its first byte", out.ID)
	case a.claimed && !a.granted:
		t.Fatalf("%s was sent without its claim", out.ID)
	case a.sends > 3:
		t.Fatalf("%s was sent %d times", out.ID, a.sends)
	}
	a.live = append(a.live, out.Attempt)
}

func (m *machine) abort(t *rapid.T, out Abort) {
	a := m.asks[out.ID]
	at := slices.Index(a.live, out.Attempt)
	if at < 0 {
		t.Fatalf("abort of attempt %d of %s, which does not run", out.Attempt, out.ID)
	}
	a.live = slices.Delete(a.live, at, at+1)
	a.doubtful++
}

func (m *machine) closed(t *rapid.T, out CloseClaim) {
	a := m.asks[out.ID]
	a.closed++
	if a.closed > 1 {
		t.Fatalf("the claim of %s was closed %d times", out.ID, a.closed)
	}
	if out.NotRun && a.doubtful > 0 {
		t.Fatalf("the key of %s was released though it may have run", out.ID)
	}
}

func (m *machine) finished(t *rapid.T, out Finish) {
	a := m.asks[out.ID]
	a.finishes++
	a.outcome = out.Outcome
	if a.finishes > 1 {
		t.Fatalf("%s was answered %d times", out.ID, a.finishes)
	}
	if out.Outcome == pb.Outcome_OUTCOME_NOT_RUN && a.doubtful > 0 {
		t.Fatalf("%s was answered not-run though an engine may have seen it", out.ID)
	}
	if out.Outcome == pb.Outcome_OUTCOME_UNKNOWN && a.closed > 0 {
		t.Fatalf("the claim of %s was closed though its outcome is unknown", out.ID)
	}
	if len(a.live) > 0 {
		t.Fatalf("%s was answered while attempts %v run", out.ID, a.live)
	}
}

func (m *machine) pick(t *rapid.T, fits func(*askState) bool) *askState {
	list := []*askState{}
	for n := range m.next {
		if a := m.asks[fmt.Sprint(n)]; fits(a) {
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return rapid.SampledFrom(list).Draw(t, "ask")
}

func (m *machine) arrive(t *rapid.T) {
	r := ask(fmt.Sprint(m.next))
	m.next++
	r.Caller = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller")
	r.Idempotent = rapid.Bool().Draw(t, "idempotent")
	r.Resumable = r.Idempotent && rapid.Bool().Draw(t, "resumable")
	if rapid.Bool().Draw(t, "keyed") {
		r.IdempotencyKey = "key" + r.ID
	}
	m.asks[r.ID] = &askState{request: r}
	m.step(t, RequestArrived{r})
}

func (m *machine) answerClaim(t *rapid.T) {
	a := m.pick(t, func(a *askState) bool { return a.claimed && !a.granted && a.closed == 0 })
	if a == nil {
		return
	}
	in := ClaimResponse{ID: a.request.ID}
	if code := rapid.IntRange(0, 4).Draw(t, "claim"); code > 0 {
		in.Result = &pb.ClaimResult{State: pb.ClaimState(code)}
		a.granted = code == int(pb.ClaimState_CLAIM_GRANTED)
		a.doubtful += map[bool]int{true: 1}[code == int(pb.ClaimState_CLAIM_PENDING)]
	} else {
		in.Err = &pb.ControlError{Code: pb.ControlError_UNKNOWN}
	}
	m.step(t, in)
	a.claimed = a.granted
}

func (m *machine) firstByte(t *rapid.T) {
	a := m.pick(t, func(a *askState) bool { return len(a.live) > 0 })
	if a == nil {
		return
	}
	number := rapid.SampledFrom(a.live).Draw(t, "attempt")
	a.relayed = true
	m.step(t, FirstByte{ID: a.request.ID, Attempt: number})
}

func (m *machine) end(t *rapid.T) {
	a := m.pick(t, func(a *askState) bool { return len(a.live) > 0 })
	if a == nil {
		return
	}
	at := rapid.IntRange(0, len(a.live)-1).Draw(t, "attempt")
	in := AttemptEnded{ID: a.request.ID, Attempt: a.live[at], RelayedTokens: 3}
	in.Relayed = a.relayed && rapid.Bool().Draw(t, "tells")
	in.Outcome = pb.Outcome(rapid.IntRange(1, 3).Draw(t, "outcome"))
	in.Reason = rapid.SampledFrom([]pb.Reason{
		pb.Reason_REASON_CONNECTION_LOST, pb.Reason_REASON_OVERLOADED, pb.Reason_REASON_DRAINING,
	}).Draw(t, "reason")
	a.live = slices.Delete(a.live, at, at+1)
	if in.Outcome != pb.Outcome_OUTCOME_NOT_RUN {
		a.doubtful++
	}
	m.step(t, in)
}

// stray reports an end that belongs to no live attempt.
func (m *machine) stray(t *rapid.T) {
	if m.next == 0 {
		return
	}
	id := fmt.Sprint(rapid.IntRange(0, m.next-1).Draw(t, "stray"))
	number := uint32(rapid.IntRange(0, 5).Draw(t, "attempt"))
	if slices.Contains(m.asks[id].live, number) {
		return
	}
	m.core.Step(m.now, AttemptEnded{ID: id, Attempt: number, Outcome: pb.Outcome_OUTCOME_DONE})
	out := m.core.Drain()
	if len(out) != 1 || out[0] != (InputDropped{ID: id, Attempt: number}) {
		t.Fatalf("a stray end of attempt %d of %s led to %v", number, id, out)
	}
}

func (m *machine) check(t *rapid.T) {
	waiting := 0
	for _, a := range m.asks {
		if a.finishes == 0 {
			waiting++
		}
	}
	if m.core.InFlight() != waiting {
		t.Fatalf("the gate holds %d requests, the model %d", m.core.InFlight(), waiting)
	}
}

func TestGateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":    m.arrive,
			"claim":     m.answerClaim,
			"firstByte": m.firstByte,
			"end":       m.end,
			"endAgain":  m.end,
			"stray":     m.stray,
			"gone": func(t *rapid.T) {
				if a := m.pick(t, func(*askState) bool { return true }); a != nil {
					m.step(t, CallerGone{a.request.ID})
				}
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				m.core.Tick(m.now)
				m.drain(t)
			},
			"": m.check,
		})
		m.now = m.now.Add(time.Minute)
		m.core.Tick(m.now)
		m.drain(t)
		if m.core.InFlight() != 0 || m.core.deadlines.Len()+m.core.hedges.Len()+m.core.retries.Len() != 0 {
			t.Fatalf("%d requests are left after their deadlines", m.core.InFlight())
		}
	})
}
