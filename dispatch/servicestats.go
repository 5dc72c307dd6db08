package dispatch

import "time"

const (
	// holdTimeSamples is the number of requests over which the time that one holds
	// its slot is averaged; some time of a burst's requests.
	holdTimeSamples = 16
	// rateWindow is the time over which completions are counted; shorter than
	// the bursts that it has to follow.
	rateWindow = time.Second
)

// windowCounter counts events over the current and the last window.
type windowCounter struct {
	start    time.Time
	current  int
	previous int
}

func (c *windowCounter) advance(now time.Time) {
	elapsed := now.Sub(c.start)
	switch {
	case elapsed < rateWindow:
		return
	case elapsed < 2*rateWindow:
		c.previous, c.current = c.current, 0
		c.start = c.start.Add(rateWindow)
	default:
		c.previous, c.current = 0, 0
		c.start = now
	}
}

func (c *windowCounter) add(now time.Time) {
	c.advance(now)
	c.current++
}

// recent estimates the number of events in the rateWindow up to now.
func (c *windowCounter) recent(now time.Time) float64 {
	c.advance(now)
	fraction := float64(now.Sub(c.start)) / float64(rateWindow)
	return float64(c.current) + float64(c.previous)*(1-fraction)
}

// serviceStats measures how fast online requests for a service arrive, how fast they
// are completed, and for how long one holds its slot.
type serviceStats struct {
	arrivals     windowCounter
	completions  windowCounter
	meanHoldTime time.Duration
	// inFlight counts the online grants that are held.
	inFlight int
}

func (p *Pool) getServiceStats(service string) *serviceStats {
	return getOrCreate(p.serviceStats, service)
}

func (s *serviceStats) recordArrival(now time.Time) { s.arrivals.add(now) }

func (s *serviceStats) recordCompletion(now time.Time, released Grant) {
	if released.Class != Online {
		return
	}
	s.completions.add(now)
	holdTime := now.Sub(released.GrantedAt)
	if s.meanHoldTime == 0 {
		s.meanHoldTime = holdTime
	}
	s.meanHoldTime += (holdTime - s.meanHoldTime) / holdTimeSamples
}

// completionRate returns the number of slots that become free in a rateWindow: as many
// as lately, or more if more requests are underway now.
func (p *Pool) completionRate(now time.Time, service string) float64 {
	stats := p.getServiceStats(service)
	recent := stats.completions.recent(now)
	if stats.meanHoldTime <= 0 {
		return recent
	}
	return max(recent, float64(stats.inFlight)*float64(rateWindow)/float64(stats.meanHoldTime))
}

// timeUntilFree estimates the time until a number of slots become free. While nothing
// is known it is zero, which lets the first asks wait.
func (p *Pool) timeUntilFree(now time.Time, service string, slots int) time.Duration {
	freedSlots := p.completionRate(now, service)
	if freedSlots < 1 {
		return 0
	}
	return time.Duration(float64(slots) / freedSlots * float64(rateWindow))
}
