package kv

import (
	"bytes"

	"github.com/tidwall/btree"
)

type pair struct {
	key   []byte
	value []byte
}

func lessPair(a, b pair) bool {
	return bytes.Compare(a.key, b.key) < 0
}

// MemoryStore is a Store that keeps its data in memory. It is safe for concurrent
// use.
type MemoryStore struct {
	memoryView
}

type memoryView struct {
	tree *btree.BTreeG[pair]
}

// NewMemoryStore returns an empty store.
func NewMemoryStore() *MemoryStore {
	return &MemoryStore{memoryView{btree.NewBTreeG(lessPair)}}
}

// Get implements Reader.
func (v memoryView) Get(key []byte) ([]byte, bool) {
	found, ok := v.tree.Get(pair{key: key})
	if !ok {
		return nil, false
	}
	return bytes.Clone(found.value), true
}

// Scan implements Reader.
func (v memoryView) Scan(from, to []byte, visit func(key, value []byte) bool) {
	v.tree.Ascend(pair{key: from}, func(p pair) bool {
		if len(to) > 0 && bytes.Compare(p.key, to) >= 0 {
			return false
		}
		return visit(p.key, p.value)
	})
}

// Close implements Snapshot and Store.
func (v memoryView) Close() {}

type memoryBatch struct {
	memoryView
	writes []func(*btree.BTreeG[pair])
}

// NewBatch implements Store.
func (m *MemoryStore) NewBatch() Batch {
	return &memoryBatch{memoryView: memoryView{m.tree.Copy()}}
}

func (b *memoryBatch) record(write func(*btree.BTreeG[pair])) {
	write(b.tree)
	b.writes = append(b.writes, write)
}

// Set implements Batch.
func (b *memoryBatch) Set(key, value []byte) {
	p := pair{bytes.Clone(key), bytes.Clone(value)}
	b.record(func(tree *btree.BTreeG[pair]) { tree.Set(p) })
}

// Delete implements Batch.
func (b *memoryBatch) Delete(key []byte) {
	p := pair{key: bytes.Clone(key)}
	b.record(func(tree *btree.BTreeG[pair]) { tree.Delete(p) })
}

// DeleteRange implements Batch.
func (b *memoryBatch) DeleteRange(from, to []byte) {
	from, to = bytes.Clone(from), bytes.Clone(to)
	b.record(func(tree *btree.BTreeG[pair]) {
		var keys []pair
		memoryView{tree}.Scan(from, to, func(key, _ []byte) bool {
			keys = append(keys, pair{key: key})
			return true
		})
		for _, p := range keys {
			tree.Delete(p)
		}
	})
}

// Commit implements Store.
func (m *MemoryStore) Commit(batch Batch, _ bool) error {
	for _, write := range batch.(*memoryBatch).writes {
		write(m.tree)
	}
	return nil
}

// Snapshot implements Store.
func (m *MemoryStore) Snapshot() Snapshot {
	return memoryView{m.tree.Copy()}
}

// Close implements Store.
func (m *MemoryStore) Close() error {
	return nil
}
