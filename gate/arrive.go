package gate

import (
	"time"

	"github.com/briarcross/briarcross/admit"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/route"
)

const (
	// noUpstreamRetryAfter is told while a service has no upstream.
	noUpstreamRetryAfter = time.Second
	// notReadyRetryAfter is told while the profiles in force are not confirmed.
	notReadyRetryAfter = time.Second
	// packHarmPermille is the greatest harm bound for which online work is
	// packed on few upstreams. Above it batch work does as well beside it.
	packHarmPermille = 500
	// packFillBase, packFillSlope and packFillMax give the share of a window
	// that packed online work fills, from the harm bound.
	packFillBase  = 0.03
	packFillSlope = 0.7
	packFillMax   = 0.2
)

// arrive admits a request or refuses it.
func (g *Gate) arrive(now time.Time, in Request) {
	if _, ok := g.requests[in.ID]; ok {
		g.out.Put(Dropped{ID: in.ID})
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
	if !g.routes.Serves(now, in.Service) {
		g.refuse(in.ID, pb.Reason_REASON_NO_UPSTREAM, noUpstreamRetryAfter)
		return
	}
	r := &request{Request: in, profile: profile, deadline: deadline}
	if refusal, ok := g.callers.Admit(now, r.callerKey(), g.limits(in.Service, profile)); !ok {
		g.refuse(in.ID, refusal.Reason, refusal.RetryAfter)
		return
	}
	g.accept(now, r)
}

func deadlineOf(now time.Time, in Request, profile *pb.Profile) time.Time {
	if in.Deadline.IsZero() && profile.GetDueMs() > 0 {
		return now.Add(time.Duration(profile.GetDueMs()) * time.Millisecond)
	}
	return in.Deadline
}

func (g *Gate) limits(service string, profile *pb.Profile) admit.Limits {
	return admit.Limits{
		MaxInFlight:     int(profile.GetCallerInFlight()),
		MaxPerSecond:    int(profile.GetCallerPerSecond()),
		ServiceCapacity: g.routes.Capacity(service),
	}
}

// accept enters an admitted request into the table.
func (g *Gate) accept(now time.Time, r *request) {
	g.requests[r.ID] = r
	if !r.deadline.IsZero() {
		g.deadlines.Set(r.ID, r.deadline)
	}
	g.budget(r.Service).Deposit(now, r.profile.GetRetryBudgetPermille())
	if !r.Idempotent && r.Key != "" {
		g.openClaim(r)
		return
	}
	g.firstSend(now, r)
}

func (g *Gate) firstSend(now time.Time, r *request) {
	u, ok := g.pick(now, r, false)
	if !ok {
		g.giveUp(now, r, pb.Reason_REASON_NO_UPSTREAM, noUpstreamRetryAfter)
		return
	}
	g.send(now, r, u, false)
	if r.Idempotent && r.profile.GetHedgeAfterMs() > 0 {
		after := time.Duration(r.profile.GetHedgeAfterMs()) * time.Millisecond
		g.hedges.Set(r.ID, now.Add(after))
	}
}

// pick chooses an upstream that was not tried yet.
func (g *Gate) pick(now time.Time, r *request, roomOnly bool) (*route.Upstream, bool) {
	return g.routes.Pick(now, route.Query{
		Service:  r.Service,
		Prefix:   r.Prefix,
		Exclude:  r.tried,
		Pack:     g.packFill(r.profile),
		RoomOnly: roomOnly,
	})
}

// packFill returns how far upstreams are filled with online work while batch
// work runs on others. Online requests harm each other the more the fewer
// upstreams they share, so the harm bound of the profile decides.
func (g *Gate) packFill(profile *pb.Profile) float64 {
	if g.options.SpreadRoute || profile.GetHarmPermille() > packHarmPermille {
		return 0
	}
	harm := float64(profile.GetHarmPermille()) / 1000
	return min(packFillBase+packFillSlope*harm, packFillMax)
}

// send opens an attempt at an upstream.
func (g *Gate) send(now time.Time, r *request, u *route.Upstream, hedge bool) {
	r.attempts++
	r.live = append(r.live, attempt{number: r.attempts, upstream: u})
	r.tried = append(r.tried, u)
	g.routes.Sent(u)
	out := Send{
		ID:         r.ID,
		Attempt:    r.attempts,
		Member:     u.Member(),
		Profile:    r.profile,
		ResumeFrom: r.resumeFrom,
		Cause:      r.cause,
		Hedge:      hedge,
	}
	if !r.deadline.IsZero() {
		out.Remaining = r.deadline.Sub(now)
	}
	g.out.Put(out)
}
