package sidecar

import (
	"math"
	"time"
)

// The learning of the step time.
const (
	// harmDecay weighs earlier samples against a new one.
	harmDecay = 0.999
	// harmOutlier is the multiple of the predicted step beyond which an
	// interval is taken for one that a long prompt has stretched.
	harmOutlier = 1.5
	// harmMinimum is the least spread of the stream count, as a variance, from
	// which a slope is derived.
	harmMinimum = 0.5
	// onlineMemory is the time for which the engine counts as in use by online
	// work after the last stream.
	onlineMemory = time.Second
)

// harm learns the step time of the engine as a linear function of its running
// streams and derives how many batch streams keep the added latency of online
// work within its bound.
type harm struct {
	fallback uint32
	permille uint32
	// The weighted sums of a least-squares fit: n streams, t seconds.
	weight, sumN, sumT, sumNN, sumNT float64
	first                            ewma
	lastOnline                       time.Time
	seenOnline                       bool
}

func newHarm(permille uint32) harm {
	return harm{fallback: permille, permille: permille}
}

// note takes over the bound of the latest online request.
func (h *harm) note(permille uint32) {
	h.permille = permille
	if permille == 0 {
		h.permille = h.fallback
	}
}

func (h *harm) firstToken(took time.Duration) { h.first.add(took) }

func (h *harm) interval(took time.Duration, streams int) {
	t, n := took.Seconds(), float64(streams)
	if base, slope, ok := h.fit(); ok && t > harmOutlier*(base+slope*n) {
		t = harmOutlier * (base + slope*n)
	}
	h.weight = h.weight*harmDecay + 1
	h.sumN = h.sumN*harmDecay + n
	h.sumT = h.sumT*harmDecay + t
	h.sumNN = h.sumNN*harmDecay + n*n
	h.sumNT = h.sumNT*harmDecay + n*t
}

// fit returns the step time without streams and its growth for each stream, in
// seconds.
func (h *harm) fit() (base, slope float64, ok bool) {
	if h.weight < windowSamples {
		return 0, 0, false
	}
	meanN, meanT := h.sumN/h.weight, h.sumT/h.weight
	variance := h.sumNN/h.weight - meanN*meanN
	if variance < harmMinimum {
		return meanT, 0, false
	}
	slope = max((h.sumNT/h.weight-meanN*meanT)/variance, 0)
	return meanT - slope*meanN, slope, true
}

func (h *harm) adapt(now time.Time, online int) {
	if online > 0 {
		h.seenOnline = true
		h.lastOnline = now
	}
}

// active tells whether online work has used the engine lately.
func (h *harm) active(now time.Time) bool {
	return h.seenOnline && now.Sub(h.lastOnline) < onlineMemory
}

// limit returns the greatest number of batch streams that keep the harm within
// its bound, beside a number of online streams.
func (h *harm) limit(online, window int) int {
	base, slope, ok := h.fit()
	if !ok || slope == 0 {
		return window
	}
	alone := max(base+slope*float64(online), h.first.value.Seconds())
	streams := float64(h.permille) / 1000 * alone / slope
	return int(math.Min(streams, float64(window)))
}
