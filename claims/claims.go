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
	// DefaultRetention is the retention of a claim that specifies none.
	DefaultRetention = 24 * time.Hour
	// MaxRetention is the longest retention of a claim; a longer one is reduced
	// to it.
	MaxRetention = 365 * 24 * time.Hour
	// MaxResponseBytes limits a recorded response body. A larger body is
	// dropped; the claim keeps the status and content type.
	MaxResponseBytes = 4 << 20

	// maxExpiredPerCommand limits the expired claims that one command removes.
	maxExpiredPerCommand = 8
)

const (
	claimPrefix  = "claims/key/"
	expiryPrefix = "claims/expiry/"
)

// State is the replicated table of claims. All its data is in the key-value
// store that its methods get.
type State struct{}

// Open claims a key for a request. The request that holds a pending claim is
// granted it again. If the key is claimed otherwise, the result is that claim,
// or CLAIM_MISMATCH if it was made for another body. unixMs is the log time, in
// milliseconds of Unix time.
func (State) Open(b kv.Batch, c *pb.ClaimOpen, unixMs uint64) *pb.ClaimResult {
	expireClaims(b, unixMs)
	id := claimID(c.GetCaller(), c.GetKey())
	claim := readClaim(b, id, unixMs)
	if claim == nil {
		return grantClaim(b, id, c, unixMs)
	}
	ownRequest := claim.GetRequestId() == c.GetRequestId()
	if claim.GetState() == pb.ClaimState_CLAIM_RELEASED && !ownRequest {
		return grantClaim(b, id, c, unixMs)
	}
	if !bytes.Equal(claim.GetDigest(), c.GetDigest()) {
		return &pb.ClaimResult{State: pb.ClaimState_CLAIM_MISMATCH, RequestId: claim.GetRequestId()}
	}
	if claim.GetState() == pb.ClaimState_CLAIM_PENDING && ownRequest {
		return &pb.ClaimResult{State: pb.ClaimState_CLAIM_GRANTED, RequestId: c.GetRequestId()}
	}
	return resultOf(claim)
}

// grantClaim records a pending claim. It replaces an expired or released claim
// on the key.
func grantClaim(b kv.Batch, id []byte, c *pb.ClaimOpen, unixMs uint64) *pb.ClaimResult {
	removeClaim(b, id)
	claim := &pb.ClaimRecord{
		State:         pb.ClaimState_CLAIM_PENDING,
		RequestId:     c.GetRequestId(),
		Digest:        c.GetDigest(),
		ExpiresUnixMs: unixMs + retentionMs(c),
	}
	writeClaim(b, id, claim)
	return &pb.ClaimResult{State: pb.ClaimState_CLAIM_GRANTED, RequestId: c.GetRequestId()}
}

func retentionMs(c *pb.ClaimOpen) uint64 {
	if c.GetRetentionMs() == 0 {
		return uint64(DefaultRetention.Milliseconds())
	}
	return min(c.GetRetentionMs(), uint64(MaxRetention.Milliseconds()))
}

// Close records the outcome of a claimed request, or releases the key of a
// request that certainly did not run. Only the request that holds a pending
// claim changes it. The result is the claim after the call; its state is
// unspecified when the key is not claimed.
func (State) Close(b kv.Batch, c *pb.ClaimClose, unixMs uint64) *pb.ClaimResult {
	expireClaims(b, unixMs)
	id := claimID(c.GetCaller(), c.GetKey())
	claim := readClaim(b, id, unixMs)
	if claim == nil {
		return &pb.ClaimResult{}
	}
	ownRequest := claim.GetRequestId() == c.GetRequestId()
	if !ownRequest || claim.GetState() != pb.ClaimState_CLAIM_PENDING {
		return resultOf(claim)
	}
	recordOutcome(claim, c)
	record.Set(b, claimKey(id), claim)
	return resultOf(claim)
}

// recordOutcome sets the outcome of a pending claim: done or released.
func recordOutcome(claim *pb.ClaimRecord, c *pb.ClaimClose) {
	if c.GetNotRun() {
		claim.State = pb.ClaimState_CLAIM_RELEASED
		return
	}
	claim.State = pb.ClaimState_CLAIM_DONE
	claim.Status = c.GetStatus()
	claim.ContentType = c.GetContentType()
	if len(c.GetAnswer()) > MaxResponseBytes {
		claim.AnswerDropped = true
		return
	}
	claim.Answer = c.GetAnswer()
}

func resultOf(claim *pb.ClaimRecord) *pb.ClaimResult {
	return &pb.ClaimResult{
		State:         claim.GetState(),
		RequestId:     claim.GetRequestId(),
		Status:        claim.GetStatus(),
		Answer:        claim.GetAnswer(),
		ContentType:   claim.GetContentType(),
		AnswerDropped: claim.GetAnswerDropped(),
	}
}

// expireClaims removes up to maxExpiredPerCommand claims whose retention has
// passed.
func expireClaims(b kv.Batch, unixMs uint64) {
	var expired [][]byte
	prefix := []byte(expiryPrefix)
	b.Scan(prefix, record.OrderedKey(expiryPrefix, unixMs+1), func(key, _ []byte) bool {
		expired = append(expired, append([]byte(nil), key[len(prefix)+8:]...))
		return len(expired) < maxExpiredPerCommand
	})
	for _, id := range expired {
		removeClaim(b, id)
	}
}

// readClaim returns the claim on a key, or nil when there is none or it has
// expired.
func readClaim(r kv.Reader, id []byte, unixMs uint64) *pb.ClaimRecord {
	claim := &pb.ClaimRecord{}
	if !record.Get(r, claimKey(id), claim) || claim.GetExpiresUnixMs() <= unixMs {
		return nil
	}
	return claim
}

func writeClaim(b kv.Batch, id []byte, claim *pb.ClaimRecord) {
	record.Set(b, claimKey(id), claim)
	b.Set(expiryKey(claim.GetExpiresUnixMs(), id), nil)
}

func removeClaim(b kv.Batch, id []byte) {
	claim := &pb.ClaimRecord{}
	if !record.Get(b, claimKey(id), claim) {
		return
	}
	b.Delete(claimKey(id))
	b.Delete(expiryKey(claim.GetExpiresUnixMs(), id))
}

// claimID encodes a Caller and its key. The length prefix of the Caller keeps
// different pairs from getting the same ID.
func claimID(caller, key string) []byte {
	id := binary.AppendUvarint(nil, uint64(len(caller)))
	id = append(id, caller...)
	return append(id, key...)
}

func claimKey(id []byte) []byte {
	return append([]byte(claimPrefix), id...)
}

func expiryKey(unixMs uint64, id []byte) []byte {
	return append(record.OrderedKey(expiryPrefix, unixMs), id...)
}
