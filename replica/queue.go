package replica

import "sync"

// queue is an unbounded queue between goroutines; adding an item never blocks.
type queue[T any] struct {
	lock   sync.Mutex
	items  []T
	closed bool
	ready  chan struct{}
}

func newQueue[T any]() *queue[T] {
	return &queue[T]{ready: make(chan struct{}, 1)}
}

// put adds an item. Items added after close are dropped.
func (q *queue[T]) put(item T) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if q.closed {
		return
	}
	q.items = append(q.items, item)
	q.signal()
}

func (q *queue[T]) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

func (q *queue[T]) len() int {
	q.lock.Lock()
	defer q.lock.Unlock()
	return len(q.items)
}

// drain removes and returns all queued items without waiting.
func (q *queue[T]) drain() []T {
	q.lock.Lock()
	defer q.lock.Unlock()
	items := q.items
	q.items = nil
	return items
}

// take waits for items, then removes and returns all of them. It returns nil
// once the queue is closed and empty.
func (q *queue[T]) take() []T {
	for {
		items := q.drain()
		if len(items) > 0 {
			return items
		}
		if q.isClosedAndEmpty() {
			return nil
		}
		<-q.ready
	}
}

func (q *queue[T]) isClosedAndEmpty() bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.closed && len(q.items) == 0
}

func (q *queue[T]) close() {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.closed = true
	q.signal()
}
