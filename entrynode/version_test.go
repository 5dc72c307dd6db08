package entrynode

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// startVersion starts an engine of a software version that sends a stream whole, or
// from the event on that the request asks for.
func startVersion(t *testing.T, version string) *engine {
	t.Helper()
	e := startEngine(t, func(_ int, r *http.Request) string {
		if r.Header.Get("After") != "" {
			return chunked(r.Header.Get("Id"), events(4, 6))
		}
		return chunked(r.Header.Get("Id"), events(1, 6))
	})
	e.version = version
	return e
}

// startBrokenVersion starts an engine of a software version that breaks off each
// stream after three events, and after one more when it is asked to go on.
func startBrokenVersion(t *testing.T, version string) *engine {
	t.Helper()
	e := startEngine(t, func(_ int, r *http.Request) string {
		if r.Header.Get("After") != "" {
			return chunked(r.Header.Get("Id"), events(4, 4)+"<cut>")
		}
		return chunked(r.Header.Get("Id"), events(1, 3)+"<cut>")
	})
	e.version = version
	return e
}

// What two software versions write does not fit together.
func TestInterruptedStreamMixesNoVersions(t *testing.T) {
	expect := NewWithT(t)
	broken, same := startBrokenVersion(t, "1"), startVersion(t, "1")
	other, another := startVersion(t, "2"), startVersion(t, "2")
	broken.slots, other.slots, another.slots = 10, 8, 8
	url, _ := startEntry(t, broken, same, other, another)
	got := send(t, url, "/resume/x")
	expect.Expect(got.err).NotTo(HaveOccurred())
	expect.Expect(got.body).To(Equal(events(1, 6)))
	expect.Expect(broken.requestCount.Load()).To(BeEquivalentTo(1))
	expect.Expect(same.requestCount.Load()).To(BeEquivalentTo(1))
}

// Only the engine that broke the stream off has its version.
func TestInterruptedStreamIsCutWithoutItsVersion(t *testing.T) {
	expect := NewWithT(t)
	broken, other := startBrokenVersion(t, "1"), startVersion(t, "2")
	broken.slots = 8
	url, _ := startEntry(t, broken, other)
	got := send(t, url, "/resume/x")
	expect.Expect(got.err).To(HaveOccurred())
	expect.Expect(got.body).To(Equal(events(1, 4)))
	expect.Expect(other.requestCount.Load()).To(BeZero())
}

// The entry that began a stream is gone, and its caller takes the stream up at another
// entry, which places new streams at the other version.
func TestStreamTakenUpAtAnotherEntryMixesNoVersions(t *testing.T) {
	expect := NewWithT(t)
	origin, other := startVersion(t, "1"), startVersion(t, "2")
	addresses := []string{freeAddress(t), freeAddress(t)}
	origin.slots, other.slots = 8, 4
	url, n := startEntryAt(t, addresses[0], addresses, origin, other)
	origin.slots, other.slots = 4, 8
	otherURL, _ := startEntryAt(t, addresses[1], addresses, origin, other)
	expect.Expect(sendWith(t, url, "/resume/x", map[string]string{"Id": "begun"}).body).To(Equal(events(1, 6)))
	expect.Expect(origin.requestCount.Load()).To(BeEquivalentTo(1))
	n.cancel()
	got := sendWith(t, otherURL, "/resume/x", map[string]string{"Id": "taken-up", "After": "3", "Resumes": "begun"})
	expect.Expect(got.body).To(Equal(events(4, 6)))
	expect.Expect(origin.requestCount.Load()).To(BeEquivalentTo(2))
}

// Several versions serve, and no entry knows which of them began the stream.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	expect := NewWithT(t)
	url, _ := startEntry(t, startVersion(t, "1"), startVersion(t, "2"))
	got := sendWith(t, url, "/resume/x", map[string]string{"Id": "r2", "After": "3", "Resumes": "unheard"})
	expect.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	expect.Expect(got.retryAfter).NotTo(BeEmpty())
}

// A service of one version needs no record of where a stream began.
func TestStreamOfTheOnlyVersionGoesOn(t *testing.T) {
	expect := NewWithT(t)
	url, n := startEntry(t, startVersion(t, "1"), startVersion(t, "1"))
	awaitCurrent(t, n)
	got := sendWith(t, url, "/resume/x", map[string]string{"Id": "r2", "After": "3", "Resumes": "unheard"})
	expect.Expect(got.body).To(Equal(events(4, 6)))
}

// A configuration may have made the route one whose streams cannot be resumed since
// the stream began.
func TestAStreamOfARouteNoLongerResumableMixesNoVersions(t *testing.T) {
	expect := NewWithT(t)
	a, b := startVersion(t, "1"), startVersion(t, "2")
	url, _ := startEntry(t, a, b)
	got := sendWith(t, url, "/stream/x", map[string]string{"Id": "r2", "After": "3", "Resumes": "unheard"})
	expect.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	expect.Expect(a.requestCount.Load() + b.requestCount.Load()).To(BeZero())
}

// A route that is not resumable goes on to run each request at most once.
func TestStreamTakenUpOnARouteNotResumableRunsOnce(t *testing.T) {
	expect := NewWithT(t)
	broken, same := startBrokenVersion(t, "1"), startVersion(t, "1")
	broken.slots = 8
	url, n := startEntry(t, broken, same)
	awaitCurrent(t, n)
	got := sendWith(t, url, "/stream/x", map[string]string{"Id": "r2", "After": "3", "Resumes": "unheard"})
	expect.Expect(got.body).To(Equal(events(4, 4)))
	expect.Expect(broken.requestCount.Load()).To(BeEquivalentTo(1))
	expect.Expect(same.requestCount.Load()).To(BeZero())
}
