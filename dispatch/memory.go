// Memory of upstreams. The load pattern is requests with long prompts and outputs that
// together exceed the memory of an upstream, which then crashes with all that it runs, while
// it has free slots.

package dispatch

import (
	"slices"
	"time"
)

// unseenTime is the time for which requests that other daemons grant are unknown here: twice
// the age of a load report.
const unseenTime = 100 * time.Millisecond

// The reasons of refusals for memory.
const (
	// TooLarge means that the request needs more memory than any upstream has.
	TooLarge Reason = "too_large"
	// NoMemory replaces QueueFull and WaitTimeout if an upstream has a free slot, but no
	// memory for the request now.
	NoMemory Reason = "no_memory"
)

// SetTokenCapacity sets the number of tokens that one upstream of a service holds in its
// memory. Zero means that it is unknown, and that nothing is refused for it.
func (p *Pool) SetTokenCapacity(service string, tokens int) {
	if tokens <= 0 {
		delete(p.tokenCapacity, service)
	} else {
		p.tokenCapacity[service] = tokens
	}
}

// largeClaimMemory is the time for which the memory of a service's upstreams is counted after
// a large claim. It covers a long run.
const largeClaimMemory = 30 * time.Second

// recordClaim records that a number of requests claim tokens of one upstream. While no claim
// exceeds the memory of an upstream divided by its slots, the slots alone keep upstreams from
// running out of memory: it is not counted then, and load reports say nothing of it.
func (p *Pool) recordClaim(now time.Time, service string, slots, requests, tokens int) {
	capacity := p.tokenCapacity[service]
	if capacity > 0 && tokens*max(1, slots) > requests*capacity {
		p.largeClaimAt[service] = now
	}
}

// countsMemory reports whether requests of a service may exceed the memory of an upstream.
func (p *Pool) countsMemory(now time.Time, service string) bool {
	last, known := p.largeClaimAt[service]
	return known && now.Sub(last) < largeClaimMemory
}

// slotsOf returns the slots of an upstream of a service, zero if there is none.
func (p *Pool) slotsOf(service string) int {
	for _, u := range p.sortedUpstreams {
		if u.Service == service {
			return u.Slots
		}
	}
	return 0
}

// tokens returns the tokens that the requests of all daemons may hold at the upstream.
func (u *upstreamState) tokens() int { return u.ownTokens + u.peerTokens }

// hasMemory reports whether an upstream with a capacity has room for a request that has
// waited for some time. Daemons that find the same upstream with some room would fill it at
// once, before they hear of each other. Each has a rank at each upstream, and a daemon of a
// worse rank sends only if there is room for those that are likely to send before it. Batch,
// which one daemon sends, leaves room for one more request and the share of its reserved
// slots.
func (p *Pool) hasMemory(u *upstreamState, request *SlotRequest, limit memoryLimit, waited time.Duration) bool {
	capacity := limit.capacity
	free := capacity - u.tokens()
	if request.Tokens > free {
		return false
	}
	if request.Class == Batch {
		return u.tokens() == 0 || free-spareThreshold*request.Tokens >= capacity*p.options.BatchReserve/max(1, u.Slots)
	}
	room := free / max(request.Tokens, capacity/max(1, u.Slots))
	if room == 0 {
		room = 1
	}
	// Of the daemons, which have about as many requests as this one, few send at the time.
	return float64(p.memoryRank(u))*limit.unseen < float64(room)+float64(waited/rankDelay)
}

// memoryRank returns the rank of this daemon among those that send requests to an upstream.
// It stays, so that daemons agree on it without an exchange.
func (p *Pool) memoryRank(u *upstreamState) int {
	if u.memoryRankPeers == p.peersChange+1 {
		return u.memoryRank
	}
	u.memoryRank, u.memoryRankPeers = 0, p.peersChange+1
	own := rankHash(u.ID, p.options.Daemon, 0)
	for peer, report := range p.peerReports {
		if !report.Summary && rankHash(u.ID, peer, 0) < own {
			u.memoryRank++
		}
	}
	return u.memoryRank
}

// memoryLimit is the memory to which a request is held.
type memoryLimit struct {
	// capacity is zero if there is no limit or the request claims nothing.
	capacity int
	// unseen is the number of requests that arrive at one daemon within unseenTime. The
	// request itself does not count.
	unseen float64
}

func (p *Pool) memoryLimitOf(now time.Time, request *SlotRequest) memoryLimit {
	if request.Tokens <= 0 || !p.countsMemory(now, request.Service) {
		return memoryLimit{}
	}
	return memoryLimit{p.tokenCapacity[request.Service], max(0, p.statsOf(request.Service).arrivals.recent(now)-1) * unseenTime.Seconds()}
}

// freeMemory returns the free share of the memory of an upstream with a capacity.
func (u *upstreamState) freeMemory(capacity int) float64 {
	return max(0, 1-float64(u.tokens())/float64(capacity))
}

// isTooLarge reports whether a request fits no upstream, however empty.
func (p *Pool) isTooLarge(request *SlotRequest) bool {
	capacity := p.tokenCapacity[request.Service]
	return capacity > 0 && request.Tokens > capacity
}

// memoryBlocked reports whether only memory keeps some upstream from running a request.
func (p *Pool) memoryBlocked(now time.Time, request *SlotRequest) bool {
	limit := p.memoryLimitOf(now, request)
	if limit.capacity == 0 {
		return false
	}
	for _, u := range p.sortedUpstreams {
		if request.fits(u) && u.online() < u.Slots && !p.hasMemory(u, request, limit, 0) {
			return true
		}
	}
	return false
}

// forgetTokens forgets the tokens of a former start of an upstream. Its requests ended with
// it, also those of daemons that do not know that yet.
func (p *Pool) forgetTokens(u *upstreamState) {
	u.ownTokens, u.peerTokens = 0, 0
	for peer, report := range p.peerReports {
		index := slices.IndexFunc(report.Loads, func(l UpstreamLoad) bool { return l.Upstream == u.ID && l.Tokens > 0 })
		if index >= 0 {
			report.Loads = slices.Clone(report.Loads)
			report.Loads[index].Tokens = 0
			p.peerReports[peer] = report
		}
	}
}
