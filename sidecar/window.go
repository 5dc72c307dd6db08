package sidecar

import "time"

// ewma is an exponentially weighted mean of durations.
type ewma struct {
	value time.Duration
	known bool
}

// ewmaWeight is the reciprocal weight of a new sample.
const ewmaWeight = 16

func (m *ewma) add(sample time.Duration) {
	if !m.known {
		m.value, m.known = sample, true
		return
	}
	m.value += (sample - m.value) / ewmaWeight
}

// latencies are the means of online streams.
type latencies struct {
	// firstToken is counted from the start at the engine.
	firstToken ewma
	between    ewma
	// hold is the time for which an online stream keeps its place.
	hold ewma
}

// The control of the window.
const (
	// windowPeriod is the least time between two changes.
	windowPeriod = 250 * time.Millisecond
	// windowSamples is the least number of samples for a change.
	windowSamples = 32
	// probePeriod and probeSamples take their place until the first sign of
	// overload.
	probePeriod  = 50 * time.Millisecond
	probeSamples = 8
	// windowReports is the number of reports in a row with a queue that
	// correct the window.
	windowReports = 4
	// crowdedDivisor is the share of silent streams above which the window does
	// not grow, as a reciprocal.
	crowdedDivisor = 4
	// windowLate and windowGood are the shares of samples beyond their targets
	// above which the window shrinks and below which it may grow.
	windowLate = 0.05
	windowGood = 0.01
	// windowGrowth is the reciprocal share by which the window grows.
	windowGrowth = 8
	// windowShrink is the reciprocal share by which it shrinks.
	windowShrink = 10
	// firstTokenShare is the share of the first-token target that the engine
	// may use, in percent; the rest is for the queue.
	firstTokenShare = 70
	// kvLow is the free share of the KV cache below which nothing more is added.
	kvLow = 0.05
)

// window is the number of streams that the engine runs while its answers meet
// their targets.
type window struct {
	size    int
	minimum int
	maximum int
	samples int
	late    int
	full    bool
	kvFull  bool
	// probing lets the window double until a first sign of overload.
	probing bool
	changed time.Time
	// queuedReports counts the engine's reports in a row with a queue, reported
	// is the highest number of running streams in them.
	queuedReports int
	reported      int
}

func newWindow(o Options) window {
	size := min(max(o.InitialWindow, o.MinWindow), o.MaxWindow)
	return window{size: size, minimum: o.MinWindow, maximum: o.MaxWindow, probing: true}
}

func (w *window) firstToken(took, target time.Duration) {
	w.sample(took, target*firstTokenShare/100)
}

func (w *window) interval(took, target time.Duration) {
	w.sample(took, target)
}

func (w *window) sample(took, target time.Duration) {
	if target <= 0 {
		return
	}
	w.samples++
	if took > target {
		w.late++
	}
}

// usage is how the window is used at a time.
type usage struct {
	// places that are taken or kept free on purpose.
	places int
	// silent streams have produced no token since their start.
	silent int
	// queued tells that online work waits for a place.
	queued bool
}

// crowded tells that many streams wait for their first token, as they do when
// the engine has a queue of its own.
func (u usage) crowded() bool {
	return u.silent > max(u.places/crowdedDivisor, 1)
}

// adapt changes the window by the samples of the last period.
func (w *window) adapt(now time.Time, u usage) {
	w.full = w.full || u.places >= w.size || u.queued
	period, samples := windowPeriod, windowSamples
	if w.probing {
		period, samples = probePeriod, probeSamples
	}
	if now.Sub(w.changed) < period {
		return
	}
	if w.samples > 0 && w.samples < samples {
		return
	}
	late := float64(w.late) / float64(max(w.samples, 1))
	switch {
	case late > windowLate:
		w.size -= max(1, w.size/windowShrink)
		w.probing = false
	case late < windowGood && w.full && !w.kvFull && !u.crowded():
		w.size += w.growth()
	}
	w.size = min(max(w.size, w.minimum), w.maximum)
	w.samples, w.late, w.full = 0, 0, false
	w.changed = now
}

// attainable is the size that the window may soon have. An engine that has shown
// no sign of overload is not judged by the size from which the window starts.
func (w *window) attainable() int {
	if w.probing {
		return w.maximum
	}
	return w.size
}

func (w *window) growth() int {
	if w.probing {
		return w.size
	}
	return max(1, w.size/windowGrowth)
}

// correct takes a report of the engine into account. A queue inside the engine
// that stays for several reports means that the window is above what the engine
// runs; a short one stands between any two steps. The reports may be late, so
// the highest of them counts.
func (w *window) correct(load EngineLoad) {
	w.kvFull = load.KVFree < kvLow
	if load.Queued == 0 {
		w.queuedReports, w.reported = 0, 0
		return
	}
	w.queuedReports++
	w.reported = max(w.reported, load.Running)
	if w.queuedReports >= windowReports {
		w.size = max(min(w.size, w.reported), w.minimum)
		w.probing = false
	}
}
