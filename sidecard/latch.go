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
func (s *latch) set() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isSet {
		s.isSet = true
		close(s.reached)
	}
}

// reset waits for the state anew and returns a channel that is closed when it
// is reached.
func (s *latch) reset() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isSet {
		s.isSet = false
		s.reached = make(chan struct{})
	}
	return s.reached
}
