// Waiting of online requests. The load pattern is the front of a burst: all slots are taken
// within a fraction of a second, by online requests and by batch that is being preempted, and
// slots become free again at the rate at which streams end. A request that is refused there
// comes back late in any case, whereas one that waits for most of its latency objective is
// still answered in time.

package dispatch

import "time"

const (
	// maxPatience is the part of the time to its latency objective for which a request may
	// wait at most. The rest is for what lies between a slot and the caller.
	maxPatience = 0.75
	// firstEventReserve is the time kept for the first event, in mean times to it.
	firstEventReserve = 2
	// minFirstEvents is the number of recent first events that make their mean known.
	minFirstEvents = 5
)

// patience returns the time for which a request may wait for a slot: as long as its first
// event still comes in time, and at least MaxWait.
func (p *Pool) patience(now time.Time, request *SlotRequest) time.Duration {
	first, known := p.meanFirstEvent(now, request.Service)
	if request.Class != Online || request.Bound || request.TimeToObjective <= 0 || !known {
		return request.MaxWait
	}
	inTime := request.TimeToObjective - firstEventReserve*first
	longest := time.Duration(maxPatience * float64(request.TimeToObjective))
	return max(request.MaxWait, min(inTime, longest))
}

// meanFirstEvent returns the mean time between a grant and the first event at the upstreams
// of a service, if enough were observed lately.
func (p *Pool) meanFirstEvent(now time.Time, service string) (mean time.Duration, known bool) {
	speed, known := p.serviceSpeeds[service]
	if !known {
		return 0, false
	}
	speed.first.decay(now, speedMemory)
	if speed.first.expected < minFirstEvents {
		return 0, false
	}
	return time.Duration(speed.first.ratio(0, 0) * float64(time.Millisecond)), true
}
