package gate

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

// claimRetryAfter is the retry delay while another request holds the idempotency
// key or the control replicas do not respond.
const claimRetryAfter = time.Second

// pendingClaim is a claim whose response is outstanding.
type pendingClaim struct {
	caller         string
	idempotencyKey string
}

func (g *Gate) openClaim(r *request) {
	g.pendingClaims[r.ID] = pendingClaim{caller: r.Caller, idempotencyKey: r.IdempotencyKey}
	g.out.Put(OpenClaim{ID: r.ID, Open: &pb.ClaimOpen{
		Caller:      r.Caller,
		Key:         r.IdempotencyKey,
		Digest:      r.Digest,
		RequestId:   r.ID,
		RetentionMs: r.profile.GetRetentionMs(),
	}})
}

// closeClaim records the outcome of a claimed request or releases its key. If the
// outcome is unknown, the claim stays open, so that no request with this key runs
// again.
func (g *Gate) closeClaim(r *request, result Finish) {
	if !r.claimed || result.Outcome == pb.Outcome_OUTCOME_UNKNOWN {
		return
	}
	g.out.Put(CloseClaim{
		ID:             r.ID,
		Caller:         r.Caller,
		IdempotencyKey: r.IdempotencyKey,
		NotRun:         result.Outcome == pb.Outcome_OUTCOME_NOT_RUN,
		Attempt:        result.Attempt,
	})
}

func (g *Gate) handleClaimResponse(now time.Time, in ClaimResponse) {
	claim, ok := g.pendingClaims[in.ID]
	if !ok {
		g.out.Put(InputDropped{ID: in.ID})
		return
	}
	delete(g.pendingClaims, in.ID)
	r, ok := g.requests[in.ID]
	if !ok {
		g.releaseUnusedClaim(in, claim)
		return
	}
	if in.Err != nil {
		g.handleClaimError(now, r, in.Err)
		return
	}
	switch in.Result.GetState() {
	case pb.ClaimState_CLAIM_GRANTED:
		r.claimed = true
		g.sendFirstAttempt(now, r)
	case pb.ClaimState_CLAIM_DONE:
		g.finish(now, r, Finish{ID: r.ID, Outcome: pb.Outcome_OUTCOME_DONE, RecordedResult: in.Result})
	case pb.ClaimState_CLAIM_PENDING:
		r.previousMayHaveRun = true
		g.fail(now, r, pb.Reason_REASON_CLAIM_PENDING, claimRetryAfter)
	case pb.ClaimState_CLAIM_MISMATCH:
		g.fail(now, r, pb.Reason_REASON_CLAIM_MISMATCH, 0)
	default:
		g.fail(now, r, pb.Reason_REASON_CONTROL_UNAVAILABLE, claimRetryAfter)
	}
}

// handleClaimError fails a request. If its key may be held, the key is released.
func (g *Gate) handleClaimError(now time.Time, r *request, err *pb.ControlError) {
	r.claimed = mayHoldKey(err)
	g.fail(now, r, pb.Reason_REASON_CONTROL_UNAVAILABLE, claimRetryAfter)
}

// releaseUnusedClaim releases a key that was, or may have been, granted after its
// request had failed.
func (g *Gate) releaseUnusedClaim(in ClaimResponse, claim pendingClaim) {
	if in.Result.GetState() != pb.ClaimState_CLAIM_GRANTED && !mayHoldKey(in.Err) {
		return
	}
	g.out.Put(CloseClaim{ID: in.ID, Caller: claim.caller, IdempotencyKey: claim.idempotencyKey, NotRun: true})
}

// mayHoldKey reports whether a claim that returned an error may have been granted.
func mayHoldKey(err *pb.ControlError) bool {
	return err.GetCode() == pb.ControlError_UNKNOWN
}
