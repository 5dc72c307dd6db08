package load_test

import (
	"bytes"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	labengine "github.com/briarcross/briarcross/lab/engine"
	"github.com/briarcross/briarcross/lab/load"
)

const planText = `
seed: 4
duration: 300ms
targets: ["TARGET"]
engines: ["TARGET"]
classes:
  - name: inspectors
    service: dam-watch
    rate: 200
    burst: {every: 100ms, size: 10}
    prompt: {bytes: 400, prefixes: 3, prefix_bytes: 200}
    max_tokens: 5
    non_idempotent: true
`

func parseTestPlan(t *testing.T, target string) *load.Plan {
	t.Helper()
	text := bytes.ReplaceAll([]byte(planText), []byte("TARGET"), []byte(target))
	plan, err := load.ParsePlan(text)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func startEngine(t *testing.T, faults labengine.Faults) string {
	t.Helper()
	cost := labengine.CostModel{Base: 100 * time.Microsecond, PrefillChunk: 4096}
	server := labengine.NewServer(labengine.Options{Seed: 5, Cost: cost, Faults: faults})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return "http://" + ln.Addr().String()
}

func TestArrivalsAreDeterministicAndOrdered(t *testing.T) {
	g := NewWithT(t)
	plan := parseTestPlan(t, "http://127.0.0.1:1")
	arrivals := plan.Arrivals()
	g.Expect(arrivals).To(Equal(plan.Arrivals()))
	g.Expect(len(arrivals)).To(BeNumerically("~", 80, 30))
	for i := 1; i < len(arrivals); i++ {
		g.Expect(arrivals[i].Offset).To(BeNumerically(">=", arrivals[i-1].Offset))
	}
	prefixes := map[string]bool{}
	prompts := map[string]bool{}
	for _, arrival := range arrivals {
		prefixes[arrival.Prompt[:200]] = true
		prompts[arrival.Prompt] = true
	}
	g.Expect(prefixes).To(HaveLen(3))
	g.Expect(prompts).To(HaveLen(len(arrivals)))
}

func TestRunVerifiesEveryResponse(t *testing.T) {
	g := NewWithT(t)
	target := startEngine(t, labengine.Faults{})
	report, err := load.NewRunner(parseTestPlan(t, target)).Run(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	class := report.Classes[0]
	g.Expect(class.Done).To(Equal(class.Planned))
	g.Expect(class.Tokens).To(Equal(5 * class.Done))
	g.Expect(report.Violations).To(BeEmpty())
	var table bytes.Buffer
	g.Expect(report.WriteTable(&table)).To(Succeed())
	g.Expect(table.String()).To(ContainSubstring("0 violations"))
}

func TestRunCountsFailedAndRefusedRequests(t *testing.T) {
	g := NewWithT(t)
	target := startEngine(t, labengine.Faults{TruncateProbability: 0.5, FailProbability: 0.2})
	report, err := load.NewRunner(parseTestPlan(t, target)).Run(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	class := report.Classes[0]
	g.Expect(class.Failed).To(BeNumerically(">", 0))
	g.Expect(class.Refused).To(BeNumerically(">", 0))
	g.Expect(class.Done + class.Failed + class.Refused).To(Equal(class.Planned))
	g.Expect(report.Violations).To(BeEmpty())
}

func TestParsePlanRejectsInvalidPlans(t *testing.T) {
	cases := map[string]string{
		"unknown field": "duration: 1s\ntargets: [x]\nclasses: [{name: a, service: s, rate: 1, speed: 2}]",
		"no rate":       "duration: 1s\ntargets: [x]\nclasses: [{name: a, service: s}]",
		"no targets":    "duration: 1s\nclasses: [{name: a, service: s, rate: 1}]",
		"batch items":   "duration: 1s\ntargets: [x]\nclasses: [{name: a, kind: batch, service: s, rate: 1}]",
		"no duration":   "targets: [x]\nclasses: [{name: a, service: s, rate: 1}]",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := load.ParsePlan([]byte(text))
			g.Expect(err).To(HaveOccurred())
		})
	}
}
