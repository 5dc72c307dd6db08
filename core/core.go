package core

import (
	"math/rand/v2"
	"time"
)

// Core is a deterministic state machine that host code drives.
type Core[In, Out any] interface {
	// Step handles one input.
	Step(now time.Time, in In)
	// Tick runs the work that is due at now.
	Tick(now time.Time)
	// Drain returns the outputs since the last call. The slice is valid
	// until the next call.
	Drain() []Out
}

// NewRand returns a seeded random source. Equal seeds give equal sequences.
func NewRand(seed uint64) *rand.Rand {
	const stream = 0x9e3779b97f4a7c15
	return rand.New(rand.NewPCG(seed, stream))
}

// Outbox collects the outputs of a core in order.
type Outbox[T any] struct {
	items []T
	spare []T
}

// Put appends an output.
func (o *Outbox[T]) Put(item T) {
	o.items = append(o.items, item)
}

// Len returns the number of outputs that are not drained yet.
func (o *Outbox[T]) Len() int {
	return len(o.items)
}

// Drain returns the collected outputs and empties the outbox. The slice is
// valid until the next call.
func (o *Outbox[T]) Drain() []T {
	items := o.items
	clear(o.spare)
	o.items = o.spare[:0]
	o.spare = items
	return items
}
