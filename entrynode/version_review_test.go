package entrynode

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const fullEngine = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

// The only other engine of the version is full for 200 ms. A stream may wait a second
// for a slot; its caller accepts the pause.
func TestReviewABoundStreamOutlastsAFullEngine(t *testing.T) {
	expect := NewWithT(t)
	broken := startBrokenVersion(t, "1")
	var firstAt atomic.Int64
	full := startEngine(t, func(_ int, r *http.Request) string {
		firstAt.CompareAndSwap(0, time.Now().UnixNano())
		if time.Since(time.Unix(0, firstAt.Load())) < 200*time.Millisecond {
			return fullEngine
		}
		return chunked(r.Header.Get("Id"), events(4, 6))
	})
	full.version = "1"
	other := startVersion(t, "2")
	broken.slots, full.slots, other.slots = 10, 8, 8
	url, _ := startEntry(t, broken, full, other)
	began := time.Now()
	got := send(t, url, "/resume/x")
	t.Logf("requests at the engine that broke off %d, at the full one %d, after %v: %v", broken.requestCount.Load(), full.requestCount.Load(), time.Since(began), got.err)
	expect.Expect(got.err).NotTo(HaveOccurred())
	expect.Expect(got.body).To(Equal(events(1, 6)))
}

// A caller takes a stream up, and the only engine of its version is full for 200 ms.
func TestReviewATakenUpStreamDoesNotHammerAFullEngine(t *testing.T) {
	expect := NewWithT(t)
	full := startEngine(t, func(int, *http.Request) string { return fullEngine })
	full.version = "1"
	url, n := startEntry(t, full)
	awaitCurrent(t, n)
	began := time.Now()
	got := sendWith(t, url, "/resume/x", map[string]string{"Id": "r2", "After": "3", "Resumes": "r1"})
	t.Logf("status %d after %v", got.status, time.Since(began))
	expect.Expect(full.requestCount.Load()).To(BeNumerically("<=", 2))
}

// Events without data do not end the first part of a stream. (Expected to pass.)
func TestReviewCommentsBeforeTheFirstEventBindTheStream(t *testing.T) {
	expect := NewWithT(t)
	broken := startEngine(t, func(_ int, r *http.Request) string {
		return chunked(r.Header.Get("Id"), ": hello\n\n<cut>")
	})
	broken.version = "1"
	other := startVersion(t, "2")
	broken.slots = 8
	url, _ := startEntry(t, broken, other)
	got := send(t, url, "/resume/x")
	t.Logf("%q %v", got.body, got.err)
	expect.Expect(other.requestCount.Load()).To(BeZero())
}
