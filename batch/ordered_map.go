package batch

import "github.com/tidwall/btree"

// orderedMap maps lease references to values and iterates in insertion order.
type orderedMap[V any] struct {
	bySequence   *btree.Map[uint64, V]
	sequences    map[LeaseRef]uint64
	lastSequence uint64
}

func newOrderedMap[V any]() orderedMap[V] {
	return orderedMap[V]{
		bySequence: &btree.Map[uint64, V]{},
		sequences:  make(map[LeaseRef]uint64),
	}
}

func (t *orderedMap[V]) set(ref LeaseRef, value V) {
	sequence, ok := t.sequences[ref]
	if !ok {
		t.lastSequence++
		sequence = t.lastSequence
		t.sequences[ref] = sequence
	}
	t.bySequence.Set(sequence, value)
}

func (t *orderedMap[V]) get(ref LeaseRef) (V, bool) {
	sequence, ok := t.sequences[ref]
	if !ok {
		var none V
		return none, false
	}
	return t.bySequence.Get(sequence)
}

func (t *orderedMap[V]) remove(ref LeaseRef) {
	sequence, ok := t.sequences[ref]
	if !ok {
		return
	}
	delete(t.sequences, ref)
	t.bySequence.Delete(sequence)
}

func (t *orderedMap[V]) len() int {
	return len(t.sequences)
}

// values returns a copy of the values in insertion order.
func (t *orderedMap[V]) values() []V {
	return t.bySequence.Values()
}

// scan calls visit for each value in insertion order until visit returns false.
func (t *orderedMap[V]) scan(visit func(V) bool) {
	t.bySequence.Scan(func(_ uint64, value V) bool { return visit(value) })
}
