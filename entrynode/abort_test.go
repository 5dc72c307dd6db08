package entrynode

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

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

// A stream that was cut looked complete to a caller who speaks HTTP/1.0, which has no chunks.
func TestCutStreamIsNotWholeForAnyCaller(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, path := range []string{"/stream/x", "/once/x"} {
			t.Run(protocol+path, func(t *testing.T) {
				expect := NewWithT(t)
				url, _ := startEntry(t, startEngine(t, func(int, *http.Request) string { return chunked("r1", events(1, 3)+"<cut>") }))
				conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
				expect.Expect(err).NotTo(HaveOccurred())
				defer func() { _ = conn.Close() }()
				expect.Expect(conn.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
				_, err = io.WriteString(conn, "POST "+path+" "+protocol+"\r\nHost: h\r\nConnection: close\r\nId: r1\r\nContent-Length: 0\r\n\r\n")
				expect.Expect(err).NotTo(HaveOccurred())
				response, err := io.ReadAll(conn)
				whole := err == nil
				if strings.Contains(string(response), "Transfer-Encoding: chunked") {
					whole = strings.HasSuffix(string(response), "0\r\n\r\n")
				} else if err != nil {
					expect.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
				}
				if strings.Contains(string(response), " 200 OK") {
					expect.Expect(whole).To(BeFalse(), "%q", response)
				} else {
					expect.Expect(string(response)).To(Or(BeEmpty(), ContainSubstring(" 502 ")))
				}
			})
		}
	}
}
