package entrynode

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Four requests for a version of the weights that no engine had took all engines away from the entry:
// each engine counted as gone.
func TestUnmetConditionsTakeNoEngineAway(t *testing.T) {
	expect := NewWithT(t)
	script := func(_ int, r *http.Request) string {
		if r.Header.Get("Condition") != "" {
			return "HTTP/1.1 421 Misdirected Request\r\nId: r1\r\nNot-Run: 1\r\nUnmet: 1\r\nContent-Length: 0\r\n\r\n"
		}
		return chunked("r1", events(1, 2))
	}
	a, b := startEngine(t, script), startEngine(t, script)
	url, n := startEntry(t, a, b)
	for range 4 {
		got := sendWith(t, url, "/once/x", map[string]string{"Condition": "2"})
		expect.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	}
	expect.Expect(retriesOf(t, n.metrics.registry)).To(HaveKeyWithValue(conditionUnmet, BeNumerically(">=", 8)))
	for range 8 {
		expect.Expect(send(t, url, "/once/x").status).To(Equal(http.StatusOK))
	}
}
