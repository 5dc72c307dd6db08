package batch

import (
	"encoding/binary"

	"github.com/briarcross/briarcross/kv"
)

// storePrefix is the first byte of every key of this package.
const storePrefix = 'b'

// Kinds of keys, the second byte.
const (
	kindJob            = 'j'
	kindIdempotencyKey = 'k'
	kindDigest         = 'd'
	kindItem           = 'i'
	kindResult         = 'r'
	kindClaim          = 's'
	kindSettledPage    = 'p'
	kindCallerJob      = 'c'
	kindRetention      = 'x'
)

func appendLengthPrefixed(key []byte, field string) []byte {
	key = binary.BigEndian.AppendUint16(key, uint16(len(field)))
	return append(key, field...)
}

func jobKey(jobID string) []byte {
	return append([]byte{storePrefix, kindJob}, jobID...)
}

func idempotencyKey(caller, key string) []byte {
	return append(appendLengthPrefixed([]byte{storePrefix, kindIdempotencyKey}, caller), key...)
}

func digestKey(caller string, digest []byte) []byte {
	return append(appendLengthPrefixed([]byte{storePrefix, kindDigest}, caller), digest...)
}

func callerJobPrefix(caller string) []byte {
	return appendLengthPrefixed([]byte{storePrefix, kindCallerJob}, caller)
}

func callerJobKey(caller, jobID string) []byte {
	return append(callerJobPrefix(caller), jobID...)
}

// jobRecordPrefix is the prefix of the items, results, starts or pages of a job.
func jobRecordPrefix(kind byte, jobID string) []byte {
	return appendLengthPrefixed([]byte{storePrefix, kind}, jobID)
}

func jobRecordKey(kind byte, jobID string, index uint32) []byte {
	return binary.BigEndian.AppendUint32(jobRecordPrefix(kind, jobID), index)
}

// recordIndex returns the index at the end of a part's key.
func recordIndex(key []byte) uint32 {
	return binary.BigEndian.Uint32(key[len(key)-4:])
}

func retentionKey(expiresAtMs uint64, jobID string) []byte {
	key := binary.BigEndian.AppendUint64([]byte{storePrefix, kindRetention}, expiresAtMs)
	return append(key, jobID...)
}

// retentionKeyJobID returns the job named by a retention key.
func retentionKeyJobID(key []byte) string {
	const headerBytes = 2 + 8
	return string(key[headerBytes:])
}

func deleteJobRecords(b kv.Batch, kind byte, jobID string) {
	prefix := jobRecordPrefix(kind, jobID)
	b.DeleteRange(prefix, kv.PrefixEnd(prefix))
}
