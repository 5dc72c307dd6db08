package experiment_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/lab/experiment"
)

func TestWriteMeasuresMarksMissedBounds(t *testing.T) {
	g := NewWithT(t)
	measures := []experiment.Measure{
		{Name: "a", Value: 1.04, Bound: experiment.UpperBound(1.05)},
		{Name: "b", Value: 0.9, Unit: "s", Bound: experiment.LowerBound(0.95)},
		{Name: "c", Value: 7},
	}
	var text bytes.Buffer
	missed, err := experiment.WriteMeasures(&text, measures)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(missed).To(Equal(1))
	want := "bench a value=1.04 bound=<=1.05 ok\n" +
		"bench b value=0.9 unit=s bound=>=0.95 short\n" +
		"bench c value=7 bound=none ok\n"
	g.Expect(text.String()).To(Equal(want))
}

func TestParseGoBench(t *testing.T) {
	g := NewWithT(t)
	output := `pkg: github.com/briarcross/briarcross/gate
BenchmarkRoute-12   	 100	 300 ns/op	 0.9 hit-ratio
    bench_test.go:3: alone first p50 3.0
BenchmarkRoute-12   	 100	 100 ns/op	 0.7 hit-ratio
BenchmarkRoute-12   	 100	 200 ns/op	 0.8 hit-ratio
PASS
`
	measures, err := experiment.ParseGoBench(strings.NewReader(output))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(measures).To(Equal([]experiment.Measure{
		{Name: "gate/Route/ns-per-op", Value: 200, Unit: "ns/op"},
		{Name: "gate/Route/hit-ratio", Value: 0.8, Unit: "hit-ratio"},
	}))
}

func TestFitLine(t *testing.T) {
	g := NewWithT(t)
	fit := experiment.FitLine([]float64{1, 2, 4}, []float64{5, 7, 11})
	g.Expect(fit.Slope).To(BeNumerically("~", 2, 1e-9))
	g.Expect(fit.Intercept).To(BeNumerically("~", 3, 1e-9))
	g.Expect(fit.Residual).To(BeNumerically("~", 0, 1e-9))
	g.Expect(fit.At(10)).To(BeNumerically("~", 23, 1e-9))
	curved := experiment.FitLine([]float64{1, 2, 3}, []float64{1, 4, 9})
	g.Expect(curved.Residual).To(BeNumerically(">", 0.05))
}

func TestSaveKeepsEarlierCommits(t *testing.T) {
	g := NewWithT(t)
	folder := filepath.Join(t.TempDir(), "results")
	save := func(commit string, at int64, name string, value float64) {
		record := experiment.Record{Commit: commit, UnixSeconds: at}
		record.Measures = []experiment.Measure{{Name: name, Value: value}}
		g.Expect(experiment.Save(folder, record)).To(Succeed())
	}
	save("bbb", 1, "latency", 3)
	save("aaa", 2, "latency", 2)
	save("aaa", 3, "cpu", 9)
	save("aaa", 4, "latency", 1)
	history, err := experiment.ReadHistory(folder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(history).To(HaveLen(2))
	g.Expect(history[1].Commit).To(Equal("aaa"))
	g.Expect(history[1].Measures).To(HaveLen(2))
	value, commit, ok := experiment.PreviousValue(history, "aaa", "latency")
	g.Expect(ok).To(BeTrue())
	g.Expect(commit).To(Equal("bbb"))
	g.Expect(value).To(BeNumerically("==", 3))
	_, _, ok = experiment.PreviousValue(history, "aaa", "cpu")
	g.Expect(ok).To(BeFalse())
}

func TestDrawWritesSVG(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	figure := experiment.Figure{
		Name: "f", Title: "t", XLabel: "x", YLabel: "y",
		Series: []experiment.Series{{Name: "s", X: []float64{1, 2}, Y: []float64{3, 4}}},
	}
	g.Expect(experiment.Draw(folder, figure)).To(Succeed())
	text, err := os.ReadFile(filepath.Join(folder, "f.svg"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(ContainSubstring("<svg"))
}
