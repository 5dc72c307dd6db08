package sidecar

import (
	"math"
	"time"
)

// rampGrowthDivisor is the reciprocal share by which the ramp grows each period.
const rampGrowthDivisor = 4

// batchRamp lets batch work return step by step after a yield.
type batchRamp struct {
	active      bool
	streamLimit int
	lastGrowth  time.Time
}

// restart restarts the ramp at a number of batch streams.
func (r *batchRamp) restart(now time.Time, streams int) {
	r.active = true
	r.streamLimit = max(streams, 0)
	r.lastGrowth = now
}

// limit returns the number of batch streams that the ramp allows.
func (r *batchRamp) limit(now time.Time) int {
	if !r.active {
		return math.MaxInt
	}
	for now.Sub(r.lastGrowth) >= rampPeriod {
		r.lastGrowth = r.lastGrowth.Add(rampPeriod)
		r.streamLimit += max(1, r.streamLimit/rampGrowthDivisor)
		if r.streamLimit > DefaultMaxWindow*rampGrowthDivisor {
			r.active = false
			return math.MaxInt
		}
	}
	return r.streamLimit
}
