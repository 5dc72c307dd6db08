package sidecar

import "time"

// ewma is an exponentially weighted moving average of durations.
type ewma struct {
	value time.Duration
	known bool
}

// ewmaDivisor is the reciprocal of the weight of a new sample.
const ewmaDivisor = 16

func (m *ewma) add(sample time.Duration) {
	if !m.known {
		m.value, m.known = sample, true
		return
	}
	m.value += (sample - m.value) / ewmaDivisor
}

// onlineLatencies are the mean latencies of online streams.
type onlineLatencies struct {
	// firstToken is the time from the start at the engine to the first token.
	firstToken    ewma
	betweenTokens ewma
	// runTime is the time from start to end at the engine.
	runTime ewma
}

// Parameters of the window control.
const (
	// windowAdaptPeriod is the least time between two changes of the window.
	windowAdaptPeriod = 250 * time.Millisecond
	// minWindowSamples is the least number of samples for a change. The fit of the
	// interference model needs as many.
	minWindowSamples = 32
	// probeAdaptPeriod and minProbeSamples replace windowAdaptPeriod and
	// minWindowSamples until the first sign of overload.
	probeAdaptPeriod = 50 * time.Millisecond
	minProbeSamples  = 8
	// queuedReportsToShrink is the number of consecutive engine reports with a
	// queue after which the window shrinks.
	queuedReportsToShrink = 4
	// awaitingFirstTokenDivisor is the part of the used slots whose streams may
	// wait for their first token before the window stops growing, as a divisor.
	awaitingFirstTokenDivisor = 4
	// lateShareToShrink is the share of samples beyond their targets above which
	// the window shrinks; below lateShareToGrow it may grow.
	lateShareToShrink = 0.05
	lateShareToGrow   = 0.01
	// windowGrowthDivisor is the part by which the window grows, as a divisor.
	windowGrowthDivisor = 8
	// windowShrinkDivisor is the part by which the window shrinks, as a divisor.
	windowShrinkDivisor = 10
	// firstTokenEnginePercent is the share of the first-token target that the engine
	// may use, in percent; the rest is for the queue.
	firstTokenEnginePercent = 70
	// minKVFree is the free share of the KV cache below which the window does not
	// grow and no batch item starts.
	minKVFree = 0.05
)

// concurrencyWindow controls the number of streams that the engine may run at the
// same time, so that responses meet their latency targets.
type concurrencyWindow struct {
	size    int
	minSize int
	maxSize int
	// sampleCount, lateSamples and wasFull cover the time since the last change:
	// latency samples, those beyond their target, and whether all slots were used.
	sampleCount int
	lateSamples int
	wasFull     bool
	// kvNearlyFull is set while the free share of the KV cache is below minKVFree.
	kvNearlyFull bool
	// probing is set until the first sign of overload; meanwhile the window
	// doubles with each growth.
	probing   bool
	adaptedAt time.Time
	// queuedReports counts the consecutive engine reports with a queue;
	// maxReportedRunning is the highest number of running streams in them.
	queuedReports      int
	maxReportedRunning int
}

func newWindow(o Options) concurrencyWindow {
	size := min(max(o.InitialWindow, o.MinWindow), o.MaxWindow)
	return concurrencyWindow{size: size, minSize: o.MinWindow, maxSize: o.MaxWindow, probing: true}
}

func (w *concurrencyWindow) addFirstToken(took, target time.Duration) {
	w.addSample(took, target*firstTokenEnginePercent/100)
}

func (w *concurrencyWindow) addTokenInterval(took, target time.Duration) {
	w.addSample(took, target)
}

func (w *concurrencyWindow) addSample(took, target time.Duration) {
	if target <= 0 {
		return
	}
	w.sampleCount++
	if took > target {
		w.lateSamples++
	}
}

// windowUsage is the use of the window at one time.
type windowUsage struct {
	// slots is the number of slots that are used or reserved for online work.
	slots int
	// awaitingFirstToken is the number of streams that have produced no token
	// since their start.
	awaitingFirstToken int
	// onlineQueued is set when online work waits for a slot.
	onlineQueued bool
}

// engineQueueLikely reports whether many streams wait for their first token, as
// they do when the engine itself queues requests.
func (u windowUsage) engineQueueLikely() bool {
	return u.awaitingFirstToken > max(u.slots/awaitingFirstTokenDivisor, 1)
}

// adapt grows or shrinks the window according to the latency samples of the last
// period.
func (w *concurrencyWindow) adapt(now time.Time, u windowUsage) {
	w.wasFull = w.wasFull || u.slots >= w.size || u.onlineQueued
	period, minSamples := windowAdaptPeriod, minWindowSamples
	if w.probing {
		period, minSamples = probeAdaptPeriod, minProbeSamples
	}
	if now.Sub(w.adaptedAt) < period {
		return
	}
	if w.sampleCount > 0 && w.sampleCount < minSamples {
		return
	}
	lateShare := float64(w.lateSamples) / float64(max(w.sampleCount, 1))
	switch {
	case lateShare > lateShareToShrink:
		w.size -= max(1, w.size/windowShrinkDivisor)
		w.probing = false
	case lateShare < lateShareToGrow && w.wasFull && !w.kvNearlyFull && !u.engineQueueLikely():
		w.size += w.growth()
	}
	w.size = min(max(w.size, w.minSize), w.maxSize)
	w.sampleCount, w.lateSamples, w.wasFull = 0, 0, false
	w.adaptedAt = now
}

// attainableSize returns the size that the window may soon reach: the maximum
// until the first sign of overload, because the initial size says nothing about
// the capacity of the engine.
func (w *concurrencyWindow) attainableSize() int {
	if w.probing {
		return w.maxSize
	}
	return w.size
}

func (w *concurrencyWindow) growth() int {
	if w.probing {
		return w.size
	}
	return max(1, w.size/windowGrowthDivisor)
}

// applyEngineLoad shrinks the window after several consecutive reports with a queue
// inside the engine, because the engine then runs fewer streams than the window
// allows. A short queue is normal between two steps. The reports may be late, so
// the highest number of running streams among them counts.
func (w *concurrencyWindow) applyEngineLoad(load EngineLoad) {
	w.kvNearlyFull = load.KVFree < minKVFree
	if load.Queued == 0 {
		w.queuedReports, w.maxReportedRunning = 0, 0
		return
	}
	w.queuedReports++
	w.maxReportedRunning = max(w.maxReportedRunning, load.Running)
	if w.queuedReports >= queuedReportsToShrink {
		w.size = max(min(w.size, w.maxReportedRunning), w.minSize)
		w.probing = false
	}
}
