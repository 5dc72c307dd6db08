package dispatch

import "time"

const (
	// holdMemory is the number of requests over which the time that one holds
	// its slot is averaged; some time of a burst's requests.
	holdMemory = 16
	// rateWindow is the time over which completions are counted; shorter than
	// the bursts that it has to follow.
	rateWindow = time.Second
)

// counter counts events over the current and the last window.
type counter struct {
	start time.Time
	now   int
	last  int
}

func (c *counter) roll(now time.Time) {
	elapsed := now.Sub(c.start)
	switch {
	case elapsed < rateWindow:
		return
	case elapsed < 2*rateWindow:
		c.last, c.now = c.now, 0
		c.start = c.start.Add(rateWindow)
	default:
		c.last, c.now = 0, 0
		c.start = now
	}
}

func (c *counter) note(now time.Time) {
	c.roll(now)
	c.now++
}

// recent estimates the number of events in the rateWindow up to now.
func (c *counter) recent(now time.Time) float64 {
	c.roll(now)
	fraction := float64(now.Sub(c.start)) / float64(rateWindow)
	return float64(c.now) + float64(c.last)*(1-fraction)
}

// rate measures how fast online requests for a service arrive, how fast they
// are completed, and for how long one holds its slot.
type rate struct {
	arrived   counter
	completed counter
	hold      time.Duration
	// underway counts the online grants that are held.
	underway int
}

func (p *Pool) rate(service string) *rate { return of(p.rates, service) }

func (r *rate) arrive(now time.Time) { r.arrived.note(now) }

func (r *rate) complete(now time.Time, g Grant) {
	if g.Class != Online {
		return
	}
	r.completed.note(now)
	held := now.Sub(g.GrantedAt)
	if r.hold == 0 {
		r.hold = held
	}
	r.hold += (held - r.hold) / holdMemory
}

// drain returns the number of slots that become free in a rateWindow: as many
// as lately, or more if more requests are underway now.
func (p *Pool) drain(now time.Time, service string) float64 {
	r := p.rate(service)
	completed := r.completed.recent(now)
	if r.hold <= 0 {
		return completed
	}
	return max(completed, float64(r.underway)*float64(rateWindow)/float64(r.hold))
}

// freeIn estimates the time until a number of slots become free. While nothing
// is known it is zero, which lets the first asks wait.
func (p *Pool) freeIn(now time.Time, service string, slots int) time.Duration {
	drained := p.drain(now, service)
	if drained < 1 {
		return 0
	}
	return time.Duration(float64(slots) / drained * float64(rateWindow))
}
