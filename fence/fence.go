package fence

import (
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 10 * time.Second
	// maxSendAttempts bounds the attempts to reach the upstream for one order.
	maxSendAttempts = 8
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
	checkingOutcome
	recordingFinish
)

// Fence is the core that carries out one upstream's orders.
type Fence struct {
	upstream string
	out      core.Outbox[Output]

	readSucceeded   bool
	reading         bool
	nextReadAt      time.Time
	hintedNumber    uint64
	confirmedNumber uint64

	phase        phase
	order        *pb.Order
	finish       *pb.OrderFinish
	retryAt      time.Time
	backoff      time.Duration
	sendFailures int
}

// New returns a Fence that reads the upstream's orders at its first tick.
func New(upstream string) *Fence {
	return &Fence{upstream: upstream, backoff: minBackoff}
}

// ConfirmedNumber returns the number of the order that was begun last.
func (f *Fence) ConfirmedNumber() uint64 {
	return f.confirmedNumber
}

// Drain implements core.Core.
func (f *Fence) Drain() []Output {
	return f.out.Drain()
}

// Step implements core.Core.
func (f *Fence) Step(now time.Time, in Input) {
	switch in := in.(type) {
	case ReadSucceeded:
		f.handleRead(in.Orders)
	case ReadFailed:
		f.reading = false
		f.nextReadAt = f.nextRetryTime(now)
	case FencingNumberHint:
		f.hintedNumber = max(f.hintedNumber, in.Number)
	case OutcomeReported:
		f.handleOutcome(now, in)
	case FinishResult:
		f.handleFinishResult(now, in)
	}
	f.requestRead(now)
}

// Tick implements core.Core.
func (f *Fence) Tick(now time.Time) {
	f.requestRead(now)
	f.retry(now)
}

// requestRead asks for a requestRead when nothing is confirmed yet or a hint tells of an order
// that was not requestRead.
func (f *Fence) requestRead(now time.Time) {
	needed := !f.readSucceeded || f.hintedNumber > f.confirmedNumber
	if !needed || f.reading || f.phase != idle || now.Before(f.nextReadAt) {
		return
	}
	f.reading = true
	f.out.Put(ReadOrders{})
}

// handleRead begins the outstanding order, if its number is new.
func (f *Fence) handleRead(orders *pb.OrderAnswer) {
	f.reading = false
	f.backoff = minBackoff
	firstRead := !f.readSucceeded
	f.readSucceeded = true
	order := orders.GetOutstanding()
	if order == nil {
		f.confirmedNumber = max(f.confirmedNumber, orders.GetFencingNumber())
		f.hintedNumber = f.confirmedNumber
		return
	}
	if f.phase != idle || order.GetFencingNumber() <= f.confirmedNumber {
		f.out.Put(OrderIgnored{Number: order.GetFencingNumber()})
		f.hintedNumber = f.confirmedNumber
		return
	}
	f.confirmedNumber = order.GetFencingNumber()
	f.hintedNumber = f.confirmedNumber
	f.order = order
	f.sendFailures = 0
	if firstRead {
		// An earlier incarnation may have begun this order.
		f.checkOutcome()
		return
	}
	f.execute()
}

func (f *Fence) execute() {
	f.phase = executing
	f.out.Put(Execute{Order: f.order})
}

func (f *Fence) checkOutcome() {
	f.phase = checkingOutcome
	f.out.Put(CheckOutcome{Order: f.order})
}

// handleOutcome handles what the upstream did with the order or said about it.
func (f *Fence) handleOutcome(now time.Time, in OutcomeReported) {
	if f.order == nil || in.Number != f.order.GetFencingNumber() {
		f.out.Put(OrderIgnored{Number: in.Number})
		return
	}
	switch in.Outcome {
	case Done:
		f.finishOrder(true, in.Reason)
	case Refused:
		f.finishOrder(false, in.Reason)
	case NotSent:
		f.handleNotSent(now, in.Reason)
	case OutcomeUnknown:
		f.phase = checkingOutcome
		f.retryAt = f.nextRetryTime(now)
	}
}

// handleNotSent tries again, at once after an examination and later when the upstream
// could not be reached.
func (f *Fence) handleNotSent(now time.Time, reason string) {
	if f.phase == checkingOutcome {
		f.execute()
		return
	}
	f.sendFailures++
	if f.sendFailures == maxSendAttempts {
		f.finishOrder(false, "upstream not reached: "+reason)
		return
	}
	f.retryAt = f.nextRetryTime(now)
}

func (f *Fence) finishOrder(done bool, reason string) {
	f.finish = &pb.OrderFinish{
		Upstream:      f.upstream,
		FencingNumber: f.order.GetFencingNumber(),
		Done:          done,
		Reason:        reason,
	}
	f.phase = recordingFinish
	f.retryAt = time.Time{}
	f.out.Put(RecordFinish{Finish: f.finish})
}

func (f *Fence) handleFinishResult(now time.Time, in FinishResult) {
	if f.phase != recordingFinish || in.Number != f.finish.GetFencingNumber() {
		return
	}
	if !in.OK {
		f.retryAt = f.nextRetryTime(now)
		return
	}
	f.phase = idle
	f.order = nil
	f.finish = nil
	f.retryAt = time.Time{}
	f.backoff = minBackoff
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
	case checkingOutcome:
		f.checkOutcome()
	case recordingFinish:
		f.out.Put(RecordFinish{Finish: f.finish})
	}
}

func (f *Fence) nextRetryTime(now time.Time) time.Time {
	at := now.Add(f.backoff)
	f.backoff = min(2*f.backoff, maxBackoff)
	return at
}
