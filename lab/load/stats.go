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

// Counts are the outcomes of a class.
type Counts struct {
	Planned int `json:"planned"`
	// Skipped arrivals met the bound on requests in flight.
	Skipped int `json:"skipped"`
	Done    int `json:"done"`
	// Refused answers carry an error status: the request did not run.
	Refused int `json:"refused"`
	// Failed requests ended without a whole answer, and said so.
	Failed int `json:"failed"`
	// Wrong answers claim to be whole but are not the prompt's own.
	Wrong  int `json:"wrong"`
	Tokens int `json:"tokens"`
}

// ClassStats are the measurements of one class.
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

// observation is what happened to one online request.
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
