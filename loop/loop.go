// Package loop runs one core on one goroutine: it passes inputs and ticks to
// the core and delivers its outputs in order.
package loop

import (
	"sync"
	"time"

	"github.com/briarcross/briarcross/core"
)

// Loop is the goroutine that owns a core. Its methods are safe for concurrent
// use.
type Loop[In, Out any] struct {
	core         core.Core[In, Out]
	handleOutput func(Out)
	tickInterval time.Duration

	mu     sync.Mutex
	queue  []queuedInput[In]
	calls  []func()
	closed bool
	wake   chan struct{}
	done   chan struct{}
}

// queuedInput is an input with an optional function to call after its outputs
// have been delivered.
type queuedInput[In any] struct {
	in           In
	afterOutputs func()
}

// Start runs a core with a tick every tickInterval. handleOutput is called on
// the loop's goroutine for each output and must not block; it reports the
// completion of an output as an input through Post.
func Start[In, Out any](c core.Core[In, Out], tickInterval time.Duration, handleOutput func(Out)) *Loop[In, Out] {
	l := &Loop[In, Out]{
		core:         c,
		handleOutput: handleOutput,
		tickInterval: tickInterval,
		wake:         make(chan struct{}, 1),
		done:         make(chan struct{}),
	}
	go l.run()
	return l
}

// Post queues an input. It never blocks: the admission control in front of the
// core bounds the queue. Inputs after Close are dropped.
func (l *Loop[In, Out]) Post(in In) {
	l.PostThen(in, nil)
}

// PostNoWake queues an input like Post, but does not wake the loop: the input is
// handled at the next wake-up, at the latest at the next tick.
func (l *Loop[In, Out]) PostNoWake(in In) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.queue = append(l.queue, queuedInput[In]{in: in})
	}
}

// PostThen queues an input like Post and calls afterOutputs, if not nil, on the
// loop's goroutine once the outputs of that input have been delivered. It
// returns false, and never calls afterOutputs, when the loop is closed.
func (l *Loop[In, Out]) PostThen(in In, afterOutputs func()) bool {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	l.queue = append(l.queue, queuedInput[In]{in, afterOutputs})
	l.mu.Unlock()
	l.signalWake()
	return true
}

// Do calls a function on the loop's goroutine and waits until it returns. It
// returns false when the loop is closed.
func (l *Loop[In, Out]) Do(fn func()) bool {
	finished := make(chan struct{})
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	l.calls = append(l.calls, func() {
		fn()
		close(finished)
	})
	l.mu.Unlock()
	l.signalWake()
	select {
	case <-finished:
		return true
	case <-l.done:
		return false
	}
}

// Wake makes the loop deliver outputs that were put into the core's outbox
// other than by Step and Tick.
func (l *Loop[In, Out]) Wake() {
	l.signalWake()
}

// Close stops the loop and waits for its goroutine. It must not be called
// from handleOutput.
func (l *Loop[In, Out]) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.signalWake()
	<-l.done
}

func (l *Loop[In, Out]) signalWake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Loop[In, Out]) run() {
	defer close(l.done)
	ticker := time.NewTicker(l.tickInterval)
	defer ticker.Stop()
	var reuse []queuedInput[In]
	for {
		select {
		case <-ticker.C:
			reuse = l.handleQueue(reuse)
			// The time that the ticker sends may be earlier than that of the last Step.
			l.core.Tick(time.Now())
			l.deliverOutputs()
		case <-l.wake:
			reuse = l.handleQueue(reuse)
		}
		if l.isClosed() {
			return
		}
	}
}

func (l *Loop[In, Out]) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed && len(l.queue) == 0 && len(l.calls) == 0
}

// handleQueue handles the queued inputs and calls. The new queue uses the memory
// of reuse; the handled queue is returned, emptied, for the next call.
func (l *Loop[In, Out]) handleQueue(reuse []queuedInput[In]) []queuedInput[In] {
	l.mu.Lock()
	inputs, calls := l.queue, l.calls
	l.queue, l.calls = reuse, nil
	l.mu.Unlock()
	l.handleInputsAndCalls(inputs, calls)
	clear(inputs)
	return inputs[:0]
}

func (l *Loop[In, Out]) handleInputsAndCalls(inputs []queuedInput[In], calls []func()) {
	for _, item := range inputs {
		l.core.Step(time.Now(), item.in)
		l.deliverOutputs()
		if item.afterOutputs != nil {
			item.afterOutputs()
		}
	}
	for _, call := range calls {
		call()
	}
	l.deliverOutputs()
}

func (l *Loop[In, Out]) deliverOutputs() {
	for _, out := range l.core.Drain() {
		l.handleOutput(out)
	}
}
