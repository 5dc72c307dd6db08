package member

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkIdleMembers measures the datagrams of unchanged members; the case of
// no members gives the share of the subscriptions between entries.
func BenchmarkIdleMembers(b *testing.B) {
	const entries = 6
	for _, members := range []int{0, 18, 300} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			f := newNetwork(1, entries, members)
			f.run(5 * time.Second)
			f.bytes, f.datagrams = 0, 0
			seconds := 0
			for b.Loop() {
				f.run(5 * time.Second)
				seconds += 5
			}
			b.ReportMetric(float64(f.bytes)/float64(seconds), "bytes/s")
			b.ReportMetric(float64(f.datagrams)/float64(seconds), "datagrams/s")
		})
	}
}

// BenchmarkDrain measures the number of 50 ms ticks until every entry lists a
// member as draining, with the given percentage of datagrams lost.
func BenchmarkDrain(b *testing.B) {
	for _, loss := range []int{0, 25, 50} {
		b.Run(fmt.Sprintf("loss=%d", loss), func(b *testing.B) {
			ticks, worst, seed := 0, 0, uint64(0)
			for b.Loop() {
				seed++
				f := newNetwork(seed, 5, 9)
				f.run(3 * time.Second)
				f.lossPercent = 100
				f.setMember(3, 1, draining)
				f.lossPercent = loss
				spent := 0
				for !f.drainKnown() {
					f.run(tick)
					spent++
				}
				ticks += spent
				worst = max(worst, spent)
			}
			b.ReportMetric(float64(ticks)/float64(b.N), "ticks/drain")
			b.ReportMetric(float64(worst), "worst-ticks")
		})
	}
}

func (f *network) drainKnown() bool {
	for _, e := range f.entries {
		if e.count(draining) != 1 {
			return false
		}
	}
	return true
}
