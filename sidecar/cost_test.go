package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// BenchmarkRequest measures the core's work for one request without its tokens.
func BenchmarkRequest(b *testing.B) {
	s := newTestSidecar(48, nil)
	now := startTime
	w := onlineRequest(1)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		now = now.Add(time.Millisecond)
		w.ID.RequestID = fmt.Sprint(n)
		s.Step(now, Submit{w})
		s.Step(now, RunEnded{ID: w.ID, Outcome: pb.Outcome_OUTCOME_DONE})
		s.Drain()
		s.Tick(now)
	}
}

// BenchmarkToken measures the core's work for each token.
func BenchmarkToken(b *testing.B) {
	s := newTestSidecar(48, nil)
	now := startTime
	w := onlineRequest(1)
	w.BetweenTokensTarget = 50 * time.Millisecond
	s.Step(now, Submit{w})
	s.Drain()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s.Step(now, TokensProduced{ID: w.ID, Count: 1})
	}
}
