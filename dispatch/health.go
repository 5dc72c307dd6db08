package dispatch

import "time"

const (
	// rejectionBackoff keeps requests away from an upstream that reported a full
	// queue; a slot is usually free again after it.
	rejectionBackoff = 50 * time.Millisecond
	// initialSuspicion doubles with each further failure up to maxSuspicion.
	initialSuspicion = 250 * time.Millisecond
	maxSuspicion     = 2 * time.Second
	maxDoublings     = 3
	// peerSuspicionExtension leaves the first request after a suspicion to the daemon that
	// had it, and spans its next report.
	peerSuspicionExtension = 100 * time.Millisecond
	// failureExpiry is the time after a suspicion from which its failures no longer
	// count. A daemon that sends the upstream nothing learns no better.
	failureExpiry = 5 * time.Second
	// failureLimit is the number of failures after which an upstream has to
	// serve a request before it gets several at a time.
	failureLimit = 2
	// maxFailingShare is the part of a service's upstreams beyond which failures
	// are the daemon's own, or those of its network.
	maxFailingShare = 0.5
)

// health judges an upstream by what became of the requests sent there. The
// pattern that it answers: upstreams that fail requests while they report to be
// ready. They end requests early, hence have the most free slots, and without
// this would be given more than the others.
type health struct {
	// suspectSince and suspectUntil bound the time in which the upstream is used
	// only when no other is left, and after several failures not at all.
	suspectSince time.Time
	suspectUntil time.Time
	// ownFailures grows by one with a failure, and halves with a success.
	ownFailures int
	// peerSuspectUntil and peersFailures are the highest of the daemons of this
	// data centre.
	peerSuspectUntil time.Time
	peerFailures     int
}

// HealthChange is a change of what a pool thinks of an upstream.
type HealthChange struct {
	Upstream string
	// Failures that count against the upstream; zero once it is trusted again.
	Failures int
	// SuspectFor is the time for which requests are kept away.
	SuspectFor time.Duration
}

// recordSuccess counts a success. It reports whether the upstream is trusted again.
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

// recordFailure counts a failure. Those of requests that were sent before the last
// one was noticed tell nothing new. It reports whether this one does.
func (h *health) recordFailure(now, sentAt time.Time) bool {
	if sentAt.Before(h.suspectSince) {
		return false
	}
	h.ownFailures = h.failures(now) + 1
	h.suspectSince = now
	h.suspectUntil = now.Add(min(initialSuspicion<<min(h.ownFailures-1, maxDoublings), maxSuspicion))
	return true
}

// recordOutcome counts how a request ended.
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

// HealthChanges returns what the pool came to think of upstreams since the last
// call.
func (p *Pool) HealthChanges() []HealthChange {
	changes := p.healthChanges
	p.healthChanges = nil
	return changes
}

// SuspectCount counts the upstreams that requests are kept away from.
func (p *Pool) SuspectCount(now time.Time) int {
	count := 0
	for _, u := range p.sortedUpstreams {
		if u.isSuspect(now) {
			count++
		}
	}
	return count
}

// ownSuspicion returns what this daemon itself has against the upstream.
func (h *health) ownSuspicion(now time.Time) (suspectFor time.Duration, failures int) {
	if h.ownFailures == 0 || now.Sub(h.suspectUntil) >= failureExpiry {
		return 0, 0
	}
	return max(0, h.suspectUntil.Sub(now)), h.ownFailures
}

// applyPeerLoad takes in what another daemon thinks of the upstream.
func (h *health) applyPeerLoad(received time.Time, load UpstreamLoad) {
	if until := received.Add(load.SuspectFor + peerSuspicionExtension); load.SuspectFor > 0 && until.After(h.peerSuspectUntil) {
		h.peerSuspectUntil = until
	}
	h.peerFailures = max(h.peerFailures, load.Failures)
}

// recordRejection keeps requests away for a moment.
func (h *health) recordRejection(now time.Time) {
	if until := now.Add(rejectionBackoff); until.After(h.suspectUntil) {
		h.suspectUntil = until
	}
}

func (h *health) isSuspect(now time.Time) bool {
	return now.Before(h.suspectUntil) || now.Before(h.peerSuspectUntil)
}

// failures returns the failures that count failures the upstream.
func (h *health) failures(now time.Time) int {
	_, own := h.ownSuspicion(now)
	return max(own, h.peerFailures)
}

// belowFailureLimit reports whether the upstream has not failed several times in a row.
func (h *health) belowFailureLimit(now time.Time) bool {
	return h.failures(now) < failureLimit
}

// ejected reports whether an upstream that has failed several times must not get
// a request of a class now: while it is suspect it gets none, even if no other
// is free, and then one at a time until it has served one.
func (u *upstreamState) ejected(now time.Time, class Class) bool {
	return !u.belowFailureLimit(now) && (u.isSuspect(now) || u.ownGrants[class] > 0)
}

// ejectFailing reports whether upstreams of a service that fail are shunned. They
// are not while most of them fail: then none is better.
func ejectFailing(failing, ready int) bool {
	return float64(failing) <= maxFailingShare*float64(ready)
}

// plausibleSuspicions reports whether the upstreams that a daemon suspects are few enough
// for the cause to lie with them.
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
