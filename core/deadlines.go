package core

import (
	"container/heap"
	"time"
)

// Deadlines keeps one expiry time for each key. PopExpired costs O(1) if
// nothing has expired; a change costs O(log n).
type Deadlines[K comparable] struct {
	heap         deadlineHeap[K]
	byKey        map[K]*deadline[K]
	lastSequence uint64
}

type deadline[K comparable] struct {
	key       K
	expiry    time.Time
	sequence  uint64
	heapIndex int
}

// Set stores or replaces the expiry time of a key.
func (d *Deadlines[K]) Set(key K, expiry time.Time) {
	if d.byKey == nil {
		d.byKey = make(map[K]*deadline[K])
	}
	if entry, ok := d.byKey[key]; ok {
		entry.expiry = expiry
		heap.Fix(&d.heap, entry.heapIndex)
		return
	}
	d.lastSequence++
	entry := &deadline[K]{key: key, expiry: expiry, sequence: d.lastSequence}
	d.byKey[key] = entry
	heap.Push(&d.heap, entry)
}

// Remove deletes a key. It reports whether the key was present.
func (d *Deadlines[K]) Remove(key K) bool {
	entry, ok := d.byKey[key]
	if !ok {
		return false
	}
	heap.Remove(&d.heap, entry.heapIndex)
	delete(d.byKey, key)
	return true
}

// PopExpired removes and returns the key with the earliest expiry time if that
// time is not after now. Keys with equal times are returned in the order of
// insertion.
func (d *Deadlines[K]) PopExpired(now time.Time) (K, bool) {
	var zero K
	if len(d.heap) == 0 || d.heap[0].expiry.After(now) {
		return zero, false
	}
	entry := heap.Pop(&d.heap).(*deadline[K])
	delete(d.byKey, entry.key)
	return entry.key, true
}

// Get returns the expiry time of a key.
func (d *Deadlines[K]) Get(key K) (time.Time, bool) {
	entry, ok := d.byKey[key]
	if !ok {
		return time.Time{}, false
	}
	return entry.expiry, true
}

// Earliest returns the earliest expiry time.
func (d *Deadlines[K]) Earliest() (time.Time, bool) {
	if len(d.heap) == 0 {
		return time.Time{}, false
	}
	return d.heap[0].expiry, true
}

// Len returns the number of keys.
func (d *Deadlines[K]) Len() int {
	return len(d.heap)
}

type deadlineHeap[K comparable] []*deadline[K]

func (h deadlineHeap[K]) Len() int { return len(h) }

func (h deadlineHeap[K]) Less(i, j int) bool {
	if h[i].expiry.Equal(h[j].expiry) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].expiry.Before(h[j].expiry)
}

func (h deadlineHeap[K]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *deadlineHeap[K]) Push(x any) {
	entry := x.(*deadline[K])
	entry.heapIndex = len(*h)
	*h = append(*h, entry)
}

func (h *deadlineHeap[K]) Pop() any {
	old := *h
	last := len(old) - 1
	entry := old[last]
	old[last] = nil
	*h = old[:last]
	return entry
}
