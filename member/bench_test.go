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
			n := newNetwork(1, entries, members)
			n.run(5 * time.Second)
			n.bytes, n.datagrams = 0, 0
			seconds := 0
			for b.Loop() {
				n.run(5 * time.Second)
				seconds += 5
			}
			b.ReportMetric(float64(n.bytes)/float64(seconds), "bytes/s")
			b.ReportMetric(float64(n.datagrams)/float64(seconds), "datagrams/s")
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
				n := newNetwork(seed, 5, 9)
				n.run(3 * time.Second)
				n.lossPercent = 100
				n.setMember(3, 1, draining)
				n.lossPercent = loss
				spent := 0
				for !n.drainKnown() {
					n.run(tick)
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

func (n *network) drainKnown() bool {
	for _, e := range n.entries {
		if e.count(draining) != 1 {
			return false
		}
	}
	return true
}
