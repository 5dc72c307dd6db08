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

func (q *outputQueue) put(out Output) {
	q.mu.Lock()
	q.outputs = append(q.outputs, out)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// takeAll waits for outputs and returns all of them.
func (q *outputQueue) takeAll() []Output {
	for {
		q.mu.Lock()
		outputs := q.outputs
		q.outputs = nil
		q.mu.Unlock()
		if len(outputs) > 0 {
			return outputs
		}
		<-q.wake
	}
}
