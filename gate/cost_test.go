package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// BenchmarkRequest measures the time and allocations for one successful request.
func BenchmarkRequest(b *testing.B) {
	for _, members := range []int{9, 18, 200} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			gate := newTestGate(members, nil)
			now := startTime
			r := newTestRequest("r")
			r.PrefixHashes = []uint64{1, 2, 3, 4}
			load := &pb.Load{Window: 48, RunningOnline: 3, BetweenTokensUs: 10_000}
			b.ReportAllocs()
			n := uint64(0)
			for b.Loop() {
				n++
				r.PrefixHashes[3] = n
				now = now.Add(time.Millisecond)
				gate.Step(now, RequestArrived{r})
				gate.Drain()
				gate.Step(now, FirstByte{"r", 1})
				gate.Step(now, AttemptEnded{ID: "r", Attempt: 1, Outcome: done, Load: load})
				gate.Drain()
				gate.Tick(now)
			}
		})
	}
}
