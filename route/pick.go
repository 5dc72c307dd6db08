package route

import (
	"math"
	"slices"
	"time"
)

// Pick chooses the upstream for an attempt. It reports false when the service
// has none that may be tried.
func (t *Selector) Pick(now time.Time, q Query) (*Upstream, bool) {
	near, all := t.candidates(now, q)
	if len(all) == 0 {
		return nil, false
	}
	if t.options.UniformRandom {
		return all[t.random.IntN(len(all))], true
	}
	tier := all
	if hasRoom(now, near) {
		tier = near
	}
	tier = t.services[q.Service].pack(now, tier, q.PackUtilization)
	u := t.choose(now, tier, q.PrefixHashes)
	if q.RequireCapacity && u.fill(now) >= roomFill {
		return nil, false
	}
	return u, true
}

// HasCandidate reports whether a service has an upstream that may be tried.
func (t *Selector) HasCandidate(now time.Time, service string) bool {
	for _, u := range t.upstreams(service) {
		if t.usable(now, u, Query{}) {
			return true
		}
	}
	return false
}

// candidates returns the upstreams that may be tried, those of the own data
// centre first. The slices are valid until the next call.
func (t *Selector) candidates(now time.Time, q Query) (near, all []*Upstream) {
	t.scratch = t.scratch[:0]
	for _, u := range t.upstreams(q.Service) {
		if t.usable(now, u, q) && t.isNear(u) {
			t.scratch = append(t.scratch, u)
		}
	}
	count := len(t.scratch)
	for _, u := range t.upstreams(q.Service) {
		if t.usable(now, u, q) && !t.isNear(u) {
			t.scratch = append(t.scratch, u)
		}
	}
	return t.scratch[:count], t.scratch
}

func (t *Selector) usable(now time.Time, u *Upstream, q Query) bool {
	return u.serves() && !u.isEjected(now) && !slices.Contains(q.Exclude, u)
}

func (t *Selector) isNear(u *Upstream) bool {
	return u.member.GetDataCentre() == t.options.DataCentre
}

func hasRoom(now time.Time, list []*Upstream) bool {
	for _, u := range list {
		if u.fill(now) < roomFill {
			return true
		}
	}
	return false
}

func (t *Selector) choose(now time.Time, list []*Upstream, prefix []uint64) *Upstream {
	if len(list) == 1 {
		return list[0]
	}
	fastest := fastest(list)
	if len(prefix) > 0 {
		if u := affine(now, list, prefix, fastest); u != nil {
			return u
		}
	}
	return t.betterOfTwo(now, list, fastest)
}

// fastest returns the least token interval that is reported, in microseconds.
func fastest(list []*Upstream) uint32 {
	least := uint32(math.MaxUint32)
	for _, u := range list {
		if between := u.load.GetBetweenTokensUs(); between > 0 {
			least = min(least, between)
		}
	}
	if least == math.MaxUint32 {
		return 0
	}
	return least
}

// affine returns the first upstream in the rendezvous order of the prefix whose
// cost is within the bound, or nil.
func affine(now time.Time, list []*Upstream, prefix []uint64, fastest uint32) *Upstream {
	key := prefix[min(len(prefix), affinityBlocks)-1]
	bound := costBound(now, list, fastest)
	var best *Upstream
	var bestScore uint64
	for _, u := range list {
		score := mix(key ^ u.hash)
		if best != nil && score <= bestScore {
			continue
		}
		if u.cost(now, fastest) > bound {
			continue
		}
		best, bestScore = u, score
	}
	return best
}

func costBound(now time.Time, list []*Upstream, fastest uint32) float64 {
	sum := 0.0
	for _, u := range list {
		sum += u.cost(now, fastest)
	}
	return max(boundFloor, boundFactor*sum/float64(len(list)))
}

// betterOfTwo returns the cheaper of two random upstreams.
func (t *Selector) betterOfTwo(now time.Time, list []*Upstream, fastest uint32) *Upstream {
	i := t.random.IntN(len(list))
	j := t.random.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	if list[j].cost(now, fastest) < list[i].cost(now, fastest) {
		return list[j]
	}
	return list[i]
}

// mix is the finalizer of a 64-bit hash; every input bit changes every output
// bit with even odds.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
