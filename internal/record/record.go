// Package record stores protobuf messages and numbers in a key-value store.
package record

import (
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/kv"
)

var marshal = proto.MarshalOptions{Deterministic: true}

// Set stores the encoding of a message under a key.
func Set(b kv.Batch, key []byte, m proto.Message) {
	b.Set(key, Encode(m))
}

// Get decodes the message under a key into m and reports whether the key is
// present. It panics if the value cannot be decoded.
func Get(r kv.Reader, key []byte, m proto.Message) bool {
	value, ok := r.Get(key)
	if !ok {
		return false
	}
	Decode(value, m)
	return true
}

// Encode returns the deterministic encoding of a message. It panics if the
// message cannot be encoded.
func Encode(m proto.Message) []byte {
	value, err := marshal.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("cannot encode record of type %s: %v", m.ProtoReflect().Descriptor().Name(), err))
	}
	return value
}

// Decode decodes value into m and panics if it cannot.
func Decode(value []byte, m proto.Message) {
	if err := proto.Unmarshal(value, m); err != nil {
		panic(fmt.Sprintf("cannot decode record of type %s: %v", m.ProtoReflect().Descriptor().Name(), err))
	}
}

// Uint64 is a number stored under a key; an absent key reads as zero.
type Uint64 struct {
	Key []byte
}

// Get returns the stored value, or zero.
func (n Uint64) Get(r kv.Reader) uint64 {
	value, ok := r.Get(n.Key)
	if !ok {
		return 0
	}
	return binary.BigEndian.Uint64(value)
}

// Set stores a value.
func (n Uint64) Set(b kv.Batch, value uint64) {
	b.Set(n.Key, binary.BigEndian.AppendUint64(nil, value))
}

// OrderedKey returns prefix followed by number in big-endian order, so that keys
// sort by number.
func OrderedKey(prefix string, number uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte(prefix), number)
}
