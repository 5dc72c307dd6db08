package route

import (
	"math"
	"slices"
	"time"
)

// Pick returns the upstream for an attempt, or false if the service has no
// candidate or the upstream chosen lacks the required capacity.
func (s *Selector) Pick(now time.Time, q Query) (*Upstream, bool) {
	local, all := s.candidates(now, q)
	if len(all) == 0 {
		return nil, false
	}
	if s.options.RandomRouting {
		return all[s.rng.IntN(len(all))], true
	}
	candidates := all
	if hasCapacity(now, local) {
		candidates = local
	}
	candidates = s.services[q.Service].pack(now, candidates, q.PackUtilization)
	u := s.pickFrom(now, candidates, q.PrefixHashes)
	if q.RequireCapacity && u.utilization(now) >= fullUtilization {
		return nil, false
	}
	return u, true
}

// HasCandidate reports whether a service has an upstream that Pick may return.
func (s *Selector) HasCandidate(now time.Time, service string) bool {
	for _, u := range s.upstreamsOf(service) {
		if s.isCandidate(now, u, Query{}) {
			return true
		}
	}
	return false
}

// candidates returns the upstreams that Pick may return: those in the entry's own
// data centre, and all of them. The slices are valid until the next call.
func (s *Selector) candidates(now time.Time, q Query) (local, all []*Upstream) {
	s.candidateBuffer = s.candidateBuffer[:0]
	for _, u := range s.upstreamsOf(q.Service) {
		if s.isCandidate(now, u, q) && s.isLocal(u) {
			s.candidateBuffer = append(s.candidateBuffer, u)
		}
	}
	localCount := len(s.candidateBuffer)
	for _, u := range s.upstreamsOf(q.Service) {
		if s.isCandidate(now, u, q) && !s.isLocal(u) {
			s.candidateBuffer = append(s.candidateBuffer, u)
		}
	}
	return s.candidateBuffer[:localCount], s.candidateBuffer
}

func (s *Selector) isCandidate(now time.Time, u *Upstream, q Query) bool {
	return u.isServing() && !u.isEjected(now) && !slices.Contains(q.Exclude, u)
}

func (s *Selector) isLocal(u *Upstream) bool {
	return u.member.GetDataCentre() == s.options.DataCentre
}

func hasCapacity(now time.Time, upstreams []*Upstream) bool {
	for _, u := range upstreams {
		if u.utilization(now) < fullUtilization {
			return true
		}
	}
	return false
}

func (s *Selector) pickFrom(now time.Time, candidates []*Upstream, prefix []uint64) *Upstream {
	if len(candidates) == 1 {
		return candidates[0]
	}
	minInterval := minTokenInterval(candidates)
	if len(prefix) > 0 {
		if u := pickByPrefix(now, candidates, prefix, minInterval); u != nil {
			return u
		}
	}
	return s.cheaperOfTwo(now, candidates, minInterval)
}

// minTokenInterval returns the shortest reported interval between tokens, in
// microseconds, or zero if none is known.
func minTokenInterval(upstreams []*Upstream) uint32 {
	least := uint32(math.MaxUint32)
	for _, u := range upstreams {
		if interval := u.load.GetBetweenTokensUs(); interval > 0 {
			least = min(least, interval)
		}
	}
	if least == math.MaxUint32 {
		return 0
	}
	return least
}

// pickByPrefix returns the first upstream in the prefix's rendezvous hashing order
// whose cost is within the affinity bound, or nil.
func pickByPrefix(now time.Time, candidates []*Upstream, prefix []uint64, minInterval uint32) *Upstream {
	key := prefix[min(len(prefix), affinityBlocks)-1]
	bound := affinityCostBound(now, candidates, minInterval)
	var best *Upstream
	var bestScore uint64
	for _, u := range candidates {
		score := mixBits(key ^ u.idHash)
		if best != nil && score <= bestScore {
			continue
		}
		if u.cost(now, minInterval) > bound {
			continue
		}
		best, bestScore = u, score
	}
	return best
}

// affinityCostBound returns the highest cost at which prefix affinity applies.
func affinityCostBound(now time.Time, candidates []*Upstream, minInterval uint32) float64 {
	sum := 0.0
	for _, u := range candidates {
		sum += u.cost(now, minInterval)
	}
	return max(affinityCostFloor, affinityCostFactor*sum/float64(len(candidates)))
}

// cheaperOfTwo returns the cheaper of two distinct random upstreams.
func (s *Selector) cheaperOfTwo(now time.Time, candidates []*Upstream, minInterval uint32) *Upstream {
	i := s.rng.IntN(len(candidates))
	j := s.rng.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if candidates[j].cost(now, minInterval) < candidates[i].cost(now, minInterval) {
		return candidates[j]
	}
	return candidates[i]
}

// mixBits is the 64-bit finalizer of MurmurHash3. Flipping an input bit flips each
// output bit with probability 1/2.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
