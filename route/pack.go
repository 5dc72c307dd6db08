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
	name      string
	hash      uint64
	upstreams []*Upstream
	demand    demand
}

func newService(name string) *service {
	return &service{name: name, hash: xxhash.Sum64String(name)}
}

// order compares upstreams by rendezvous hashing of the service.
func (s *service) order(a, b *Upstream) int {
	left, right := mix(s.hash^a.hash), mix(s.hash^b.hash)
	switch {
	case left < right:
		return -1
	case left > right:
		return 1
	}
	return 0
}

// demand remembers the highest number of pending requests for a while.
type demand struct {
	peak float64
	at   time.Time
}

func (d *demand) update(now time.Time, pending float64) float64 {
	age := float64(now.Sub(d.at)) / float64(demandHalfLife)
	d.peak = max(pending, d.peak*math.Exp2(-age))
	d.at = now
	return d.peak
}

// pack returns the leading upstreams that are enough for the online work when
// each is filled up to a share of its window, while
// batch work runs on any. The others are left to batch work, which harms no
// online work there and is not stopped again and again. Without batch work all
// upstreams are used.
// A fill of zero or less packs nothing.
func (s *service) pack(now time.Time, list []*Upstream, fill float64) []*Upstream {
	pending, window, hasBatch := 0.0, 0, false
	for _, u := range list {
		pending += u.pending(now)
		window += u.window()
		hasBatch = hasBatch || u.load.GetRunningBatch() > 0
	}
	wanted := s.demand.update(now, pending+1)
	if !hasBatch || fill <= 0 {
		return list
	}
	// An upstream that is not full does not learn its window, so the mean of
	// all is taken.
	each := fill * float64(window) / float64(len(list))
	room := 0.0
	for i, u := range list {
		room += each * u.share(now)
		if room >= wanted {
			return list[:i+1]
		}
	}
	return list
}
