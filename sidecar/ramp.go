package sidecar

import (
	"math"
	"time"
)

// rampGrowth is the reciprocal share by which the ramp grows each period.
const rampGrowth = 4

// ramp lets batch work return step by step after a yield.
type ramp struct {
	active bool
	base   int
	from   time.Time
}

// hold restarts the ramp at a number of batch streams.
func (r *ramp) hold(now time.Time, streams int) {
	r.active = true
	r.base = max(streams, 0)
	r.from = now
}

// limit returns the number of batch streams that the ramp allows.
func (r *ramp) limit(now time.Time) int {
	if !r.active {
		return math.MaxInt
	}
	for now.Sub(r.from) >= rampPeriod {
		r.from = r.from.Add(rampPeriod)
		r.base += max(1, r.base/rampGrowth)
		if r.base > DefaultMaxWindow*rampGrowth {
			r.active = false
			return math.MaxInt
		}
	}
	return r.base
}
