package sidecar

import (
	"container/heap"
	"time"
)

type state int

const (
	queued state = iota
	running
	// yielding work was stopped to make room and returns to the queue.
	yielding
	// ending work was answered and stopped; it waits for Ended.
	ending
)

// entry is one row of the work table.
type entry struct {
	work      Work
	state     state
	sequence  uint64
	submitted time.Time
	started   time.Time
	lastToken time.Time
	// due orders the queue.
	due     time.Time
	tokens  int
	yields  int
	paused  bool
	ordinal int
}

// firstDue returns the time at which the first token is due.
func (e *entry) firstDue() time.Time {
	if e.work.FirstTokenTarget > 0 {
		return e.submitted.Add(e.work.FirstTokenTarget)
	}
	if !e.work.StartDeadline.IsZero() {
		return e.work.StartDeadline
	}
	return e.work.Deadline
}

// expiry returns the time at which the entry is given up while it is queued.
func (e *entry) expiry() (time.Time, bool) {
	at := e.work.Deadline
	by := e.work.StartDeadline
	if e.work.Class == Online && !by.IsZero() && (at.IsZero() || by.Before(at)) {
		at = by
	}
	return at, !at.IsZero()
}

// queue is a heap of entries by priority, due time and arrival.
type queue struct {
	heap entryHeap
	// priorities counts the queued entries of each priority.
	priorities map[uint32]int
}

func newQueue() queue {
	return queue{priorities: make(map[uint32]int)}
}

func (q *queue) len() int { return len(q.heap) }

func (q *queue) push(e *entry) {
	heap.Push(&q.heap, e)
	q.priorities[e.work.Priority]++
}

func (q *queue) first() *entry {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

func (q *queue) remove(e *entry) {
	heap.Remove(&q.heap, e.ordinal)
	q.priorities[e.work.Priority]--
	if q.priorities[e.work.Priority] == 0 {
		delete(q.priorities, e.work.Priority)
	}
}

// ahead counts the entries that are served before new work of a priority.
func (q *queue) ahead(priority uint32) int {
	count := 0
	for p, n := range q.priorities {
		if p <= priority {
			count += n
		}
	}
	return count
}

type entryHeap []*entry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.work.Priority != b.work.Priority {
		return a.work.Priority < b.work.Priority
	}
	if a.paused != b.paused {
		return a.paused
	}
	if !a.due.Equal(b.due) {
		return dueBefore(a.due, b.due)
	}
	return a.sequence < b.sequence
}

// dueBefore orders times; the zero time means no due time and comes last.
func dueBefore(a, b time.Time) bool {
	if a.IsZero() || b.IsZero() {
		return !a.IsZero()
	}
	return a.Before(b)
}

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].ordinal = i
	h[j].ordinal = j
}

func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.ordinal = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*h = old[:last]
	return e
}
