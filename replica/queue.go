package replica

import "sync"

// queue passes items between goroutines without blocking the sender.
type queue[T any] struct {
	lock   sync.Mutex
	items  []T
	closed bool
	ready  chan struct{}
}

func newQueue[T any]() *queue[T] {
	return &queue[T]{ready: make(chan struct{}, 1)}
}

// put adds an item. Items put after close are dropped.
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

// drain returns the items so far, without waiting.
func (q *queue[T]) drain() []T {
	q.lock.Lock()
	defer q.lock.Unlock()
	items := q.items
	q.items = nil
	return items
}

// take waits for items. It returns none once the queue is closed and empty.
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
