package gate

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

var start = time.Unix(1_000_000, 0)

// profiles is one service with its profile.
type profiles struct{ online *pb.Profile }

func (p profiles) ProfileOf(service string) (*pb.Service, *pb.Profile, *pb.Profile, bool) {
	return &pb.Service{Name: service}, p.online, nil, service == "check"
}

func newTest(members int, change func(*pb.Profile)) *Gate {
	profile := &pb.Profile{MaxAttempts: 3, RetryBudgetPermille: 100}
	if change != nil {
		change(profile)
	}
	g := New(Options{DataCentre: "a", Seed: 1})
	g.Step(start, ProfilesChanged{profiles{profile}})
	g.Step(start, ReadinessChanged{true})
	for n := range members {
		g.Step(start, MemberChanged{testMember(n)})
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

func ask(id string) Request {
	return Request{ID: id, Caller: "mine", Service: "check", Idempotent: true}
}

func failure(id string, attempt uint32, outcome pb.Outcome, reason pb.Reason) AttemptEnded {
	return AttemptEnded{ID: id, Attempt: attempt, Outcome: outcome, Reason: reason}
}

const (
	done    = pb.Outcome_OUTCOME_DONE
	notRun  = pb.Outcome_OUTCOME_NOT_RUN
	unknown = pb.Outcome_OUTCOME_UNKNOWN
)

func TestPlainPath(t *testing.T) {
	g := NewWithT(t)
	gate := newTest(2, nil)
	out := step(gate, start, RequestArrived{ask("r")})
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].(Send).Attempt).To(BeEquivalentTo(1))
	g.Expect(step(gate, start, FirstByte{"r", 1})).To(BeEmpty())
	g.Expect(step(gate, start, AttemptEnded{ID: "r", Attempt: 1, Outcome: done})).To(Equal([]Output{
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
		"not ready":   {New(Options{}), func(*Request) {}, pb.Reason_REASON_CONFIG_STALE},
		"no upstream": {newTest(0, nil), func(*Request) {}, pb.Reason_REASON_NO_UPSTREAM},
		"service":     {newTest(1, nil), func(r *Request) { r.Service = "other" }, pb.Reason_REASON_UNKNOWN_SERVICE},
		"deadline":    {newTest(1, nil), func(r *Request) { r.Deadline = start }, pb.Reason_REASON_DEADLINE},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := ask("r")
			c.change(&r)
			out := step(c.gate, start, RequestArrived{r})
			g.Expect(out).To(HaveLen(1))
			g.Expect(out[0].(Finish).Outcome).To(Equal(notRun))
			g.Expect(out[0].(Finish).Reason).To(Equal(c.reason))
		})
	}
}

func TestIdempotentRequestIsSentToAnotherUpstreamAfterALostConnection(t *testing.T) {
	g := NewWithT(t)
	gate := newTest(2, nil)
	first := step(gate, start, RequestArrived{ask("r")})[0].(Send)
	out := step(gate, start, failure("r", 1, unknown, pb.Reason_REASON_CONNECTION_LOST))
	second := out[0].(Send)
	g.Expect(second.RetryReason).To(Equal(pb.Reason_REASON_CONNECTION_LOST))
	g.Expect(second.Member.GetId()).NotTo(Equal(first.Member.GetId()))
}

func TestNonIdempotentRequestIsRepeatedOnlyAfterNotRun(t *testing.T) {
	g := NewWithT(t)
	gate := newTest(3, nil)
	r := ask("r")
	r.Idempotent = false
	step(gate, start, RequestArrived{r})
	out := step(gate, start, failure("r", 1, notRun, pb.Reason_REASON_DRAINING))
	g.Expect(out[0]).To(BeAssignableToTypeOf(Send{}))
	out = step(gate, start, failure("r", 2, unknown, pb.Reason_REASON_CONNECTION_LOST))
	g.Expect(out).To(Equal([]Output{
		Finish{ID: "r", Outcome: unknown, Reason: pb.Reason_REASON_CONNECTION_LOST},
	}))
}

func TestMessageForAnEarlierIncarnationIsSentElsewhere(t *testing.T) {
	g := NewWithT(t)
	gate := newTest(2, nil)
	r := ask("r")
	r.Idempotent = false
	step(gate, start, RequestArrived{r})
	out := step(gate, start, failure("r", 1, unknown, pb.Reason_REASON_WRONG_INCARNATION))
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].(Send).RetryReason).To(Equal(pb.Reason_REASON_WRONG_INCARNATION))
}

func TestNothingIsRepeatedAfterTheFirstByte(t *testing.T) {
	g := NewWithT(t)
	gate := newTest(2, nil)
	step(gate, start, RequestArrived{ask("r")})
	step(gate, start, FirstByte{"r", 1})
	cut := failure("r", 1, unknown, pb.Reason_REASON_TRUNCATED)
	cut.Relayed, cut.RelayedTokens = true, 5
	g.Expect(step(gate, start, cut)).To(Equal([]Output{
		Finish{ID: "r", Outcome: unknown, Reason: pb.Reason_REASON_TRUNCATED, Attempt: 1},
	}))
}

func TestCutAnswerIsResumedAtItsPosition(t *testing.T) {
	g := NewWithT(t)
	gate := newTest(2, nil)
	r := ask("r")
	r.Resumable = true
	step(gate, start, RequestArrived{r})
	step(gate, start, FirstByte{"r", 1})
	cut := failure("r", 1, unknown, pb.Reason_REASON_TRUNCATED)
	cut.Relayed, cut.RelayedTokens = true, 5
	out := step(gate, start, cut)
	g.Expect(out[0].(Send).ResumeFrom).To(BeEquivalentTo(5))
}

func TestHedgeWinsAndTheFirstAttemptIsAborted(t *testing.T) {
	g := NewWithT(t)
	gate := newTest(2, func(p *pb.Profile) { p.HedgeAfterMs = 100 })
	step(gate, start, RequestArrived{ask("r")})
	gate.Tick(start.Add(100 * time.Millisecond))
	out := gate.Drain()
	g.Expect(out[0].(Send).Hedge).To(BeTrue())
	g.Expect(step(gate, start, FirstByte{"r", 2})).To(Equal([]Output{Abort{ID: "r", Attempt: 1}}))
	g.Expect(step(gate, start, FirstByte{"r", 1})).To(Equal([]Output{InputDropped{ID: "r", Attempt: 1}}))
	g.Expect(step(gate, start, AttemptEnded{ID: "r", Attempt: 2, Outcome: done})).To(Equal([]Output{
		Finish{ID: "r", Outcome: done, Attempt: 2},
	}))
}

func TestHedgesStayWithinTheBudget(t *testing.T) {
	g := NewWithT(t)
	gate := newTest(3, func(p *pb.Profile) { p.RetryBudgetPermille, p.HedgeAfterMs = 0, 100 })
	now, hedges := start, 0
	for n := range 60 {
		id := fmt.Sprint(n)
		step(gate, now, RequestArrived{ask(id)})
		now = now.Add(100 * time.Millisecond)
		gate.Tick(now)
		hedges += len(gate.Drain())
		step(gate, now, CallerGone{id})
	}
	g.Expect(hedges).To(BeNumerically("~", 22, 3), "a burst of twenty and one each two seconds")
}

func TestOnlyUpstreamIsTriedAgainAfterABackoff(t *testing.T) {
	g := NewWithT(t)
	gate := newTest(1, nil)
	step(gate, start, RequestArrived{ask("r")})
	g.Expect(step(gate, start, failure("r", 1, unknown, pb.Reason_REASON_CONNECTION_LOST))).To(BeEmpty())
	gate.Tick(start.Add(retryBackoffBase / 4))
	g.Expect(gate.Drain()).To(BeEmpty())
	gate.Tick(start.Add(retryBackoffBase))
	g.Expect(gate.Drain()[0].(Send).Attempt).To(BeEquivalentTo(2))
}

func TestFullUpstreamIsNotTriedAgain(t *testing.T) {
	g := NewWithT(t)
	gate := newTest(1, nil)
	step(gate, start, RequestArrived{ask("r")})
	full := failure("r", 1, notRun, pb.Reason_REASON_OVERLOADED)
	full.RetryAfter = 3 * time.Second
	g.Expect(step(gate, start, full)).To(Equal([]Output{
		Finish{ID: "r", Outcome: notRun, Reason: pb.Reason_REASON_OVERLOADED, RetryAfter: 3 * time.Second},
	}))
}

func TestDeadlineIsAnsweredAtOnce(t *testing.T) {
	g := NewWithT(t)
	gate := newTest(1, func(p *pb.Profile) { p.DueMs = 500 })
	g.Expect(step(gate, start, RequestArrived{ask("r")})[0].(Send).Remaining).To(Equal(500 * time.Millisecond))
	gate.Tick(start.Add(500 * time.Millisecond))
	g.Expect(gate.Drain()).To(Equal([]Output{
		Abort{ID: "r", Attempt: 1},
		Finish{ID: "r", Outcome: unknown, Reason: pb.Reason_REASON_DEADLINE},
	}))
}

func TestRetryBudgetEnds(t *testing.T) {
	g := NewWithT(t)
	gate := newTest(4, func(p *pb.Profile) { p.RetryBudgetPermille = 0 })
	refused := 0
	for n := range 100 {
		id := fmt.Sprint(n)
		step(gate, start, RequestArrived{ask(id)})
		out := step(gate, start, failure(id, 1, unknown, pb.Reason_REASON_CONNECTION_LOST))
		if finish, ok := out[0].(Finish); ok {
			g.Expect(finish.Reason).To(Equal(pb.Reason_REASON_RETRY_BUDGET))
			g.Expect(finish.RetryAfter).To(Equal(noBudgetRetryAfter))
			refused++
			continue
		}
		step(gate, start, AttemptEnded{ID: id, Attempt: 2, Outcome: done})
	}
	g.Expect(refused).To(BeNumerically(">=", 80))
}

func TestClaim(t *testing.T) {
	g := NewWithT(t)
	gate := newTest(1, nil)
	keyed := func(id string) Request {
		r := ask(id)
		r.Idempotent, r.IdempotencyKey = false, "key"
		return r
	}
	g.Expect(step(gate, start, RequestArrived{keyed("r")})[0]).To(BeAssignableToTypeOf(OpenClaim{}))
	granted := &pb.ClaimResult{State: pb.ClaimState_CLAIM_GRANTED}
	g.Expect(step(gate, start, ClaimResponse{ID: "r", Result: granted})[0]).To(BeAssignableToTypeOf(Send{}))
	g.Expect(step(gate, start, CallerGone{"r"})).To(BeEmpty(), "the answer is recorded for the caller's next try")
	g.Expect(step(gate, start, AttemptEnded{ID: "r", Attempt: 1, Outcome: done})).To(Equal([]Output{
		CloseClaim{ID: "r", Caller: "mine", IdempotencyKey: "key", Attempt: 1},
		Finish{ID: "r", Outcome: done, Attempt: 1},
	}))
	step(gate, start, RequestArrived{keyed("again")})
	recorded := &pb.ClaimResult{State: pb.ClaimState_CLAIM_DONE, Status: 200}
	g.Expect(step(gate, start, ClaimResponse{ID: "again", Result: recorded})).To(Equal([]Output{
		Finish{ID: "again", Outcome: done, RecordedResult: recorded},
	}))
}

func TestKeyGrantedAfterTheRequestWasGivenUpIsReleased(t *testing.T) {
	g := NewWithT(t)
	gate := newTest(1, nil)
	r := ask("r")
	r.Idempotent, r.IdempotencyKey = false, "key"
	step(gate, start, RequestArrived{r})
	g.Expect(step(gate, start, CallerGone{"r"})).To(Equal([]Output{
		Finish{ID: "r", Outcome: notRun, Reason: pb.Reason_REASON_CANCELLED},
	}))
	granted := &pb.ClaimResult{State: pb.ClaimState_CLAIM_GRANTED}
	g.Expect(step(gate, start, ClaimResponse{ID: "r", Result: granted})).To(Equal([]Output{
		CloseClaim{ID: "r", Caller: "mine", IdempotencyKey: "key", NotRun: true},
	}))
}

func TestDrainingUpstreamGetsNothingNew(t *testing.T) {
	g := NewWithT(t)
	gate := newTest(2, nil)
	first := step(gate, start, RequestArrived{ask("r")})[0].(Send)
	step(gate, start, failure("r", 1, notRun, pb.Reason_REASON_DRAINING))
	for n := range 10 {
		out := step(gate, start, RequestArrived{ask(fmt.Sprint(n))})
		g.Expect(out[0].(Send).Member.GetId()).NotTo(Equal(first.Member.GetId()))
	}
}
