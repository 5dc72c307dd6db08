package batch

import (
	"encoding/binary"

	"github.com/briarcross/briarcross/kv"
)

// storePrefix is the first byte of every store key of this package.
const storePrefix = 'b'

// Kinds of records, the second byte of a key.
const (
	kindJob            = 'j'
	kindIdempotencyKey = 'k'
	kindDigest         = 'd'
	kindItem           = 'i'
	kindResult         = 'r'
	kindClaim          = 's'
	kindSettledPage    = 'p'
	kindAttempts       = 'a'
	kindCallerJob      = 'c'
	kindRetention      = 'x'
)

// appendLengthPrefixed appends a field after its length, so that a key prefix
// selects exactly one value of the field.
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

// jobRecordPrefix returns the key prefix of a job's items, results, claims or
// bitmap pages.
func jobRecordPrefix(kind byte, jobID string) []byte {
	return appendLengthPrefixed([]byte{storePrefix, kind}, jobID)
}

func jobRecordKey(kind byte, jobID string, index uint32) []byte {
	return binary.BigEndian.AppendUint32(jobRecordPrefix(kind, jobID), index)
}

// recordIndex returns the item index or page number at the end of a key made by
// jobRecordKey.
func recordIndex(key []byte) uint32 {
	return binary.BigEndian.Uint32(key[len(key)-4:])
}

// retentionKey returns a key that sorts by the end of a job's retention.
func retentionKey(expiresAtMs uint64, jobID string) []byte {
	key := binary.BigEndian.AppendUint64([]byte{storePrefix, kindRetention}, expiresAtMs)
	return append(key, jobID...)
}

// retentionKeyJobID returns the job ID in a retention key.
func retentionKeyJobID(key []byte) string {
	const headerBytes = 2 + 8
	return string(key[headerBytes:])
}

func deleteJobRecords(b kv.Batch, kind byte, jobID string) {
	prefix := jobRecordPrefix(kind, jobID)
	b.DeleteRange(prefix, kv.PrefixEnd(prefix))
}
