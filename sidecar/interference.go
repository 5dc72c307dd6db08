package sidecar

import (
	"math"
	"time"
)

// Parameters of the interference model.
const (
	// sampleDecay is the factor by which the weight of earlier samples shrinks
	// with each new one.
	sampleDecay = 0.999
	// slowSampleWeight is the weight of a step time above the prediction. Steps
	// with prompts take longer, so the fit follows the fast steps.
	slowSampleWeight = 0.05
	// minStreamVariance is the least variance of the number of streams for which
	// the fit is used.
	minStreamVariance = 0.5
	// onlineActiveTime is the time for which online work counts as active after
	// the last online stream.
	onlineActiveTime = time.Second
	// boundExponentPerSource turns the total bound into the bound of each source
	// of added latency; small bounds shrink most.
	boundExponentPerSource = 1.25
	// batchPromptShare is the share of the engine's steps that may include a batch
	// prompt while online work is active, for a bound of one.
	batchPromptShare = 0.25
)

// interferenceModel estimates the step time of the engine as a linear function of
// the number of running streams. From it follows how many batch streams keep the
// latency that they add to online work within the bound.
type interferenceModel struct {
	// defaultPermille is the bound of requests that set none.
	defaultPermille uint32
	// boundPermille is the bound in force: the added latency as a share of online
	// latency, in thousandths.
	boundPermille uint32
	// Weighted sums of the least-squares fit over n streams and t seconds.
	weight, sumN, sumT, sumNN, sumNT float64
	// meanStep is the mean time of a step.
	meanStep ewma
	// lastOnline is the last time at which an online stream was seen to run.
	lastOnline time.Time
	seenOnline bool
	// nextBatchPrompt is the earliest time at which another batch item may start
	// while online work is active.
	nextBatchPrompt time.Time
}

func newInterferenceModel(permille uint32) interferenceModel {
	return interferenceModel{defaultPermille: permille, boundPermille: permille}
}

// setBound sets the bound to that of the latest online request; zero means the
// default.
func (m *interferenceModel) setBound(permille uint32) {
	m.boundPermille = permille
	if permille == 0 {
		m.boundPermille = m.defaultPermille
	}
}

// addStepTime adds a sample of the step time with a number of running streams.
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
// seconds. It is not ok while there are too few samples or their numbers of
// streams are too similar.
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

// onlineActive reports whether an online stream ran within onlineActiveTime.
func (m *interferenceModel) onlineActive(now time.Time) bool {
	return m.seenOnline && now.Sub(m.lastOnline) < onlineActiveTime
}

// batchLimit returns the greatest number of batch streams that keep the added
// latency within the bound, beside a number of online streams. A first token takes
// several steps of the engine, so a bound on the time of a step bounds it too.
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

// recordBatchPrompt sets the time of the next batch prompt, so that a bounded
// share of the steps includes one.
func (m *interferenceModel) recordBatchPrompt(now time.Time) {
	bound := m.boundPerSource()
	if bound == 0 {
		return
	}
	gap := float64(m.meanStep.value) / (bound * batchPromptShare)
	m.nextBatchPrompt = now.Add(time.Duration(gap))
}

// boundPerSource returns the added latency that each source of it may cause: batch
// tokens in each step, batch prompts in some steps, and packed online work. The
// sources add up in the tail of the latency distribution, where a small addition
// matters most.
func (m *interferenceModel) boundPerSource() float64 {
	return math.Pow(m.totalBound(), boundExponentPerSource)
}

// totalBound returns the bound of the profile as a share of online latency.
func (m *interferenceModel) totalBound() float64 {
	return float64(m.boundPermille) / 1000
}
