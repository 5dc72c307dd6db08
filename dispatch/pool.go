package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/fleet"
)

// Class is the class of a request: Online if someone waits for the response, Batch
// if it is due later.
type Class int

// The classes of requests.
const (
	Online Class = iota
	Batch
	numClasses
)

// Options configures a Pool.
type Options struct {
	// Daemon is the ID of the daemon, as in its load reports.
	Daemon string
	// DataCentre is the data centre of the daemon. Its upstreams are preferred.
	DataCentre string
	// Seed must differ between daemons, so that they break ties differently.
	Seed uint64
	// BatchReserve is the number of slots that batch leaves free on each upstream
	// for online requests, but for the only one.
	BatchReserve int
	// PeerTimeout is the age at which another daemon's load report is dropped.
	PeerTimeout time.Duration
	// SummaryTimeout is the age up to which the summary of another data centre is
	// preferred to the reports of that data centre's daemons.
	SummaryTimeout time.Duration
}

// SlotRequest is a request for a slot of an upstream.
type SlotRequest struct {
	// ID is chosen by the user of the Pool and must be unique.
	ID      uint64
	Service string
	Class   Class
	// Priority orders the requests of a class. Zero is served first.
	Priority int
	// Customer is the name of the customer whose request it is; empty in a deployment
	// without customers.
	Customer string
	// Tokens is the memory of an upstream that the request may need; zero if unknown.
	Tokens int
	// Events is the number of events that a batch item is expected to have left, TimeToDue
	// the time until it should be completed. Both are zero if unknown.
	Events    int
	TimeToDue time.Duration
	// Bound is set for a stream or item that has output. Only upstreams of
	// SoftwareVersion may go on with it.
	Bound           bool
	SoftwareVersion string
	// AvoidVersions lists software versions whose upstreams must not run the request.
	AvoidVersions []string
	// Avoid lists the IDs of upstreams that have already failed the request.
	Avoid []string
	// NotBefore holds, by ID, upstreams that get the request again only from a time on.
	NotBefore map[string]time.Time
	// Urgent lets a batch item that would otherwise be late use the slots kept free
	// for the next burst of online requests.
	Urgent bool
	// LastChance lets a batch item that would otherwise be abandoned use each free slot.
	LastChance bool
	// MaxWait limits the time in the queue. Zero refuses the request unless it can
	// be granted immediately.
	MaxWait time.Duration
	// TimeToObjective is the time within which the first event should reach the caller, zero
	// if there is no such time. An online request waits for longer than MaxWait as long as
	// that can be met; see patience.
	TimeToObjective time.Duration
	// Route is the name of the route. All first requests on a route have the same
	// time to deadline.
	Route string
	// TimeToDeadline is the time until the caller's deadline, zero if there is none.
	// A caller with less than others on the same route is a retrying caller.
	TimeToDeadline time.Duration
	// RetryMaxWait replaces MaxWait for a retrying caller if it is longer and the
	// retries do not exceed the completion rate.
	RetryMaxWait time.Duration
}

// Grant assigns a slot of an upstream to a slot request, until Release.
type Grant struct {
	SlotRequestID uint64
	Service       string
	Upstream      string
	// Address is the network address of the upstream, DataCentre its data centre.
	Address    string
	DataCentre string
	// StartUnixMs is the start time of the upstream, SoftwareVersion its software
	// version.
	StartUnixMs     uint64
	SoftwareVersion string
	Class           Class
	// Tokens is the memory of the upstream that the request may need.
	Tokens    int
	GrantedAt time.Time
	// Waited is the time between the slot request and the grant.
	Waited time.Duration
	// Retrying is set if the caller was refused or failed before.
	Retrying bool
	// FreeSlots is the estimated number of free slots of the upstream after the
	// grant. If it is negative, batch has to be preempted.
	FreeSlots int
	// share is the share of the customer, nil in a deployment without customers.
	share *customerShare
}

// Refusal ends a slot request without a grant.
type Refusal struct {
	SlotRequestID uint64
	Reason        Reason
	// RetryAfter is the time after which a slot is likely to be free.
	RetryAfter time.Duration
	// Retrying is set if the caller was refused or failed before.
	Retrying bool
}

// Reason is the reason of a refusal.
type Reason string

// The reasons of refusals.
const (
	// NoUpstream means that the service has no ready upstream.
	NoUpstream Reason = "no_upstream"
	// QueueFull means that the expected wait exceeds MaxWait, or that a bound request
	// may not wait.
	QueueFull Reason = "queue_full"
	// WaitTimeout means that no slot became free within MaxWait.
	WaitTimeout Reason = "wait_over"
	// RateLimited replaces QueueFull and WaitTimeout if an upstream has a free slot, but
	// has stated a rate limit that allows no further request now.
	RateLimited Reason = "rate_limited"
	// UnfairShare means that the customer is above its share of a service that is short of
	// capacity: a request of a customer with a smaller share took the place of the request in
	// the queue, or the last free slots were left to such customers.
	UnfairShare Reason = "unfair_share"
)

// fits reports whether an upstream may run the request.
func (r *SlotRequest) fits(u *upstreamState) bool {
	return u.Service == r.Service && u.accepts() && (!r.Bound || u.SoftwareVersion == r.SoftwareVersion) &&
		(len(r.AvoidVersions) == 0 || !slices.Contains(r.AvoidVersions, u.SoftwareVersion))
}

// competesWith reports whether the request may take the slot that another one waits
// for.
func (r *SlotRequest) competesWith(other *SlotRequest) bool {
	return r.Service == other.Service && (!r.Bound || !other.Bound || r.SoftwareVersion == other.SoftwareVersion)
}

type queuedRequest struct {
	slotRequest SlotRequest
	queuedAt    time.Time
	// retrying is set if the caller was refused or failed before.
	retrying bool
	// share is the share of the customer, nil in a deployment without customers; turn is
	// the request's place in the order of shares.
	share *customerShare
	turn  turn
}

// getOrCreate returns the value for the name of a service or route, and stores a
// zero value if there is none.
func getOrCreate[K comparable, V any](values map[K]*V, name K) *V {
	value, known := values[name]
	if !known {
		value = new(V)
		values[name] = value
	}
	return value
}

// upstreamState is the pool's record of one upstream.
type upstreamState struct {
	fleet.Upstream
	// ownGrants counts the grants of this pool, peerGrants those of other daemons.
	ownGrants  [numClasses]int
	peerGrants [numClasses]int
	// ownTokens sums the tokens of the grants of this pool, peerTokens those of other
	// daemons.
	ownTokens  int
	peerTokens int
	// memoryRank is valid for memoryRankPeers, one more than the number of the latest change
	// of peers.
	memoryRank      int
	memoryRankPeers uint64
	health
	// leaving is set once the upstream has said in an answer that it leaves.
	leaving bool
	// displaced is set while another upstream is known to have the address of this one.
	displaced bool
	// local is set if the upstream is in the pool's data centre, coarse if only a summary
	// of the loads of its data centre is known.
	local  bool
	coarse bool
	// rateLimit is nil unless the upstream has stated a rate limit lately.
	rateLimit *rateLimit
	// speed is nil before the first observation.
	speed *upstreamSpeed
	// firstEvents compares its times to the first event with those of its service.
	firstEvents engineTimes
	// tieBreak is a random number. Of equal upstreams, pick takes the highest.
	tieBreak uint64
}

// accepts reports whether the upstream accepts new requests.
func (u *upstreamState) accepts() bool {
	return u.Phase == fleet.Ready && !u.leaving && !u.displaced
}

func (u *upstreamState) online() int { return u.ownGrants[Online] + u.peerGrants[Online] }

func (u *upstreamState) batch() int { return u.ownGrants[Batch] + u.peerGrants[Batch] }

func (u *upstreamState) free() int { return u.Slots - u.online() - u.batch() }

// Pool grants the slots of upstreams to requests. It is not safe for concurrent
// use.
type Pool struct {
	options   Options
	rand      *rand.Rand
	upstreams map[string]*upstreamState
	// sortedUpstreams lists the upstreams by ascending ID.
	sortedUpstreams []*upstreamState
	// atAddress holds the upstreams by their network address.
	atAddress map[string][]*upstreamState
	// peerReports is keyed by LoadReport.Peer.
	peerReports map[string]peerReport
	// peersChange is the number of the latest change of the keys of peerReports.
	peersChange uint64
	// summarized holds the data centres with a summary in peerReports, spareShare their
	// share of free slots at the latest summary.
	summarized map[string]bool
	spareShare map[string]float64
	// queue is ordered by class, priority and whether requests are bound; see before. With
	// customers, it is ordered by their shares too; see sortQueueByShares.
	queue  []queuedRequest
	shares *customerShares
	// serviceStats, onlinePeaks and expectedRetries are keyed by service.
	// onlinePeaks holds the peaks of the number of online requests in flight.
	serviceStats    map[string]*serviceStats
	onlinePeaks     map[string]*slidingMax
	expectedRetries map[string]*expectedRetries
	// maxTimeToDeadline holds the longest recent TimeToDeadline by route, in
	// milliseconds. Routes without requests were last dropped at routesExpiredAt.
	maxTimeToDeadline map[string]*slidingMax
	routesExpiredAt   time.Time
	// leaving holds the marks of upstreams that leave, by ID. A mark outlives a
	// removal of the upstream for missing heartbeats, after which it may be heard again.
	leaving map[string]leavingMark
	// rateLimits holds the rate limits that upstreams stated, by ID.
	rateLimits map[string]*rateLimit
	// serviceSpeeds is keyed by service. The speed classes of the upstreams were last
	// determined at speedsUpdatedAt.
	serviceSpeeds   map[string]*serviceSpeed
	speedsUpdatedAt time.Time
	// onlineRatePeaks holds the peaks of the online levels of rate-limited upstreams in
	// levelUnit, batchSpares what their limits leave to batch.
	onlineRatePeaks map[rateGroup]*slidingMax
	batchSpares     map[rateGroup]*batchSpare
	// tokenCapacity holds the memory of an upstream by service, if it is known.
	tokenCapacity map[string]int
	// largeClaimAt holds the time of the last large claim by service; see recordClaim.
	largeClaimAt map[string]time.Time
	// grants and refusals are returned by Drain, healthChanges by HealthChanges and
	// leavingChanges by LeavingChanges, rateChanges by RateChanges.
	grants         []Grant
	refusals       []Refusal
	healthChanges  []HealthChange
	leavingChanges []LeavingChange
	rateChanges    []RateChange
	// preemptionRequests is returned by PreemptionRequests.
	preemptionRequests []PreemptionRequest
	hedging            hedging
}

// New returns a pool without upstreams.
func New(options Options) *Pool {
	return &Pool{
		options:           options,
		shares:            newCustomerShares(),
		rand:              core.NewRand(options.Seed),
		upstreams:         make(map[string]*upstreamState),
		atAddress:         make(map[string][]*upstreamState),
		peerReports:       make(map[string]peerReport),
		summarized:        make(map[string]bool),
		spareShare:        make(map[string]float64),
		serviceStats:      make(map[string]*serviceStats),
		onlinePeaks:       make(map[string]*slidingMax),
		expectedRetries:   make(map[string]*expectedRetries),
		maxTimeToDeadline: make(map[string]*slidingMax),
		leaving:           make(map[string]leavingMark),
		rateLimits:        make(map[string]*rateLimit),
		serviceSpeeds:     make(map[string]*serviceSpeed),
		onlineRatePeaks:   make(map[rateGroup]*slidingMax),
		batchSpares:       make(map[rateGroup]*batchSpare),
		tokenCapacity:     make(map[string]int),
		largeClaimAt:      make(map[string]time.Time),
	}
}

// UpdateUpstream stores the latest heartbeat of an upstream. A restart of the
// upstream resets its health.
func (p *Pool) UpdateUpstream(u fleet.Upstream) {
	state, known := p.upstreams[u.ID]
	if !known {
		state = &upstreamState{Upstream: u, tieBreak: p.rand.Uint64()}
		p.upstreams[u.ID] = state
		index, _ := slices.BinarySearchFunc(p.sortedUpstreams, u.ID, byID)
		p.sortedUpstreams = slices.Insert(p.sortedUpstreams, index, state)
	}
	if u.StartUnixMs != state.StartUnixMs {
		state.health = health{}
		state.speed = nil
		p.forgetTokens(state)
	}
	if known && state.Address != u.Address {
		p.leaveAddress(state)
	}
	if !known || state.Address != u.Address {
		p.atAddress[u.Address] = append(p.atAddress[u.Address], state)
	}
	state.Upstream = u
	state.local, state.coarse = u.DataCentre == p.options.DataCentre, p.summarized[u.DataCentre]
	state.leaving = p.IsLeaving(u.ID, u.StartUnixMs)
	p.updateDisplaced(u.Address)
	p.bindRateLimit(u.ID)
	if !known {
		p.applyPeerReports()
	}
}

func byID(u *upstreamState, id string) int { return cmp.Compare(u.ID, id) }

// RemoveUpstream removes an upstream. Release records no outcome for its remaining
// grants.
func (p *Pool) RemoveUpstream(id string) {
	u, known := p.upstreams[id]
	if !known {
		return
	}
	if u.Phase == fleet.Gone {
		delete(p.leaving, id)
	}
	delete(p.rateLimits, id)
	delete(p.upstreams, id)
	index, _ := slices.BinarySearchFunc(p.sortedUpstreams, id, byID)
	p.sortedUpstreams = slices.Delete(p.sortedUpstreams, index, index+1)
	p.leaveAddress(u)
}

func (p *Pool) leaveAddress(u *upstreamState) {
	others := slices.DeleteFunc(p.atAddress[u.Address], func(other *upstreamState) bool { return other == u })
	p.atAddress[u.Address] = others
	if len(others) == 0 {
		delete(p.atAddress, u.Address)
	}
	p.updateDisplaced(u.Address)
}

// updateDisplaced determines which of the upstreams at an address another one has displaced.
// One whose heartbeats are missing may still run elsewhere, but what is sent to a former
// address reaches the upstream that is heard there.
func (p *Pool) updateDisplaced(address string) {
	heard := slices.ContainsFunc(p.atAddress[address], func(u *upstreamState) bool {
		return (u.Phase == fleet.Ready || u.Phase == fleet.Draining) && !u.Silent
	})
	for _, u := range p.atAddress[address] {
		u.displaced = heard && u.Silent
	}
}

// Request grants, queues or refuses a slot request. Drain returns grants and
// refusals.
func (p *Pool) Request(now time.Time, request SlotRequest) {
	if request.Tokens > 0 && len(p.tokenCapacity) > 0 {
		p.recordClaim(now, request.Service, p.slotsOf(request.Service), 1, request.Tokens)
	}
	request.MaxWait = p.patience(now, &request)
	queued := queuedRequest{slotRequest: request, queuedAt: now, retrying: p.isRetrying(now, request)}
	if queued.retrying && p.retriesFit(now, request.Service) {
		queued.slotRequest.MaxWait = max(request.MaxWait, request.RetryMaxWait)
	}
	if request.Class == Online {
		p.statsOf(request.Service).recordArrival(now)
	}
	queued.share = p.shares.record(now, &request)
	if queued.share != nil {
		p.requestByShares(now, queued)
		return
	}
	index, ahead, boundAhead := p.queuePosition(now, queued)
	if ahead == 0 && p.tryGrant(now, &queued) {
		return
	}
	p.enqueue(now, queued, index, ahead, boundAhead)
}

// queuePosition returns the index in the queue at which to insert a request, and
// the number of requests ahead of it that compete for its slots. The bound ones that
// an unbound request need not wait for are counted in boundAhead instead, by version:
// they wait for slots of their version only.
func (p *Pool) queuePosition(now time.Time, queued queuedRequest) (index, ahead int, boundAhead map[string]int) {
	index = len(p.queue)
	retriesFirst := p.retriesFit(now, queued.slotRequest.Service)
	for i, other := range p.queue {
		switch {
		case before(queued, other, retriesFirst):
			index = min(index, i)
		default:
			countAhead(&queued.slotRequest, &other.slotRequest, &ahead, &boundAhead)
		}
	}
	return index, ahead, boundAhead
}

// countAhead counts another request that is ahead of a request; see queuePosition.
func countAhead(request, other *SlotRequest, ahead *int, boundAhead *map[string]int) {
	switch {
	case !request.competesWith(other):
	case other.Bound && !request.Bound:
		if *boundAhead == nil {
			*boundAhead = make(map[string]int)
		}
		(*boundAhead)[other.SoftwareVersion]++
	default:
		*ahead++
	}
}

// before reports whether a is served before b: by class, then by priority, then
// bound requests, which few upstreams can serve, and, with retriesFirst, retrying
// callers before new ones.
func before(a, b queuedRequest, retriesFirst bool) bool {
	order := cmp.Or(cmp.Compare(a.slotRequest.Class, b.slotRequest.Class), cmp.Compare(a.slotRequest.Priority, b.slotRequest.Priority))
	switch {
	case order != 0:
		return order < 0
	case a.slotRequest.Bound != b.slotRequest.Bound:
		return a.slotRequest.Bound
	}
	return retriesFirst && a.retrying && !b.retrying
}

// enqueue inserts a request into the queue, or refuses it if it cannot wait or the
// expected wait exceeds its MaxWait. A bound request may wait for MaxWait in any case:
// the completions of this daemon say little about the few slots of one version, which
// other daemons use too, and its caller has a part of the response already.
func (p *Pool) enqueue(now time.Time, queued queuedRequest, index, ahead int, boundAhead map[string]int) {
	request := &queued.slotRequest
	if !p.hasUpstream(request) {
		p.refuse(now, queued, NoUpstream)
		return
	}
	if p.isTooLarge(request) {
		p.refusals = append(p.refusals, Refusal{SlotRequestID: request.ID, Reason: TooLarge, Retrying: queued.retrying})
		return
	}
	if request.MaxWait <= 0 || !request.Bound && p.expectedWait(now, request.Service, ahead, boundAhead) > request.MaxWait {
		p.refuse(now, queued, p.busyReason(now, &queued, QueueFull))
		return
	}
	p.queue = slices.Insert(p.queue, index, queued)
}

// hasUpstream reports whether a ready upstream with slots may run a request.
func (p *Pool) hasUpstream(request *SlotRequest) bool {
	return slices.ContainsFunc(p.sortedUpstreams, func(u *upstreamState) bool { return u.Slots > 0 && request.fits(u) })
}

// HasUpstream reports whether a service has a ready upstream with slots whose heartbeats arrive.
func (p *Pool) HasUpstream(service string) bool {
	return slices.ContainsFunc(p.sortedUpstreams, func(u *upstreamState) bool {
		return u.Service == service && u.Slots > 0 && u.accepts() && !u.Silent
	})
}

// refuseUnservable refuses the queued requests for which there is no upstream left.
func (p *Pool) refuseUnservable(now time.Time) {
	p.queue = slices.DeleteFunc(p.queue, func(queued queuedRequest) bool {
		if p.hasUpstream(&queued.slotRequest) {
			return false
		}
		p.refuse(now, queued, NoUpstream)
		return true
	})
}

func (p *Pool) refuse(now time.Time, queued queuedRequest, reason Reason) {
	retryAfter := p.retryAfter(now, queued.slotRequest, reason)
	if queued.slotRequest.Class == Online {
		p.expectedRetriesOf(queued.slotRequest.Service).add(now, retryAfter)
	}
	p.refusals = append(p.refusals, Refusal{queued.slotRequest.ID, reason, retryAfter, queued.retrying})
}

// busyReason returns the reason of a refusal although there are upstreams for the request:
// the given one, unless memory, rate limits or the shares of other customers kept free slots
// from it.
func (p *Pool) busyReason(now time.Time, queued *queuedRequest, reason Reason) Reason {
	switch {
	case p.memoryBlocked(now, &queued.slotRequest):
		return NoMemory
	case p.rateBlocked(now, &queued.slotRequest):
		return RateLimited
	case p.mustLeaveSlots(now, queued):
		return UnfairShare
	}
	return reason
}

// Cancel removes a slot request from the queue.
func (p *Pool) Cancel(id uint64) {
	p.queue = slices.DeleteFunc(p.queue, func(queued queuedRequest) bool { return queued.slotRequest.ID == id })
}

// Outcome is how a request ended at its upstream.
type Outcome int

// The outcomes of a grant.
const (
	// Served means that the upstream responded to the request.
	Served Outcome = iota
	// Inconclusive means that the end of the request says nothing about the
	// upstream, for example because the caller disconnected.
	Inconclusive
	// Rejected means that the upstream refused the request without running it.
	Rejected
	// Failed means that the upstream was unreachable, failed the request or ended
	// the response early.
	Failed
	// OtherInstance means that another instance responded at the upstream's address.
	// The upstream is then gone.
	OtherInstance
)

// HasSlot reports whether an upstream has a slot for a request.
func (p *Pool) HasSlot(now time.Time, request SlotRequest) bool {
	return p.pick(now, &request, 0) != nil
}

// Release ends a grant, records the outcome and grants queued requests.
func (p *Pool) Release(now time.Time, grant Grant, outcome Outcome) {
	grant.share.release()
	if grant.Class == Online {
		stats := p.statsOf(grant.Service)
		stats.inFlight = max(0, stats.inFlight-1)
	}
	u, known := p.upstreams[grant.Upstream]
	if !known {
		return
	}
	u.ownGrants[grant.Class] = max(0, u.ownGrants[grant.Class]-1)
	if u.StartUnixMs == grant.StartUnixMs {
		u.ownTokens = max(0, u.ownTokens-grant.Tokens)
	}
	p.recordOutcome(now, u, grant, outcome)
	switch outcome {
	case Served:
		p.statsOf(u.Service).recordCompletion(now, grant)
	case OtherInstance:
		if grant.Address == u.Address {
			u.Phase = fleet.Gone
			p.updateDisplaced(u.Address)
		}
	case Inconclusive, Rejected, Failed:
	}
	p.grantQueued(now)
}

// Tick drops expired load reports, records the online load, determines speeds, grants queued requests
// and refuses those that have waited for MaxWait. It must be called regularly.
func (p *Pool) Tick(now time.Time) {
	p.expirePeers(now)
	p.expireRateLimits(now)
	p.recordOnlinePeaks(now)
	p.updateSpeeds(now)
	p.recordOnlineRatePeaks(now)
	p.grantQueued(now)
	p.queue = slices.DeleteFunc(p.queue, func(queued queuedRequest) bool {
		if now.Sub(queued.queuedAt) < queued.slotRequest.MaxWait {
			return false
		}
		p.refuse(now, queued, p.busyReason(now, &queued, WaitTimeout))
		return true
	})
}

// grantQueued grants queued requests in order, as far as slots are free.
func (p *Pool) grantQueued(now time.Time) {
	if p.shares.named && len(p.queue) > 1 {
		p.sortQueueByShares(now)
	}
	remaining := p.queue[:0]
	for _, queued := range p.queue {
		if !p.tryGrant(now, &queued) {
			remaining = append(remaining, queued)
		}
	}
	clear(p.queue[len(remaining):])
	p.queue = remaining
}

func (p *Pool) tryGrant(now time.Time, queued *queuedRequest) bool {
	if p.mustLeaveSlots(now, queued) {
		return false
	}
	u := p.pick(now, &queued.slotRequest, now.Sub(queued.queuedAt))
	if u == nil {
		return false
	}
	p.grants = append(p.grants, p.assign(now, u, *queued))
	return true
}

// assign assigns a slot of an upstream to a request.
func (p *Pool) assign(now time.Time, u *upstreamState, queued queuedRequest) Grant {
	u.ownGrants[queued.slotRequest.Class]++
	u.ownTokens += queued.slotRequest.Tokens
	p.countRateLimited(now, u, queued.slotRequest.Class)
	p.shares.recordGrant(now, queued.slotRequest.Service, queued.share)
	if queued.slotRequest.Class == Online {
		p.statsOf(queued.slotRequest.Service).inFlight++
	}
	if queued.slotRequest.Class == Online && u.free() < 0 && u.peerGrants[Batch] > 0 {
		p.preemptionRequests = append(p.preemptionRequests, PreemptionRequest{u.ID, u.online()})
	}
	return Grant{
		SlotRequestID:   queued.slotRequest.ID,
		Service:         queued.slotRequest.Service,
		Upstream:        u.ID,
		Address:         u.Address,
		DataCentre:      u.DataCentre,
		StartUnixMs:     u.StartUnixMs,
		SoftwareVersion: u.SoftwareVersion,
		Class:           queued.slotRequest.Class,
		Tokens:          queued.slotRequest.Tokens,
		GrantedAt:       now,
		Waited:          now.Sub(queued.queuedAt),
		Retrying:        queued.retrying,
		FreeSlots:       u.free(),
		share:           queued.share,
	}
}

// Drain returns the grants and refusals since the last call of Drain.
func (p *Pool) Drain() ([]Grant, []Refusal) {
	granted, refused := p.grants, p.refusals
	p.grants, p.refusals = nil, nil
	return granted, refused
}

// QueueLength returns the number of queued slot requests.
func (p *Pool) QueueLength() int {
	return len(p.queue)
}
