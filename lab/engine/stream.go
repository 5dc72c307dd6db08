package labengine

import "sync"

// stream carries outputs from the engine's goroutine to one HTTP handler. It
// is unbounded, so that a slow reader never holds the engine up; the length of
// an answer bounds it.
type stream struct {
	mu      sync.Mutex
	waiting []Output
	wake    chan struct{}
}

func newStream() *stream {
	return &stream{wake: make(chan struct{}, 1)}
}

func (s *stream) put(out Output) {
	s.mu.Lock()
	s.waiting = append(s.waiting, out)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// take waits for outputs and returns all of them.
func (s *stream) take() []Output {
	for {
		s.mu.Lock()
		out := s.waiting
		s.waiting = nil
		s.mu.Unlock()
		if len(out) > 0 {
			return out
		}
		<-s.wake
	}
}
