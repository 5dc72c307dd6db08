package labengine

import "sync"

// outputQueue passes outputs from the engine's goroutine to one HTTP handler.
// It has no limit, so that a slow client never blocks the engine; the length
// of the response bounds it.
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

// takeAll waits until there are outputs, and removes and returns them.
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
