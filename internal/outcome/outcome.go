// Package outcome stores the result of each change ID in the replicated state,
// so that a resent change gets the result of its first application.
//
// Results expire by log time and by count. Both are part of the replicated
// state, so that all replicas remove the same results at the same log entry.
package outcome

import (
	"bytes"
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/internal/record"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// maxExpiredPerPut bounds the expired results that one Put removes.
const maxExpiredPerPut = 8

// Log stores the results of changes under a key prefix, in the order of their
// application.
type Log struct {
	// Prefix starts every key of the log.
	Prefix string
	// Retention is the log time for which a result is kept.
	Retention time.Duration
	// MaxResults is the maximum number of results kept.
	MaxResults uint64
}

// Digest identifies the content of a change.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a change.
func DigestOf(change proto.Message) Digest {
	return sha256.Sum256(record.Encode(change))
}

// LookupResult is the result of looking up a change ID.
type LookupResult int

// Results of a lookup.
const (
	// Absent means that the change ID is new or that its result has expired.
	Absent LookupResult = iota
	// Found means that the result was read.
	Found
	// IDReused means that the change ID is stored for a change with different
	// content.
	IDReused
)

// Get looks up a change ID and, if it is found, decodes its result into result.
func (l Log) Get(r kv.Reader, id string, digest Digest, result proto.Message) LookupResult {
	var stored pb.OutcomeRecord
	if !record.Get(r, l.idKey(id), &stored) {
		return Absent
	}
	if !bytes.Equal(stored.GetDigest(), digest[:]) {
		return IDReused
	}
	record.Decode(stored.GetResult(), result)
	return Found
}

// Put stores the result of a change ID at a log time, and removes up to
// maxExpiredPerPut results that have expired.
func (l Log) Put(b kv.Batch, id string, digest Digest, result proto.Message, unixMs uint64) {
	var trail pb.OutcomeTrail
	record.Get(b, l.trailKey(), &trail)
	record.Set(b, l.idKey(id), &pb.OutcomeRecord{
		Sequence: trail.GetNext(),
		UnixMs:   unixMs,
		Digest:   digest[:],
		Result:   record.Encode(result),
	})
	b.Set(l.sequenceKey(trail.GetNext()), []byte(id))
	trail.Next++
	l.expire(b, &trail, unixMs)
	record.Set(b, l.trailKey(), &trail)
}

func (l Log) expire(b kv.Batch, trail *pb.OutcomeTrail, unixMs uint64) {
	for range maxExpiredPerPut {
		if !l.expireOldest(b, trail, unixMs) {
			return
		}
	}
}

// expireOldest removes the oldest result if it has expired or MaxResults is
// exceeded, and reports whether it did.
func (l Log) expireOldest(b kv.Batch, trail *pb.OutcomeTrail, unixMs uint64) bool {
	key := l.sequenceKey(trail.GetFirst())
	id, ok := b.Get(key)
	if !ok {
		return false
	}
	var stored pb.OutcomeRecord
	record.Get(b, l.idKey(string(id)), &stored)
	fresh := stored.GetUnixMs()+uint64(l.Retention.Milliseconds()) > unixMs
	if fresh && trail.GetNext()-trail.GetFirst() <= l.MaxResults {
		return false
	}
	b.Delete(key)
	b.Delete(l.idKey(string(id)))
	trail.First++
	return true
}

func (l Log) idKey(id string) []byte {
	return []byte(l.Prefix + "id/" + id)
}

func (l Log) sequenceKey(sequence uint64) []byte {
	return record.OrderedKey(l.Prefix+"sequence/", sequence)
}

func (l Log) trailKey() []byte {
	return []byte(l.Prefix + "trail")
}
