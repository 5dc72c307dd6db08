package dispatch

import (
	"maps"
	"time"
)

const (
	// minRetryAfter and maxRetry bound the time for which a refused caller is asked
	// to stay away: below the first it would meet the same queue, beyond the
	// second slots would stand idle after a burst.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// defaultRetryAfter is the time to stay away while nothing has been completed
	// lately: about the time of one stream.
	defaultRetryAfter = 600 * time.Millisecond
	// noUpstreamRetryAfter is the time after which a missing upstream may be back; it
	// is near the interval of heartbeats.
	noUpstreamRetryAfter = time.Second
	// retryJitter is the part of a time to stay away over which callers that
	// are refused at the same time are spread, so that they do not return as
	// one herd.
	retryJitter = 0.5
	// maxRetryShare is the part of its time left that a caller stays away at
	// most: the platform's page on answers.
	maxRetryShare = 1.0 / 3
	// retryMargin tells a caller that has been away from one whose request was
	// underway a little longer than others; half of the least time away.
	retryMargin = minRetryAfter / 2
	// retryTick is the resolution at which expected returns are counted.
	retryTick        = 100 * time.Millisecond
	pastRetryTicks   = int64(rateWindow / retryTick)
	futureRetryTicks = int64(maxRetryAfter/retryTick) + 1
	retryRingSize    = pastRetryTicks + futureRetryTicks + 1
)

// expectedRetries counts the callers of a service that were asked to come back, by the
// tick at which they are due. The load that it answers is a burst that lasts
// longer than callers stay away: whoever expectedRetries meets the same burst, and
// competes with callers that are new.
type expectedRetries struct {
	counts [retryRingSize]int
	tick   int64
}

func (p *Pool) getExpectedRetries(service string) *expectedRetries {
	return getOrCreate(p.expectedRetries, service)
}

func (r *expectedRetries) countAt(tick int64) *int {
	return &r.counts[(tick%retryRingSize+retryRingSize)%retryRingSize]
}

// advance clears the ticks that the ring gains since the last call.
func (r *expectedRetries) advance(now time.Time) int64 {
	tick := now.UnixNano() / int64(retryTick)
	for t := max(r.tick+1, tick-retryRingSize+1); t <= tick; t++ {
		*r.countAt(t + futureRetryTicks) = 0
	}
	r.tick = max(r.tick, tick)
	return r.tick
}

// add books the return of a caller.
func (r *expectedRetries) add(now time.Time, retryAfter time.Duration) {
	tick := r.advance(now)
	dueTick := now.Add(retryAfter).UnixNano() / int64(retryTick)
	*r.countAt(min(dueTick, tick+futureRetryTicks))++
}

// pending returns the number of callers that are still away.
func (r *expectedRetries) pending(now time.Time) int {
	tick := r.advance(now)
	return r.sum(tick+1, tick+futureRetryTicks)
}

// recentlyDue returns the number of callers that were due in the last rateWindow.
func (r *expectedRetries) recentlyDue(now time.Time) int {
	tick := r.advance(now)
	return r.sum(tick-pastRetryTicks+1, tick)
}

func (r *expectedRetries) sum(from, to int64) int {
	sum := 0
	for t := from; t <= to; t++ {
		sum += *r.countAt(t)
	}
	return sum
}

// isRetrying reports whether a caller has been sent away or has failed before: it
// has less time left than callers of its kind that come for the first time.
func (p *Pool) isRetrying(now time.Time, request SlotRequest) bool {
	if request.TimeToDeadline <= 0 {
		return false
	}
	p.expireRoutes(now)
	longest := getOrCreate(p.maxTimeToDeadline, request.Route)
	longest.record(now, int(request.TimeToDeadline.Milliseconds()))
	return request.TimeToDeadline < time.Duration(longest.highest())*time.Millisecond-retryMargin
}

// expireRoutes drops the kinds that no request came for lately; routes come and
// go for as long as the daemon runs.
func (p *Pool) expireRoutes(now time.Time) {
	if now.Sub(p.routesExpiredAt) < peakWindow {
		return
	}
	p.routesExpiredAt = now
	maps.DeleteFunc(p.maxTimeToDeadline, func(_ string, maximum *slidingMax) bool { return maximum.expired(now) })
}

// retriesFit reports whether the callers that return are fewer than those that
// are served. Then they come first, as they have less time left; otherwise the
// slots would all go to callers that have been delayed already, and none to
// those that could still be served without delay.
func (p *Pool) retriesFit(now time.Time, service string) bool {
	return float64(p.getExpectedRetries(service).recentlyDue(now)) <= p.completionRate(now, service)
}

// retryAfter returns the time for which a refused caller should stay away. In
// a burst that is as long as the caller accepts, to reach beyond the burst;
// otherwise it is the time in which the slots that new callers leave serve
// those that were told to return before, and at least the time for which the
// requests that are underway hold their slots.
func (p *Pool) retryAfter(now time.Time, request SlotRequest, reason Reason) time.Duration {
	limit := maxRetryAfter
	if request.TimeToDeadline > 0 {
		limit = min(limit, time.Duration(maxRetryShare*float64(request.TimeToDeadline)))
	}
	if reason == NoUpstream {
		return p.withJitter(min(noUpstreamRetryAfter, limit))
	}
	stats := p.getServiceStats(request.Service)
	completionRate := p.completionRate(now, request.Service)
	if completionRate < 1 {
		return p.withJitter(min(defaultRetryAfter, limit))
	}
	retriesAhead := float64(p.getExpectedRetries(request.Service).pending(now) + 1)
	spareRate := completionRate - stats.arrivals.recent(now)
	retryAfter := max(minRetryAfter, stats.meanHoldTime, time.Duration(retriesAhead/spareRate*float64(rateWindow)))
	if spareRate <= 0 || retryAfter >= limit {
		return p.withJitter(limit)
	}
	return retryAfter
}

// withJitter draws a time from the last part of the one given.
func (p *Pool) withJitter(retryAfter time.Duration) time.Duration {
	return retryAfter - time.Duration(p.rand.Float64()*retryJitter*float64(retryAfter))
}
