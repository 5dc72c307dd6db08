package sidecar

import (
	"container/heap"
	"time"
)

type entryState int

const (
	queued entryState = iota
	running
	// preempting: a batch item was stopped for online work and is queued again
	// after RunEnded.
	preempting
	// aborting: the work was refused and stopped; RunEnded is awaited.
	aborting
)

// entry is the scheduling state of one Work.
type entry struct {
	work          Work
	state         entryState
	queueSequence uint64
	submittedAt   time.Time
	startedAt     time.Time
	// lastTokenAt is zero until the first token after a start.
	lastTokenAt time.Time
	// queueDue is the time by which entries of equal priority are ordered in the
	// queue; zero comes last.
	queueDue       time.Time
	producedTokens int
	preemptions    int
	// paused is set while the exported KV cache of a queued item can be resumed.
	paused    bool
	heapIndex int
}

// firstTokenDue returns the time at which the first token is due, or the start
// deadline or deadline when there is no first-token target.
func (e *entry) firstTokenDue() time.Time {
	if e.work.FirstTokenTarget > 0 {
		return e.submittedAt.Add(e.work.FirstTokenTarget)
	}
	if !e.work.StartDeadline.IsZero() {
		return e.work.StartDeadline
	}
	return e.work.Deadline
}

// queueDeadline returns the time at which the entry is aborted if it is still
// queued, and whether there is one.
func (e *entry) queueDeadline() (time.Time, bool) {
	deadline := e.work.Deadline
	startDeadline := e.work.StartDeadline
	if e.work.Class == Online && !startDeadline.IsZero() && (deadline.IsZero() || startDeadline.Before(deadline)) {
		deadline = startDeadline
	}
	return deadline, !deadline.IsZero()
}

// queue is a heap of entries, ordered by priority, paused entries first, due time
// and order of queueing.
type queue struct {
	heap entryHeap
	// countByPriority counts the queued entries of each priority.
	countByPriority map[uint32]int
}

func newQueue() queue {
	return queue{countByPriority: make(map[uint32]int)}
}

func (q *queue) len() int { return len(q.heap) }

func (q *queue) push(e *entry) {
	heap.Push(&q.heap, e)
	q.countByPriority[e.work.Priority]++
}

func (q *queue) first() *entry {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

func (q *queue) remove(e *entry) {
	heap.Remove(&q.heap, e.heapIndex)
	q.countByPriority[e.work.Priority]--
	if q.countByPriority[e.work.Priority] == 0 {
		delete(q.countByPriority, e.work.Priority)
	}
}

// countAhead returns the number of entries that start before new work of a
// priority.
func (q *queue) countAhead(priority uint32) int {
	count := 0
	for p, n := range q.countByPriority {
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
	if !a.queueDue.Equal(b.queueDue) {
		return dueBefore(a.queueDue, b.queueDue)
	}
	return a.queueSequence < b.queueSequence
}

// dueBefore reports whether a is before b; the zero time means no due time and
// comes last.
func dueBefore(a, b time.Time) bool {
	if a.IsZero() || b.IsZero() {
		return !a.IsZero()
	}
	return a.Before(b)
}

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
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
