package labengine

import "sync"

// outputQueue carries outputs from the engine's goroutine to one HTTP handler. It
// is unbounded, so that a slow reader never holds the engine up; the length of
// an answer bounds it.
type outputQueue struct {
	mu      sync.Mutex
	outputs []Output
	wake    chan struct{}
}

func newOutputQueue() *outputQueue {
	return &outputQueue{wake: make(chan struct{}, 1)}
}

func (s *outputQueue) put(out Output) {
	s.mu.Lock()
	s.outputs = append(s.outputs, out)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takeAll waits for outputs and returns all of them.
func (s *outputQueue) takeAll() []Output {
	for {
		s.mu.Lock()
		out := s.outputs
		s.outputs = nil
		s.mu.Unlock()
		if len(out) > 0 {
			return out
		}
		<-s.wake
	}
}
