package sidecar

import (
	"math"
	"time"
)

// The learning of the step time.
const (
	// harmDecay weighs earlier samples against a new one.
	harmDecay = 0.999
	// harmSlowWeight is the weight of an interval above the prediction. Prompts
	// stretch steps, so the fit follows the fast ones.
	harmSlowWeight = 0.05
	// harmMinimum is the least spread of the stream count, as a variance, from
	// which a slope is derived.
	harmMinimum = 0.5
	// onlineMemory is the time for which the engine counts as in use by online
	// work after the last stream.
	onlineMemory = time.Second
	// boundExponent makes small bounds smaller for each way of doing harm.
	boundExponent = 1.25
	// promptShare is the share of the engine's steps that may carry a batch
	// prompt beside online work, for a bound of one.
	promptShare = 0.25
)

// harm learns the step time of the engine as a linear function of its running
// streams and derives how many batch streams keep the added latency of online
// work within its bound.
type harm struct {
	fallback uint32
	permille uint32
	// The weighted sums of a least-squares fit: n streams, t seconds.
	weight, sumN, sumT, sumNN, sumNT float64
	step                             ewma
	lastOnline                       time.Time
	seenOnline                       bool
	// nextPrompt is the earliest time for another batch prompt beside online
	// work.
	nextPrompt time.Time
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

func (h *harm) interval(took time.Duration, streams int) {
	h.step.add(took)
	t, n := took.Seconds(), float64(streams)
	weight := 1.0
	if base, slope, ok := h.fit(); ok && t > base+slope*n {
		weight = harmSlowWeight
	}
	h.weight = h.weight*harmDecay + weight
	h.sumN = h.sumN*harmDecay + weight*n
	h.sumT = h.sumT*harmDecay + weight*t
	h.sumNN = h.sumNN*harmDecay + weight*n*n
	h.sumNT = h.sumNT*harmDecay + weight*n*t
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
// its bound, beside a number of online streams. A first token takes some steps
// of the engine, so what holds for one step holds for it.
func (h *harm) limit(online, window int) int {
	base, slope, ok := h.fit()
	if !ok || slope == 0 {
		return window
	}
	alone := base + slope*float64(online)
	streams := h.bound() * alone / slope
	if whole := h.share() * alone / slope; whole >= 1 {
		streams = max(streams, 1)
	}
	return int(math.Min(streams, float64(window)))
}

// addPrompt spaces the batch prompts so that they are in a bounded share of the
// steps.
func (h *harm) addPrompt(now time.Time) {
	bound := h.bound()
	if bound == 0 {
		return
	}
	gap := float64(h.step.value) / (bound * promptShare)
	h.nextPrompt = now.Add(time.Duration(gap))
}

// bound returns the part of the harm that each way of doing harm may use. The
// ways add up in the tail, where a small harm weighs most: batch tokens in each
// step, batch prompts in some, and packed online work.
func (h *harm) bound() float64 {
	return math.Pow(h.share(), boundExponent)
}

// share returns the bound of the profile as a share of online latency.
func (h *harm) share() float64 {
	return float64(h.permille) / 1000
}
