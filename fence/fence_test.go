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

// world is the agreed state, one upstream and its sidecar, with messages that
// are delayed, repeated and lost in an order drawn by the test.
type world struct {
	t        *rapid.T
	now      time.Time
	store    *kv.MemoryStore
	state    orders.State
	fence    *Fence
	inbox    []Input
	upstream upstream
	issued   int
}

// upstream is a fake engine that may or may not check fencing numbers.
type upstream struct {
	checks  bool
	highest uint64
	carried []uint64
}

func (u *upstream) carryOut(number uint64) Result {
	if u.checks && number < u.highest {
		return Refused
	}
	u.highest = max(u.highest, number)
	u.carried = append(u.carried, number)
	return Done
}

func (u *upstream) has(number uint64) bool {
	for _, carried := range u.carried {
		if carried == number {
			return true
		}
	}
	return false
}

func (w *world) commit(write func(kv.Batch)) {
	batch := w.store.NewBatch()
	write(batch)
	_ = w.store.Commit(batch, true)
}

func (w *world) answer() *pb.OrderAnswer {
	return w.state.Query(w.store, &pb.OrderQuery{Upstream: "u"})
}

func (w *world) issue() {
	w.issued++
	w.commit(func(b kv.Batch) {
		w.state.Issue(b, &pb.OrderIssue{
			ChangeId: fmt.Sprintf("change-%d", w.issued),
			Order:    &pb.Order{Upstream: "u", Kind: pb.OrderKind_ORDER_LOAD_MODEL, Subject: "m"},
		}, uint64(w.now.UnixMilli()))
	})
}

// cancel ends the outstanding order as an operator does.
func (w *world) cancel() {
	if outstanding := w.answer().GetOutstanding(); outstanding != nil {
		w.commit(func(b kv.Batch) {
			w.state.Finish(b, &pb.OrderFinish{Upstream: "u", FencingNumber: outstanding.GetFencingNumber()})
		})
	}
}

func (w *world) restart() {
	w.fence = New("u")
	w.inbox = nil
}

// perform carries out the outputs of the core and queues their answers.
func (w *world) perform() {
	for _, out := range w.fence.Drain() {
		switch out := out.(type) {
		case Read:
			w.reply(Known{Answer: w.answer()}, ReadFailed{})
		case Execute:
			number := out.Order.GetFencingNumber()
			result := NotSent
			if rapid.Bool().Draw(w.t, "reached") {
				result = w.upstream.carryOut(number)
			}
			if result == Done && rapid.Bool().Draw(w.t, "answer lost") {
				result = Unknown
			}
			w.inbox = append(w.inbox, Executed{Number: number, Result: result})
		case Examine:
			result := NotSent
			if w.upstream.has(out.Order.GetFencingNumber()) {
				result = Done
			}
			w.reply(Executed{Number: out.Order.GetFencingNumber(), Result: result}, Executed{Number: out.Order.GetFencingNumber(), Result: Unknown})
		case Finish:
			w.commit(func(b kv.Batch) { w.state.Finish(b, out.Finish) })
			number := out.Finish.GetFencingNumber()
			w.reply(Recorded{Number: number, OK: true}, Recorded{Number: number})
		}
	}
}

func (w *world) reply(good, bad Input) {
	if rapid.Bool().Draw(w.t, "answered") {
		w.inbox = append(w.inbox, good)
		return
	}
	w.inbox = append(w.inbox, bad)
}

func (w *world) deliver() {
	if len(w.inbox) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.inbox)-1).Draw(w.t, "delivered")
	in := w.inbox[at]
	w.inbox = append(w.inbox[:at], w.inbox[at+1:]...)
	w.fence.Step(w.now, in)
}

// check holds that the upstream carried out orders in the order of their
// numbers.
func (w *world) check() {
	for i := 1; i < len(w.upstream.carried); i++ {
		if w.upstream.carried[i] < w.upstream.carried[i-1] {
			w.t.Fatalf("an old order took effect: %v", w.upstream.carried)
		}
	}
}

func TestOldOrdersNeverTakeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(1000, 0), store: kv.NewMemoryStore(), fence: New("u")}
		w.upstream.checks = rapid.Bool().Draw(t, "checks fencing")
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.now = w.now.Add(300 * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				w.issue()
			case 1:
				w.cancel()
			case 2:
				w.restart()
			case 3:
				hint := uint64(rapid.IntRange(0, 9).Draw(t, "hint"))
				w.fence.Step(w.now, Hint{Number: hint})
			default:
				w.deliver()
			}
			w.fence.Tick(w.now)
			w.perform()
			w.check()
		}
	})
}

func TestNothingIsCarriedOutBeforeAConfirmedRead(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	f := New("u")
	f.Step(now, Hint{Number: 7})
	g.Expect(f.Drain()).To(Equal([]Output{Read{}}))
	f.Step(now, ReadFailed{})
	f.Tick(now)
	g.Expect(f.Drain()).To(BeEmpty())
	f.Tick(now.Add(retryMin))
	g.Expect(f.Drain()).To(Equal([]Output{Read{}}))
}

func TestAnOrderOfAnEarlierIncarnationIsExaminedFirst(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	order := &pb.Order{FencingNumber: 4, Upstream: "u"}
	f := New("u")
	f.Tick(now)
	f.Drain()
	f.Step(now, Known{Answer: &pb.OrderAnswer{FencingNumber: 4, Outstanding: order}})
	g.Expect(f.Drain()).To(Equal([]Output{Examine{Order: order}}))
	f.Step(now, Executed{Number: 4, Result: Done})
	g.Expect(f.Drain()).To(HaveLen(1))
	g.Expect(f.Begun()).To(Equal(uint64(4)))
}

var _ core.Core[Input, Output] = (*Fence)(nil)
