package entrynode

import (
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
)

// A status such as 000 made a call panic, so that the connection of the caller was closed without a
// response and without a log line, or it reached the caller. Requests that may be repeated were not.
func TestBytesThatAreNoAnswerFailTheAttempt(t *testing.T) {
	const fields = "\r\nMark: m\r\nId: r1\r\nContent-Length: 2\r\n\r\nno"
	for name, response := range map[string]string{
		"000":         "HTTP/1.1 000 Status" + fields,
		"042":         "HTTP/1.1 042 Status" + fields,
		"099":         "HTTP/1.1 099 Status" + fields,
		"101":         "HTTP/1.1 101 Switching Protocols" + fields,
		"600":         "HTTP/1.1 600 Status" + fields,
		"999":         "HTTP/1.1 999 Status" + fields,
		"HTTP/2":      "HTTP/2.0 200 OK" + fields,
		"bad field":   "HTTP/1.1 200 OK\r\nA B: c" + fields,
		"two lengths": "HTTP/1.1 200 OK\r\nContent-Length: 3" + fields,
	} {
		t.Run(name, func(t *testing.T) {
			for path, want := range map[string]struct{ status, calls int }{
				"/once/x":   {http.StatusBadGateway, 1},
				"/stream/x": {http.StatusBadGateway, 1},
				"/repeat/x": {http.StatusOK, 2},
				"/resume/x": {http.StatusOK, 2},
			} {
				expect := NewWithT(t)
				var script scriptOnce
				script.first = response
				a, b := startEngine(t, script.next), startEngine(t, script.next)
				url, n := startEntry(t, a, b)
				got := send(t, url, path)
				expect.Expect(got.status).To(Equal(want.status), path)
				expect.Expect(int(a.requestCount.Load()+b.requestCount.Load())).To(Equal(want.calls), path)
				expect.Expect(retriesOf(t, n.metrics.registry)).To(HaveKeyWithValue("invalid_answer", 1.0), path)
			}
		})
	}
}

// An engine that goes on to send interim responses was not told from a silent one.
func TestInterimResponsesAreToldFromSilence(t *testing.T) {
	expect := NewWithT(t)
	url, n := startEntry(t, startEngine(t, func(int, *http.Request) string { return "HTTP/1.1 199 Status\r\n\r\n" }))
	got := sendWith(t, url, "/once/x", map[string]string{"Timeout-Ms": "300"})
	expect.Expect(got.status).To(Equal(http.StatusGatewayTimeout))
	expect.Expect(retriesOf(t, n.metrics.registry)).To(HaveKeyWithValue("only_interim", 1.0))
}

// scriptOnce returns first for the first request at any engine, and a stream for later ones.
type scriptOnce struct {
	first string
	calls atomic.Int32
}

func (s *scriptOnce) next(int, *http.Request) string {
	if s.calls.Add(1) == 1 {
		return s.first
	}
	return chunked("r1", events(1, 2))
}

// retriesOf returns the attempts that did not complete by reason.
func retriesOf(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	return valuesOf(t, registry, "briarcross_retries_total")
}

// valuesOf returns the values of a counter by its only label, if it has one.
func valuesOf(t *testing.T, registry *prometheus.Registry, name string) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	values := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			label := ""
			if len(metric.GetLabel()) > 0 {
				label = metric.GetLabel()[0].GetValue()
			}
			values[label] = metric.GetCounter().GetValue()
		}
	}
	return values
}
