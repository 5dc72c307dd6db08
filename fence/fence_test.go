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

// simulation is the agreed state, one upstream and its sidecar, with messages that
// are delayed, repeated and lost in an order drawn by the test.
type simulation struct {
	t           *rapid.T
	now         time.Time
	store       *kv.Memory
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
	for _, carried := range u.executed {
		if carried == number {
			return true
		}
	}
	return false
}

func (w *simulation) commit(write func(kv.Batch)) {
	batch := w.store.NewBatch()
	write(batch)
	_ = w.store.Commit(batch, true)
}

func (w *simulation) queryOrders() *pb.OrderAnswer {
	return w.state.Query(w.store, &pb.OrderQuery{Upstream: "u"})
}

func (w *simulation) issueOrder() {
	w.issuedCount++
	w.commit(func(b kv.Batch) {
		w.state.Issue(b, &pb.OrderIssue{
			ChangeId: fmt.Sprintf("change-%d", w.issuedCount),
			Order:    &pb.Order{Upstream: "u", Kind: pb.OrderKind_ORDER_LOAD_MODEL, Subject: "m"},
		}, uint64(w.now.UnixMilli()))
	})
}

// cancelOrder ends the outstanding order as an operator does.
func (w *simulation) cancelOrder() {
	if outstanding := w.queryOrders().GetOutstanding(); outstanding != nil {
		w.commit(func(b kv.Batch) {
			w.state.Finish(b, &pb.OrderFinish{Upstream: "u", FencingNumber: outstanding.GetFencingNumber()})
		})
	}
}

func (w *simulation) restartSidecar() {
	w.fence = New("u")
	w.undelivered = nil
}

// performOutputs carries out the outputs of the core and queues their answers.
func (w *simulation) performOutputs() {
	for _, out := range w.fence.Drain() {
		switch out := out.(type) {
		case ReadOrders:
			w.enqueueReply(ReadSucceeded{Orders: w.queryOrders()}, ReadFailed{})
		case Execute:
			number := out.Order.GetFencingNumber()
			result := NotSent
			if rapid.Bool().Draw(w.t, "reached") {
				result = w.upstream.execute(number)
			}
			if result == Done && rapid.Bool().Draw(w.t, "answer lost") {
				result = OutcomeUnknown
			}
			w.undelivered = append(w.undelivered, OutcomeReported{Number: number, Outcome: result})
		case CheckOutcome:
			result := NotSent
			if w.upstream.hasExecuted(out.Order.GetFencingNumber()) {
				result = Done
			}
			w.enqueueReply(OutcomeReported{Number: out.Order.GetFencingNumber(), Outcome: result}, OutcomeReported{Number: out.Order.GetFencingNumber(), Outcome: OutcomeUnknown})
		case RecordFinish:
			w.commit(func(b kv.Batch) { w.state.Finish(b, out.Finish) })
			number := out.Finish.GetFencingNumber()
			w.enqueueReply(FinishResult{Number: number, OK: true}, FinishResult{Number: number})
		}
	}
}

func (w *simulation) enqueueReply(success, failure Input) {
	if rapid.Bool().Draw(w.t, "answered") {
		w.undelivered = append(w.undelivered, success)
		return
	}
	w.undelivered = append(w.undelivered, failure)
}

func (w *simulation) deliverOne() {
	if len(w.undelivered) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.undelivered)-1).Draw(w.t, "delivered")
	in := w.undelivered[at]
	w.undelivered = append(w.undelivered[:at], w.undelivered[at+1:]...)
	w.fence.Step(w.now, in)
}

// checkOrder holds that the upstream carried out orders in the order of their
// numbers.
func (w *simulation) checkOrder() {
	for i := 1; i < len(w.upstream.executed); i++ {
		if w.upstream.executed[i] < w.upstream.executed[i-1] {
			w.t.Fatalf("an old order took effect: %v", w.upstream.executed)
		}
	}
}

func TestStaleOrdersAreNeverExecuted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, now: time.Unix(1000, 0), store: kv.NewMemory(), fence: New("u")}
		w.upstream.checksFencing = rapid.Bool().Draw(t, "checks fencing")
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.now = w.now.Add(300 * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				w.issueOrder()
			case 1:
				w.cancelOrder()
			case 2:
				w.restartSidecar()
			case 3:
				hint := uint64(rapid.IntRange(0, 9).Draw(t, "hint"))
				w.fence.Step(w.now, FencingNumberHint{Number: hint})
			default:
				w.deliverOne()
			}
			w.fence.Tick(w.now)
			w.performOutputs()
			w.checkOrder()
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
