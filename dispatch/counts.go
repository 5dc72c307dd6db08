package dispatch

import (
	"time"

	"github.com/briarcross/briarcross/fleet"
)

// UpstreamCounts counts the upstreams of a pool, each by the first reason that keeps batch items
// from it.
type UpstreamCounts struct {
	// Gone upstreams have left, or another instance has answered at their address.
	Gone int
	// Leaving upstreams drain, or have said that they leave.
	Leaving int
	// Displaced upstreams lost their address to one that is heard; Silent ones miss heartbeats.
	Displaced int
	Silent    int
	Suspect   int
	// Full upstreams have no slot free beyond those that batch leaves to online requests.
	Full int
	Free int
}

// Counts counts the upstreams of the pool.
func (p *Pool) Counts(now time.Time) UpstreamCounts {
	var counts UpstreamCounts
	for _, u := range p.sortedUpstreams {
		switch {
		case u.Phase == fleet.Gone:
			counts.Gone++
		case u.Phase == fleet.Draining || u.leaving:
			counts.Leaving++
		case u.displaced:
			counts.Displaced++
		case u.Silent:
			counts.Silent++
		case u.isSuspect(now):
			counts.Suspect++
		case u.free() <= p.reserveOf(u):
			counts.Full++
		default:
			counts.Free++
		}
	}
	return counts
}
