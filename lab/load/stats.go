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
	mu      sync.Mutex
	counts  Counts
	reasons map[string]int
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	whole   *hdrhistogram.Histogram
}

func newClassStats() *ClassStats {
	return &ClassStats{
		reasons: make(map[string]int),
		first:   hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		between: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		whole:   hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(int64(d/time.Microsecond), 1), histogramMaxMicros)
	_ = h.RecordValue(micros) // The value is within the histogram's range.
}

// observation is what happened to one online request.
type observation struct {
	outcome  outcome
	reason   string
	tokens   int
	first    time.Duration
	betweens []time.Duration
	whole    time.Duration
}

type outcome int

const (
	outcomeDone outcome = iota
	outcomeRefused
	outcomeFailed
	outcomeWrong
)

func (s *ClassStats) add(o observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Tokens += o.tokens
	if o.reason != "" {
		s.reasons[o.reason]++
	}
	switch o.outcome {
	case outcomeDone:
		s.counts.Done++
		record(s.whole, o.whole)
	case outcomeRefused:
		s.counts.Refused++
	case outcomeFailed:
		s.counts.Failed++
	case outcomeWrong:
		s.counts.Wrong++
	}
	if o.tokens > 0 {
		record(s.first, o.first)
	}
	for _, between := range o.betweens {
		record(s.between, between)
	}
}

func (s *ClassStats) count(change func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}
