package controlnode

import (
	"sync"
	"time"
)

// maxRoutingHistory bounds the versions of the routing table whose times are kept. A
// subscriber that lacks more counts as lacking the oldest of these.
const maxRoutingHistory = 256

// routingHistory holds the times at which this replica put the latest versions of the
// routing table in force. It is safe for concurrent use.
type routingHistory struct {
	mu       sync.Mutex
	versions []routingChange
}

// routingChange is a version of the routing table and when it was put in force.
type routingChange struct {
	version uint64
	at      time.Time
}

// record adds a version. One that is not higher than the last is no change.
func (h *routingHistory) record(version uint64, now time.Time) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.versions) > 0 && version <= h.versions[len(h.versions)-1].version {
		return false
	}
	h.versions = append(h.versions, routingChange{version, now})
	if len(h.versions) > maxRoutingHistory {
		h.versions = h.versions[1:]
	}
	return true
}

// lag returns how long a daemon with a version has lacked a later one; zero if it lacks
// none that was put in force since the start of this replica.
func (h *routingHistory) lag(version uint64, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, change := range h.versions {
		if change.version > version {
			return now.Sub(change.at)
		}
	}
	return 0
}
