package fence

import (
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

const (
	retryMin = 200 * time.Millisecond
	retryMax = 10 * time.Second
	// maxUnsent bounds the attempts to reach the upstream for one order.
	maxUnsent = 8
)

// Input is an input of a Fence.
type Input interface{ fenceInput() }

// ReadSucceeded answers Read with a quorum-confirmed answer.
type ReadSucceeded struct{ Orders *pb.OrderAnswer }

// ReadFailed answers Read: no quorum answered.
type ReadFailed struct{}

// FencingNumberHint tells of a fencing number in a message that no quorum has confirmed.
type FencingNumberHint struct{ Number uint64 }

// Outcome tells what became of an order at the upstream.
type Outcome int

// The results of an order.
const (
	// Done means that the upstream carried the order out.
	Done Outcome = iota + 1
	// Refused means that the upstream will not carry it out.
	Refused
	// NotSent means that the upstream certainly did not see it.
	NotSent
	// OutcomeUnknown means that it may have been carried out.
	OutcomeUnknown
)

// OutcomeReported answers Execute, and Examine with Done or NotSent, or Unknown when
// the upstream could not be asked.
type OutcomeReported struct {
	Number  uint64
	Outcome Outcome
	Reason  string
}

// FinishResult answers Finish; OK is false when it must be repeated.
type FinishResult struct {
	Number uint64
	OK     bool
}

func (ReadSucceeded) fenceInput()     {}
func (ReadFailed) fenceInput()        {}
func (FencingNumberHint) fenceInput() {}
func (OutcomeReported) fenceInput()   {}
func (FinishResult) fenceInput()      {}

// Output is an output of a Fence.
type Output interface{ fenceOutput() }

// ReadOrders asks for a quorum-confirmed read of the upstream's orders.
type ReadOrders struct{}

// Execute sends an order to the upstream.
type Execute struct{ Order *pb.Order }

// CheckOutcome asks the upstream whether an order has been carried out.
type CheckOutcome struct{ Order *pb.Order }

// RecordFinish records the outcome of an order in the agreed state.
type RecordFinish struct{ Finish *pb.OrderFinish }

// OrderIgnored tells that an order with an old number was refused.
type OrderIgnored struct{ Number uint64 }

func (ReadOrders) fenceOutput()   {}
func (Execute) fenceOutput()      {}
func (CheckOutcome) fenceOutput() {}
func (RecordFinish) fenceOutput() {}
func (OrderIgnored) fenceOutput() {}

// phase is what the Fence waits for.
type phase int

const (
	idle phase = iota
	executing
	examining
	finishing
)

// Fence is the core that carries out one upstream's orders.
type Fence struct {
	upstream string
	out      core.Outbox[Output]

	confirmed bool
	reading   bool
	readAt    time.Time
	hinted    uint64
	begun     uint64

	phase   phase
	order   *pb.Order
	finish  *pb.OrderFinish
	retryAt time.Time
	backoff time.Duration
	unsent  int
}

// New returns a Fence that reads the upstream's orders at its first tick.
func New(upstream string) *Fence {
	return &Fence{upstream: upstream, backoff: retryMin}
}

// ConfirmedNumber returns the number of the order that was begun last.
func (f *Fence) ConfirmedNumber() uint64 {
	return f.begun
}

// Drain implements core.Core.
func (f *Fence) Drain() []Output {
	return f.out.Drain()
}

// Step implements core.Core.
func (f *Fence) Step(now time.Time, in Input) {
	switch in := in.(type) {
	case ReadSucceeded:
		f.known(in.Orders)
	case ReadFailed:
		f.reading = false
		f.readAt = f.later(now)
	case FencingNumberHint:
		f.hinted = max(f.hinted, in.Number)
	case OutcomeReported:
		f.executed(now, in)
	case FinishResult:
		f.recorded(now, in)
	}
	f.read(now)
}

// Tick implements core.Core.
func (f *Fence) Tick(now time.Time) {
	f.read(now)
	f.retry(now)
}

// read asks for a read when nothing is confirmed yet or a hint tells of an order
// that was not read.
func (f *Fence) read(now time.Time) {
	wanted := !f.confirmed || f.hinted > f.begun
	if !wanted || f.reading || f.phase != idle || now.Before(f.readAt) {
		return
	}
	f.reading = true
	f.out.Put(ReadOrders{})
}

// known begins the outstanding order, if its number is new.
func (f *Fence) known(answer *pb.OrderAnswer) {
	f.reading = false
	f.backoff = retryMin
	first := !f.confirmed
	f.confirmed = true
	order := answer.GetOutstanding()
	if order == nil {
		f.begun = max(f.begun, answer.GetFencingNumber())
		f.hinted = f.begun
		return
	}
	if f.phase != idle || order.GetFencingNumber() <= f.begun {
		f.out.Put(OrderIgnored{Number: order.GetFencingNumber()})
		f.hinted = f.begun
		return
	}
	f.begun = order.GetFencingNumber()
	f.hinted = f.begun
	f.order = order
	f.unsent = 0
	if first {
		// An earlier incarnation may have begun this order.
		f.examine()
		return
	}
	f.execute()
}

func (f *Fence) execute() {
	f.phase = executing
	f.out.Put(Execute{Order: f.order})
}

func (f *Fence) examine() {
	f.phase = examining
	f.out.Put(CheckOutcome{Order: f.order})
}

// executed handles what the upstream did with the order or said about it.
func (f *Fence) executed(now time.Time, in OutcomeReported) {
	if f.order == nil || in.Number != f.order.GetFencingNumber() {
		f.out.Put(OrderIgnored{Number: in.Number})
		return
	}
	switch in.Outcome {
	case Done:
		f.end(true, in.Reason)
	case Refused:
		f.end(false, in.Reason)
	case NotSent:
		f.notSent(now, in.Reason)
	case OutcomeUnknown:
		f.phase = examining
		f.retryAt = f.later(now)
	}
}

// notSent tries again, at once after an examination and later when the upstream
// could not be reached.
func (f *Fence) notSent(now time.Time, reason string) {
	if f.phase == examining {
		f.execute()
		return
	}
	f.unsent++
	if f.unsent == maxUnsent {
		f.end(false, "upstream not reached: "+reason)
		return
	}
	f.retryAt = f.later(now)
}

func (f *Fence) end(done bool, reason string) {
	f.finish = &pb.OrderFinish{
		Upstream:      f.upstream,
		FencingNumber: f.order.GetFencingNumber(),
		Done:          done,
		Reason:        reason,
	}
	f.phase = finishing
	f.retryAt = time.Time{}
	f.out.Put(RecordFinish{Finish: f.finish})
}

func (f *Fence) recorded(now time.Time, in FinishResult) {
	if f.phase != finishing || in.Number != f.finish.GetFencingNumber() {
		return
	}
	if !in.OK {
		f.retryAt = f.later(now)
		return
	}
	f.phase = idle
	f.order = nil
	f.finish = nil
	f.retryAt = time.Time{}
	f.backoff = retryMin
}

// retry repeats what waits for its backoff.
func (f *Fence) retry(now time.Time) {
	if f.retryAt.IsZero() || now.Before(f.retryAt) {
		return
	}
	f.retryAt = time.Time{}
	switch f.phase {
	case executing:
		f.execute()
	case examining:
		f.examine()
	case finishing:
		f.out.Put(RecordFinish{Finish: f.finish})
	}
}

func (f *Fence) later(now time.Time) time.Time {
	at := now.Add(f.backoff)
	f.backoff = min(2*f.backoff, retryMax)
	return at
}
