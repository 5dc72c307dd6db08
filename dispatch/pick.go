package dispatch

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/fleet"
)

// tier ranks the upstreams for a slot request. Lower is better.
type tier int

const (
	// localSpare has at least spareThreshold free slots and is in the pool's data
	// centre. A request that another daemon sends at the same time also fits.
	localSpare tier = iota
	// remoteSpare is the same in another data centre.
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

// pick returns the upstream of the best tier with the most free slots, or nil if
// none is usable. Ties are broken by a random order that differs between pools,
// so that daemons deciding at the same time choose different upstreams.
func (p *Pool) pick(now time.Time, request SlotRequest) *upstreamState {
	if request.Class == Batch && !request.Urgent && p.totals(request.Service).batch >= p.BatchCapacity(request.Service) {
		return nil
	}
	skipAvoided := p.mustAvoid(request)
	var best, bestNotEjected bestCandidate
	ready, failing := 0, 0
	for _, u := range p.sortedUpstreams {
		if u.Service != request.Service || u.Phase != fleet.Ready {
			continue
		}
		ready++
		if !u.belowFailureLimit(now) {
			failing++
		}
		if skipAvoided && slices.Contains(request.Avoid, u.ID) {
			continue
		}
		t := p.tier(now, u, request)
		best.consider(u, t)
		if !u.ejected(now, request.Class) {
			bestNotEjected.consider(u, t)
		}
	}
	if ejectFailing(failing, ready) {
		return bestNotEjected.upstream
	}
	return best.upstream
}

// bestCandidate is the best upstream considered so far.
type bestCandidate struct {
	upstream *upstreamState
	tier     tier
}

func (c *bestCandidate) consider(u *upstreamState, t tier) {
	switch {
	case t == unusable || c.upstream != nil && t > c.tier:
	case c.upstream == nil || t < c.tier || better(u, c.upstream):
		c.upstream, c.tier = u, t
	}
}

// mustAvoid reports whether the upstreams in request.Avoid are skipped. Online
// requests always skip them. Batch uses them if the service has no other ready
// upstream, as it would otherwise wait forever.
func (p *Pool) mustAvoid(request SlotRequest) bool {
	if request.Class == Online {
		return true
	}
	for _, u := range p.sortedUpstreams {
		if u.Service == request.Service && u.Phase == fleet.Ready && !slices.Contains(request.Avoid, u.ID) {
			return true
		}
	}
	return false
}

// better reports whether a is preferred to b within a tier.
func better(a, b *upstreamState) bool {
	if a.free() != b.free() {
		return a.free() > b.free()
	}
	return a.tieBreak > b.tieBreak
}

func (p *Pool) tier(now time.Time, u *upstreamState, request SlotRequest) tier {
	local := u.DataCentre == p.options.DataCentre
	unhealthy := u.isSuspect(now) || u.Silent
	if request.Class == Batch {
		return batchTier(u, local, unhealthy, p.options.BatchReserve)
	}
	switch {
	case u.online() >= u.Slots:
		return unusable
	case unhealthy:
		return lastResort
	case u.free() >= spareThreshold && local:
		return localSpare
	case u.free() >= spareThreshold:
		return remoteSpare
	case u.free() > 0 && local:
		return localFree
	case u.free() > 0:
		return remoteFree
	case local:
		return localPreempting
	}
	return remotePreempting
}

func batchTier(u *upstreamState, local, unhealthy bool, reserve int) tier {
	switch {
	case unhealthy || u.free() <= reserve:
		return unusable
	case local:
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
