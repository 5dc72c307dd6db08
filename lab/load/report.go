package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Percentiles are the percentiles of a latency, in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50_ms"`
	P95  float64 `json:"p95_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// ReasonCount is the number of requests and jobs with a reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// ClassReport is the result of one class.
type ClassReport struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	Counts
	Reasons []ReasonCount `json:"reasons"`
	// FirstToken is the time from the planned arrival to the first token.
	FirstToken Percentiles `json:"first_token"`
	// BetweenTokens is the time between two tokens of a response.
	BetweenTokens Percentiles `json:"between_tokens"`
	// ResponseTime is the time from the planned arrival to the end of a done
	// request or job.
	ResponseTime Percentiles `json:"whole"`
}

// Report is the result of a run.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	// MaxLatenessMS is the longest delay between a planned arrival and its start
	// by the generator, in milliseconds.
	MaxLatenessMS float64       `json:"max_lateness_ms"`
	Classes       []ClassReport `json:"classes"`
	// Violations describes wrong responses and forbidden repeated runs. The run
	// passes if it is empty.
	Violations []string `json:"violations"`
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	quantileMs := func(quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / 1000
	}
	return Percentiles{P50: quantileMs(50), P95: quantileMs(95), P99: quantileMs(99), P999: quantileMs(99.9), Max: float64(h.Max()) / 1000}
}

func (s *ClassStats) report(class Class) ClassReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := ClassReport{
		Name:          class.Name,
		Kind:          class.Kind,
		Counts:        s.counts,
		FirstToken:    percentiles(s.firstToken),
		BetweenTokens: percentiles(s.tokenGaps),
		ResponseTime:  percentiles(s.responseTime),
	}
	for reason, count := range s.reasons {
		report.Reasons = append(report.Reasons, ReasonCount{Reason: reason, Count: count})
	}
	slices.SortFunc(report.Reasons, func(a, b ReasonCount) int {
		if a.Count != b.Count {
			return b.Count - a.Count
		}
		return compareStrings(a.Reason, b.Reason)
	})
	return report
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// WriteTable writes the report as a table, followed by reasons and violations.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(format string, values ...any) {
		_, _ = fmt.Fprintf(table, format+"\t\n", values...)
	}
	line("class\tplanned\tdone\trefused\tfailed\twrong\tskipped\ttoken/s\tfirst p50\tp95\tp99 ms\tbetween p50\tp95\tp99 ms")
	for _, c := range r.Classes {
		rate := float64(c.Tokens) / max(r.Seconds, time.Millisecond.Seconds())
		line("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f",
			c.Name, c.Planned, c.Done, c.Refused, c.Failed, c.Wrong, c.Skipped, rate,
			c.FirstToken.P50, c.FirstToken.P95, c.FirstToken.P99,
			c.BetweenTokens.P50, c.BetweenTokens.P95, c.BetweenTokens.P99)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, c := range r.Classes {
		for _, reason := range c.Reasons {
			_, _ = fmt.Fprintf(w, "%s: %d × %s\n", c.Name, reason.Count, reason.Reason)
		}
	}
	_, _ = fmt.Fprintf(w, "generator late by at most %.1f ms\n", r.MaxLatenessMS)
	for _, violation := range r.Violations {
		_, _ = fmt.Fprintf(w, "VIOLATION %s\n", violation)
	}
	_, err := fmt.Fprintf(w, "%d violations\n", len(r.Violations))
	return err
}
