package replica

import (
	"bytes"
	"slices"

	"github.com/briarcross/briarcross/kv"
)

// prefixReader reads the keys under a prefix and strips it.
type prefixReader struct {
	reader kv.Reader
	prefix []byte
}

func (r prefixReader) prefixedKey(key []byte) []byte {
	return slices.Concat(r.prefix, key)
}

// Get implements kv.Reader.
func (r prefixReader) Get(key []byte) ([]byte, bool) {
	return r.reader.Get(r.prefixedKey(key))
}

// Scan implements kv.Reader.
func (r prefixReader) Scan(from, to []byte, visit func(key, value []byte) bool) {
	r.reader.Scan(r.prefixedKey(from), r.upperBound(to), func(key, value []byte) bool {
		return visit(bytes.TrimPrefix(key, r.prefix), value)
	})
}

// upperBound adds the prefix to the end of a range. An empty end means the end
// of the prefix.
func (r prefixReader) upperBound(to []byte) []byte {
	if len(to) == 0 {
		return kv.PrefixEnd(r.prefix)
	}
	return r.prefixedKey(to)
}

// prefixBatch is a kv.Batch that adds a prefix to all keys.
type prefixBatch struct {
	prefixReader
	batch kv.Batch
}

func newPrefixBatch(batch kv.Batch, prefix []byte) prefixBatch {
	return prefixBatch{prefixReader{batch, prefix}, batch}
}

// Set implements kv.Batch.
func (b prefixBatch) Set(key, value []byte) {
	b.batch.Set(b.prefixedKey(key), value)
}

// Delete implements kv.Batch.
func (b prefixBatch) Delete(key []byte) {
	b.batch.Delete(b.prefixedKey(key))
}

// DeleteRange implements kv.Batch.
func (b prefixBatch) DeleteRange(from, to []byte) {
	b.batch.DeleteRange(b.prefixedKey(from), b.upperBound(to))
}
