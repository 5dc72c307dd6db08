package entrynode

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// An engine refuses a request and never ends the body of the refusal. The request waited
// for that body until its deadline, instead of going to another engine.
func TestRefusalWithoutEndHoldsTheRequestUp(t *testing.T) {
	expect := NewWithT(t)
	refuses := startEngine(t, func(int, *http.Request) string {
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: r1\r\nContent-Length: 100\r\n\r\nbusy"
	})
	refuses.slots = 16
	serves := startEngine(t, func(int, *http.Request) string { return chunked("r1", events(1, 6)) })
	url, _ := startEntry(t, refuses, serves)
	expect.Expect(send(t, url, "/once/x").status).To(Equal(http.StatusOK))
	expect.Expect(refuses.requestCount.Load()).To(BeEquivalentTo(1))
}
