package fence

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/orders"
	"github.com/briarcross/briarcross/pb"
)

// simulation simulates the replicated state, one upstream and its sidecar, with
// messages that are delayed, reordered, repeated and lost at random.
type simulation struct {
	t           *rapid.T
	now         time.Time
	store       *kv.MemoryStore
	state       orders.State
	fence       *Fence
	undelivered []Input
	upstream    upstream
	issuedCount int
}

// upstream is a fake engine that may or may not check fencing numbers.
type upstream struct {
	checksFencing bool
	highestNumber uint64
	executed      []uint64
}

func (u *upstream) execute(number uint64) Outcome {
	if u.checksFencing && number < u.highestNumber {
		return Refused
	}
	u.highestNumber = max(u.highestNumber, number)
	u.executed = append(u.executed, number)
	return Done
}

func (u *upstream) hasExecuted(number uint64) bool {
	for _, executed := range u.executed {
		if executed == number {
			return true
		}
	}
	return false
}

func (s *simulation) commit(write func(kv.Batch)) {
	batch := s.store.NewBatch()
	write(batch)
	_ = s.store.Commit(batch, true)
}

func (s *simulation) queryOrders() *pb.OrderAnswer {
	return s.state.Query(s.store, &pb.OrderQuery{Upstream: "u"})
}

func (s *simulation) issueOrder() {
	s.issuedCount++
	s.commit(func(b kv.Batch) {
		s.state.Issue(b, &pb.OrderIssue{
			ChangeId: fmt.Sprintf("change-%d", s.issuedCount),
			Order:    &pb.Order{Upstream: "u", Kind: pb.OrderKind_ORDER_LOAD_MODEL, Subject: "m"},
		}, uint64(s.now.UnixMilli()))
	})
}

// cancelOrder ends the outstanding order as an operator does.
func (s *simulation) cancelOrder() {
	if outstanding := s.queryOrders().GetOutstanding(); outstanding != nil {
		s.commit(func(b kv.Batch) {
			s.state.Finish(b, &pb.OrderFinish{Upstream: "u", FencingNumber: outstanding.GetFencingNumber()})
		})
	}
}

func (s *simulation) restartSidecar() {
	s.fence = New("u")
	s.undelivered = nil
}

// performOutputs performs the outputs of the core and queues their results.
func (s *simulation) performOutputs() {
	for _, out := range s.fence.Drain() {
		switch out := out.(type) {
		case ReadOrders:
			s.enqueueReply(ReadSucceeded{Orders: s.queryOrders()}, ReadFailed{})
		case Execute:
			number := out.Order.GetFencingNumber()
			outcome := NotSent
			if rapid.Bool().Draw(s.t, "reached") {
				outcome = s.upstream.execute(number)
			}
			if outcome == Done && rapid.Bool().Draw(s.t, "response lost") {
				outcome = OutcomeUnknown
			}
			s.undelivered = append(s.undelivered, OutcomeReported{Number: number, Outcome: outcome})
		case CheckOutcome:
			outcome := NotSent
			if s.upstream.hasExecuted(out.Order.GetFencingNumber()) {
				outcome = Done
			}
			s.enqueueReply(OutcomeReported{Number: out.Order.GetFencingNumber(), Outcome: outcome}, OutcomeReported{Number: out.Order.GetFencingNumber(), Outcome: OutcomeUnknown})
		case RecordFinish:
			s.commit(func(b kv.Batch) { s.state.Finish(b, out.Finish) })
			number := out.Finish.GetFencingNumber()
			s.enqueueReply(FinishResult{Number: number, OK: true}, FinishResult{Number: number})
		}
	}
}

func (s *simulation) enqueueReply(success, failure Input) {
	if rapid.Bool().Draw(s.t, "answered") {
		s.undelivered = append(s.undelivered, success)
		return
	}
	s.undelivered = append(s.undelivered, failure)
}

func (s *simulation) deliverOne() {
	if len(s.undelivered) == 0 {
		return
	}
	index := rapid.IntRange(0, len(s.undelivered)-1).Draw(s.t, "delivered")
	in := s.undelivered[index]
	s.undelivered = append(s.undelivered[:index], s.undelivered[index+1:]...)
	s.fence.Step(s.now, in)
}

// checkOrder fails the test if the upstream executed an order after one with a
// higher fencing number.
func (s *simulation) checkOrder() {
	for i := 1; i < len(s.upstream.executed); i++ {
		if s.upstream.executed[i] < s.upstream.executed[i-1] {
			s.t.Fatalf("orders executed out of the order of their fencing numbers: %v", s.upstream.executed)
		}
	}
}

func TestStaleOrdersAreNeverExecuted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, now: time.Unix(1000, 0), store: kv.NewMemoryStore(), fence: New("u")}
		s.upstream.checksFencing = rapid.Bool().Draw(t, "checks fencing")
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s.now = s.now.Add(300 * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				s.issueOrder()
			case 1:
				s.cancelOrder()
			case 2:
				s.restartSidecar()
			case 3:
				hint := uint64(rapid.IntRange(0, 9).Draw(t, "hint"))
				s.fence.Step(s.now, FencingNumberHint{Number: hint})
			default:
				s.deliverOne()
			}
			s.fence.Tick(s.now)
			s.performOutputs()
			s.checkOrder()
		}
	})
}

func TestNoOrderIsExecutedBeforeConfirmedRead(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	f := New("u")
	f.Step(now, FencingNumberHint{Number: 7})
	g.Expect(f.Drain()).To(Equal([]Output{ReadOrders{}}))
	f.Step(now, ReadFailed{})
	f.Tick(now)
	g.Expect(f.Drain()).To(BeEmpty())
	f.Tick(now.Add(minBackoff))
	g.Expect(f.Drain()).To(Equal([]Output{ReadOrders{}}))
}

func TestOrderFromBeforeRestartIsCheckedBeforeExecution(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	order := &pb.Order{FencingNumber: 4, Upstream: "u"}
	f := New("u")
	f.Tick(now)
	f.Drain()
	f.Step(now, ReadSucceeded{Orders: &pb.OrderAnswer{FencingNumber: 4, Outstanding: order}})
	g.Expect(f.Drain()).To(Equal([]Output{CheckOutcome{Order: order}}))
	f.Step(now, OutcomeReported{Number: 4, Outcome: Done})
	g.Expect(f.Drain()).To(HaveLen(1))
	g.Expect(f.ConfirmedNumber()).To(Equal(uint64(4)))
}

var _ core.Core[Input, Output] = (*Fence)(nil)
