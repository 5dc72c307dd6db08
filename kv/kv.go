package kv

import "fmt"

// Reader reads a consistent state of a store.
type Reader interface {
	// Get returns the value of a key. The caller owns the value.
	Get(key []byte) ([]byte, bool)
	// Scan calls visit for each key in [from, to) in ascending order until
	// visit returns false. An empty to means no upper bound. The slices are
	// valid only during the call.
	Scan(from, to []byte, visit func(key, value []byte) bool)
}

// Batch is a set of writes that are applied together. Its reads see its own
// writes.
type Batch interface {
	Reader
	Set(key, value []byte)
	Delete(key []byte)
	// DeleteRange deletes the keys in [from, to).
	DeleteRange(from, to []byte)
}

// Snapshot is a consistent state of a store that later writes do not change.
type Snapshot interface {
	Reader
	Close()
}

// Store is an ordered key-value store.
type Store interface {
	Reader
	NewBatch() Batch
	// Commit applies a batch. With sync set it returns only after the batch
	// and all batches before it are on stable storage.
	Commit(batch Batch, sync bool) error
	Snapshot() Snapshot
	Close() error
}

// StorageError is the panic value of a storage operation that failed.
type StorageError struct {
	Err error
}

// Error implements error.
func (f StorageError) Error() string {
	return fmt.Sprintf("storage operation failed: %v", f.Err)
}

// PrefixEnd returns the smallest key that is greater than every key with the
// given prefix, or nil if there is none.
func PrefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return nil
}
