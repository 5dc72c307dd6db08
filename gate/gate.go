package gate

import (
	"math/rand/v2"
	"time"

	"github.com/briarcross/briarcross/admit"
	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/route"
)

// Options configures a Gate.
type Options struct {
	// DataCentre is where the entry runs; upstreams there are preferred.
	DataCentre string
	// Seed makes random choices reproducible.
	Seed uint64
	// RandomRouting picks upstreams regardless of prefix affinity and load, for
	// comparisons.
	RandomRouting bool
	// DisablePacking spreads online work over all upstreams, for comparisons.
	DisablePacking bool
}

// Gate is the state machine of an entry. It implements core.Core.
type Gate struct {
	options       Options
	out           core.Outbox[Output]
	random        *rand.Rand
	selector      *route.Selector
	callerLimiter *admit.CallerLimiter
	retryBudgets  map[string]*admit.RetryBudget
	requests      map[string]*request
	// deadlines, hedges and retries hold due times by request ID.
	deadlines core.Deadlines[string]
	hedges    core.Deadlines[string]
	retries   core.Deadlines[string]
	// pendingClaims holds the claims without a response, by request ID.
	pendingClaims map[string]pendingClaim
	profiles      Profiles
	ready         bool
}

// New returns a Gate without profiles and upstreams. It refuses requests until
// it has profiles and is ready.
func New(o Options) *Gate {
	return &Gate{
		options: o,
		random:  core.NewRand(o.Seed),
		selector: route.NewSelector(route.Options{
			DataCentre:    o.DataCentre,
			Seed:          o.Seed + 1,
			RandomRouting: o.RandomRouting,
		}),
		callerLimiter: admit.NewCallerLimiter(),
		retryBudgets:  make(map[string]*admit.RetryBudget),
		requests:      make(map[string]*request),
		pendingClaims: make(map[string]pendingClaim),
	}
}

// Step handles one input.
func (g *Gate) Step(now time.Time, in Input) {
	switch in := in.(type) {
	case RequestArrived:
		g.handleArrival(now, in.Request)
	case ClaimResponse:
		g.handleClaimResponse(now, in)
	case FirstByte:
		g.handleFirstByte(now, in)
	case AttemptEnded:
		g.handleAttemptEnd(now, in)
	case CallerGone:
		g.handleCallerGone(now, in.ID)
	case MemberChanged:
		g.selector.Update(now, in.Member)
	case MemberGone:
		g.selector.Remove(in.ID)
	case ProfilesChanged:
		g.profiles = in.Profiles
	case ReadinessChanged:
		g.ready = in.Ready
	}
}

// Tick handles expired deadlines and sends the retries and hedges that are due.
func (g *Gate) Tick(now time.Time) {
	g.failExpired(now)
	g.sendDueHedges(now)
	g.sendDueRetries(now)
	g.callerLimiter.Expire(now)
}

// Drain returns the outputs since the last call.
func (g *Gate) Drain() []Output {
	return g.out.Drain()
}

// InFlight returns the number of unfinished requests.
func (g *Gate) InFlight() int { return len(g.requests) }

func (g *Gate) retryBudget(service string) *admit.RetryBudget {
	b, ok := g.retryBudgets[service]
	if !ok {
		b = &admit.RetryBudget{}
		g.retryBudgets[service] = b
	}
	return b
}

// refuse finishes a request that was not admitted.
func (g *Gate) refuse(id string, reason pb.Reason, retryAfter time.Duration) {
	g.out.Put(Finish{
		ID:         id,
		Outcome:    pb.Outcome_OUTCOME_NOT_RUN,
		Reason:     reason,
		RetryAfter: retryAfter,
	})
}

// fail finishes an admitted request that did not succeed.
func (g *Gate) fail(now time.Time, r *request, reason pb.Reason, retryAfter time.Duration) {
	g.finish(now, r, Finish{
		ID:         r.ID,
		Outcome:    r.failedOutcome(),
		Reason:     reason,
		RetryAfter: retryAfter,
		Attempt:    r.winner,
	})
}

// finish emits the outcome of a request, aborts its live attempts and deletes its
// state.
func (g *Gate) finish(now time.Time, r *request, result Finish) {
	for _, a := range r.liveAttempts {
		g.abortAttempt(now, r, a)
	}
	r.liveAttempts = nil
	g.closeClaim(r, result)
	g.callerLimiter.Release(now, r.callerKey())
	g.deadlines.Remove(r.ID)
	g.hedges.Remove(r.ID)
	g.retries.Remove(r.ID)
	delete(g.requests, r.ID)
	g.out.Put(result)
}

func (g *Gate) abortAttempt(now time.Time, r *request, a attempt) {
	g.selector.AttemptDone(now, a.upstream, nil)
	g.out.Put(Abort{ID: r.ID, Attempt: a.number})
}
