package dispatch

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/fleet"
)

// tier ranks the upstreams for an ask; a lower one is better.
type tier int

const (
	// nearSpare has several free slots in the data centre of the request, so
	// that a request that another daemon places there meanwhile fits too.
	nearSpare tier = iota
	farSpare
	// nearFree has its last slot free.
	nearFree
	farFree
	// nearYielding is full, but batch there gives way to online.
	nearYielding
	farYielding
	// suspect has failed lately or is silent, and is tried last.
	suspect
	unusable
)

// spareSlots is the number of free slots at which an upstream is likely to
// have one left in spite of what other daemons have placed there since their
// last report.
const spareSlots = 2

// pick returns the upstream of the best tier with the most free slots, or nil.
// Among equals it takes the first in an order of this pool's own, so that
// daemons that decide at the same time spread out.
func (p *Pool) pick(now time.Time, ask SlotRequest) *upstreamState {
	if ask.Class == Batch && !ask.Urgent && p.totals(ask.Service).batch >= p.BatchCapacity(ask.Service) {
		return nil
	}
	avoiding := p.avoiding(ask)
	var best, proven candidate
	ready, failing := 0, 0
	for _, u := range p.sortedUpstreams {
		if u.Service != ask.Service || u.Phase != fleet.Ready {
			continue
		}
		ready++
		if !u.proven(now) {
			failing++
		}
		if avoiding && slices.Contains(ask.Avoid, u.ID) {
			continue
		}
		t := p.tier(now, u, ask)
		best.offer(u, t)
		if !u.shunned(now, ask.Class) {
			proven.offer(u, t)
		}
	}
	if selective(failing, ready) {
		return proven.upstream
	}
	return best.upstream
}

// candidate is the best upstream that was offered.
type candidate struct {
	upstream *upstreamState
	tier     tier
}

func (c *candidate) offer(u *upstreamState, t tier) {
	switch {
	case t == unusable || c.upstream != nil && t > c.tier:
	case c.upstream == nil || t < c.tier || better(u, c.upstream):
		c.upstream, c.tier = u, t
	}
}

// avoiding reports whether an ask keeps away from the upstreams that it names.
// Online requests wait for another one; batch, which would wait without end, is
// content with them if the service has no other.
func (p *Pool) avoiding(ask SlotRequest) bool {
	if ask.Class == Online {
		return true
	}
	for _, u := range p.sortedUpstreams {
		if u.Service == ask.Service && u.Phase == fleet.Ready && !slices.Contains(ask.Avoid, u.ID) {
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

func (p *Pool) tier(now time.Time, u *upstreamState, ask SlotRequest) tier {
	near := u.DataCentre == p.options.DataCentre
	doubtful := u.suspect(now) || now.Sub(u.Heard) > p.options.HeartbeatTimeout
	if ask.Class == Batch {
		return batchTier(u, near, doubtful, p.options.BatchReserve)
	}
	switch {
	case u.online() >= u.Slots:
		return unusable
	case doubtful:
		return suspect
	case u.free() >= spareSlots && near:
		return nearSpare
	case u.free() >= spareSlots:
		return farSpare
	case u.free() > 0 && near:
		return nearFree
	case u.free() > 0:
		return farFree
	case near:
		return nearYielding
	}
	return farYielding
}

func batchTier(u *upstreamState, near, doubtful bool, reserve int) tier {
	switch {
	case doubtful || u.free() <= reserve:
		return unusable
	case near:
		return nearFree
	}
	return farFree
}

// BatchPreemptions returns the number of batch grants of this pool that an upstream
// must give up for online requests, for each upstream that has to.
func (p *Pool) BatchPreemptions() map[string]int {
	var overload map[string]int
	for _, u := range p.sortedUpstreams {
		excess := min(-u.free(), u.ownGrants[Batch])
		if excess <= 0 || u.online() == 0 {
			continue
		}
		if overload == nil {
			overload = make(map[string]int)
		}
		overload[u.ID] = excess
	}
	return overload
}
