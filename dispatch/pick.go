package dispatch

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/fleet"
)

// tier ranks the upstreams for an ask; a lower one is better.
type tier int

const (
	// localSpare has several free slots in the data centre of the request, so
	// that a request that another daemon places there meanwhile fits too.
	localSpare tier = iota
	remoteSpare
	// localFree has its last slot free.
	localFree
	remoteFree
	// localPreempting is full, but batch there gives way to online.
	localPreempting
	remotePreempting
	// lastResort has failed lately or is silent, and is tried last.
	lastResort
	unusable
)

// spareThreshold is the number of free slots at which an upstream is likely to
// have one left in spite of what other daemons have placed there since their
// last report.
const spareThreshold = 2

// pick returns the upstream of the best tier with the most free slots, or nil.
// Among equals it takes the first in an order of this pool's own, so that
// daemons that decide at the same time spread out.
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

// bestCandidate is the best upstream that was offered.
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

// mustAvoid reports whether an ask keeps away from the upstreams that it names.
// Online requests wait for another one; batch, which would wait without end, is
// content with them if the service has no other.
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

// better orders two upstreams of one tier.
func better(a, b *upstreamState) bool {
	if a.free() != b.free() {
		return a.free() > b.free()
	}
	return a.tieBreak > b.tieBreak
}

func (p *Pool) tier(now time.Time, u *upstreamState, request SlotRequest) tier {
	local := u.DataCentre == p.options.DataCentre
	unhealthy := u.isSuspect(now) || now.Sub(u.Heard) > p.options.HeartbeatTimeout
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

// BatchPreemptions returns the number of batch grants of this pool that an upstream
// must give up for online requests, for each upstream that has to.
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
