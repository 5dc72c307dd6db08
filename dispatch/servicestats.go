package dispatch

import "time"

const (
	// holdTimeSamples is the number of requests over which meanHoldTime is averaged,
	// about as many as arrive in part of a burst.
	holdTimeSamples = 16
	// rateWindow is the window in which arrivals and completions are counted. It is
	// shorter than a burst, so that the rates follow it.
	rateWindow = time.Second
)

// windowCounter counts events in the current and the previous rateWindow.
type windowCounter struct {
	start    time.Time
	current  int
	previous int
}

// advance starts a new window if the current one has ended.
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

// serviceStats measures the arrivals and completions of online requests for a
// service, and how long they hold a slot.
type serviceStats struct {
	arrivals    windowCounter
	completions windowCounter
	// meanHoldTime is a moving average, zero until the first completion.
	meanHoldTime time.Duration
	// inFlight counts the online grants that are not released.
	inFlight int
}

func (p *Pool) statsOf(service string) *serviceStats { return getOrCreate(p.serviceStats, service) }

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

// completionRate estimates the number of slots that become free per rateWindow. It
// is the number of recent completions, or the number that follows from the
// requests in flight if that is higher.
func (p *Pool) completionRate(now time.Time, service string) float64 {
	stats := p.statsOf(service)
	recent := stats.completions.recent(now)
	if stats.meanHoldTime <= 0 {
		return recent
	}
	return max(recent, float64(stats.inFlight)*float64(rateWindow)/float64(stats.meanHoldTime))
}

// timeUntilFree estimates the time until a number of slots become free. It is zero
// without recent completions, so that the first requests are queued.
func (p *Pool) timeUntilFree(now time.Time, service string, slots int) time.Duration {
	freedSlots := p.completionRate(now, service)
	if freedSlots < 1 {
		return 0
	}
	return time.Duration(float64(slots) / freedSlots * float64(rateWindow))
}
