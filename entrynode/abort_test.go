package entrynode

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// panickingWriter panics at some calls of WriteHeader, as net/http does for a status below 100.
type panickingWriter struct {
	*httptest.ResponseRecorder
	left int
}

func (w *panickingWriter) WriteHeader(status int) {
	if w.left > 0 {
		w.left--
		panic("invalid status")
	}
	w.ResponseRecorder.WriteHeader(status)
}

// A panic ended a request without a log line, and was no failure of the attempt: the engine went on
// to get requests.
func TestPanicIsALoggedFailureOfTheAttempt(t *testing.T) {
	for path, want := range map[string]struct{ status, calls int }{
		"/once/x": {http.StatusBadGateway, 1}, "/repeat/x": {http.StatusOK, 2}, "/resume/x": {http.StatusOK, 2},
	} {
		t.Run(path, func(t *testing.T) {
			expect := NewWithT(t)
			script := func(int, *http.Request) string { return chunked("r1", events(1, 2)) }
			a, b := startEngine(t, script), startEngine(t, script)
			address := freeAddress(t)
			var lines lockedBuffer
			_, n := startEntryWith(t, entryOptions{address: address, entries: []string{address}, document: "table", output: &lines}, a, b)
			w := &panickingWriter{httptest.NewRecorder(), 1}
			r := httptest.NewRequest(http.MethodPost, "http://h"+path, nil)
			r.Header.Set("Id", "r1")
			route, _ := n.Table().Match("h", path)
			n.newExchange(w, r, n.codec.ParseRequestHeaders(r), route, n.Table(), nil, nil).run()
			expect.Expect(w.Code).To(Equal(want.status))
			expect.Expect(int(a.requestCount.Load() + b.requestCount.Load())).To(Equal(want.calls))
			expect.Expect(valuesOf(t, n.metrics.registry, "briarcross_request_panics_total")).To(Equal(map[string]float64{"": 1}))
			expect.Expect(lines.String()).To(MatchRegexp("request_panicked.*r1.*invalid status"))
		})
	}
}

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
