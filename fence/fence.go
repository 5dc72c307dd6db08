package fence

import (
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 10 * time.Second
	// maxSendAttempts limits the failed attempts to reach the upstream with one
	// order, after which the order fails.
	maxSendAttempts = 8
)

// Input is an input of a Fence.
type Input interface{ fenceInput() }

// ReadSucceeded returns the result of ReadOrders, confirmed by a quorum.
type ReadSucceeded struct{ Orders *pb.OrderAnswer }

// ReadFailed reports that no quorum confirmed ReadOrders.
type ReadFailed struct{}

// FencingNumberHint is a fencing number from a message that no quorum has
// confirmed. It only triggers a read.
type FencingNumberHint struct{ Number uint64 }

// Outcome is the outcome of an order at the upstream.
type Outcome int

// Outcomes of an order.
const (
	// Done means that the upstream executed the order.
	Done Outcome = iota + 1
	// Refused means that the upstream will not execute the order.
	Refused
	// NotSent means that the upstream certainly did not receive the order.
	NotSent
	// OutcomeUnknown means that the upstream may have executed the order.
	OutcomeUnknown
)

// OutcomeReported returns the outcome of an order after Execute or CheckOutcome.
// After CheckOutcome it is Done or NotSent, or OutcomeUnknown when the upstream
// could not be queried.
type OutcomeReported struct {
	Number  uint64
	Outcome Outcome
	Reason  string
}

// FinishResult reports whether RecordFinish succeeded. If OK is false, it must
// be repeated.
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

// CheckOutcome asks the upstream whether an order has taken effect.
type CheckOutcome struct{ Order *pb.Order }

// RecordFinish records the outcome of an order in the replicated state.
type RecordFinish struct{ Finish *pb.OrderFinish }

// OrderIgnored reports that an order, or the outcome of an order, was ignored
// because its fencing number is not the current one.
type OrderIgnored struct{ Number uint64 }

func (ReadOrders) fenceOutput()   {}
func (Execute) fenceOutput()      {}
func (CheckOutcome) fenceOutput() {}
func (RecordFinish) fenceOutput() {}
func (OrderIgnored) fenceOutput() {}

// phase is the output whose result the Fence waits for.
type phase int

const (
	idle phase = iota
	executing
	checkingOutcome
	recordingFinish
)

// Fence is the core that executes the orders of one upstream, one at a time.
type Fence struct {
	upstream string
	out      core.Outbox[Output]

	// readSucceeded is set by the first successful read.
	readSucceeded bool
	// reading is set while a read is in progress.
	reading    bool
	nextReadAt time.Time
	// hintedNumber is the highest fencing number from a hint.
	hintedNumber uint64
	// confirmedNumber is the highest fencing number from a successful read.
	confirmedNumber uint64

	phase phase
	// order is the order in progress; nil when idle.
	order *pb.Order
	// finish is the outcome that is being recorded; nil in other phases.
	finish *pb.OrderFinish
	// retryAt is the time at which the phase is repeated; zero while a result
	// is awaited or no order is in progress.
	retryAt time.Time
	backoff time.Duration
	// sendFailures counts the attempts that did not reach the upstream with the
	// order in progress.
	sendFailures int
}

// New returns a Fence that reads the upstream's orders at its first tick.
func New(upstream string) *Fence {
	return &Fence{upstream: upstream, backoff: minBackoff}
}

// ConfirmedNumber returns the highest fencing number that a quorum-confirmed
// read has returned.
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

// requestRead emits ReadOrders if no read has succeeded yet or a hint is higher
// than the confirmed number.
func (f *Fence) requestRead(now time.Time) {
	needed := !f.readSucceeded || f.hintedNumber > f.confirmedNumber
	if !needed || f.reading || f.phase != idle || now.Before(f.nextReadAt) {
		return
	}
	f.reading = true
	f.out.Put(ReadOrders{})
}

// handleRead starts the outstanding order if its number is higher than the
// confirmed one.
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
		// An earlier process of the sidecar may have sent this order.
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

// handleOutcome handles the outcome of Execute or CheckOutcome.
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

// handleNotSent sends the order again: at once if a check found that it has not
// taken effect, after a backoff if the upstream could not be reached.
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

// retry repeats the current phase when its backoff has passed.
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

// nextRetryTime returns now plus the backoff, and doubles the backoff.
func (f *Fence) nextRetryTime(now time.Time) time.Time {
	at := now.Add(f.backoff)
	f.backoff = min(2*f.backoff, maxBackoff)
	return at
}
