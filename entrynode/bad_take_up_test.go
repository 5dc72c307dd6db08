package entrynode

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// The entry that began a stream is gone. Its caller's ID is as long as the headers may be,
// and does not fit into a datagram as it is beside others.
func TestStreamWithALongIDIsTakenUpAtAnotherEntry(t *testing.T) {
	expect := NewWithT(t)
	origin, other := startVersion(t, "1"), startVersion(t, "2")
	addresses := []string{freeAddress(t), freeAddress(t)}
	origin.slots, other.slots = 8, 4
	url, n := startEntryAt(t, addresses[0], addresses, origin, other)
	origin.slots, other.slots = 4, 8
	otherURL, _ := startEntryAt(t, addresses[1], addresses, origin, other)
	begun := strings.Repeat("x", 1500)
	expect.Expect(sendWith(t, url, "/resume/x", map[string]string{"Id": begun}).body).To(Equal(events(1, 6)))
	n.cancel()
	got := sendWith(t, otherURL, "/resume/x", map[string]string{"Id": "taken-up", "After": "3", "Resumes": begun})
	expect.Expect(got.body).To(Equal(events(4, 6)))
	expect.Expect(origin.requestCount.Load()).To(BeEquivalentTo(2))
}

// A take-up with an ID beyond the limit of headers is refused for good, and no engine gets it.
func TestTakeUpWithAHugeIDIsRefused(t *testing.T) {
	for name, size := range map[string]int{"limit of the routing table": 4 << 10, "limit of the server": 70 << 10} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			e := startVersion(t, "1")
			url, n := startEntry(t, e)
			awaitCurrent(t, n)
			got := sendWith(t, url, "/resume/x", map[string]string{"Id": "r2", "After": "3", "Resumes": strings.Repeat("x", size)})
			expect.Expect(got.status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
			expect.Expect(got.retryAfter).To(BeEmpty())
			expect.Expect(e.requestCount.Load()).To(BeZero())
		})
	}
}

// The caller names an event that the stream never had. The engine decides; what it sends is
// relayed unchanged.
func TestTakeUpFarAheadIsLeftToTheEngine(t *testing.T) {
	expect := NewWithT(t)
	e := startEngine(t, func(_ int, r *http.Request) string {
		return "HTTP/1.1 422 Unprocessable Entity\r\nMark: m\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 9\r\n\r\nnot there"
	})
	e.version = "1"
	url, n := startEntry(t, e)
	awaitCurrent(t, n)
	got := sendWith(t, url, "/resume/x", map[string]string{"Id": "r2", "After": "999999999999999999999", "Resumes": "r1"})
	expect.Expect(got.status).To(Equal(http.StatusUnprocessableEntity))
	expect.Expect(got.body).To(Equal("not there"))
	expect.Expect((<-e.received).Header.Get("After")).To(Equal("999999999999999999999"))
}
