package entrynode

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/internal/answer"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/upstream"
)

// A request that no engine can hold crashed the engine that got it.
func TestRequestTooLargeForAnyEngineIsSent(t *testing.T) {
	expect := NewWithT(t)
	e := startEngine(t, func(int, *http.Request) string { return chunked("r1", events(1, 2)) })
	url, _ := startEntry(t, e)
	got := sendWith(t, url, "/stream/x", map[string]string{"Test-Tokens": "1001"})
	expect.Expect(got.status).To(Equal(http.StatusRequestEntityTooLarge))
	expect.Expect(got.body).To(ContainSubstring("too_large"))
	expect.Expect(got.retryAfter).To(BeEmpty())
	expect.Expect(e.requestCount.Load()).To(BeZero())
	expect.Expect(sendWith(t, url, "/stream/x", map[string]string{"Test-Tokens": "1000"}).status).To(Equal(http.StatusOK))
}

// endlessEvents is the body of a stream without end. It counts the bytes that are read.
type endlessEvents struct {
	read atomic.Int64
	last int
}

func (b *endlessEvents) Read(p []byte) (int, error) {
	size := 0
	for {
		event := events(b.last+1, b.last+1)
		if size+len(event) > len(p) {
			break
		}
		size += copy(p[size:], event)
		b.last++
	}
	b.read.Add(int64(size))
	return size, nil
}

// stuckCaller is a connection of a caller who reads nothing: writes block until released.
type stuckCaller struct {
	*httptest.ResponseRecorder
	written  atomic.Int64
	released chan struct{}
}

func (c *stuckCaller) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	<-c.released
	return 0, http.ErrHandlerTimeout
}

// Responses that callers do not read must not fill the memory of an entry: it may read no
// more of one than the relay buffer holds before the caller's socket takes it.
func TestUnreadResponseFillsTheMemory(t *testing.T) {
	expect := NewWithT(t)
	_, n := startEntry(t, startEngine(t, func(int, *http.Request) string { return "" }))
	caller := &stuckCaller{ResponseRecorder: httptest.NewRecorder(), released: make(chan struct{})}
	r := httptest.NewRequest(http.MethodPost, "http://h/stream/x", nil)
	route, _ := n.Table().Match("h", "/stream/x")
	x := n.newExchange(caller, r, RequestHeaders{ID: "r1"}, route, n.Table(), nil, nil)
	x.ctx = r.Context()
	x.progress = node.MeasureOnline(n.Slots, dispatch.Grant{}, time.Now())
	body := &endlessEvents{}
	ended := make(chan any)
	go func() {
		defer func() { ended <- recover() }()
		x.relayEvents(&upstream.Response{Answer: &answer.Answer{Status: http.StatusOK, Body: body}})
	}()
	expect.Eventually(caller.written.Load, testTimeout, pollInterval).Should(BeNumerically(">", 0))
	expect.Consistently(body.read.Load, 200*time.Millisecond, pollInterval).Should(BeNumerically("<=", relayBufferBytes))
	close(caller.released)
	expect.Expect(<-ended).To(Equal(http.ErrAbortHandler))
}
