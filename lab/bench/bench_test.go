package bench_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/lab/bench"
	"github.com/briarcross/briarcross/lab/experiment"
)

func TestApplyBoundsMatchesPrefixAndMetric(t *testing.T) {
	g := NewWithT(t)
	measures := []experiment.Measure{
		{Name: "batch/Capacity/idempotent=true/item=2s/capacity-share", Value: 0.94},
		{Name: "batch/Capacity/idempotent=true/item=2s/over-ideal-s", Value: 9},
		{Name: "batch/Throughput/engines=9/chunk=64/run-commits-per-item", Value: 0.01},
	}
	bench.ApplyBounds(measures)
	g.Expect(measures[0].MeetsBound()).To(BeFalse())
	g.Expect(measures[1].Bound).To(BeNil())
	g.Expect(measures[2].Bound).NotTo(BeNil())
	g.Expect(measures[2].MeetsBound()).To(BeTrue())
}

func TestExperimentsHaveDistinctNames(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]bool{}
	for _, e := range bench.Experiments() {
		g.Expect(seen[e.Name]).To(BeFalse(), e.Name)
		g.Expect(e.Run).NotTo(BeNil(), e.Name)
		seen[e.Name] = true
	}
}
