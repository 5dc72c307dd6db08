package entrynode

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/dispatch"
)

// limitedAnswer adds a rate limit, or +Inf for the statement that there is none, to a raw
// response.
func limitedAnswer(limit, raw string) string {
	return strings.Replace(raw, "\r\n", "\r\nLimit: "+limit+"\r\n", 1)
}

func TestEngineThatStatesARateLimitGetsFurtherRequests(t *testing.T) {
	for name, answer := range map[string]string{
		"stream":    chunked("r1", events(1, 2)),
		"400":       "HTTP/1.1 400 Bad Request\r\nMark: m\r\nId: r1\r\nContent-Length: 0\r\n\r\n",
		"422":       "HTTP/1.1 422 Unprocessable Entity\r\nMark: m\r\nId: r1\r\nContent-Length: 0\r\n\r\n",
		"500":       "HTTP/1.1 500 Internal Server Error\r\nMark: m\r\nId: r1\r\nContent-Length: 0\r\n\r\n",
		"rejection": "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nMark: m\r\nId: r1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			limited := startEngine(t, func(int, *http.Request) string { return limitedAnswer("0.2", answer) })
			other := startEngine(t, func(int, *http.Request) string { return chunked("r1", events(1, 6)) })
			limited.slots = 16
			url, _ := startEntry(t, limited, other)
			for range 6 {
				expect.Expect(send(t, url, "/stream/x").err).NotTo(HaveOccurred())
			}
			expect.Expect(limited.requestCount.Load()).To(BeEquivalentTo(1))
			expect.Expect(other.requestCount.Load()).To(BeNumerically(">=", 5))
		})
	}
}

func TestRequestWaitsForEnginesAtTheirRateLimit(t *testing.T) {
	expect := NewWithT(t)
	e := startEngine(t, func(int, *http.Request) string { return limitedAnswer("0.2", chunked("r1", events(1, 2))) })
	url, _ := startEntry(t, e)
	expect.Expect(send(t, url, "/stream/x").status).To(Equal(http.StatusOK))
	got := send(t, url, "/stream/x")
	expect.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	expect.Expect(got.retryAfter).NotTo(BeEmpty())
	expect.Expect(e.requestCount.Load()).To(BeEquivalentTo(1))
}

// The answer reached one entry; the other one hears of it from that entry's load reports.
func TestOtherEntryExceedsTheRateLimitOfAnEngine(t *testing.T) {
	expect := NewWithT(t)
	limited := startEngine(t, func(int, *http.Request) string { return limitedAnswer("0.2", chunked("r1", events(1, 2))) })
	addresses := []string{freeAddress(t), freeAddress(t)}
	url, _ := startEntryAt(t, addresses[0], addresses, limited)
	_, other := startEntryAt(t, addresses[1], addresses, limited)
	expect.Expect(send(t, url, "/stream/x").status).To(Equal(http.StatusOK))
	reason := func() dispatch.Reason {
		grant, refused := other.Slots.Acquire(t.Context(), dispatch.SlotRequest{Service: "s", Class: dispatch.Online})
		if refused == nil {
			other.Slots.Release(grant, dispatch.Inconclusive)
			return ""
		}
		return refused.Reason
	}
	expect.Eventually(reason, testTimeout, pollInterval).Should(Equal(dispatch.RateLimited))
}

// An answer that does not come from the expected engine says nothing about it.
func TestAnswerOfAnotherSenderLimitsAnEngine(t *testing.T) {
	for name, answer := range map[string]string{
		"other instance": "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"not genuine":    "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			e := startEngine(t, func(int, *http.Request) string { return limitedAnswer("0.2", answer) })
			url, n := startEntry(t, e)
			send(t, url, "/stream/x")
			for _, load := range n.Slots.Loads() {
				expect.Expect(load.Rate.Stated).To(BeFalse())
			}
		})
	}
}
