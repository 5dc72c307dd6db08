package gate

import (
	"time"

	"github.com/briarcross/briarcross/admit"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/route"
)

const (
	// noUpstreamRetryAfter is the retry delay while a service has no upstream.
	noUpstreamRetryAfter = time.Second
	// notReadyRetryAfter is the retry delay while the profiles in force are not
	// confirmed.
	notReadyRetryAfter = time.Second
	// packMaxHarmPermille is the highest harm_permille at which online work is
	// packed on few upstreams. Above it, batch work runs as well on upstreams
	// that it shares with online work.
	packMaxHarmPermille = 500
	// packUtilizationBase, packUtilizationSlope and packUtilizationMax give the
	// share of a window that packed online work fills: base + slope * harm, at
	// most max, where harm is harm_permille as a fraction.
	packUtilizationBase  = 0.03
	packUtilizationSlope = 0.7
	packUtilizationMax   = 0.2
)

// handleArrival admits a request or refuses it.
func (g *Gate) handleArrival(now time.Time, in Request) {
	if _, ok := g.requests[in.ID]; ok {
		g.out.Put(InputDropped{ID: in.ID})
		return
	}
	if !g.ready || g.profiles == nil {
		g.refuse(in.ID, pb.Reason_REASON_CONFIG_STALE, notReadyRetryAfter)
		return
	}
	_, profile, _, ok := g.profiles.ProfileOf(in.Service)
	if !ok || profile == nil {
		g.refuse(in.ID, pb.Reason_REASON_UNKNOWN_SERVICE, 0)
		return
	}
	deadline := deadlineOf(now, in, profile)
	if !deadline.IsZero() && !deadline.After(now) {
		g.refuse(in.ID, pb.Reason_REASON_DEADLINE, 0)
		return
	}
	if !g.selector.HasCandidate(now, in.Service) {
		g.refuse(in.ID, pb.Reason_REASON_NO_UPSTREAM, noUpstreamRetryAfter)
		return
	}
	r := &request{Request: in, profile: profile, deadline: deadline}
	if refusal, ok := g.callerLimiter.Admit(now, r.callerKey(), g.admissionLimits(in.Service, profile)); !ok {
		g.refuse(in.ID, refusal.Reason, refusal.RetryAfter)
		return
	}
	g.startRequest(now, r)
}

func deadlineOf(now time.Time, in Request, profile *pb.Profile) time.Time {
	if in.Deadline.IsZero() && profile.GetDueMs() > 0 {
		return now.Add(time.Duration(profile.GetDueMs()) * time.Millisecond)
	}
	return in.Deadline
}

func (g *Gate) admissionLimits(service string, profile *pb.Profile) admit.Limits {
	return admit.Limits{
		MaxInFlight:     int(profile.GetCallerInFlight()),
		MaxPerSecond:    int(profile.GetCallerPerSecond()),
		ServiceCapacity: g.selector.Capacity(service),
	}
}

// startRequest stores an admitted request, then claims its idempotency key or
// sends its first attempt.
func (g *Gate) startRequest(now time.Time, r *request) {
	g.requests[r.ID] = r
	if !r.deadline.IsZero() {
		g.deadlines.Set(r.ID, r.deadline)
	}
	g.retryBudget(r.Service).Deposit(now, r.profile.GetRetryBudgetPermille())
	if !r.Idempotent && r.IdempotencyKey != "" {
		g.openClaim(r)
		return
	}
	g.sendFirstAttempt(now, r)
}

func (g *Gate) sendFirstAttempt(now time.Time, r *request) {
	u, ok := g.pickUpstream(now, r, false)
	if !ok {
		g.fail(now, r, pb.Reason_REASON_NO_UPSTREAM, noUpstreamRetryAfter)
		return
	}
	g.sendAttempt(now, r, u, false)
	if r.Idempotent && r.profile.GetHedgeAfterMs() > 0 {
		after := time.Duration(r.profile.GetHedgeAfterMs()) * time.Millisecond
		g.hedges.Set(r.ID, now.Add(after))
	}
}

// pickUpstream selects an upstream that was not tried yet.
func (g *Gate) pickUpstream(now time.Time, r *request, requireCapacity bool) (*route.Upstream, bool) {
	return g.selector.Pick(now, route.Query{
		Service:         r.Service,
		PrefixHashes:    r.PrefixHashes,
		Exclude:         r.triedUpstreams,
		PackUtilization: g.packUtilization(r.profile),
		RequireCapacity: requireCapacity,
	})
}

// packUtilization returns the share of an upstream's window that online work
// fills while batch work runs on other upstreams; zero disables packing. Online
// requests slow each other down more, the fewer upstreams they share, so the
// share depends on the harm_permille of the profile.
func (g *Gate) packUtilization(profile *pb.Profile) float64 {
	if g.options.DisablePacking || profile.GetHarmPermille() > packMaxHarmPermille {
		return 0
	}
	harm := float64(profile.GetHarmPermille()) / 1000
	return min(packUtilizationBase+packUtilizationSlope*harm, packUtilizationMax)
}

// sendAttempt starts an attempt at an upstream.
func (g *Gate) sendAttempt(now time.Time, r *request, u *route.Upstream, hedge bool) {
	r.attemptCount++
	r.liveAttempts = append(r.liveAttempts, attempt{number: r.attemptCount, upstream: u})
	r.triedUpstreams = append(r.triedUpstreams, u)
	g.selector.AttemptSent(u)
	out := Send{
		ID:          r.ID,
		Attempt:     r.attemptCount,
		Member:      u.Member(),
		Profile:     r.profile,
		ResumeFrom:  r.resumeFrom,
		RetryReason: r.failureReason,
		Hedge:       hedge,
	}
	if !r.deadline.IsZero() {
		out.TimeToDeadline = r.deadline.Sub(now)
	}
	g.out.Put(out)
}
