package sidecard

import "sync"

// signal tells that a state has been reached. It can be reset and reached
// again.
type signal struct {
	mu      sync.Mutex
	reached chan struct{}
	done    bool
}

func newSignal() *signal {
	return &signal{reached: make(chan struct{})}
}

// set marks the state as reached.
func (s *signal) set() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.done {
		s.done = true
		close(s.reached)
	}
}

// reset waits for the state anew and returns a channel that is closed when it
// is reached.
func (s *signal) reset() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		s.done = false
		s.reached = make(chan struct{})
	}
	return s.reached
}
