package sidecar

import (
	"time"

	"github.com/briarcross/briarcross/core"
)

// attemptHistory holds the highest attempt of each request that was accepted or
// refused, so that delayed duplicates are refused.
type attemptHistory struct {
	retention time.Duration
	// latestAttempt and expiry are keyed by request ID.
	latestAttempt map[string]uint32
	expiry        core.Deadlines[string]
}

func newAttemptHistory(retention time.Duration) attemptHistory {
	return attemptHistory{retention: retention, latestAttempt: make(map[string]uint32)}
}

func (h *attemptHistory) add(now time.Time, id AttemptID) {
	h.latestAttempt[id.RequestID] = id.Attempt
	h.expiry.Set(id.RequestID, now.Add(h.retention))
}

// seen reports whether this attempt or a later one of the request was added.
func (h *attemptHistory) seen(id AttemptID) bool {
	attempt, ok := h.latestAttempt[id.RequestID]
	return ok && attempt >= id.Attempt
}

func (h *attemptHistory) expire(now time.Time) {
	for {
		requestID, ok := h.expiry.PopExpired(now)
		if !ok {
			return
		}
		delete(h.latestAttempt, requestID)
	}
}
