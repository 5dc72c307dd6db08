package dispatch

import (
	"math"
	"time"
)

// RateNotice says how many requests a second one start of an upstream accepts from all
// daemons together, as it stated in an answer.
type RateNotice struct {
	Upstream    string
	StartUnixMs uint64
	// PerSecond is +Inf if the upstream states no limit.
	PerSecond float64
	// Request is the ID of the answered request; empty in a notice from a load report.
	Request string
	Source  NoticeSource
}

// RateChange reports that a pool has learned of another rate limit of an upstream.
type RateChange struct {
	RateNotice
	// Previous is the limit that was known before, +Inf if there was none.
	Previous float64
}

// rateLimit is the rate limit that a start of an upstream stated last.
type rateLimit struct {
	startUnixMs uint64
	perSecond   float64
	statedAt    time.Time
}

// RecordRate records what an upstream stated about the rate of requests that it accepts.
func (p *Pool) RecordRate(now time.Time, notice RateNotice) {
	if u, known := p.upstreams[notice.Upstream]; known && u.StartUnixMs > notice.StartUnixMs {
		return
	}
	limit := p.rateLimits[notice.Upstream]
	if limit != nil && limit.startUnixMs > notice.StartUnixMs {
		return
	}
	if limit == nil || limit.startUnixMs < notice.StartUnixMs {
		if math.IsInf(notice.PerSecond, 1) {
			delete(p.rateLimits, notice.Upstream)
			return
		}
		limit = &rateLimit{startUnixMs: notice.StartUnixMs, perSecond: math.Inf(1)}
		p.rateLimits[notice.Upstream] = limit
	}
	limit.statedAt = now
	if limit.perSecond != notice.PerSecond {
		p.rateChanges = append(p.rateChanges, RateChange{notice, limit.perSecond})
		limit.perSecond = notice.PerSecond
	}
}

// RateChanges returns the changes of rate limits since the last call.
func (p *Pool) RateChanges() []RateChange {
	changes := p.rateChanges
	p.rateChanges = nil
	return changes
}
