package dispatch

import "time"

// peakWindow is the window of a slidingMax. It is longer than the usual pause
// between two bursts of online requests, so that the last burst still counts.
const peakWindow = 10 * time.Second

// slidingMax is the maximum of the values recorded in the current and the
// previous peakWindow.
type slidingMax struct {
	start    time.Time
	current  int
	previous int
}

func (m *slidingMax) record(now time.Time, value int) {
	if m.expired(now) {
		m.start, m.current, m.previous = now, 0, 0
	} else if now.Sub(m.start) >= peakWindow {
		m.start, m.current, m.previous = m.start.Add(peakWindow), 0, m.current
	}
	m.current = max(m.current, value)
}

// expired reports whether no value was recorded in the current and the previous
// window.
func (m *slidingMax) expired(now time.Time) bool { return now.Sub(m.start) >= 2*peakWindow }

func (m *slidingMax) highest() int { return max(m.current, m.previous) }

// serviceTotals sums the slots and the requests in flight over the ready
// upstreams of a service that batch may use.
type serviceTotals struct {
	slots, online, batch, upstreams int
	// reserved is the number of slots that batch leaves free.
	reserved int
}

func (p *Pool) totals(service string) serviceTotals {
	var t serviceTotals
	for _, u := range p.sortedUpstreams {
		if u.Service != service || !u.accepts() || u.Silent {
			continue
		}
		t.slots += u.Slots
		t.online += u.online()
		t.batch += u.batch()
		t.upstreams++
		t.reserved += p.reserveOf(u)
	}
	return t
}

func (p *Pool) recordOnlinePeaks(now time.Time) {
	seen := make(map[string]bool, len(p.onlinePeaks))
	for _, u := range p.sortedUpstreams {
		service := u.Service
		if seen[service] {
			continue
		}
		seen[service] = true
		p.onlinePeakOf(service).record(now, p.totals(service).online)
	}
}

func (p *Pool) onlinePeakOf(service string) *slidingMax { return getOrCreate(p.onlinePeaks, service) }

// BatchCapacity returns the number of slots of a service that batch may use while
// leaving enough for an online burst as high as the recent ones.
func (p *Pool) BatchCapacity(service string) int {
	t := p.totals(service)
	return max(0, t.slots-p.onlinePeakOf(service).highest()-t.reserved)
}
