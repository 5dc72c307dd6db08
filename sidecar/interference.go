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
func (m *interferenceModel) setBound(permille uint32) {
	m.boundPermille = permille
	if permille == 0 {
		m.boundPermille = m.defaultPermille
	}
}

func (m *interferenceModel) addStepTime(took time.Duration, streams int) {
	m.meanStep.add(took)
	t, n := took.Seconds(), float64(streams)
	weight := 1.0
	if base, slope, ok := m.fit(); ok && t > base+slope*n {
		weight = slowSampleWeight
	}
	m.weight = m.weight*sampleDecay + weight
	m.sumN = m.sumN*sampleDecay + weight*n
	m.sumT = m.sumT*sampleDecay + weight*t
	m.sumNN = m.sumNN*sampleDecay + weight*n*n
	m.sumNT = m.sumNT*sampleDecay + weight*n*t
}

// fit returns the step time without streams and its growth for each stream, in
// seconds.
func (m *interferenceModel) fit() (base, slope float64, ok bool) {
	if m.weight < minWindowSamples {
		return 0, 0, false
	}
	meanN, meanT := m.sumN/m.weight, m.sumT/m.weight
	variance := m.sumNN/m.weight - meanN*meanN
	if variance < minStreamVariance {
		return meanT, 0, false
	}
	slope = max((m.sumNT/m.weight-meanN*meanT)/variance, 0)
	return meanT - slope*meanN, slope, true
}

func (m *interferenceModel) observeOnline(now time.Time, online int) {
	if online > 0 {
		m.seenOnline = true
		m.lastOnline = now
	}
}

// onlineActive tells whether online work has used the engine lately.
func (m *interferenceModel) onlineActive(now time.Time) bool {
	return m.seenOnline && now.Sub(m.lastOnline) < onlineActiveTime
}

// batchLimit returns the greatest number of batch streams that keep the harm within
// its bound, beside a number of online streams. A first token takes some steps
// of the engine, so what holds for one step holds for it.
func (m *interferenceModel) batchLimit(online, window int) int {
	base, slope, ok := m.fit()
	if !ok || slope == 0 {
		return window
	}
	onlineStepTime := base + slope*float64(online)
	streams := m.boundPerSource() * onlineStepTime / slope
	if streamsInTotalBound := m.totalBound() * onlineStepTime / slope; streamsInTotalBound >= 1 {
		streams = max(streams, 1)
	}
	return int(math.Min(streams, float64(window)))
}

// recordBatchPrompt spaces the batch prompts so that they are in a bounded share of the
// steps.
func (m *interferenceModel) recordBatchPrompt(now time.Time) {
	bound := m.boundPerSource()
	if bound == 0 {
		return
	}
	gap := float64(m.meanStep.value) / (bound * batchPromptShare)
	m.nextBatchPrompt = now.Add(time.Duration(gap))
}

// boundPerSource returns the part of the harm that each way of doing harm may use. The
// ways add up in the tail, where a small harm weighs most: batch tokens in each
// step, batch prompts in some, and packed online work.
func (m *interferenceModel) boundPerSource() float64 {
	return math.Pow(m.totalBound(), boundExponentPerSource)
}

// totalBound returns the bound of the profile as a totalBound of online latency.
func (m *interferenceModel) totalBound() float64 {
	return float64(m.boundPermille) / 1000
}
