package gate

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

// claimRetryAfter is told while another request holds the key or the control
// replicas do not answer.
const claimRetryAfter = time.Second

// claim is a key that was asked for.
type claim struct {
	caller string
	key    string
}

func (g *Gate) openClaim(r *request) {
	g.claims[r.ID] = claim{caller: r.Caller, key: r.IdempotencyKey}
	g.out.Put(OpenClaim{ID: r.ID, Open: &pb.ClaimOpen{
		Caller:      r.Caller,
		Key:         r.IdempotencyKey,
		Digest:      r.Digest,
		RequestId:   r.ID,
		RetentionMs: r.profile.GetRetentionMs(),
	}})
}

// closeClaim records the end of a claimed request. A request whose outcome is
// unknown keeps its key, so that it never runs again under it.
func (g *Gate) closeClaim(r *request, answer Finish) {
	if !r.claimed || answer.Outcome == pb.Outcome_OUTCOME_UNKNOWN {
		return
	}
	g.out.Put(CloseClaim{
		ID:             r.ID,
		Caller:         r.Caller,
		IdempotencyKey: r.IdempotencyKey,
		NotRun:         answer.Outcome == pb.Outcome_OUTCOME_NOT_RUN,
		Attempt:        answer.Attempt,
	})
}

func (g *Gate) claimAnswer(now time.Time, in ClaimResponse) {
	asked, ok := g.claims[in.ID]
	if !ok {
		g.out.Put(InputDropped{ID: in.ID})
		return
	}
	delete(g.claims, in.ID)
	r, ok := g.requests[in.ID]
	if !ok {
		g.releaseLate(in, asked)
		return
	}
	if in.Err != nil {
		g.claimFailed(now, r, in.Err)
		return
	}
	switch in.Result.GetState() {
	case pb.ClaimState_CLAIM_GRANTED:
		r.claimed = true
		g.firstSend(now, r)
	case pb.ClaimState_CLAIM_DONE:
		g.finish(now, r, Finish{ID: r.ID, Outcome: pb.Outcome_OUTCOME_DONE, RecordedResult: in.Result})
	case pb.ClaimState_CLAIM_PENDING:
		r.ran = true
		g.giveUp(now, r, pb.Reason_REASON_CLAIM_PENDING, claimRetryAfter)
	case pb.ClaimState_CLAIM_MISMATCH:
		g.giveUp(now, r, pb.Reason_REASON_CLAIM_MISMATCH, 0)
	default:
		g.giveUp(now, r, pb.Reason_REASON_CONTROL_UNAVAILABLE, claimRetryAfter)
	}
}

// claimFailed gives up a request whose key may or may not be held for it.
func (g *Gate) claimFailed(now time.Time, r *request, err *pb.ControlError) {
	r.claimed = mayHold(err)
	g.giveUp(now, r, pb.Reason_REASON_CONTROL_UNAVAILABLE, claimRetryAfter)
}

// releaseLate frees a key that was granted after its request was given up.
func (g *Gate) releaseLate(in ClaimResponse, asked claim) {
	if in.Result.GetState() != pb.ClaimState_CLAIM_GRANTED && !mayHold(in.Err) {
		return
	}
	g.out.Put(CloseClaim{ID: in.ID, Caller: asked.caller, IdempotencyKey: asked.key, NotRun: true})
}

// mayHold tells that a failed claim may have been carried out.
func mayHold(err *pb.ControlError) bool {
	return err.GetCode() == pb.ControlError_UNKNOWN
}
