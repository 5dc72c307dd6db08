package dispatch

import (
	"slices"
	"time"
)

// tier ranks the upstreams for a slot request. Lower is better.
type tier int

const (
	// localSpare has at least spareThreshold free slots and is in the pool's data
	// centre. A request that another daemon sends at the same time also fits.
	localSpare tier = iota
	// remoteSpare is the same in another data centre, and with coarseSpareThreshold
	// free slots if only a summary of its loads is known.
	remoteSpare
	// localFree has one free slot or, for batch, more than BatchReserve.
	localFree
	remoteFree
	// localPreempting has no free slot, but runs batch that can be preempted.
	localPreempting
	remotePreempting
	// lastResort is suspect, or its heartbeats are missing.
	lastResort
	unusable
)

// spareThreshold is the number of free slots at which an upstream is likely to
// have one left, even if other daemons have sent it requests since their last
// load reports.
const spareThreshold = 2

// coarseSpareThreshold is the spareThreshold of a data centre whose loads are known
// from a summary. Many daemons place requests there before the next one.
const coarseSpareThreshold = 4

// minSpareShare is the share of free slots of a data centre known from a summary below
// which its last slots are left to its own daemons. They take them before a request
// from elsewhere arrives, which then waits there.
const minSpareShare = 0.04

// pick returns the upstream of the best tier with the most free slots, or nil if
// none is usable. Ties are broken by a random order that differs between pools,
// so that daemons deciding at the same time choose different upstreams. Upstreams
// known from a summary are drawn at random by their free slots, for the same reason:
// the one with the most free slots would be chosen by all until the next summary.
func (p *Pool) pick(now time.Time, request *SlotRequest, waited time.Duration) *upstreamState {
	if request.Class == Batch && !request.Urgent && p.totals(request.Service).batch >= p.BatchCapacity(request.Service) {
		return nil
	}
	skipAvoided := p.mustAvoid(request)
	// bestNotEjected differs from best only once an upstream is ejected.
	var best, bestNotEjected bestCandidate
	anyEjected := false
	ready, failing := 0, 0
	leavesSingleSlots := request.Class == Batch && !request.LastChance && p.mustLeaveSingleSlots(request.Service)
	memory := p.memoryLimitOf(now, request)
	uneven := p.unevenService(request.Service)
	for _, u := range p.sortedUpstreams {
		if !request.fits(u) {
			continue
		}
		ready++
		suspect, ejected := false, false
		if !u.hasNoFailures() {
			suspect, ejected = u.isSuspect(now), u.ejected(now, request.Class)
			if !u.belowFailureLimit(now) {
				failing++
			}
		}
		if len(request.Avoid) > 0 && slices.Contains(request.Avoid, u.ID) && (skipAvoided || suspect) {
			continue
		}
		if len(request.NotBefore) > 0 && now.Before(request.NotBefore[u.ID]) {
			continue
		}
		if leavesSingleSlots && u.Slots <= p.options.BatchReserve {
			continue
		}
		if memory.capacity > 0 && !p.hasMemory(u, request, memory, waited) {
			continue
		}
		room := p.rateRoom(now, u, request.Class, waited)
		if room == 0 {
			continue
		}
		free := min(u.free(), room)
		t := p.tier(u, request, suspect || u.Silent, free)
		// Of what a rate limit allows, long batch items make more than short online requests.
		c := candidate{upstream: u, tier: t, free: free, preferred: (request.Class == Batch) == u.rateLimited()}
		if t <= remotePreempting && u.coarse {
			c.weight = float64(max(1, free))
		}
		switch {
		case request.Class == Batch && uneven != nil:
			p.rankBatchBySpeed(&c, request, uneven)
		case request.Class == Online && (uneven != nil || memory.capacity > 0):
			p.weigh(now, &c, memory.capacity)
		case request.Class == Online && t < remoteFree && u.inSpell(now):
			c.tier = remoteFree
		}
		draw := 0.0
		if c.weight > 0 {
			draw = p.rand.Float64()
		}
		if ejected && !anyEjected {
			anyEjected, bestNotEjected = true, best
		}
		best.consider(&c, draw)
		if anyEjected && !ejected {
			bestNotEjected.consider(&c, draw)
		}
	}
	if anyEjected && ejectFailing(failing, ready) {
		return bestNotEjected.upstream
	}
	return best.upstream
}

// candidate is an upstream that a slot request may get.
type candidate struct {
	upstream *upstreamState
	tier     tier
	// free is the number of free slots, as far as the rate limit allows to use them.
	free int
	// preferred is set if the upstream is taken before others of its tier.
	preferred bool
	// speedRank orders upstreams that differ in speed; lower is better.
	speedRank float64
	// weight is above zero for candidates that are drawn at random, by their weights.
	weight float64
}

// bestCandidate is the best candidate considered so far.
type bestCandidate struct {
	candidate
	// drawnWeight is the sum of the weights of all candidates of the tier that are drawn at
	// random.
	drawnWeight float64
}

// consider replaces the candidate by a better one. A draw above zero, uniform up to
// one, makes it a random choice in which each candidate has a chance by its weight.
func (best *bestCandidate) consider(c *candidate, draw float64) {
	if c.tier == unusable || best.upstream != nil && c.tier > best.tier {
		return
	}
	if best.upstream == nil || c.tier < best.tier {
		best.candidate, best.drawnWeight = *c, max(1, c.weight)
		return
	}
	if draw == 0 {
		if c.better(&best.candidate) {
			best.candidate = *c
		}
		return
	}
	best.drawnWeight += c.weight
	if draw*best.drawnWeight < c.weight {
		best.candidate = *c
	}
}

// mustAvoid reports whether the upstreams in request.Avoid are skipped. Unbound
// online requests always skip them. Others use them, once they are not suspect, if no
// other upstream fits: batch would otherwise wait forever, and a stream that has begun
// would be cut.
func (p *Pool) mustAvoid(request *SlotRequest) bool {
	if request.Class == Online && !request.Bound {
		return true
	}
	for _, u := range p.sortedUpstreams {
		if request.fits(u) && !slices.Contains(request.Avoid, u.ID) {
			return true
		}
	}
	return false
}

// better reports whether a candidate is preferred to another one of its tier.
func (c *candidate) better(other *candidate) bool {
	switch {
	case c.preferred != other.preferred:
		return c.preferred
	case c.speedRank != other.speedRank:
		return c.speedRank < other.speedRank
	case c.free != other.free:
		return c.free > other.free
	}
	return c.upstream.tieBreak > other.upstream.tieBreak
}

// tier ranks an upstream of which a request may use a number of free slots. Online requests
// may also use those of batch.
func (p *Pool) tier(u *upstreamState, request *SlotRequest, unhealthy bool, free int) tier {
	if request.Class == Batch {
		return batchTier(u, unhealthy, p.batchReserve(u, request))
	}
	switch {
	case u.online() >= u.Slots:
		return unusable
	case unhealthy:
		return lastResort
	case u.rateLimited() && free > 0 && u.local:
		return localFree
	case u.rateLimited() && free > 0:
		return remoteFree
	case free >= spareThreshold && u.local:
		return localSpare
	case free >= p.remoteSpareThreshold(u):
		return remoteSpare
	case free > 0 && u.local:
		return localFree
	case !u.local && u.coarse && p.spareShare[u.DataCentre] < minSpareShare:
		return unusable
	case free > 0:
		return remoteFree
	case u.local:
		return localPreempting
	}
	return remotePreempting
}

func (p *Pool) remoteSpareThreshold(u *upstreamState) int {
	if u.coarse {
		return coarseSpareThreshold
	}
	return spareThreshold
}

// batchReserve returns the number of free slots that a batch item leaves on an upstream for
// online requests. Those that arrive preempt the item, so that it may use the only slot of an
// upstream; one that would otherwise be abandoned may use each that is free.
func (p *Pool) batchReserve(u *upstreamState, request *SlotRequest) int {
	if request.LastChance {
		return 0
	}
	return p.reserveOf(u)
}

// reserveOf returns the number of slots that batch leaves free on an upstream.
func (p *Pool) reserveOf(u *upstreamState) int {
	return min(p.options.BatchReserve, max(0, u.Slots-1))
}

// singleSlotReserveDivisor is the part of the upstreams without a slot to spare that batch
// leaves free, as a divisor.
const singleSlotReserveDivisor = 8

// mustLeaveSingleSlots reports whether batch holds as many upstreams of a service without a
// slot to spare as it may: of several, some stay free for online requests.
func (p *Pool) mustLeaveSingleSlots(service string) bool {
	upstreams, batch := 0, 0
	for _, u := range p.sortedUpstreams {
		if u.Service == service && u.accepts() && u.Slots <= p.options.BatchReserve {
			upstreams++
			batch += u.batch()
		}
	}
	return upstreams > 1 && batch >= upstreams-max(1, upstreams/singleSlotReserveDivisor)
}

func batchTier(u *upstreamState, unhealthy bool, reserve int) tier {
	switch {
	case unhealthy || u.free() <= reserve:
		return unusable
	case u.local:
		return localFree
	}
	return remoteFree
}

// BatchPreemptions returns, by upstream ID, the number of this pool's batch grants
// to preempt where online requests and batch together exceed the slots.
func (p *Pool) BatchPreemptions() map[string]int {
	var preemptions map[string]int
	for _, u := range p.sortedUpstreams {
		excess := min(-u.free(), u.ownGrants[Batch])
		if excess <= 0 || u.online() == 0 {
			continue
		}
		if preemptions == nil {
			preemptions = make(map[string]int)
		}
		preemptions[u.ID] = excess
	}
	return preemptions
}

// PreemptionRequest reports an online grant at an upstream whose slots are held by
// batch items of another daemon. Load reports tell the same, but later.
type PreemptionRequest struct {
	Upstream string
	// Online is the number of online requests in flight at the upstream.
	Online int
}

// PreemptionRequests returns the preemption requests since the last call.
func (p *Pool) PreemptionRequests() []PreemptionRequest {
	requests := p.preemptionRequests
	p.preemptionRequests = nil
	return requests
}

// RequestedPreemptions returns the number of this pool's batch grants to preempt for a
// request of another daemon. It is zero once so many have been preempted.
func (p *Pool) RequestedPreemptions(request PreemptionRequest) int {
	u, known := p.upstreams[request.Upstream]
	if !known {
		return 0
	}
	return max(0, min(request.Online+u.batch()-u.Slots, u.ownGrants[Batch]))
}
