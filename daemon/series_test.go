package daemon_test

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/controld"
	"github.com/briarcross/briarcross/entryd"
	"github.com/briarcross/briarcross/sidecard"
)

var update = flag.Bool("update", false, "write docs/operators/metrics.md anew")

const seriesPage = "../docs/operators/metrics.md"

const seriesPageHead = `# Metrics

Each daemon serves its series at /metrics of its HTTP interface, in the
Prometheus format, to operators only (see install.md). Besides the series below
there are the usual go_ and process_ series of the process.

This page is written by: go test ./daemon -run TestSeriesPage -update
`

var (
	describedName   = regexp.MustCompile(`fqName: "(briarcross_[^"]*)"`)
	describedHelp   = regexp.MustCompile(`help: "([^"]*)"`)
	describedConst  = regexp.MustCompile(`([a-z_]+)="[^"]*"`)
	describedLabels = regexp.MustCompile(`variableLabels: \{([^}]*)\}`)
)

// tableRow returns the line of the page for a metric, or "" for a metric that
// is not ours.
func tableRow(description string) string {
	name := describedName.FindStringSubmatch(description)
	if name == nil {
		return ""
	}
	kind := "gauge"
	if strings.HasSuffix(name[1], "_total") {
		kind = "counter"
	}
	var labels []string
	for _, label := range describedConst.FindAllStringSubmatch(description, -1) {
		labels = append(labels, label[1])
	}
	if found := describedLabels.FindStringSubmatch(description); found != nil && found[1] != "" {
		labels = append(labels, strings.Split(found[1], ",")...)
	}
	help := describedHelp.FindStringSubmatch(description)
	return fmt.Sprintf("| %s | %s | %s | %s |", name[1], kind, strings.Join(labels, ", "), help[1])
}

func tableSection(title string, registry *prometheus.Registry) string {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descriptions)
		close(descriptions)
	}()
	var rows []string
	for description := range descriptions {
		if line := tableRow(description.String()); line != "" {
			rows = append(rows, line)
		}
	}
	slices.Sort(rows)
	rows = slices.Compact(rows)
	return fmt.Sprintf("\n## %s\n\n| Series | Kind | Labels | Meaning |\n| --- | --- | --- | --- |\n%s\n", title, strings.Join(rows, "\n"))
}

func TestSeriesPageIsUpToDate(t *testing.T) {
	g := NewWithT(t)
	page := seriesPageHead + tableSection("Entry", entryd.MetricsRegistry()) + tableSection("Sidecar", sidecard.MetricsRegistry()) +
		tableSection("Control replica", controld.MetricsRegistry())
	if *update {
		g.Expect(os.WriteFile(seriesPage, []byte(page), 0o600)).To(Succeed())
	}
	written, err := os.ReadFile(seriesPage)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(written)).To(Equal(page), "run go test ./daemon -run TestSeriesPage -update and commit the page")
}
