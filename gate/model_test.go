package gate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/pb"
)

// requestModel is the expected state of one request.
type requestModel struct {
	request  Request
	finishes int
	outcome  pb.Outcome
	// claimActive is set from OpenClaim until a response that does not grant it.
	claimActive  bool
	claimGranted bool
	claimCloses  int
	liveAttempts []uint32
	// possibleRuns counts the ended attempts that an engine may have run, and
	// the runs of other requests with the same key.
	possibleRuns int
	sends        int
	relayed      bool
}

// gateModel checks the outputs of a gate against a model of its contract.
type gateModel struct {
	gate     *Gate
	now      time.Time
	requests map[string]*requestModel
	nextID   int
}

func newGateModel(t *rapid.T) *gateModel {
	gate := newTestGate(rapid.IntRange(1, 4).Draw(t, "members"), func(p *pb.Profile) {
		p.DueMs = 5000
		p.CallerInFlight = 6
		p.HedgeAfterMs = uint32(rapid.SampledFrom([]int{0, 100}).Draw(t, "hedge"))
	})
	return &gateModel{gate: gate, now: startTime, requests: map[string]*requestModel{}}
}

func (m *gateModel) step(t *rapid.T, in Input) {
	m.gate.Step(m.now, in)
	m.checkOutputs(t)
}

func (m *gateModel) checkOutputs(t *rapid.T) {
	for _, out := range m.gate.Drain() {
		switch out := out.(type) {
		case OpenClaim:
			m.requests[out.ID].claimActive = true
		case Send:
			m.checkSend(t, out)
		case Abort:
			m.checkAbort(t, out)
		case CloseClaim:
			m.checkCloseClaim(t, out)
		case Finish:
			m.checkFinish(t, out)
		}
	}
}

func (m *gateModel) checkSend(t *rapid.T, out Send) {
	r := m.requests[out.ID]
	r.sends++
	switch {
	case r.finishes > 0:
		t.Fatalf("request %s was sent after its Finish", out.ID)
	case !r.request.Idempotent && (len(r.liveAttempts) > 0 || r.possibleRuns > 0):
		t.Fatalf("non-idempotent request %s was sent again though an earlier attempt may have run", out.ID)
	case r.relayed && !r.request.Resumable:
		t.Fatalf("request %s is not resumable but was sent again after its first byte", out.ID)
	case r.claimActive && !r.claimGranted:
		t.Fatalf("request %s was sent before its claim was granted", out.ID)
	case r.sends > 3:
		t.Fatalf("request %s was sent %d times, want at most 3", out.ID, r.sends)
	}
	r.liveAttempts = append(r.liveAttempts, out.Attempt)
}

func (m *gateModel) checkAbort(t *rapid.T, out Abort) {
	r := m.requests[out.ID]
	i := slices.Index(r.liveAttempts, out.Attempt)
	if i < 0 {
		t.Fatalf("attempt %d of request %s was aborted but is not live", out.Attempt, out.ID)
	}
	r.liveAttempts = slices.Delete(r.liveAttempts, i, i+1)
	r.possibleRuns++
}

func (m *gateModel) checkCloseClaim(t *rapid.T, out CloseClaim) {
	r := m.requests[out.ID]
	r.claimCloses++
	if r.claimCloses > 1 {
		t.Fatalf("the claim of request %s was closed %d times, want at most once", out.ID, r.claimCloses)
	}
	if out.NotRun && r.possibleRuns > 0 {
		t.Fatalf("the key of request %s was released though the request may have run", out.ID)
	}
}

func (m *gateModel) checkFinish(t *rapid.T, out Finish) {
	r := m.requests[out.ID]
	r.finishes++
	r.outcome = out.Outcome
	if r.finishes > 1 {
		t.Fatalf("request %s was finished %d times, want once", out.ID, r.finishes)
	}
	if out.Outcome == pb.Outcome_OUTCOME_NOT_RUN && r.possibleRuns > 0 {
		t.Fatalf("request %s was finished as not run though an engine may have seen it", out.ID)
	}
	if out.Outcome == pb.Outcome_OUTCOME_UNKNOWN && r.claimCloses > 0 {
		t.Fatalf("the claim of request %s was closed though its outcome is unknown", out.ID)
	}
	if len(r.liveAttempts) > 0 {
		t.Fatalf("request %s was finished while attempts %v are live", out.ID, r.liveAttempts)
	}
}

func (m *gateModel) pickRequest(t *rapid.T, match func(*requestModel) bool) *requestModel {
	candidates := []*requestModel{}
	for n := range m.nextID {
		if r := m.requests[fmt.Sprint(n)]; match(r) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return rapid.SampledFrom(candidates).Draw(t, "request")
}

func (m *gateModel) arrive(t *rapid.T) {
	request := newTestRequest(fmt.Sprint(m.nextID))
	m.nextID++
	request.Caller = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller")
	request.Idempotent = rapid.Bool().Draw(t, "idempotent")
	request.Resumable = request.Idempotent && rapid.Bool().Draw(t, "resumable")
	if rapid.Bool().Draw(t, "keyed") {
		request.IdempotencyKey = "key" + request.ID
	}
	m.requests[request.ID] = &requestModel{request: request}
	m.step(t, RequestArrived{request})
}

func (m *gateModel) respondToClaim(t *rapid.T) {
	r := m.pickRequest(t, func(r *requestModel) bool { return r.claimActive && !r.claimGranted && r.claimCloses == 0 })
	if r == nil {
		return
	}
	in := ClaimResponse{ID: r.request.ID}
	if code := rapid.IntRange(0, 4).Draw(t, "claim state"); code > 0 {
		in.Result = &pb.ClaimResult{State: pb.ClaimState(code)}
		r.claimGranted = code == int(pb.ClaimState_CLAIM_GRANTED)
		r.possibleRuns += map[bool]int{true: 1}[code == int(pb.ClaimState_CLAIM_PENDING)]
	} else {
		in.Err = &pb.ControlError{Code: pb.ControlError_UNKNOWN}
	}
	m.step(t, in)
	r.claimActive = r.claimGranted
}

func (m *gateModel) firstByte(t *rapid.T) {
	r := m.pickRequest(t, func(r *requestModel) bool { return len(r.liveAttempts) > 0 })
	if r == nil {
		return
	}
	number := rapid.SampledFrom(r.liveAttempts).Draw(t, "attempt")
	r.relayed = true
	m.step(t, FirstByte{ID: r.request.ID, Attempt: number})
}

func (m *gateModel) endAttempt(t *rapid.T) {
	r := m.pickRequest(t, func(r *requestModel) bool { return len(r.liveAttempts) > 0 })
	if r == nil {
		return
	}
	i := rapid.IntRange(0, len(r.liveAttempts)-1).Draw(t, "attempt")
	in := AttemptEnded{ID: r.request.ID, Attempt: r.liveAttempts[i], RelayedTokens: 3}
	in.Relayed = r.relayed && rapid.Bool().Draw(t, "relayed")
	in.Outcome = pb.Outcome(rapid.IntRange(1, 3).Draw(t, "outcome"))
	in.Reason = rapid.SampledFrom([]pb.Reason{
		pb.Reason_REASON_CONNECTION_LOST, pb.Reason_REASON_OVERLOADED, pb.Reason_REASON_DRAINING,
	}).Draw(t, "reason")
	r.liveAttempts = slices.Delete(r.liveAttempts, i, i+1)
	if in.Outcome != pb.Outcome_OUTCOME_NOT_RUN {
		r.possibleRuns++
	}
	m.step(t, in)
}

// endUnknownAttempt reports the end of an attempt that is not live.
func (m *gateModel) endUnknownAttempt(t *rapid.T) {
	if m.nextID == 0 {
		return
	}
	id := fmt.Sprint(rapid.IntRange(0, m.nextID-1).Draw(t, "id"))
	number := uint32(rapid.IntRange(0, 5).Draw(t, "attempt"))
	if slices.Contains(m.requests[id].liveAttempts, number) {
		return
	}
	m.gate.Step(m.now, AttemptEnded{ID: id, Attempt: number, Outcome: pb.Outcome_OUTCOME_DONE})
	out := m.gate.Drain()
	if len(out) != 1 || out[0] != (InputDropped{ID: id, Attempt: number}) {
		t.Fatalf("the end of attempt %d of request %s, which is not live, gave outputs %v, want one InputDropped", number, id, out)
	}
}

func (m *gateModel) checkInFlight(t *rapid.T) {
	unfinished := 0
	for _, r := range m.requests {
		if r.finishes == 0 {
			unfinished++
		}
	}
	if m.gate.InFlight() != unfinished {
		t.Fatalf("the gate has %d requests in flight, the model %d", m.gate.InFlight(), unfinished)
	}
}

func TestGateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGateModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":    m.arrive,
			"claim":     m.respondToClaim,
			"firstByte": m.firstByte,
			"end":       m.endAttempt,
			"endAgain":  m.endAttempt,
			"stray":     m.endUnknownAttempt,
			"gone": func(t *rapid.T) {
				if r := m.pickRequest(t, func(*requestModel) bool { return true }); r != nil {
					m.step(t, CallerGone{r.request.ID})
				}
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				m.gate.Tick(m.now)
				m.checkOutputs(t)
			},
			"": m.checkInFlight,
		})
		m.now = m.now.Add(time.Minute)
		m.gate.Tick(m.now)
		m.checkOutputs(t)
		if m.gate.InFlight() != 0 || m.gate.deadlines.Len()+m.gate.hedges.Len()+m.gate.retries.Len() != 0 {
			t.Fatalf("%d requests or their timers are left after the deadlines", m.gate.InFlight())
		}
	})
}
