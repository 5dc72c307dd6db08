package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMaxMicros = int64(time.Hour / time.Microsecond)
	histogramDigits    = 3
)

// Counts are the numbers of requests and jobs of a class, by outcome.
type Counts struct {
	Planned int `json:"planned"`
	// Skipped arrivals were not sent because MaxInFlight was reached.
	Skipped int `json:"skipped"`
	// Done responses are complete and correct.
	Done int `json:"done"`
	// Refused requests got a response with an error status and did not run.
	Refused int `json:"refused"`
	// Failed requests ended with an error or with a response that is recognizably
	// incomplete.
	Failed int `json:"failed"`
	// Wrong responses are marked complete but differ from the expected text.
	Wrong  int `json:"wrong"`
	Tokens int `json:"tokens"`
}

// ClassStats collects the measurements of one class. Histograms are in
// microseconds.
type ClassStats struct {
	mu           sync.Mutex
	counts       Counts
	reasons      map[string]int
	firstToken   *hdrhistogram.Histogram
	tokenGaps    *hdrhistogram.Histogram
	responseTime *hdrhistogram.Histogram
}

func newClassStats() *ClassStats {
	return &ClassStats{
		reasons:      make(map[string]int),
		firstToken:   hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		tokenGaps:    hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		responseTime: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(int64(d/time.Microsecond), 1), histogramMaxMicros)
	_ = h.RecordValue(micros) // The value is within the histogram's range.
}

// observation is the outcome of one online request or job, with latencies
// measured from the planned arrival.
type observation struct {
	outcome      outcome
	reason       string
	tokens       int
	firstToken   time.Duration
	tokenGaps    []time.Duration
	responseTime time.Duration
}

type outcome int

const (
	outcomeDone outcome = iota
	outcomeRefused
	outcomeFailed
	outcomeWrong
)

func (s *ClassStats) addObservation(o observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Tokens += o.tokens
	if o.reason != "" {
		s.reasons[o.reason]++
	}
	switch o.outcome {
	case outcomeDone:
		s.counts.Done++
		recordDuration(s.responseTime, o.responseTime)
	case outcomeRefused:
		s.counts.Refused++
	case outcomeFailed:
		s.counts.Failed++
	case outcomeWrong:
		s.counts.Wrong++
	}
	if o.tokens > 0 {
		recordDuration(s.firstToken, o.firstToken)
	}
	for _, gap := range o.tokenGaps {
		recordDuration(s.tokenGaps, gap)
	}
}

func (s *ClassStats) updateCounts(update func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.counts)
}
