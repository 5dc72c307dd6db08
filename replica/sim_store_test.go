package replica

import (
	"bytes"
	"math/rand/v2"

	"github.com/briarcross/briarcross/kv"
)

// storeWrite is one write of a batch. If value is nil, it deletes the keys in
// [key, deleteTo).
type storeWrite struct {
	key, value, deleteTo []byte
}

// crashStore is a kv.Store in memory that records unsynced batches separately, so
// that a crash can lose them.
type crashStore struct {
	*kv.MemoryStore
	durable  *kv.MemoryStore
	unsynced [][]storeWrite
}

func newCrashStore() *crashStore {
	return &crashStore{MemoryStore: kv.NewMemoryStore(), durable: kv.NewMemoryStore()}
}

type crashBatch struct {
	kv.Batch
	writes []storeWrite
}

func (s *crashStore) NewBatch() kv.Batch {
	return &crashBatch{Batch: s.MemoryStore.NewBatch()}
}

func (b *crashBatch) Set(key, value []byte) {
	b.Batch.Set(key, value)
	b.writes = append(b.writes, storeWrite{key: bytes.Clone(key), value: append([]byte{}, value...)})
}

func (b *crashBatch) Delete(key []byte) {
	b.DeleteRange(key, append(bytes.Clone(key), 0))
}

func (b *crashBatch) DeleteRange(from, to []byte) {
	b.Batch.DeleteRange(from, to)
	b.writes = append(b.writes, storeWrite{key: bytes.Clone(from), deleteTo: bytes.Clone(to)})
}

func (s *crashStore) Commit(batch kv.Batch, sync bool) error {
	writes := batch.(*crashBatch)
	if err := s.MemoryStore.Commit(writes.Batch, sync); err != nil {
		return err
	}
	s.unsynced = append(s.unsynced, writes.writes)
	if sync {
		return s.makeDurable(len(s.unsynced))
	}
	return nil
}

// makeDurable applies the first n unsynced batches to the durable store.
func (s *crashStore) makeDurable(n int) error {
	batch := s.durable.NewBatch()
	for _, writes := range s.unsynced[:n] {
		for _, w := range writes {
			if w.value == nil {
				batch.DeleteRange(w.key, w.deleteTo)
				continue
			}
			batch.Set(w.key, w.value)
		}
	}
	s.unsynced = s.unsynced[n:]
	return s.durable.Commit(batch, true)
}

// crash returns the store as it is after a crash: it contains the synced batches
// and a prefix of the unsynced ones, which is empty in more than half of the
// cases.
func (s *crashStore) crash(rand *rand.Rand) (*crashStore, error) {
	kept := rand.IntN(len(s.unsynced)+1) * rand.IntN(2)
	if err := s.makeDurable(kept); err != nil {
		return nil, err
	}
	next := newCrashStore()
	next.durable = s.durable
	copied := next.MemoryStore.NewBatch()
	s.durable.Scan(nil, nil, func(key, value []byte) bool {
		copied.Set(key, value)
		return true
	})
	return next, next.MemoryStore.Commit(copied, true)
}
