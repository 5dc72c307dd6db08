package dispatch

import "time"

const (
	// rejectionBackoff is the time for which an upstream that rejected a request
	// because its queue was full is suspect. A slot is usually free after it.
	rejectionBackoff = 50 * time.Millisecond
	// initialSuspicion is the time for which an upstream is suspect after its
	// first failure. It doubles with each further failure, up to maxSuspicion.
	initialSuspicion = 250 * time.Millisecond
	maxSuspicion     = 2 * time.Second
	maxDoublings     = 3
	// peerSuspicionExtension prolongs the suspicion of a peer, so that the peer
	// sends the first request after it and reports the result.
	peerSuspicionExtension = 100 * time.Millisecond
	// failureExpiry is the time after the end of a suspicion at which failures
	// expire. Without it, a daemon that sends the upstream no requests would count
	// them forever.
	failureExpiry = 5 * time.Second
	// failureLimit is the number of failures at which an upstream is ejected. After
	// the suspicion it gets one request at a time until it has served one.
	failureLimit = 2
	// maxFailingShare is the share of a service's upstreams that can fail at the
	// same time. If more fail, the cause is assumed to be the daemon or its network.
	maxFailingShare = 0.5
)

// health tracks the failures of requests to an upstream. It detects upstreams
// that fail requests while their heartbeats report them ready. Such upstreams
// end requests early, have the most free slots, and would otherwise be sent more
// requests than the others.
type health struct {
	// suspectSince is the time of the latest failure that counted. Until
	// suspectUntil, the upstream is used only if no other is free, or not at all
	// once it has reached failureLimit.
	suspectSince time.Time
	suspectUntil time.Time
	// ownFailures is the failure count of this daemon. A failure sets it to one
	// more than the larger of ownFailures and peerFailures; a success halves it.
	ownFailures int
	// peerSuspectUntil and peerFailures are the maxima over the load reports of
	// the other daemons of this data centre.
	peerSuspectUntil time.Time
	peerFailures     int
}

// HealthChange reports that a failure of an upstream was counted, or that it has
// recovered.
type HealthChange struct {
	Upstream string
	// Failures is the failure count of the upstream, zero once it has recovered.
	Failures int
	// SuspectFor is the time for which the upstream remains suspect.
	SuspectFor time.Duration
}

// recordSuccess counts a success. It reports whether the upstream has recovered.
func (h *health) recordSuccess() bool {
	if h.ownFailures == 0 {
		return false
	}
	h.ownFailures /= 2
	if h.ownFailures > 0 {
		return false
	}
	h.suspectUntil = time.Time{}
	return true
}

// recordFailure counts the failure of a request, and reports whether it did. It
// ignores requests sent before the previous failure was recorded, as they were
// probably affected by the same fault.
func (h *health) recordFailure(now, sentAt time.Time) bool {
	if sentAt.Before(h.suspectSince) {
		return false
	}
	h.ownFailures = h.failures(now) + 1
	h.suspectSince = now
	h.suspectUntil = now.Add(min(initialSuspicion<<min(h.ownFailures-1, maxDoublings), maxSuspicion))
	return true
}

// recordOutcome updates the health of an upstream when a grant is released.
func (p *Pool) recordOutcome(now time.Time, state *upstreamState, grant Grant, outcome Outcome) {
	changed := false
	switch outcome {
	case Served:
		changed = state.recordSuccess()
	case Failed:
		changed = state.recordFailure(now, grant.GrantedAt)
	case Rejected:
		state.recordRejection(now)
	case OtherInstance, Inconclusive:
	}
	if changed {
		p.healthChanges = append(p.healthChanges, HealthChange{state.ID, state.ownFailures, max(0, state.suspectUntil.Sub(now))})
	}
}

// HealthChanges returns the health changes since the last call.
func (p *Pool) HealthChanges() []HealthChange {
	changes := p.healthChanges
	p.healthChanges = nil
	return changes
}

// SuspectCount returns the number of suspect upstreams.
func (p *Pool) SuspectCount(now time.Time) int {
	count := 0
	for _, u := range p.sortedUpstreams {
		if u.isSuspect(now) {
			count++
		}
	}
	return count
}

// ownSuspicion returns the remaining time of suspicion and the number of failures
// from requests of this daemon.
func (h *health) ownSuspicion(now time.Time) (suspectFor time.Duration, failures int) {
	if h.ownFailures == 0 || now.Sub(h.suspectUntil) >= failureExpiry {
		return 0, 0
	}
	return max(0, h.suspectUntil.Sub(now)), h.ownFailures
}

// applyPeerLoad merges the suspicion and failures that another daemon reported
// for the upstream.
func (h *health) applyPeerLoad(received time.Time, load UpstreamLoad) {
	if until := received.Add(load.SuspectFor + peerSuspicionExtension); load.SuspectFor > 0 && until.After(h.peerSuspectUntil) {
		h.peerSuspectUntil = until
	}
	h.peerFailures = max(h.peerFailures, load.Failures)
}

// recordRejection makes the upstream suspect for rejectionBackoff. The rejection
// does not count as a failure.
func (h *health) recordRejection(now time.Time) {
	if until := now.Add(rejectionBackoff); until.After(h.suspectUntil) {
		h.suspectUntil = until
	}
}

// hasNoFailures reports whether nothing is recorded against the upstream, so that the times
// need not be examined.
func (h *health) hasNoFailures() bool {
	return h.ownFailures == 0 && h.peerFailures == 0 && h.suspectUntil.IsZero() && h.peerSuspectUntil.IsZero()
}

func (h *health) isSuspect(now time.Time) bool {
	return now.Before(h.suspectUntil) || now.Before(h.peerSuspectUntil)
}

// failures returns the larger of this daemon's and the peers' failure counts.
func (h *health) failures(now time.Time) int {
	_, own := h.ownSuspicion(now)
	return max(own, h.peerFailures)
}

func (h *health) belowFailureLimit(now time.Time) bool {
	return h.failures(now) < failureLimit
}

// ejected reports whether an upstream at failureLimit must not get a request of a
// class now. While suspect it gets none, even if no other upstream is free;
// after that it gets one at a time until it has served one.
func (u *upstreamState) ejected(now time.Time, class Class) bool {
	return !u.belowFailureLimit(now) && (u.isSuspect(now) || u.ownGrants[class] > 0)
}

// ejectFailing reports whether the failing upstreams of a service are ejected.
// They are not if most ready upstreams fail, as the others are then no better.
func ejectFailing(failing, ready int) bool {
	return float64(failing) <= maxFailingShare*float64(ready)
}

// plausibleSuspicions reports whether a daemon suspects so few upstreams of each
// service that the upstreams, rather than the daemon or its network, are the
// likely cause.
func (p *Pool) plausibleSuspicions(loads []UpstreamLoad) bool {
	suspects := make(map[string]int)
	for _, load := range loads {
		if u, known := p.upstreams[load.Upstream]; known && load.SuspectFor > 0 {
			suspects[u.Service]++
		}
	}
	for service, count := range suspects {
		if float64(count) > maxFailingShare*float64(p.totals(service).upstreams) {
			return false
		}
	}
	return true
}
