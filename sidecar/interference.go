package sidecar

import (
	"math"
	"time"
)

// The learning of the step time.
const (
	// sampleDecay weighs earlier samples against a new one.
	sampleDecay = 0.999
	// slowSampleWeight is the weight of an interval above the prediction. Prompts
	// stretch steps, so the fit follows the fast ones.
	slowSampleWeight = 0.05
	// minStreamVariance is the least spread of the stream count, as a variance, from
	// which a slope is derived.
	minStreamVariance = 0.5
	// onlineActiveTime is the time for which the engine counts as in use by online
	// work after the last stream.
	onlineActiveTime = time.Second
	// boundExponentPerSource makes small bounds smaller for each way of doing harm.
	boundExponentPerSource = 1.25
	// batchPromptShare is the share of the engine's steps that may carry a batch
	// prompt beside online work, for a bound of one.
	batchPromptShare = 0.25
)

// interferenceModel learns the step time of the engine as a linear function of its running
// streams and derives how many batch streams keep the added latency of online
// work within its bound.
type interferenceModel struct {
	defaultPermille uint32
	boundPermille   uint32
	// The weighted sums of a least-squares fit: n streams, t seconds.
	weight, sumN, sumT, sumNN, sumNT float64
	meanStep                         ewma
	lastOnline                       time.Time
	seenOnline                       bool
	// nextBatchPrompt is the earliest time for another batch prompt beside online
	// work.
	nextBatchPrompt time.Time
}

func newInterferenceModel(permille uint32) interferenceModel {
	return interferenceModel{defaultPermille: permille, boundPermille: permille}
}

// setBound takes over the bound of the latest online request.
func (h *interferenceModel) setBound(permille uint32) {
	h.boundPermille = permille
	if permille == 0 {
		h.boundPermille = h.defaultPermille
	}
}

func (h *interferenceModel) addStep(took time.Duration, streams int) {
	h.meanStep.add(took)
	t, n := took.Seconds(), float64(streams)
	weight := 1.0
	if base, slope, ok := h.fit(); ok && t > base+slope*n {
		weight = slowSampleWeight
	}
	h.weight = h.weight*sampleDecay + weight
	h.sumN = h.sumN*sampleDecay + weight*n
	h.sumT = h.sumT*sampleDecay + weight*t
	h.sumNN = h.sumNN*sampleDecay + weight*n*n
	h.sumNT = h.sumNT*sampleDecay + weight*n*t
}

// fit returns the step time without streams and its growth for each stream, in
// seconds.
func (h *interferenceModel) fit() (base, slope float64, ok bool) {
	if h.weight < minWindowSamples {
		return 0, 0, false
	}
	meanN, meanT := h.sumN/h.weight, h.sumT/h.weight
	variance := h.sumNN/h.weight - meanN*meanN
	if variance < minStreamVariance {
		return meanT, 0, false
	}
	slope = max((h.sumNT/h.weight-meanN*meanT)/variance, 0)
	return meanT - slope*meanN, slope, true
}

func (h *interferenceModel) observeOnline(now time.Time, online int) {
	if online > 0 {
		h.seenOnline = true
		h.lastOnline = now
	}
}

// onlineActive tells whether online work has used the engine lately.
func (h *interferenceModel) onlineActive(now time.Time) bool {
	return h.seenOnline && now.Sub(h.lastOnline) < onlineActiveTime
}

// batchLimit returns the greatest number of batch streams that keep the harm within
// its bound, beside a number of online streams. A first token takes some steps
// of the engine, so what holds for one step holds for it.
func (h *interferenceModel) batchLimit(online, window int) int {
	base, slope, ok := h.fit()
	if !ok || slope == 0 {
		return window
	}
	alone := base + slope*float64(online)
	streams := h.boundPerSource() * alone / slope
	if whole := h.totalBound() * alone / slope; whole >= 1 {
		streams = max(streams, 1)
	}
	return int(math.Min(streams, float64(window)))
}

// recordBatchPrompt spaces the batch prompts so that they are in a bounded share of the
// steps.
func (h *interferenceModel) recordBatchPrompt(now time.Time) {
	bound := h.boundPerSource()
	if bound == 0 {
		return
	}
	gap := float64(h.meanStep.value) / (bound * batchPromptShare)
	h.nextBatchPrompt = now.Add(time.Duration(gap))
}

// boundPerSource returns the part of the harm that each way of doing harm may use. The
// ways add up in the tail, where a small harm weighs most: batch tokens in each
// step, batch prompts in some, and packed online work.
func (h *interferenceModel) boundPerSource() float64 {
	return math.Pow(h.totalBound(), boundExponentPerSource)
}

// totalBound returns the bound of the profile as a totalBound of online latency.
func (h *interferenceModel) totalBound() float64 {
	return float64(h.boundPermille) / 1000
}
