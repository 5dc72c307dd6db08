package dispatch

import (
	"time"

	"github.com/briarcross/briarcross/fleet"
)

// peakWindow is the time for which a burst of online requests is remembered;
// it spans the pause between two bursts of the usual traffic.
const peakWindow = 10 * time.Second

// peak is the highest of the numbers noted in the current and the last window.
type peak struct {
	start time.Time
	now   int
	last  int
}

func (k *peak) note(now time.Time, number int) {
	if k.over(now) {
		k.start, k.now, k.last = now, 0, 0
	} else if now.Sub(k.start) >= peakWindow {
		k.start, k.now, k.last = k.start.Add(peakWindow), 0, k.now
	}
	k.now = max(k.now, number)
}

// over reports whether nothing was noted in the current and the last window.
func (k *peak) over(now time.Time) bool { return now.Sub(k.start) >= 2*peakWindow }

func (k *peak) highest() int { return max(k.now, k.last) }

// totals sums a service up over the upstreams that may get requests.
type totals struct {
	slots, online, batch, upstreams int
}

func (p *Pool) totals(service string) totals {
	var t totals
	for _, u := range p.order {
		if u.Service != service || u.Phase != fleet.Ready {
			continue
		}
		t.slots += u.Slots
		t.online += u.online()
		t.batch += u.batch()
		t.upstreams++
	}
	return t
}

func (p *Pool) notePeaks(now time.Time) {
	seen := make(map[string]bool, len(p.peaks))
	for _, u := range p.order {
		service := u.Service
		if seen[service] {
			continue
		}
		seen[service] = true
		p.peak(service).note(now, p.totals(service).online)
	}
}

func (p *Pool) peak(service string) *peak { return of(p.peaks, service) }

// BatchCapacity returns the number of slots of a service that batch can use and still
// leave enough for a burst like the last ones.
func (p *Pool) BatchCapacity(service string) int {
	t := p.totals(service)
	return max(0, t.slots-p.peak(service).highest()-p.options.BatchReserve*t.upstreams)
}
