package entrynode

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/fleet"
)

// leavingAnswer adds the header of an engine that leaves to a raw response.
func leavingAnswer(raw string) string {
	return strings.Replace(raw, "\r\n", "\r\nLeaving: 1\r\n", 1)
}

// startLeaving starts an engine that leaves, and one that stays. The one that leaves
// has more slots and gets the first request. Their control replica reports both as ready
// once, and says nothing afterwards.
func startLeaving(t *testing.T, answer func(r *http.Request) string) (leaves, stays *engine, url string, n *Node) {
	t.Helper()
	leaves = startEngine(t, func(_ int, r *http.Request) string { return leavingAnswer(answer(r)) })
	stays = startEngine(t, func(_ int, r *http.Request) string {
		if r.Header.Get("After") != "" {
			return chunked(r.Header.Get("Id"), events(4, 6))
		}
		return chunked(r.Header.Get("Id"), events(1, 6))
	})
	leaves.slots = 16
	url, n = startEntry(t, leaves, stays)
	return leaves, stays, url, n
}

func TestEngineThatLeavesGetsFurtherRequests(t *testing.T) {
	empty := func(status string) func(*http.Request) string {
		return func(*http.Request) string {
			return "HTTP/1.1 " + status + "\r\nMark: m\r\nId: r1\r\nContent-Length: 0\r\n\r\n"
		}
	}
	for name, answer := range map[string]func(*http.Request) string{
		"stream":    func(*http.Request) string { return chunked("r1", events(1, 2)) },
		"200":       empty("200 OK"),
		"400":       empty("400 Bad Request"),
		"422":       empty("422 Unprocessable Entity"),
		"500":       empty("500 Internal Server Error"),
		"rejection": empty("503 Service Unavailable\r\nNot-Run: 1"),
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			leaves, stays, url, _ := startLeaving(t, answer)
			for range 6 {
				expect.Expect(send(t, url, "/stream/x").err).NotTo(HaveOccurred())
			}
			expect.Expect(leaves.requestCount.Load()).To(BeEquivalentTo(1))
			expect.Expect(stays.requestCount.Load()).To(BeNumerically(">=", 5))
		})
	}
}

// startLeavingBeside starts an engine that leaves, which a first request has told the
// entry, and one with a script that gets the requests from then on.
func startLeavingBeside(t *testing.T, script func(call int, r *http.Request) string) (leaves, other *engine, url string) {
	t.Helper()
	leaves = startEngine(t, func(int, *http.Request) string { return leavingAnswer(chunked("r1", events(1, 6))) })
	other = startEngine(t, script)
	leaves.slots = 16
	url, _ = startEntry(t, leaves, other)
	NewWithT(t).Expect(send(t, url, "/stream/x").status).To(Equal(http.StatusOK))
	NewWithT(t).Expect(leaves.requestCount.Load()).To(BeEquivalentTo(1))
	return leaves, other, url
}

func TestRetryGoesToAnEngineThatLeaves(t *testing.T) {
	expect := NewWithT(t)
	leaves, other, url := startLeavingBeside(t, func(int, *http.Request) string {
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: r1\r\nContent-Length: 0\r\n\r\n"
	})
	got := send(t, url, "/once/x")
	expect.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	expect.Expect(got.retryAfter).NotTo(BeEmpty())
	expect.Expect(leaves.requestCount.Load()).To(BeEquivalentTo(1))
	expect.Expect(other.requestCount.Load()).To(BeEquivalentTo(1))
}

func TestResumedStreamGoesToAnEngineThatLeaves(t *testing.T) {
	expect := NewWithT(t)
	leaves, other, url := startLeavingBeside(t, func(_ int, r *http.Request) string {
		if r.Header.Get("After") != "" {
			return chunked("r1", events(4, 6))
		}
		return chunked("r1", events(1, 3)+"<cut>")
	})
	expect.Expect(send(t, url, "/resume/x").body).To(Equal(events(1, 6)))
	expect.Expect(leaves.requestCount.Load()).To(BeEquivalentTo(1))
	expect.Expect(other.requestCount.Load()).To(BeEquivalentTo(2))
}

// Without the notice, a stream goes back to the only engine of its version.
func TestResumedStreamGoesBackToTheLeavingEngineOfItsVersion(t *testing.T) {
	expect := NewWithT(t)
	leaves := startEngine(t, func(_ int, r *http.Request) string {
		if r.Header.Get("After") != "" {
			return leavingAnswer(chunked("r1", events(4, 6)))
		}
		return leavingAnswer(chunked("r1", events(1, 3)+"<cut>"))
	})
	leaves.version, leaves.slots = "1", 16
	url, _ := startEntry(t, leaves, startVersion(t, "2"))
	got := send(t, url, "/resume/x")
	expect.Expect(got.err).To(HaveOccurred())
	expect.Expect(got.body).To(Equal(events(1, 3)))
	expect.Expect(leaves.requestCount.Load()).To(BeEquivalentTo(1))
}

func TestRequestWaitsForEnginesThatAllLeave(t *testing.T) {
	expect := NewWithT(t)
	e := startEngine(t, func(int, *http.Request) string { return leavingAnswer(chunked("r1", events(1, 2))) })
	url, _ := startEntry(t, e)
	expect.Expect(send(t, url, "/stream/x").status).To(Equal(http.StatusOK))
	sentAt := time.Now()
	got := send(t, url, "/stream/x")
	expect.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	expect.Expect(got.retryAfter).NotTo(BeEmpty())
	expect.Expect(time.Since(sentAt)).To(BeNumerically("<", 300*time.Millisecond))
	expect.Expect(e.requestCount.Load()).To(BeEquivalentTo(1))
}

func TestRunningRequestIsCutAtAnEngineThatLeaves(t *testing.T) {
	expect := NewWithT(t)
	running, release := make(chan struct{}), make(chan struct{})
	var calls atomic.Int32
	answer := func(r *http.Request) string {
		if calls.Add(1) == 1 {
			close(running)
			<-release
		}
		return chunked(r.Header.Get("Id"), events(1, 6))
	}
	leaves, _, url, n := startLeaving(t, answer)
	got := make(chan callerResponse, 1)
	go func() { got <- send(t, url, "/stream/x") }()
	expect.Eventually(running, testTimeout).Should(BeClosed())
	n.Slots.MarkLeaving(dispatch.LeavingNotice{Upstream: "i-0", StartUnixMs: 1, Source: dispatch.SourceReport})
	close(release)
	expect.Expect((<-got).body).To(Equal(events(1, 6)))
	expect.Expect(send(t, url, "/stream/x").body).To(Equal(events(1, 6)))
	expect.Expect(leaves.requestCount.Load()).To(BeEquivalentTo(1))
}

func TestNewEngineAtTheAddressOfOneThatLeftIsNotUsed(t *testing.T) {
	expect := NewWithT(t)
	e := startEngine(t, func(call int, _ *http.Request) string {
		if call == 1 {
			return leavingAnswer(chunked("r1", events(1, 2)))
		}
		return chunked("r1", events(1, 2))
	})
	url, n := startEntry(t, e)
	expect.Expect(send(t, url, "/stream/x").status).To(Equal(http.StatusOK))
	n.Slots.UpdateUpstreams([]fleet.Upstream{{ID: "i-new", StartUnixMs: 1, Sequence: 1, Service: "s", Address: e.address, DataCentre: "d", Slots: 4, Phase: fleet.Ready}})
	expect.Expect(send(t, url, "/stream/x").status).To(Equal(http.StatusOK))
	expect.Expect((<-e.received).Header.Get("Engine")).To(Equal("i-0"))
	expect.Expect((<-e.received).Header.Get("Engine")).To(Equal("i-new"))
}

// An answer that does not come from the expected engine says nothing about it.
func TestAnswerOfAnotherSenderMarksAnEngine(t *testing.T) {
	for name, answer := range map[string]string{
		"other instance":   "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"not genuine":      "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok",
		"stale, then true": "stale",
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			e := startEngine(t, func(call int, _ *http.Request) string {
				switch {
				case call == 1 && answer == "stale":
					return leavingAnswer("HTTP/1.1 200 OK\r\nMark: m\r\nId: r0\r\nContent-Length: 2\r\n\r\nno") + chunked("r1", events(1, 2))
				case call == 1:
					return leavingAnswer(answer)
				}
				return chunked("r1", events(1, 2))
			})
			url, n := startEntry(t, e)
			send(t, url, "/stream/x")
			expect.Expect(n.Slots.IsLeaving("i-0", 1)).To(BeFalse())
		})
	}
}

// The answer reached one entry; the other one hears of it from that entry's load reports.
func TestOtherEntryUsesAnEngineThatLeaves(t *testing.T) {
	expect := NewWithT(t)
	leaves := startEngine(t, func(int, *http.Request) string { return leavingAnswer(chunked("r1", events(1, 2))) })
	addresses := []string{freeAddress(t), freeAddress(t)}
	url, _ := startEntryAt(t, addresses[0], addresses, leaves)
	_, other := startEntryAt(t, addresses[1], addresses, leaves)
	expect.Expect(send(t, url, "/stream/x").status).To(Equal(http.StatusOK))
	expect.Eventually(func() bool { return other.Slots.IsLeaving("i-0", 1) }, testTimeout, pollInterval).Should(BeTrue())
}
