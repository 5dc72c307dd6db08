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

// missingSince returns when the oldest version was put in force that a daemon with a
// version lacks. It reports false if there is none since the start of this replica.
func (h *routingHistory) missingSince(version uint64) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, change := range h.versions {
		if change.version > version {
			return change.at, true
		}
	}
	return time.Time{}, false
}

// lag returns for how long a daemon with a version has lacked a later one; zero if it lacks
// none that was put in force since the start of this replica.
func (h *routingHistory) lag(version uint64, now time.Time) time.Duration {
	since, missing := h.missingSince(version)
	if !missing {
		return 0
	}
	return max(0, now.Sub(since))
}
