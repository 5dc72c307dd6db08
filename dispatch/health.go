package dispatch

import "time"

const (
	// fullPause keeps requests away from an upstream that reported a full
	// queue; a slot is usually free again after it.
	fullPause = 50 * time.Millisecond
	// firstSuspicion doubles with each further failure up to maxSuspicion.
	firstSuspicion = 250 * time.Millisecond
	maxSuspicion   = 2 * time.Second
	maxDoublings   = 3
	// peerDelay leaves the first request after a suspicion to the daemon that
	// had it, and spans its next report.
	peerDelay = 100 * time.Millisecond
	// forgetAfter is the time after a suspicion from which its failures no longer
	// count. A daemon that sends the upstream nothing learns no better.
	forgetAfter = 5 * time.Second
	// provenFailures is the number of failures after which an upstream has to
	// serve a request before it gets several at a time.
	provenFailures = 2
	// plausibleShare is the part of a service's upstreams beyond which failures
	// are the daemon's own, or those of its network.
	plausibleShare = 0.5
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
	// failures grows by one with a failure, and halves with a success.
	failures int
	// peersSuspectUntil and peersFailures are the highest of the daemons of this
	// data centre.
	peersSuspectUntil time.Time
	peersFailures     int
}

// HealthChange is a change of what a pool thinks of an upstream.
type HealthChange struct {
	Upstream string
	// Failures that count against the upstream; zero once it is trusted again.
	Failures int
	// SuspectFor is the time for which requests are kept away.
	SuspectFor time.Duration
}

// served counts a success. It reports whether the upstream is trusted again.
func (h *health) served() bool {
	if h.failures == 0 {
		return false
	}
	h.failures /= 2
	if h.failures > 0 {
		return false
	}
	h.suspectUntil = time.Time{}
	return true
}

// failed counts a failure. Those of requests that were sent before the last
// one was noticed tell nothing new. It reports whether this one does.
func (h *health) failed(now, sent time.Time) bool {
	if sent.Before(h.suspectSince) {
		return false
	}
	h.failures = h.against(now) + 1
	h.suspectSince = now
	h.suspectUntil = now.Add(min(firstSuspicion<<min(h.failures-1, maxDoublings), maxSuspicion))
	return true
}

// judge counts how a request ended.
func (p *Pool) judge(now time.Time, u *upstreamState, g Grant, outcome Outcome) {
	changed := false
	switch outcome {
	case Served:
		changed = u.served()
	case Failed:
		changed = u.failed(now, g.GrantedAt)
	case Rejected:
		u.full(now)
	case OtherInstance, Inconclusive:
	}
	if changed {
		p.healthChanges = append(p.healthChanges, HealthChange{u.ID, u.failures, max(0, u.suspectUntil.Sub(now))})
	}
}

// HealthChanges returns what the pool came to think of upstreams since the last
// call.
func (p *Pool) HealthChanges() []HealthChange {
	judged := p.healthChanges
	p.healthChanges = nil
	return judged
}

// SuspectCount counts the upstreams that requests are kept away from.
func (p *Pool) SuspectCount(now time.Time) int {
	count := 0
	for _, u := range p.sortedUpstreams {
		if u.suspect(now) {
			count++
		}
	}
	return count
}

// opinion returns what this daemon itself has against the upstream.
func (h *health) opinion(now time.Time) (suspect time.Duration, failures int) {
	if h.failures == 0 || now.Sub(h.suspectUntil) >= forgetAfter {
		return 0, 0
	}
	return max(0, h.suspectUntil.Sub(now)), h.failures
}

// heardOf takes in what another daemon thinks of the upstream.
func (h *health) heardOf(received time.Time, load UpstreamLoad) {
	if until := received.Add(load.SuspectFor + peerDelay); load.SuspectFor > 0 && until.After(h.peersSuspectUntil) {
		h.peersSuspectUntil = until
	}
	h.peersFailures = max(h.peersFailures, load.Failures)
}

// full keeps requests away for a moment.
func (h *health) full(now time.Time) {
	if until := now.Add(fullPause); until.After(h.suspectUntil) {
		h.suspectUntil = until
	}
}

func (h *health) suspect(now time.Time) bool {
	return now.Before(h.suspectUntil) || now.Before(h.peersSuspectUntil)
}

// against returns the failures that count against the upstream.
func (h *health) against(now time.Time) int {
	_, own := h.opinion(now)
	return max(own, h.peersFailures)
}

// proven reports whether the upstream has not failed several times in a row.
func (h *health) proven(now time.Time) bool {
	return h.against(now) < provenFailures
}

// shunned reports whether an upstream that has failed several times must not get
// a request of a class now: while it is suspect it gets none, even if no other
// is free, and then one at a time until it has served one.
func (u *upstreamState) shunned(now time.Time, class Class) bool {
	return !u.proven(now) && (u.suspect(now) || u.ownGrants[class] > 0)
}

// selective reports whether upstreams of a service that fail are shunned. They
// are not while most of them fail: then none is better.
func selective(failing, ready int) bool {
	return float64(failing) <= plausibleShare*float64(ready)
}

// plausible reports whether the upstreams that a daemon suspects are few enough
// for the cause to lie with them.
func (p *Pool) plausible(loads []UpstreamLoad) bool {
	suspects := make(map[string]int)
	for _, load := range loads {
		if u, known := p.upstreams[load.Upstream]; known && load.SuspectFor > 0 {
			suspects[u.Service]++
		}
	}
	for service, count := range suspects {
		if float64(count) > plausibleShare*float64(p.totals(service).upstreams) {
			return false
		}
	}
	return true
}
