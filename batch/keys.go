package batch

import (
	"encoding/binary"

	"github.com/briarcross/briarcross/kv"
)

// keyPrefix is the first byte of every key of this package.
const keyPrefix = 'b'

// Kinds of keys, the second byte.
const (
	kindJob       = 'j'
	kindKey       = 'k'
	kindDigest    = 'd'
	kindItem      = 'i'
	kindResult    = 'r'
	kindStart     = 's'
	kindPage      = 'p'
	kindCaller    = 'c'
	kindRetention = 'x'
)

func appendField(key []byte, field string) []byte {
	key = binary.BigEndian.AppendUint16(key, uint16(len(field)))
	return append(key, field...)
}

func jobKey(jobID string) []byte {
	return append([]byte{keyPrefix, kindJob}, jobID...)
}

func idempotencyKey(caller, key string) []byte {
	return append(appendField([]byte{keyPrefix, kindKey}, caller), key...)
}

func digestKey(caller string, digest []byte) []byte {
	return append(appendField([]byte{keyPrefix, kindDigest}, caller), digest...)
}

func callerPrefix(caller string) []byte {
	return appendField([]byte{keyPrefix, kindCaller}, caller)
}

func callerKey(caller, jobID string) []byte {
	return append(callerPrefix(caller), jobID...)
}

// partPrefix is the prefix of the items, results, starts or pages of a job.
func partPrefix(kind byte, jobID string) []byte {
	return appendField([]byte{keyPrefix, kind}, jobID)
}

func partKey(kind byte, jobID string, index uint32) []byte {
	return binary.BigEndian.AppendUint32(partPrefix(kind, jobID), index)
}

// partIndex returns the index at the end of a part's key.
func partIndex(key []byte) uint32 {
	return binary.BigEndian.Uint32(key[len(key)-4:])
}

func retentionKey(unixMs uint64, jobID string) []byte {
	key := binary.BigEndian.AppendUint64([]byte{keyPrefix, kindRetention}, unixMs)
	return append(key, jobID...)
}

// retentionJob returns the job named by a retention key.
func retentionJob(key []byte) string {
	const header = 2 + 8
	return string(key[header:])
}

func deletePart(b kv.Batch, kind byte, jobID string) {
	prefix := partPrefix(kind, jobID)
	b.DeleteRange(prefix, kv.PrefixEnd(prefix))
}
