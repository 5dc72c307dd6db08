package gate

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/route"
)

const (
	// defaultMaxAttempts applies if the profile sets no maximum.
	defaultMaxAttempts = 3
	// retryBackoffBase is the delay before a retry at an upstream that was
	// already tried. It doubles with each attempt.
	retryBackoffBase = 50 * time.Millisecond
	// retryBackoffMax bounds the backoff delay.
	retryBackoffMax = 2 * time.Second
	// noBudgetRetryAfter is the retry delay when the retry budget is exhausted.
	noBudgetRetryAfter = time.Second
)

// handleFirstByte makes an attempt the winner and aborts the other attempts.
func (g *Gate) handleFirstByte(now time.Time, in FirstByte) {
	r, ok := g.requests[in.ID]
	if !ok || r.liveIndex(in.Attempt) < 0 || (r.winner != 0 && r.winner != in.Attempt) {
		g.out.Put(InputDropped(in))
		return
	}
	g.setWinner(now, r, in.Attempt)
	r.relayed = true
}

func (g *Gate) setWinner(now time.Time, r *request, number uint32) {
	r.winner = number
	g.hedges.Remove(r.ID)
	g.retries.Remove(r.ID)
	for _, a := range r.liveAttempts {
		if a.number != number {
			g.abortAttempt(now, r, a)
			r.previousMayHaveRun = true
		}
	}
	i := r.liveIndex(number)
	r.liveAttempts = []attempt{r.liveAttempts[i]}
}

// handleAttemptEnd finishes the request of a successful attempt, or retries or
// fails it.
func (g *Gate) handleAttemptEnd(now time.Time, in AttemptEnded) {
	r, ok := g.requests[in.ID]
	i := -1
	if ok {
		i = r.liveIndex(in.Attempt)
	}
	if i < 0 {
		g.out.Put(InputDropped{ID: in.ID, Attempt: in.Attempt})
		return
	}
	a := r.liveAttempts[i]
	r.liveAttempts = slices.Delete(r.liveAttempts, i, i+1)
	g.selector.AttemptDone(now, a.upstream, in.Load)
	g.updateUpstreamHealth(now, a.upstream, in)
	if in.Outcome == pb.Outcome_OUTCOME_DONE {
		r.winner = in.Attempt
		g.finish(now, r, Finish{
			ID: r.ID, Outcome: in.Outcome, Reason: in.Reason, Attempt: in.Attempt,
		})
		return
	}
	g.handleFailedAttempt(now, r, in)
}

// updateUpstreamHealth passes the outcome of an attempt to upstream selection.
func (g *Gate) updateUpstreamHealth(now time.Time, u *route.Upstream, in AttemptEnded) {
	if in.Outcome == pb.Outcome_OUTCOME_DONE {
		g.selector.RecordSuccess(now, u)
		return
	}
	switch in.Reason {
	case pb.Reason_REASON_DRAINING:
		g.selector.MarkDraining(u)
	case pb.Reason_REASON_CONNECT_FAILED,
		pb.Reason_REASON_CONNECTION_LOST,
		pb.Reason_REASON_ENGINE_FAILED,
		pb.Reason_REASON_ENGINE_REFUSED,
		pb.Reason_REASON_TRUNCATED,
		pb.Reason_REASON_WRONG_INCARNATION:
		g.selector.RecordFailure(now, u)
	}
}

// handleFailedAttempt retries or fails the request, unless another attempt is live.
func (g *Gate) handleFailedAttempt(now time.Time, r *request, in AttemptEnded) {
	r.failureReason = in.Reason
	r.retryAfter = in.RetryAfter
	r.relayed = r.relayed || in.Relayed
	r.previousMayHaveRun = r.previousMayHaveRun || !hasNotRun(in)
	r.resumeFrom = in.RelayedTokens
	if len(r.liveAttempts) > 0 {
		return
	}
	if !r.canRetry() || r.attemptCount >= maxAttempts(r.profile) {
		g.fail(now, r, r.failureReason, r.retryAfter)
		return
	}
	g.retryOrFail(now, r)
}

// hasNotRun reports whether it is certain that no engine has seen an attempt. A
// sidecar that rejects a message meant for its previous incarnation cannot know
// what that incarnation ran. The entry can: it sends each attempt once, on its
// own stream, so the process that rejected the message is the only one that
// received it.
func hasNotRun(in AttemptEnded) bool {
	return in.Outcome == pb.Outcome_OUTCOME_NOT_RUN || in.Reason == pb.Reason_REASON_WRONG_INCARNATION
}

func maxAttempts(profile *pb.Profile) uint32 {
	if profile.GetMaxAttempts() == 0 {
		return defaultMaxAttempts
	}
	return profile.GetMaxAttempts()
}

// retryOrFail sends another attempt to an untried upstream. If all were tried, it
// schedules a retry after a backoff. It fails the request if no upstream is left,
// if none has capacity after a capacity refusal, or if the retry budget is
// exhausted.
func (g *Gate) retryOrFail(now time.Time, r *request) {
	r.winner = 0
	requireCapacity := isCapacityRefusal(r.failureReason)
	u, ok := g.pickUpstream(now, r, requireCapacity)
	if !ok && (requireCapacity || !g.selector.HasCandidate(now, r.Service)) {
		g.fail(now, r, r.failureReason, r.retryAfter)
		return
	}
	if !g.retryBudget(r.Service).TryWithdraw(now) {
		g.fail(now, r, pb.Reason_REASON_RETRY_BUDGET, noBudgetRetryAfter)
		return
	}
	if !ok {
		g.retries.Set(r.ID, now.Add(g.backoff(r.attemptCount)))
		return
	}
	g.sendAttempt(now, r, u, false)
}

// isCapacityRefusal reports whether an upstream refused a request for lack of
// capacity. The retry then goes only to an upstream with capacity, so that it
// does not amplify the overload.
func isCapacityRefusal(reason pb.Reason) bool {
	return reason == pb.Reason_REASON_OVERLOADED || reason == pb.Reason_REASON_QUEUE_FULL
}

// backoff returns an exponential delay, reduced at random by up to a half.
func (g *Gate) backoff(attempts uint32) time.Duration {
	const maxDoublings = 8
	delay := min(retryBackoffBase<<min(attempts-1, maxDoublings), retryBackoffMax)
	return delay/2 + time.Duration(g.random.Int64N(int64(delay/2)))
}

// sendDueRetries sends the retries whose backoff has passed.
func (g *Gate) sendDueRetries(now time.Time) {
	for {
		id, ok := g.retries.PopExpired(now)
		if !ok {
			return
		}
		r := g.requests[id]
		r.triedUpstreams = nil
		u, ok := g.pickUpstream(now, r, false)
		if !ok {
			g.fail(now, r, pb.Reason_REASON_NO_UPSTREAM, noUpstreamRetryAfter)
			continue
		}
		g.sendAttempt(now, r, u, false)
	}
}

// sendDueHedges sends an additional attempt for each idempotent request that got
// no first byte within the hedge delay.
func (g *Gate) sendDueHedges(now time.Time) {
	for {
		id, ok := g.hedges.PopExpired(now)
		if !ok {
			return
		}
		r := g.requests[id]
		if len(r.liveAttempts) != 1 || r.winner != 0 || r.attemptCount >= maxAttempts(r.profile) {
			continue
		}
		u, ok := g.pickUpstream(now, r, true)
		if ok && g.retryBudget(r.Service).TryWithdraw(now) {
			g.sendAttempt(now, r, u, true)
		}
	}
}

// failExpired fails the requests whose deadline has passed.
func (g *Gate) failExpired(now time.Time) {
	for {
		id, ok := g.deadlines.PopExpired(now)
		if !ok {
			return
		}
		g.fail(now, g.requests[id], pb.Reason_REASON_DEADLINE, 0)
	}
}

// handleCallerGone fails the request of a disconnected caller. A claimed request
// continues, because its response is recorded.
func (g *Gate) handleCallerGone(now time.Time, id string) {
	r, ok := g.requests[id]
	if !ok || r.claimed {
		return
	}
	g.fail(now, r, pb.Reason_REASON_CANCELLED, 0)
}
