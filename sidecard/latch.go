package sidecard

import "sync"

// latch tells that a state has been reached. It can be reset and reached
// again.
type latch struct {
	mu      sync.Mutex
	reached chan struct{}
	isSet   bool
}

func newLatch() *latch {
	return &latch{reached: make(chan struct{})}
}

// set marks the state as reached.
func (l *latch) set() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isSet {
		l.isSet = true
		close(l.reached)
	}
}

// reset waits for the state anew and returns a channel that is closed when it
// is reached.
func (l *latch) reset() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isSet {
		l.isSet = false
		l.reached = make(chan struct{})
	}
	return l.reached
}
