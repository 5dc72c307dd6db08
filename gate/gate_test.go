package gate

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

var startTime = time.Unix(1_000_000, 0)

// testProfiles has the online profile of its only service, "check".
type testProfiles struct{ online *pb.Profile }

func (p testProfiles) ProfileOf(service string) (*pb.Service, *pb.Profile, *pb.Profile, bool) {
	return &pb.Service{Name: service}, p.online, nil, service == "check"
}

func newTestGate(members int, change func(*pb.Profile)) *Gate {
	profile := &pb.Profile{MaxAttempts: 3, RetryBudgetPermille: 100}
	if change != nil {
		change(profile)
	}
	g := New(Options{DataCentre: "a", Seed: 1})
	g.Step(startTime, ProfilesChanged{testProfiles{profile}})
	g.Step(startTime, ReadinessChanged{true})
	for n := range members {
		g.Step(startTime, MemberChanged{testMember(n)})
	}
	return g
}

func testMember(n int) *pb.Member {
	return &pb.Member{
		Id: fmt.Sprint("u", n), Incarnation: 1, Version: 1, DataCentre: "a",
		Services: []string{"check"}, State: pb.MemberState_MEMBER_SERVING,
	}
}

func step(g *Gate, now time.Time, in Input) []Output {
	g.Step(now, in)
	return g.Drain()
}

func newTestRequest(id string) Request {
	return Request{ID: id, Caller: "mine", Service: "check", Idempotent: true}
}

func failedAttempt(id string, attempt uint32, outcome pb.Outcome, reason pb.Reason) AttemptEnded {
	return AttemptEnded{ID: id, Attempt: attempt, Outcome: outcome, Reason: reason}
}

const (
	done    = pb.Outcome_OUTCOME_DONE
	notRun  = pb.Outcome_OUTCOME_NOT_RUN
	unknown = pb.Outcome_OUTCOME_UNKNOWN
)

func TestRequestIsSentAndFinished(t *testing.T) {
	g := NewWithT(t)
	gate := newTestGate(2, nil)
	out := step(gate, startTime, RequestArrived{newTestRequest("r")})
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].(Send).Attempt).To(BeEquivalentTo(1))
	g.Expect(step(gate, startTime, FirstByte{"r", 1})).To(BeEmpty())
	g.Expect(step(gate, startTime, AttemptEnded{ID: "r", Attempt: 1, Outcome: done})).To(Equal([]Output{
		Finish{ID: "r", Outcome: done, Attempt: 1},
	}))
	g.Expect(gate.InFlight()).To(BeZero())
}

func TestRefusalsAreNotRun(t *testing.T) {
	cases := map[string]struct {
		gate   *Gate
		change func(*Request)
		reason pb.Reason
	}{
		"not ready":        {New(Options{}), func(*Request) {}, pb.Reason_REASON_CONFIG_STALE},
		"no upstream":      {newTestGate(0, nil), func(*Request) {}, pb.Reason_REASON_NO_UPSTREAM},
		"unknown service":  {newTestGate(1, nil), func(r *Request) { r.Service = "other" }, pb.Reason_REASON_UNKNOWN_SERVICE},
		"expired deadline": {newTestGate(1, nil), func(r *Request) { r.Deadline = startTime }, pb.Reason_REASON_DEADLINE},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newTestRequest("r")
			c.change(&r)
			out := step(c.gate, startTime, RequestArrived{r})
			g.Expect(out).To(HaveLen(1))
			g.Expect(out[0].(Finish).Outcome).To(Equal(notRun))
			g.Expect(out[0].(Finish).Reason).To(Equal(c.reason))
		})
	}
}

func TestIdempotentRequestIsSentToAnotherUpstreamAfterALostConnection(t *testing.T) {
	g := NewWithT(t)
	gate := newTestGate(2, nil)
	first := step(gate, startTime, RequestArrived{newTestRequest("r")})[0].(Send)
	out := step(gate, startTime, failedAttempt("r", 1, unknown, pb.Reason_REASON_CONNECTION_LOST))
	second := out[0].(Send)
	g.Expect(second.RetryReason).To(Equal(pb.Reason_REASON_CONNECTION_LOST))
	g.Expect(second.Member.GetId()).NotTo(Equal(first.Member.GetId()))
}

func TestNonIdempotentRequestIsRepeatedOnlyAfterNotRun(t *testing.T) {
	g := NewWithT(t)
	gate := newTestGate(3, nil)
	r := newTestRequest("r")
	r.Idempotent = false
	step(gate, startTime, RequestArrived{r})
	out := step(gate, startTime, failedAttempt("r", 1, notRun, pb.Reason_REASON_DRAINING))
	g.Expect(out[0]).To(BeAssignableToTypeOf(Send{}))
	out = step(gate, startTime, failedAttempt("r", 2, unknown, pb.Reason_REASON_CONNECTION_LOST))
	g.Expect(out).To(Equal([]Output{
		Finish{ID: "r", Outcome: unknown, Reason: pb.Reason_REASON_CONNECTION_LOST},
	}))
}

func TestWrongIncarnationIsRetriedOnAnotherUpstream(t *testing.T) {
	g := NewWithT(t)
	gate := newTestGate(2, nil)
	r := newTestRequest("r")
	r.Idempotent = false
	step(gate, startTime, RequestArrived{r})
	out := step(gate, startTime, failedAttempt("r", 1, unknown, pb.Reason_REASON_WRONG_INCARNATION))
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].(Send).RetryReason).To(Equal(pb.Reason_REASON_WRONG_INCARNATION))
}

func TestNoRetryAfterTheFirstByte(t *testing.T) {
	g := NewWithT(t)
	gate := newTestGate(2, nil)
	step(gate, startTime, RequestArrived{newTestRequest("r")})
	step(gate, startTime, FirstByte{"r", 1})
	cut := failedAttempt("r", 1, unknown, pb.Reason_REASON_TRUNCATED)
	cut.Relayed, cut.RelayedTokens = true, 5
	g.Expect(step(gate, startTime, cut)).To(Equal([]Output{
		Finish{ID: "r", Outcome: unknown, Reason: pb.Reason_REASON_TRUNCATED, Attempt: 1},
	}))
}

func TestTruncatedResponseIsResumed(t *testing.T) {
	g := NewWithT(t)
	gate := newTestGate(2, nil)
	r := newTestRequest("r")
	r.Resumable = true
	step(gate, startTime, RequestArrived{r})
	step(gate, startTime, FirstByte{"r", 1})
	cut := failedAttempt("r", 1, unknown, pb.Reason_REASON_TRUNCATED)
	cut.Relayed, cut.RelayedTokens = true, 5
	out := step(gate, startTime, cut)
	g.Expect(out[0].(Send).ResumeFrom).To(BeEquivalentTo(5))
}

func TestHedgeWinsAndTheFirstAttemptIsAborted(t *testing.T) {
	g := NewWithT(t)
	gate := newTestGate(2, func(p *pb.Profile) { p.HedgeAfterMs = 100 })
	step(gate, startTime, RequestArrived{newTestRequest("r")})
	gate.Tick(startTime.Add(100 * time.Millisecond))
	out := gate.Drain()
	g.Expect(out[0].(Send).Hedge).To(BeTrue())
	g.Expect(step(gate, startTime, FirstByte{"r", 2})).To(Equal([]Output{Abort{ID: "r", Attempt: 1}}))
	g.Expect(step(gate, startTime, FirstByte{"r", 1})).To(Equal([]Output{InputDropped{ID: "r", Attempt: 1}}))
	g.Expect(step(gate, startTime, AttemptEnded{ID: "r", Attempt: 2, Outcome: done})).To(Equal([]Output{
		Finish{ID: "r", Outcome: done, Attempt: 2},
	}))
}

func TestHedgesStayWithinTheBudget(t *testing.T) {
	g := NewWithT(t)
	gate := newTestGate(3, func(p *pb.Profile) { p.RetryBudgetPermille, p.HedgeAfterMs = 0, 100 })
	now, hedges := startTime, 0
	for n := range 60 {
		id := fmt.Sprint(n)
		step(gate, now, RequestArrived{newTestRequest(id)})
		now = now.Add(100 * time.Millisecond)
		gate.Tick(now)
		hedges += len(gate.Drain())
		step(gate, now, CallerGone{id})
	}
	g.Expect(hedges).To(BeNumerically("~", 22, 3), "the budget allows a burst of 20 and one hedge every 2 s")
}

func TestOnlyUpstreamIsRetriedAfterBackoff(t *testing.T) {
	g := NewWithT(t)
	gate := newTestGate(1, nil)
	step(gate, startTime, RequestArrived{newTestRequest("r")})
	g.Expect(step(gate, startTime, failedAttempt("r", 1, unknown, pb.Reason_REASON_CONNECTION_LOST))).To(BeEmpty())
	gate.Tick(startTime.Add(retryBackoffBase / 4))
	g.Expect(gate.Drain()).To(BeEmpty())
	gate.Tick(startTime.Add(retryBackoffBase))
	g.Expect(gate.Drain()[0].(Send).Attempt).To(BeEquivalentTo(2))
}

func TestOverloadedUpstreamIsNotRetried(t *testing.T) {
	g := NewWithT(t)
	gate := newTestGate(1, nil)
	step(gate, startTime, RequestArrived{newTestRequest("r")})
	full := failedAttempt("r", 1, notRun, pb.Reason_REASON_OVERLOADED)
	full.RetryAfter = 3 * time.Second
	g.Expect(step(gate, startTime, full)).To(Equal([]Output{
		Finish{ID: "r", Outcome: notRun, Reason: pb.Reason_REASON_OVERLOADED, RetryAfter: 3 * time.Second},
	}))
}

func TestRequestFailsAtItsDeadline(t *testing.T) {
	g := NewWithT(t)
	gate := newTestGate(1, func(p *pb.Profile) { p.DueMs = 500 })
	g.Expect(step(gate, startTime, RequestArrived{newTestRequest("r")})[0].(Send).TimeToDeadline).To(Equal(500 * time.Millisecond))
	gate.Tick(startTime.Add(500 * time.Millisecond))
	g.Expect(gate.Drain()).To(Equal([]Output{
		Abort{ID: "r", Attempt: 1},
		Finish{ID: "r", Outcome: unknown, Reason: pb.Reason_REASON_DEADLINE},
	}))
}

func TestRetryBudgetLimitsRetries(t *testing.T) {
	g := NewWithT(t)
	gate := newTestGate(4, func(p *pb.Profile) { p.RetryBudgetPermille = 0 })
	refused := 0
	for n := range 100 {
		id := fmt.Sprint(n)
		step(gate, startTime, RequestArrived{newTestRequest(id)})
		out := step(gate, startTime, failedAttempt(id, 1, unknown, pb.Reason_REASON_CONNECTION_LOST))
		if finish, ok := out[0].(Finish); ok {
			g.Expect(finish.Reason).To(Equal(pb.Reason_REASON_RETRY_BUDGET))
			g.Expect(finish.RetryAfter).To(Equal(noBudgetRetryAfter))
			refused++
			continue
		}
		step(gate, startTime, AttemptEnded{ID: id, Attempt: 2, Outcome: done})
	}
	g.Expect(refused).To(BeNumerically(">=", 80))
}

func TestClaim(t *testing.T) {
	g := NewWithT(t)
	gate := newTestGate(1, nil)
	keyed := func(id string) Request {
		r := newTestRequest(id)
		r.Idempotent, r.IdempotencyKey = false, "key"
		return r
	}
	g.Expect(step(gate, startTime, RequestArrived{keyed("r")})[0]).To(BeAssignableToTypeOf(OpenClaim{}))
	granted := &pb.ClaimResult{State: pb.ClaimState_CLAIM_GRANTED}
	g.Expect(step(gate, startTime, ClaimResponse{ID: "r", Result: granted})[0]).To(BeAssignableToTypeOf(Send{}))
	g.Expect(step(gate, startTime, CallerGone{"r"})).To(BeEmpty(), "a claimed request continues, so that its response is recorded")
	g.Expect(step(gate, startTime, AttemptEnded{ID: "r", Attempt: 1, Outcome: done})).To(Equal([]Output{
		CloseClaim{ID: "r", Caller: "mine", IdempotencyKey: "key", Attempt: 1},
		Finish{ID: "r", Outcome: done, Attempt: 1},
	}))
	step(gate, startTime, RequestArrived{keyed("again")})
	recorded := &pb.ClaimResult{State: pb.ClaimState_CLAIM_DONE, Status: 200}
	g.Expect(step(gate, startTime, ClaimResponse{ID: "again", Result: recorded})).To(Equal([]Output{
		Finish{ID: "again", Outcome: done, RecordedResult: recorded},
	}))
}

func TestKeyGrantedAfterTheRequestFailedIsReleased(t *testing.T) {
	g := NewWithT(t)
	gate := newTestGate(1, nil)
	r := newTestRequest("r")
	r.Idempotent, r.IdempotencyKey = false, "key"
	step(gate, startTime, RequestArrived{r})
	g.Expect(step(gate, startTime, CallerGone{"r"})).To(Equal([]Output{
		Finish{ID: "r", Outcome: notRun, Reason: pb.Reason_REASON_CANCELLED},
	}))
	granted := &pb.ClaimResult{State: pb.ClaimState_CLAIM_GRANTED}
	g.Expect(step(gate, startTime, ClaimResponse{ID: "r", Result: granted})).To(Equal([]Output{
		CloseClaim{ID: "r", Caller: "mine", IdempotencyKey: "key", NotRun: true},
	}))
}

func TestDrainingUpstreamReceivesNoNewRequests(t *testing.T) {
	g := NewWithT(t)
	gate := newTestGate(2, nil)
	first := step(gate, startTime, RequestArrived{newTestRequest("r")})[0].(Send)
	step(gate, startTime, failedAttempt("r", 1, notRun, pb.Reason_REASON_DRAINING))
	for n := range 10 {
		out := step(gate, startTime, RequestArrived{newTestRequest(fmt.Sprint(n))})
		g.Expect(out[0].(Send).Member.GetId()).NotTo(Equal(first.Member.GetId()))
	}
}
