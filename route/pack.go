package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// demandHalfLife is the time in which the remembered demand halves.
	demandHalfLife = 20 * time.Second
)

// service lists the upstreams of one service. Every entry has them in the same
// order, so that all pack online work on the same ones.
type service struct {
	name        string
	hash        uint64
	upstreams   []*Upstream
	peakPending decayingPeak
}

func newService(name string) *service {
	return &service{name: name, hash: xxhash.Sum64String(name)}
}

// compareByHash compares upstreams by rendezvous hashing of the service.
func (s *service) compareByHash(a, b *Upstream) int {
	hashA, hashB := mixBits(s.hash^a.idHash), mixBits(s.hash^b.idHash)
	switch {
	case hashA < hashB:
		return -1
	case hashA > hashB:
		return 1
	}
	return 0
}

// decayingPeak remembers the highest number of pending requests for a while.
type decayingPeak struct {
	value     float64
	updatedAt time.Time
}

func (d *decayingPeak) update(now time.Time, pending float64) float64 {
	age := float64(now.Sub(d.updatedAt)) / float64(demandHalfLife)
	d.value = max(pending, d.value*math.Exp2(-age))
	d.updatedAt = now
	return d.value
}

// pack returns the leading upstreams that are enough for the online work when
// each is filled up to a share of its window, while
// batch work runs on any. The others are left to batch work, which harms no
// online work there and is not stopped again and again. Without batch work all
// upstreams are used.
// A fill of zero or less packs nothing.
func (s *service) pack(now time.Time, candidates []*Upstream, maxUtilization float64) []*Upstream {
	pending, window, hasBatch := 0.0, 0, false
	for _, u := range candidates {
		pending += u.pending(now)
		window += u.window()
		hasBatch = hasBatch || u.load.GetRunningBatch() > 0
	}
	demand := s.peakPending.update(now, pending+1)
	if !hasBatch || maxUtilization <= 0 {
		return candidates
	}
	// An upstream that is not full does not learn its window, so the mean of
	// all is taken.
	perUpstream := maxUtilization * float64(window) / float64(len(candidates))
	capacity := 0.0
	for i, u := range candidates {
		capacity += perUpstream * u.capacityShare(now)
		if capacity >= demand {
			return candidates[:i+1]
		}
	}
	return candidates
}
