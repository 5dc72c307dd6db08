package entrynode

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// errorOfEngine returns an engine's answer with an error. With cut set, it has no length and
// ends with its connection.
func errorOfEngine(status int, cut bool) string {
	const body = "id: 4\ndata: out of memory\n\n"
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nMark: m\r\nId: r1\r\n", status, http.StatusText(status))
	if cut {
		return head + "\r\n" + body + "<cut>"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// A stream breaks off, and the engine that should go on answers with an error. The caller
// has got a head with status 200: nothing of the error may follow, and the stream must not
// look complete.
func TestErrorOfTheNextEngineDoesNotEnterTheStream(t *testing.T) {
	for _, path := range []string{"/resume/x", "/hedge/x", "/hedge3/x"} {
		for _, begun := range []string{events(1, 3), events(1, 3) + "id: 4\nda"} {
			for _, status := range []int{400, 404, 422, 429, 500, 502, 503, 504} {
				for _, cut := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s %d %d %v", path, len(begun), status, cut), func(t *testing.T) {
						t.Parallel()
						expect := NewWithT(t)
						var calls atomic.Int32
						script := func(int, *http.Request) string {
							if calls.Add(1) == 1 {
								return chunked("r1", begun+"<cut>")
							}
							return errorOfEngine(status, cut)
						}
						url, _ := startEntry(t, startEngine(t, script), startEngine(t, script))
						got := send(t, url, path)
						expect.Expect(got.status).To(Equal(http.StatusOK))
						expect.Expect(got.err).To(HaveOccurred())
						expect.Expect(got.body).To(Equal(events(1, 3)))
						expect.Expect(calls.Load()).To(BeNumerically(">=", 2))
					})
				}
			}
		}
	}
}

// A faulty engine writes the head of another response into a stream without length. Its
// lines end like those of an event.
func TestHeadOfAnotherResponseDoesNotEnterTheStream(t *testing.T) {
	for name, head := range map[string]string{
		"refusal": "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: r0\r\nContent-Length: 4\r\n\r\nfull",
		"answer":  strings.TrimSuffix(chunked("r0", events(4, 6)), "<cut>"),
		"error":   strings.TrimSuffix(errorOfEngine(500, true), "<cut>"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expect := NewWithT(t)
			got := send(t, startUnframed(t, events(1, 3)+head), "/resume/x")
			expect.Expect(got.err).NotTo(HaveOccurred())
			expect.Expect(got.body).To(Equal(events(1, 6)))
		})
	}
}

// An engine stops in the middle of its head and closes. The caller must not get a status of
// success for that.
func TestHeadThatStopsHalfWayIsNotRelayed(t *testing.T) {
	whole := chunked("r1", events(1, 3))
	head := whole[:strings.Index(whole, "\r\n\r\n")+len("\r\n\r\n")]
	for _, path := range []string{"/once/x", "/stream/x", "/hedgewhole/x"} {
		for size := 9; size < len(head); size += 7 {
			t.Run(fmt.Sprintf("%s %d", path, size), func(t *testing.T) {
				t.Parallel()
				script := func(int, *http.Request) string { return head[:size] + "<cut>" }
				url, _ := startEntry(t, startEngine(t, script))
				NewWithT(t).Expect(send(t, url, path).status).To(Equal(http.StatusBadGateway))
			})
		}
	}
}
