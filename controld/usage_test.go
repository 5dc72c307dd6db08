package controld

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
)

func TestProcessUsageMetrics(t *testing.T) {
	g := NewWithT(t)
	registry := prometheus.NewRegistry()
	registerProcessUsage(registry)
	families, err := registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(families).To(HaveLen(2))
	g.Expect(families[0].GetMetric()[0].GetCounter().GetValue()).To(BeNumerically(">", 0))
	g.Expect(families[1].GetMetric()[0].GetGauge().GetValue()).To(BeNumerically(">", 1<<20))
}
