package sidecard

import "sync"

// latch records that an event has occurred, until it is reset.
type latch struct {
	mu sync.Mutex
	// reached is closed while isSet is true.
	reached chan struct{}
	isSet   bool
}

func newLatch() *latch {
	return &latch{reached: make(chan struct{})}
}

// set records the event.
func (l *latch) set() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isSet {
		l.isSet = true
		close(l.reached)
	}
}

// reset clears the latch and returns a channel that the next set closes.
func (l *latch) reset() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isSet {
		l.isSet = false
		l.reached = make(chan struct{})
	}
	return l.reached
}
