package dispatch

import "time"

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
	// fullPause keeps requests away from an upstream that reported a full
	// queue; a slot is usually free again after it.
	fullPause = 50 * time.Millisecond
	// firstSuspicion doubles with each further failure up to maxSuspicion.
	firstSuspicion = 250 * time.Millisecond
	maxSuspicion   = 2 * time.Second
	maxDoublings   = 3
	// rateWindow is the time over which completions are counted; shorter than
	// the bursts that it has to follow.
	rateWindow = time.Second
)

// rate counts the completions of a service in the current and the last window.
type rate struct {
	start time.Time
	now   int
	last  int
}

func (p *Pool) rate(service string) *rate {
	r, ok := p.rates[service]
	if !ok {
		r = &rate{}
		p.rates[service] = r
	}
	return r
}

func (r *rate) roll(now time.Time) {
	elapsed := now.Sub(r.start)
	switch {
	case elapsed < rateWindow:
		return
	case elapsed < 2*rateWindow:
		r.last, r.now = r.now, 0
		r.start = r.start.Add(rateWindow)
	default:
		r.last, r.now = 0, 0
		r.start = now
	}
}

func (r *rate) note(now time.Time) {
	r.roll(now)
	r.now++
}

// wait estimates the time until a number of slots become free. Without recent
// completions it is the least time, which lets the first asks wait.
func (r *rate) wait(now time.Time, slots int) time.Duration {
	r.roll(now)
	fraction := float64(now.Sub(r.start)) / float64(rateWindow)
	seen := float64(r.now) + float64(r.last)*(1-fraction)
	if seen < 1 {
		return 0
	}
	return time.Duration(float64(slots) / seen * float64(rateWindow))
}

// retryAfter estimates when a refused caller finds a free slot.
func (r *rate) retryAfter(now time.Time, slots int) time.Duration {
	if wait := r.wait(now, slots); wait > 0 {
		return wait
	}
	return unknownRetry
}
