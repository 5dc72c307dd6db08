package dispatch

import (
	"maps"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the RetryAfter of a refusal. With less,
	// a retrying caller would find the same queue; with more, slots would be idle
	// after a burst.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// defaultRetryAfter applies without recent completions. It is about the duration
	// of one stream.
	defaultRetryAfter = 600 * time.Millisecond
	// noUpstreamRetryAfter applies if the service has no ready upstream. It is close
	// to the heartbeat interval, after which an upstream may have become ready.
	noUpstreamRetryAfter = time.Second
	// retryJitter is the share of a RetryAfter that is randomized, so that callers
	// refused at the same time do not retry at the same time.
	retryJitter = 0.5
	// maxRetryShare limits RetryAfter to a share of the caller's time to deadline,
	// the longest that the platform allows.
	maxRetryShare = 1.0 / 3
	// retryMargin is the difference in time to deadline above which a caller counts
	// as retrying. A smaller one can come from a slower transmission of the request.
	// It is half of the shortest RetryAfter.
	retryMargin = minRetryAfter / 2
	// retryTick is the resolution at which expected retries are counted.
	retryTick        = 100 * time.Millisecond
	pastRetryTicks   = int64(rateWindow / retryTick)
	futureRetryTicks = int64(maxRetryAfter/retryTick) + 1
	retryRingSize    = pastRetryTicks + futureRetryTicks + 1
)

// expectedRetries counts the refused callers of a service by the tick at which
// their retry is due. It is needed in bursts that last longer than RetryAfter:
// retrying callers then find the same burst and compete with new callers.
type expectedRetries struct {
	counts [retryRingSize]int
	tick   int64
}

func (p *Pool) expectedRetriesOf(service string) *expectedRetries {
	return getOrCreate(p.expectedRetries, service)
}

func (r *expectedRetries) countAt(tick int64) *int {
	return &r.counts[(tick%retryRingSize+retryRingSize)%retryRingSize]
}

// advance clears the ticks that have entered the ring since the last call and
// returns the current tick.
func (r *expectedRetries) advance(now time.Time) int64 {
	tick := now.UnixNano() / int64(retryTick)
	for t := max(r.tick+1, tick-retryRingSize+1); t <= tick; t++ {
		*r.countAt(t + futureRetryTicks) = 0
	}
	r.tick = max(r.tick, tick)
	return r.tick
}

// add counts a caller that is due to retry after a delay.
func (r *expectedRetries) add(now time.Time, retryAfter time.Duration) {
	tick := r.advance(now)
	dueTick := now.Add(retryAfter).UnixNano() / int64(retryTick)
	*r.countAt(min(dueTick, tick+futureRetryTicks))++
}

// pending returns the number of callers whose retry is not due yet.
func (r *expectedRetries) pending(now time.Time) int {
	tick := r.advance(now)
	return r.sum(tick+1, tick+futureRetryTicks)
}

// recentlyDue returns the number of callers whose retry was due in the last
// rateWindow.
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

// isRetrying reports whether a caller was refused or failed before. Such a caller
// has less time to its deadline than callers that send their first request on the
// same route.
func (p *Pool) isRetrying(now time.Time, request SlotRequest) bool {
	if request.TimeToDeadline <= 0 {
		return false
	}
	p.expireRoutes(now)
	longest := getOrCreate(p.maxTimeToDeadline, request.Route)
	longest.record(now, int(request.TimeToDeadline.Milliseconds()))
	return request.TimeToDeadline < time.Duration(longest.highest())*time.Millisecond-retryMargin
}

// expireRoutes drops the routes without recent requests, as routes are added and
// removed while the daemon runs.
func (p *Pool) expireRoutes(now time.Time) {
	if now.Sub(p.routesExpiredAt) < peakWindow {
		return
	}
	p.routesExpiredAt = now
	maps.DeleteFunc(p.maxTimeToDeadline, func(_ string, maximum *slidingMax) bool { return maximum.expired(now) })
}

// retriesFit reports whether the retries due do not exceed the completion rate.
// If so, retrying callers are served first, as they have less time to their
// deadline. Otherwise they would take all slots, although they are already
// delayed, and new callers that could be served without delay would get none.
func (p *Pool) retriesFit(now time.Time, service string) bool {
	return float64(p.expectedRetriesOf(service).recentlyDue(now)) <= p.completionRate(now, service)
}

// retryAfter returns the RetryAfter of a refusal. During a burst, it is as long as
// the caller accepts, so that the retry comes after the burst. Otherwise, it is
// the time in which the slots not taken by new callers serve the retries due
// earlier, and at least the mean time for which a request holds its slot.
func (p *Pool) retryAfter(now time.Time, request SlotRequest, reason Reason) time.Duration {
	limit := maxRetryAfter
	if request.TimeToDeadline > 0 {
		limit = min(limit, time.Duration(maxRetryShare*float64(request.TimeToDeadline)))
	}
	if reason == NoUpstream {
		return p.withJitter(min(noUpstreamRetryAfter, limit))
	}
	stats := p.statsOf(request.Service)
	completionRate := p.completionRate(now, request.Service)
	if completionRate < 1 {
		return p.withJitter(min(defaultRetryAfter, limit))
	}
	retriesAhead := float64(p.expectedRetriesOf(request.Service).pending(now) + 1)
	spareRate := completionRate - stats.arrivals.recent(now)
	retryAfter := max(minRetryAfter, stats.meanHoldTime, time.Duration(retriesAhead/spareRate*float64(rateWindow)))
	if spareRate <= 0 || retryAfter >= limit {
		return p.withJitter(limit)
	}
	return retryAfter
}

// withJitter shortens a time by a random part of its last retryJitter share.
func (p *Pool) withJitter(retryAfter time.Duration) time.Duration {
	return retryAfter - time.Duration(p.rand.Float64()*retryJitter*float64(retryAfter))
}
