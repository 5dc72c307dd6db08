// Package loop drives one core on one goroutine: it feeds inputs and ticks to
// the core and carries out its outputs in order.
package loop

import (
	"sync"
	"time"

	"github.com/briarcross/briarcross/core"
)

// Loop owns a core. Its methods are safe for concurrent use.
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

// queuedInput is an input with an optional call that follows its outputs.
type queuedInput[In any] struct {
	in           In
	afterOutputs func()
}

// Start runs a core. Carry is called on the loop's goroutine for each output
// and must not block; completions go back through Post.
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

// Post queues an input. It never blocks; admission in front of the core bounds
// the queue. Inputs after Close are dropped.
func (l *Loop[In, Out]) Post(in In) {
	l.PostThen(in, nil)
}

// PostNoWake queues an input like Post, but does not wake the loop: the input is
// handled with the next one, at the latest with the next tick.
func (l *Loop[In, Out]) PostNoWake(in In) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.queue = append(l.queue, queuedInput[In]{in: in})
	}
}

// PostThen queues an input like Post and calls after on the loop's goroutine
// once the outputs of that input have been carried out. It reports false, and
// never calls after, when the loop is closed.
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

// Do runs a function on the loop's goroutine and waits for it. It reports
// false when the loop is closed.
func (l *Loop[In, Out]) Do(function func()) bool {
	finished := make(chan struct{})
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	l.calls = append(l.calls, func() {
		function()
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

// Wake has the loop carry out outputs that were put into the core's outbox
// from outside the loop.
func (l *Loop[In, Out]) Wake() {
	l.signalWake()
}

// Close stops the loop and waits for its goroutine. It must not be called
// from carry.
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
			// The ticker's own time may lie before that of the last Step.
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

// handleQueue handles what is queued and returns a slice to reuse.
func (l *Loop[In, Out]) handleQueue(reuse []queuedInput[In]) []queuedInput[In] {
	l.mu.Lock()
	inputs, calls := l.queue, l.calls
	l.queue, l.calls = reuse, nil
	l.mu.Unlock()
	l.handleBatch(inputs, calls)
	clear(inputs)
	return inputs[:0]
}

func (l *Loop[In, Out]) handleBatch(inputs []queuedInput[In], calls []func()) {
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
