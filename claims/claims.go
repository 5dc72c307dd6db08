package claims

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/briarcross/briarcross/internal/record"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

const (
	// DefaultRetention applies when a claim states none.
	DefaultRetention = 24 * time.Hour
	// MaxRetention bounds the retention of a claim.
	MaxRetention = 365 * 24 * time.Hour
	// MaxResponseBytes bounds a recorded answer. A larger one is dropped, and
	// the claim keeps only that the request is done.
	MaxResponseBytes = 4 << 20

	// expirePerCommand bounds the expired claims that one command removes.
	expirePerCommand = 8
)

const (
	claimPrefix  = "claims/key/"
	expiryPrefix = "claims/expiry/"
)

// State is the replicated table of claims. It keeps nothing in memory.
type State struct{}

// Open claims a key at a log time in milliseconds of Unix time.
func (State) Open(b kv.Batch, c *pb.ClaimOpen, unixMs uint64) *pb.ClaimResult {
	expire(b, unixMs)
	id := claimID(c.GetCaller(), c.GetKey())
	held := read(b, id, unixMs)
	if held == nil {
		return grant(b, id, c, unixMs)
	}
	own := held.GetRequestId() == c.GetRequestId()
	if held.GetState() == pb.ClaimState_CLAIM_RELEASED && !own {
		return grant(b, id, c, unixMs)
	}
	if !bytes.Equal(held.GetDigest(), c.GetDigest()) {
		return &pb.ClaimResult{State: pb.ClaimState_CLAIM_MISMATCH, RequestId: held.GetRequestId()}
	}
	if held.GetState() == pb.ClaimState_CLAIM_PENDING && own {
		return &pb.ClaimResult{State: pb.ClaimState_CLAIM_GRANTED, RequestId: c.GetRequestId()}
	}
	return resultOf(held)
}

// grant records a pending claim, in place of an expired or released one.
func grant(b kv.Batch, id []byte, c *pb.ClaimOpen, unixMs uint64) *pb.ClaimResult {
	remove(b, id)
	held := &pb.ClaimRecord{
		State:         pb.ClaimState_CLAIM_PENDING,
		RequestId:     c.GetRequestId(),
		Digest:        c.GetDigest(),
		ExpiresUnixMs: unixMs + retentionMs(c),
	}
	write(b, id, held)
	return &pb.ClaimResult{State: pb.ClaimState_CLAIM_GRANTED, RequestId: c.GetRequestId()}
}

func retentionMs(c *pb.ClaimOpen) uint64 {
	if c.GetRetentionMs() == 0 {
		return uint64(DefaultRetention.Milliseconds())
	}
	return min(c.GetRetentionMs(), uint64(MaxRetention.Milliseconds()))
}

// Close records the outcome of a claimed request, or releases the key of a
// request that certainly did not run. Only the request that holds the claim
// changes it; the result shows the claim as it stands, and has no state when
// the key is not claimed.
func (State) Close(b kv.Batch, c *pb.ClaimClose, unixMs uint64) *pb.ClaimResult {
	expire(b, unixMs)
	id := claimID(c.GetCaller(), c.GetKey())
	held := read(b, id, unixMs)
	if held == nil {
		return &pb.ClaimResult{}
	}
	own := held.GetRequestId() == c.GetRequestId()
	if !own || held.GetState() != pb.ClaimState_CLAIM_PENDING {
		return resultOf(held)
	}
	settle(held, c)
	record.Set(b, claimKey(id), held)
	return resultOf(held)
}

// settle moves a pending claim to its outcome.
func settle(held *pb.ClaimRecord, c *pb.ClaimClose) {
	if c.GetNotRun() {
		held.State = pb.ClaimState_CLAIM_RELEASED
		return
	}
	held.State = pb.ClaimState_CLAIM_DONE
	held.Status = c.GetStatus()
	held.ContentType = c.GetContentType()
	if len(c.GetAnswer()) > MaxResponseBytes {
		held.AnswerDropped = true
		return
	}
	held.Answer = c.GetAnswer()
}

func resultOf(held *pb.ClaimRecord) *pb.ClaimResult {
	return &pb.ClaimResult{
		State:         held.GetState(),
		RequestId:     held.GetRequestId(),
		Status:        held.GetStatus(),
		Answer:        held.GetAnswer(),
		ContentType:   held.GetContentType(),
		AnswerDropped: held.GetAnswerDropped(),
	}
}

// expire removes some claims whose retention has passed.
func expire(b kv.Batch, unixMs uint64) {
	var expired [][]byte
	from := []byte(expiryPrefix)
	b.Scan(from, record.Ordered(expiryPrefix, unixMs+1), func(key, _ []byte) bool {
		expired = append(expired, append([]byte(nil), key[len(from)+8:]...))
		return len(expired) < expirePerCommand
	})
	for _, id := range expired {
		remove(b, id)
	}
}

// read returns the claim of a key, or nil when there is none in force.
func read(r kv.Reader, id []byte, unixMs uint64) *pb.ClaimRecord {
	held := &pb.ClaimRecord{}
	if !record.Get(r, claimKey(id), held) || held.GetExpiresUnixMs() <= unixMs {
		return nil
	}
	return held
}

func write(b kv.Batch, id []byte, held *pb.ClaimRecord) {
	record.Set(b, claimKey(id), held)
	b.Set(expiryKey(held.GetExpiresUnixMs(), id), nil)
}

func remove(b kv.Batch, id []byte) {
	held := &pb.ClaimRecord{}
	if !record.Get(b, claimKey(id), held) {
		return
	}
	b.Delete(claimKey(id))
	b.Delete(expiryKey(held.GetExpiresUnixMs(), id))
}

// claimID joins a Caller and its key without ambiguity.
func claimID(caller, key string) []byte {
	id := binary.AppendUvarint(nil, uint64(len(caller)))
	id = append(id, caller...)
	return append(id, key...)
}

func claimKey(id []byte) []byte {
	return append([]byte(claimPrefix), id...)
}

func expiryKey(unixMs uint64, id []byte) []byte {
	return append(record.Ordered(expiryPrefix, unixMs), id...)
}
