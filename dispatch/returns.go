package dispatch

import (
	"maps"
	"time"
)

const (
	// minRetry and maxRetry bound the time for which a refused caller is asked
	// to stay away: below the first it would meet the same queue, beyond the
	// second slots would stand idle after a burst.
	minRetry = 100 * time.Millisecond
	maxRetry = 1500 * time.Millisecond
	// unknownRetry is the time to stay away while nothing has been completed
	// lately: about the time of one stream.
	unknownRetry = 600 * time.Millisecond
	// upstreamRetry is the time after which a missing upstream may be back; it
	// is near the interval of heartbeats.
	upstreamRetry = time.Second
	// retrySpread is the part of a time to stay away over which callers that
	// are refused at the same time are spread, so that they do not return as
	// one herd.
	retrySpread = 0.5
	// returnShare is the part of its time left that a caller stays away at
	// most: the platform's page on answers.
	returnShare = 1.0 / 3
	// returnMargin tells a caller that has been away from one whose request was
	// underway a little longer than others; half of the least time away.
	returnMargin = minRetry / 2
	// returnTick is the resolution at which expected returns are counted.
	returnTick = 100 * time.Millisecond
	pastTicks  = int64(rateWindow / returnTick)
	aheadTicks = int64(maxRetry/returnTick) + 1
	returnRing = pastTicks + aheadTicks + 1
)

// returns counts the callers of a service that were asked to come back, by the
// tick at which they are due. The load that it answers is a burst that lasts
// longer than callers stay away: whoever returns meets the same burst, and
// competes with callers that are new.
type returns struct {
	due  [returnRing]int
	tick int64
}

func (p *Pool) expected(service string) *returns { return getOrCreate(p.expectedRetries, service) }

func (r *returns) at(tick int64) *int {
	return &r.due[(tick%returnRing+returnRing)%returnRing]
}

// roll clears the ticks that the ring gains since the last call.
func (r *returns) roll(now time.Time) int64 {
	tick := now.UnixNano() / int64(returnTick)
	for t := max(r.tick+1, tick-returnRing+1); t <= tick; t++ {
		*r.at(t + aheadTicks) = 0
	}
	r.tick = max(r.tick, tick)
	return r.tick
}

// note books the return of a caller.
func (r *returns) note(now time.Time, after time.Duration) {
	tick := r.roll(now)
	due := now.Add(after).UnixNano() / int64(returnTick)
	*r.at(min(due, tick+aheadTicks))++
}

// outstanding returns the number of callers that are still away.
func (r *returns) outstanding(now time.Time) int {
	tick := r.roll(now)
	return r.sum(tick+1, tick+aheadTicks)
}

// arrived returns the number of callers that were due in the last rateWindow.
func (r *returns) arrived(now time.Time) int {
	tick := r.roll(now)
	return r.sum(tick-pastTicks+1, tick)
}

func (r *returns) sum(from, to int64) int {
	sum := 0
	for t := from; t <= to; t++ {
		sum += *r.at(t)
	}
	return sum
}

// returned reports whether a caller has been sent away or has failed before: it
// has less time left than callers of its kind that come for the first time.
func (p *Pool) returned(now time.Time, ask SlotRequest) bool {
	if ask.TimeLeft <= 0 {
		return false
	}
	p.forgetKinds(now)
	most := getOrCreate(p.maxTimeLeft, ask.Route)
	most.record(now, int(ask.TimeLeft.Milliseconds()))
	return ask.TimeLeft < time.Duration(most.highest())*time.Millisecond-returnMargin
}

// forgetKinds drops the kinds that no request came for lately; routes come and
// go for as long as the daemon runs.
func (p *Pool) forgetKinds(now time.Time) {
	if now.Sub(p.routesExpiredAt) < peakWindow {
		return
	}
	p.routesExpiredAt = now
	maps.DeleteFunc(p.maxTimeLeft, func(_ string, most *slidingMax) bool { return most.expired(now) })
}

// returnsFit reports whether the callers that return are fewer than those that
// are served. Then they come first, as they have less time left; otherwise the
// slots would all go to callers that have been delayed already, and none to
// those that could still be served without delay.
func (p *Pool) returnsFit(now time.Time, service string) bool {
	return float64(p.expected(service).arrived(now)) <= p.completionRate(now, service)
}

// retryAfter returns the time for which a refused caller should stay away. In
// a burst that is as long as the caller accepts, to reach beyond the burst;
// otherwise it is the time in which the slots that new callers leave serve
// those that were told to return before, and at least the time for which the
// requests that are underway hold their slots.
func (p *Pool) retryAfter(now time.Time, ask SlotRequest, reason Reason) time.Duration {
	longest := maxRetry
	if ask.TimeLeft > 0 {
		longest = min(longest, time.Duration(returnShare*float64(ask.TimeLeft)))
	}
	if reason == NoUpstream {
		return p.spread(min(upstreamRetry, longest))
	}
	r := p.getServiceStats(ask.Service)
	drained := p.completionRate(now, ask.Service)
	if drained < 1 {
		return p.spread(min(unknownRetry, longest))
	}
	ahead := float64(p.expected(ask.Service).outstanding(now) + 1)
	spare := drained - r.arrivals.recent(now)
	after := max(minRetry, r.meanHoldTime, time.Duration(ahead/spare*float64(rateWindow)))
	if spare <= 0 || after >= longest {
		return p.spread(longest)
	}
	return after
}

// spread draws a time from the last part of the one given.
func (p *Pool) spread(longest time.Duration) time.Duration {
	return longest - time.Duration(p.rand.Float64()*retrySpread*float64(longest))
}
