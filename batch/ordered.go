package batch

import "github.com/tidwall/btree"

// orderedTable holds values by item reference and lists them in the order in
// which they were added.
type orderedTable[V any] struct {
	bySequence *btree.Map[uint64, V]
	sequences  map[LeaseRef]uint64
	next       uint64
}

func newOrderedTable[V any]() orderedTable[V] {
	return orderedTable[V]{
		bySequence: &btree.Map[uint64, V]{},
		sequences:  make(map[LeaseRef]uint64),
	}
}

func (t *orderedTable[V]) set(ref LeaseRef, value V) {
	sequence, ok := t.sequences[ref]
	if !ok {
		t.next++
		sequence = t.next
		t.sequences[ref] = sequence
	}
	t.bySequence.Set(sequence, value)
}

func (t *orderedTable[V]) get(ref LeaseRef) (V, bool) {
	sequence, ok := t.sequences[ref]
	if !ok {
		var none V
		return none, false
	}
	return t.bySequence.Get(sequence)
}

func (t *orderedTable[V]) remove(ref LeaseRef) {
	sequence, ok := t.sequences[ref]
	if !ok {
		return
	}
	delete(t.sequences, ref)
	t.bySequence.Delete(sequence)
}

func (t *orderedTable[V]) len() int {
	return len(t.sequences)
}

// values returns a copy, which later changes do not affect.
func (t *orderedTable[V]) values() []V {
	return t.bySequence.Values()
}

// scan calls visit for each value until it returns false.
func (t *orderedTable[V]) scan(visit func(V) bool) {
	t.bySequence.Scan(func(_ uint64, value V) bool { return visit(value) })
}
