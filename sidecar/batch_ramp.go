package sidecar

import (
	"math"
	"time"
)

// rampGrowthDivisor is the part by which the limit grows each period, as a
// divisor.
const rampGrowthDivisor = 4

// batchRamp limits the number of batch streams after a preemption and raises the
// limit step by step.
type batchRamp struct {
	active      bool
	streamLimit int
	lastGrowth  time.Time
}

// restart sets the limit to the current number of batch streams.
func (r *batchRamp) restart(now time.Time, streams int) {
	r.active = true
	r.streamLimit = max(streams, 0)
	r.lastGrowth = now
}

// limit returns the number of batch streams that may run now.
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
