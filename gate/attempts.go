package gate

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/route"
)

const (
	// defaultAttempts bounds the attempts when the profile does not.
	defaultAttempts = 3
	// retryBackoff is the wait before an upstream is tried a second time; it
	// doubles with each attempt.
	retryBackoff = 50 * time.Millisecond
	// retryBackoffMax bounds the wait.
	retryBackoffMax = 2 * time.Second
	// budgetRetryAfter is told when the retry budget is used up.
	budgetRetryAfter = time.Second
)

// firstByte makes an attempt the winner and aborts the others.
func (g *Gate) firstByte(now time.Time, in FirstByte) {
	r, ok := g.requests[in.ID]
	if !ok || r.find(in.Attempt) < 0 || (r.winner != 0 && r.winner != in.Attempt) {
		g.out.Put(Dropped(in))
		return
	}
	g.win(now, r, in.Attempt)
	r.relayed = true
}

func (g *Gate) win(now time.Time, r *request, number uint32) {
	r.winner = number
	g.hedges.Remove(r.ID)
	g.retries.Remove(r.ID)
	for _, a := range r.live {
		if a.number != number {
			g.abort(now, r, a)
			r.ran = true
		}
	}
	at := r.find(number)
	r.live = []attempt{r.live[at]}
}

// ended finishes the request with the answer of an attempt, or tries again.
func (g *Gate) ended(now time.Time, in Ended) {
	r, ok := g.requests[in.ID]
	at := -1
	if ok {
		at = r.find(in.Attempt)
	}
	if at < 0 {
		g.out.Put(Dropped{ID: in.ID, Attempt: in.Attempt})
		return
	}
	a := r.live[at]
	r.live = slices.Delete(r.live, at, at+1)
	g.routes.Done(now, a.upstream, in.Load)
	g.judge(now, a.upstream, in)
	if in.Outcome == pb.Outcome_OUTCOME_DONE {
		r.winner = in.Attempt
		g.finish(now, r, Finish{
			ID: r.ID, Outcome: in.Outcome, Reason: in.Reason, Attempt: in.Attempt,
		})
		return
	}
	g.failed(now, r, in)
}

// judge tells the routing what an end says about its upstream.
func (g *Gate) judge(now time.Time, u *route.Upstream, in Ended) {
	if in.Outcome == pb.Outcome_OUTCOME_DONE {
		g.routes.Succeeded(now, u)
		return
	}
	switch in.Reason {
	case pb.Reason_REASON_DRAINING:
		g.routes.Drain(u)
	case pb.Reason_REASON_CONNECT_FAILED,
		pb.Reason_REASON_CONNECTION_LOST,
		pb.Reason_REASON_ENGINE_FAILED,
		pb.Reason_REASON_ENGINE_REFUSED,
		pb.Reason_REASON_TRUNCATED,
		pb.Reason_REASON_WRONG_INCARNATION:
		g.routes.Failed(now, u)
	}
}

// failed tries again or gives up after an attempt that did not succeed.
func (g *Gate) failed(now time.Time, r *request, in Ended) {
	r.cause = in.Reason
	r.retryAfter = in.RetryAfter
	r.relayed = r.relayed || in.Relayed
	r.ran = r.ran || !hasNotRun(in)
	r.resumeFrom = in.Tokens
	if len(r.live) > 0 {
		return
	}
	if !r.mayRepeat() || r.attempts >= maxAttempts(r.profile) {
		g.giveUp(now, r, r.cause, r.retryAfter)
		return
	}
	g.again(now, r)
}

// hasNotRun tells that no engine has seen an attempt. A sidecar that was sent a
// message for its earlier incarnation cannot know what that one ran. The entry
// can: it sends each attempt once, on a stream of its own, and the answer on
// this stream comes from the process that got the message.
func hasNotRun(in Ended) bool {
	return in.Outcome == pb.Outcome_OUTCOME_NOT_RUN || in.Reason == pb.Reason_REASON_WRONG_INCARNATION
}

func maxAttempts(profile *pb.Profile) uint32 {
	if profile.GetMaxAttempts() == 0 {
		return defaultAttempts
	}
	return profile.GetMaxAttempts()
}

// again sends another attempt at once to an upstream that was not tried yet, or
// later to one that was.
func (g *Gate) again(now time.Time, r *request) {
	r.winner = 0
	full := isFull(r.cause)
	u, ok := g.pick(now, r, full)
	if !ok && (full || !g.routes.Serves(now, r.Service)) {
		g.giveUp(now, r, r.cause, r.retryAfter)
		return
	}
	if !g.budget(r.Service).Take(now) {
		g.giveUp(now, r, pb.Reason_REASON_RETRY_BUDGET, budgetRetryAfter)
		return
	}
	if !ok {
		g.retries.Set(r.ID, now.Add(g.backoff(r.attempts)))
		return
	}
	g.send(now, r, u, false)
}

// isFull tells that an upstream refused because it has no room. Another is
// tried only when it has room, so that overload is not multiplied.
func isFull(reason pb.Reason) bool {
	return reason == pb.Reason_REASON_OVERLOADED || reason == pb.Reason_REASON_QUEUE_FULL
}

// backoff returns a wait between a half and the whole of the exponential one.
func (g *Gate) backoff(attempts uint32) time.Duration {
	const maxDoublings = 8
	whole := min(retryBackoff<<min(attempts-1, maxDoublings), retryBackoffMax)
	return whole/2 + time.Duration(g.random.Int64N(int64(whole/2)))
}

// retry sends the attempts whose backoff has passed.
func (g *Gate) retry(now time.Time) {
	for {
		id, ok := g.retries.PopExpired(now)
		if !ok {
			return
		}
		r := g.requests[id]
		r.tried = nil
		u, ok := g.pick(now, r, false)
		if !ok {
			g.giveUp(now, r, pb.Reason_REASON_NO_UPSTREAM, noUpstreamRetryAfter)
			continue
		}
		g.send(now, r, u, false)
	}
}

// hedge sends a second attempt for idempotent requests that have had no first
// byte in time.
func (g *Gate) hedge(now time.Time) {
	for {
		id, ok := g.hedges.PopExpired(now)
		if !ok {
			return
		}
		r := g.requests[id]
		if len(r.live) != 1 || r.winner != 0 || r.attempts >= maxAttempts(r.profile) {
			continue
		}
		u, ok := g.pick(now, r, true)
		if ok && g.budget(r.Service).Take(now) {
			g.send(now, r, u, true)
		}
	}
}

// expire gives up requests whose deadline has passed.
func (g *Gate) expire(now time.Time) {
	for {
		id, ok := g.deadlines.PopExpired(now)
		if !ok {
			return
		}
		g.giveUp(now, g.requests[id], pb.Reason_REASON_DEADLINE, 0)
	}
}

// callerGone frees what runs for a caller that no longer listens.
func (g *Gate) callerGone(now time.Time, id string) {
	r, ok := g.requests[id]
	if !ok || r.claimed {
		return
	}
	g.giveUp(now, r, pb.Reason_REASON_CANCELLED, 0)
}
