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
	// DataCentre of the entry, whose upstreams are preferred.
	DataCentre string
	Seed       uint64
	// RandomRoute turns affinity and load off, for comparisons.
	RandomRoute bool
	// SpreadRoute never packs online work, for comparisons.
	SpreadRoute bool
}

// Gate is the core of an entry. It implements core.Core.
type Gate struct {
	options   Options
	out       core.Outbox[Output]
	random    *rand.Rand
	routes    *route.Table
	callers   *admit.CallerLimiter
	budgets   map[string]*admit.RetryBudget
	requests  map[string]*request
	deadlines core.Deadlines[string]
	hedges    core.Deadlines[string]
	retries   core.Deadlines[string]
	// claims holds the claims that were asked for and not answered yet.
	claims   map[string]claim
	profiles Profiles
	ready    bool
}

// New returns an entry core without profiles and members. It refuses requests
// until it is ready.
func New(o Options) *Gate {
	return &Gate{
		options: o,
		random:  core.NewRand(o.Seed),
		routes: route.NewTable(route.Options{
			DataCentre: o.DataCentre,
			Seed:       o.Seed + 1,
			Random:     o.RandomRoute,
		}),
		callers:  admit.NewCallerLimiter(),
		budgets:  make(map[string]*admit.RetryBudget),
		requests: make(map[string]*request),
		claims:   make(map[string]claim),
	}
}

// Step handles one input.
func (g *Gate) Step(now time.Time, in Input) {
	switch in := in.(type) {
	case Arrive:
		g.arrive(now, in.Request)
	case ClaimAnswer:
		g.claimAnswer(now, in)
	case FirstByte:
		g.firstByte(now, in)
	case Ended:
		g.ended(now, in)
	case CallerGone:
		g.callerGone(now, in.ID)
	case MemberChanged:
		g.routes.Put(now, in.Member)
	case MemberGone:
		g.routes.Remove(in.ID)
	case Config:
		g.profiles = in.Table
	case Ready:
		g.ready = in.Ready
	}
}

// Tick runs the systems that depend on the passing of time.
func (g *Gate) Tick(now time.Time) {
	g.expire(now)
	g.hedge(now)
	g.retry(now)
	g.callers.Expire(now)
}

// Drain returns the outputs since the last call.
func (g *Gate) Drain() []Output {
	return g.out.Drain()
}

// InFlight returns the number of requests that are not finished.
func (g *Gate) InFlight() int { return len(g.requests) }

func (g *Gate) budget(service string) *admit.RetryBudget {
	b, ok := g.budgets[service]
	if !ok {
		b = &admit.RetryBudget{}
		g.budgets[service] = b
	}
	return b
}

// refuse answers a request that was not admitted.
func (g *Gate) refuse(id string, reason pb.Reason, after time.Duration) {
	g.out.Put(Finish{
		ID:         id,
		Outcome:    pb.Outcome_OUTCOME_NOT_RUN,
		Reason:     reason,
		RetryAfter: after,
	})
}

// giveUp answers an admitted request that did not succeed.
func (g *Gate) giveUp(now time.Time, r *request, reason pb.Reason, after time.Duration) {
	g.finish(now, r, Finish{
		ID:         r.ID,
		Outcome:    r.failedOutcome(),
		Reason:     reason,
		RetryAfter: after,
		Attempt:    r.winner,
	})
}

// finish answers a request, aborts what still runs for it and forgets it.
func (g *Gate) finish(now time.Time, r *request, answer Finish) {
	for _, a := range r.live {
		g.abort(now, r, a)
	}
	r.live = nil
	g.closeClaim(r, answer)
	g.callers.Release(now, r.callerKey())
	g.deadlines.Remove(r.ID)
	g.hedges.Remove(r.ID)
	g.retries.Remove(r.ID)
	delete(g.requests, r.ID)
	g.out.Put(answer)
}

func (g *Gate) abort(now time.Time, r *request, a attempt) {
	g.routes.Done(now, a.upstream, nil)
	g.out.Put(Abort{ID: r.ID, Attempt: a.number})
}
