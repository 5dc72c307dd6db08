package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// demandHalfLife is the time in which the recorded peak demand halves.
	demandHalfLife = 20 * time.Second
)

// service holds the upstreams of one service. All entries keep them in the same
// order and therefore pack online work onto the same upstreams.
type service struct {
	name        string
	hash        uint64
	upstreams   []*Upstream
	peakPending decayingPeak
}

func newService(name string) *service {
	return &service{name: name, hash: xxhash.Sum64String(name)}
}

// compareByHash orders upstreams by their rendezvous hash for the service.
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

// decayingPeak is the highest number of pending requests seen, halved every
// demandHalfLife.
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

// pack returns the leading candidates that suffice for the peak online demand with
// each window filled up to maxUtilization. The others are left to batch work, which
// then does not interfere with online work and is not stopped repeatedly. It
// returns all candidates if none runs batch work or maxUtilization is zero or less.
func (s *service) pack(now time.Time, candidates []*Upstream, maxUtilization float64) []*Upstream {
	pending, totalWindow, hasBatch := 0.0, 0, false
	for _, u := range candidates {
		pending += u.pending(now)
		totalWindow += u.window()
		hasBatch = hasBatch || u.load.GetRunningBatch() > 0
	}
	demand := s.peakPending.update(now, pending+1)
	if !hasBatch || maxUtilization <= 0 {
		return candidates
	}
	// Use the mean window: an upstream that is not full does not learn its own.
	perUpstream := maxUtilization * float64(totalWindow) / float64(len(candidates))
	capacity := 0.0
	for i, u := range candidates {
		capacity += perUpstream * u.capacityShare(now)
		if capacity >= demand {
			return candidates[:i+1]
		}
	}
	return candidates
}
