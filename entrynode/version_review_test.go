package entrynode

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// A configuration may have made the route one whose streams cannot be resumed since
// the stream began.
func TestReviewAStreamOfARouteNoLongerResumableMixesNoVersions(t *testing.T) {
	expect := NewWithT(t)
	a, b := startVersion(t, "1"), startVersion(t, "2")
	url, _ := startEntry(t, a, b)
	got := sendWith(t, url, "/stream/x", map[string]string{"Id": "r2", "After": "3", "Resumes": "unheard"})
	t.Logf("status %d, body %q", got.status, got.body)
	expect.Expect(a.requestCount.Load() + b.requestCount.Load()).To(BeZero())
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
