package sidecar

import "time"

// ewma is an exponentially weighted mean of durations.
type ewma struct {
	value time.Duration
	known bool
}

// ewmaDivisor is the reciprocal weight of a new sample.
const ewmaDivisor = 16

func (m *ewma) add(sample time.Duration) {
	if !m.known {
		m.value, m.known = sample, true
		return
	}
	m.value += (sample - m.value) / ewmaDivisor
}

// onlineLatencies are the means of online streams.
type onlineLatencies struct {
	// firstToken is counted from the start at the engine.
	firstToken    ewma
	betweenTokens ewma
	// runTime is the time for which an online stream keeps its place.
	runTime ewma
}

// The control of the window.
const (
	// windowAdaptPeriod is the least time between two changes.
	windowAdaptPeriod = 250 * time.Millisecond
	// minWindowSamples is the least number of samples for a change.
	minWindowSamples = 32
	// probeAdaptPeriod and probeSamples take their place until the first sign of
	// overload.
	probeAdaptPeriod = 50 * time.Millisecond
	minProbeSamples  = 8
	// queuedReportsToShrink is the number of reports in a row with a queue that
	// correct the window.
	queuedReportsToShrink = 4
	// awaitingFirstTokenDivisor is the share of silent streams above which the window does
	// not grow, as a reciprocal.
	awaitingFirstTokenDivisor = 4
	// lateShareToShrink and windowGood are the shares of samples beyond their targets
	// above which the window shrinks and below which it may grow.
	lateShareToShrink = 0.05
	lateShareToGrow   = 0.01
	// windowGrowthDivisor is the reciprocal share by which the window grows.
	windowGrowthDivisor = 8
	// windowShrinkDivisor is the reciprocal share by which it shrinks.
	windowShrinkDivisor = 10
	// firstTokenEnginePercent is the share of the first-token target that the engine
	// may use, in percent; the rest is for the queue.
	firstTokenEnginePercent = 70
	// minKVFree is the free share of the KV cache below which nothing more is added.
	minKVFree = 0.05
)

// concurrencyWindow is the number of streams that the engine runs while its answers meet
// their targets.
type concurrencyWindow struct {
	size         int
	minSize      int
	maxSize      int
	sampleCount  int
	lateSamples  int
	wasFull      bool
	kvNearlyFull bool
	// probing lets the window double until a first sign of overload.
	probing   bool
	adaptedAt time.Time
	// queuedReports counts the engine's reports in a row with a queue, reported
	// is the highest number of running streams in them.
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

// windowUsage is how the window is used at a time.
type windowUsage struct {
	// slots that are taken or kept free on purpose.
	slots int
	// awaitingFirstToken streams have produced no token since their start.
	awaitingFirstToken int
	// onlineQueued tells that online work waits for a place.
	onlineQueued bool
}

// engineQueueLikely tells that many streams wait for their first token, as they do when
// the engine has a queue of its own.
func (u windowUsage) engineQueueLikely() bool {
	return u.awaitingFirstToken > max(u.slots/awaitingFirstTokenDivisor, 1)
}

// adapt changes the window by the samples of the last period.
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

// attainableSize is the size that the window may soon have. An engine that has shown
// no sign of overload is not judged by the size from which the window starts.
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

// applyEngineLoad takes a report of the engine into account. A queue inside the engine
// that stays for several reports means that the window is above what the engine
// runs; a short one stands between any two steps. The reports may be late, so
// the highest of them counts.
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
