// Package record stores protobuf messages in a key-value state.
package record

import (
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/kv"
)

var marshal = proto.MarshalOptions{Deterministic: true}

// Set writes a message.
func Set(b kv.Batch, key []byte, m proto.Message) {
	b.Set(key, Encode(m))
}

// Get reads a message into m and reports whether the key is present. A value
// that does not decode is a broken invariant.
func Get(r kv.Reader, key []byte, m proto.Message) bool {
	value, ok := r.Get(key)
	if !ok {
		return false
	}
	Decode(value, m)
	return true
}

// Encode returns the deterministic encoding of a message.
func Encode(m proto.Message) []byte {
	value, err := marshal.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("record of type %s does not encode: %v", m.ProtoReflect().Descriptor().Name(), err))
	}
	return value
}

// Decode reads a message from its encoding.
func Decode(value []byte, m proto.Message) {
	if err := proto.Unmarshal(value, m); err != nil {
		panic(fmt.Sprintf("record of type %s does not decode: %v", m.ProtoReflect().Descriptor().Name(), err))
	}
}

// Uint64 is a counter in a key-value state; an absent key counts as zero.
type Uint64 struct {
	Key []byte
}

// Get returns the value.
func (n Uint64) Get(r kv.Reader) uint64 {
	value, ok := r.Get(n.Key)
	if !ok {
		return 0
	}
	return binary.BigEndian.Uint64(value)
}

// Set replaces the value.
func (n Uint64) Set(b kv.Batch, value uint64) {
	b.Set(n.Key, binary.BigEndian.AppendUint64(nil, value))
}

// OrderedKey returns prefix followed by number, so that keys sort by number.
func OrderedKey(prefix string, number uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte(prefix), number)
}
