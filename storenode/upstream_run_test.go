package storenode

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/internal/answer"
	"github.com/briarcross/briarcross/internal/answertest"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/upstream"
)

// repeat reads a text again and again, up to a number of bytes.
func repeat(text string, size int) io.Reader {
	return strings.NewReader(strings.Repeat(text, size/len(text)))
}

// A run whose engine sent a byte now and then held its item and a slot for ever, as each
// byte put the idle timeout off.
func TestRunWithoutEventsIsKeptAlive(t *testing.T) {
	expect := NewWithT(t)
	progress := 0
	body := io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), repeat(": still here\n\n", 1<<20))
	readEvents(&upstream.Response{Answer: &answer.Answer{Body: body}}, upstream.EventSplitter{}, func() { progress++ }, func([]byte, int, string) {})
	expect.Expect(progress).To(Equal(1))
}

// An engine that crashes before its first event ends an answer without length as a
// complete one would end. The item was recorded as done without output.
func TestUnframedOutputWithoutEventsLooksComplete(t *testing.T) {
	run := func(response *upstream.Response) string {
		return readEvents(response, upstream.EventSplitter{}, func() {}, func([]byte, int, string) {})
	}
	expect := NewWithT(t)
	expect.Expect(run(&upstream.Response{Answer: &answer.Answer{Body: strings.NewReader("")}})).To(Equal(noEvents))
	expect.Expect(run(&upstream.Response{Answer: &answer.Answer{Body: strings.NewReader(""), EndMarked: true}})).To(BeEmpty())
	expect.Expect(run(&upstream.Response{Answer: &answer.Answer{Body: strings.NewReader("id: 1\ndata: x\n\n")}})).To(BeEmpty())
	expect.Expect(run(&upstream.Response{Answer: &answer.Answer{Body: strings.NewReader("id: 1\nda")}})).To(Equal(noEvents))
	expect.Expect(run(&upstream.Response{Answer: &answer.Answer{Body: strings.NewReader("id: 1\ndata: x\n\nid: 2")}})).To(Equal(eventCut))
}

// endlessEvents is a stream of events with increasing IDs that does not end.
type endlessEvents struct{ last int }

func (e *endlessEvents) Read(p []byte) (int, error) {
	e.last++
	return copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", e.last)), nil
}

// An engine that sent events without end filled the memory of the leader.
func TestEndlessOutputOfAnItemIsCutOff(t *testing.T) {
	expect := NewWithT(t)
	size := 0
	reason := readEvents(&upstream.Response{Answer: &answer.Answer{Body: &endlessEvents{}}}, upstream.EventSplitter{}, func() {}, func(data []byte, _ int, _ string) { size += len(data) })
	expect.Expect(reason).To(Equal(outputTooLong))
	expect.Expect(size).To(BeNumerically("<=", maxRunBytes))
}

// Engines answer with bodies that do not end. Items were given up after three of them, as if
// their engines had answered 500.
func TestEndlessBodiesDoNotCountAsFailures(t *testing.T) {
	for name, block := range map[string]func(n int) string{
		"no events": func(int) string { return strings.Repeat("0123456789abcdef", 128) + "\n\n" },
		"events":    func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 1<<14)) },
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			l := startTestLeader(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				for n := 1; r.Context().Err() == nil; n++ {
					if _, err := io.WriteString(w, block(n)); err != nil {
						return
					}
				}
			}))
			t.Cleanup(server.Close)
			request := itemRequest(&pb.PageItem{Id: "i", Path: "/p"}, "h", server.Listener.Addr().String(), "u", "")
			end := runAtUpstream(t.Context(), l.engines, request, testTimeout, func(engineStatement) {}, func([]byte, int, string) {})
			expect.Expect(end.outcome).To(BeElementOf(jobpages.Interrupted, jobpages.Spoiled))
		})
	}
}

// A faulty engine writes bytes into the output of an item. They were in its text.
func TestForeignBytesReachTheTextOfAnItem(t *testing.T) {
	for text, want := range map[string]string{
		": killed\n\n": malformed, "event: error\nid: 2\ndata: killed\n\n": malformed, "id: 2\ndata: x\ndata: killed\n\n": malformed,
		"id: 2\ndata: killed\n\nid: 2\ndata: x\n\n": conflictingEvents, "version: 7\nid: 2\ndata: x\n\n": "",
	} {
		expect := NewWithT(t)
		var output []string
		body := strings.NewReader("id: 1\ndata: one\n\n" + text)
		reason := readEvents(&upstream.Response{Answer: &answer.Answer{Body: body}}, upstream.EventSplitter{VersionField: "version"}, func() {}, func(data []byte, _ int, _ string) { output = append(output, string(data)) })
		expect.Expect(reason).To(Equal(want), text)
		if want == malformed {
			expect.Expect(output).To(Equal([]string{"one"}), text)
		}
	}
}

// Which of two events with one ID is foreign is not known. The output is discarded.
func TestOutputWithConflictingEventsIsDiscarded(t *testing.T) {
	expect := NewWithT(t)
	l := startTestLeader(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "id: 1\ndata: killed\n\nid: 1\ndata: one\n\n")
	}))
	t.Cleanup(server.Close)
	request := itemRequest(&pb.PageItem{Id: "i", Path: "/p"}, "h", server.Listener.Addr().String(), "u", "")
	end := runAtUpstream(t.Context(), l.engines, request, testTimeout, func(engineStatement) {}, func([]byte, int, string) {})
	expect.Expect(end).To(Equal(runEnd{jobpages.Spoiled, dispatch.Failed, 0, conflictingEvents}))
}

// A faulty engine writes its failure of a run once more, in front of the answer to the next run of
// the item. The copy counted as the failure of that run, so that the item was given up too early.
func TestCopyOfAFailureDoesNotFailTheNextRun(t *testing.T) {
	expect := NewWithT(t)
	l := startTestLeader(t)
	const failure = "HTTP/1.1 500 Internal Server Error\r\nId: i\r\nContent-Length: 6\r\n\r\nfailed"
	const output = "HTTP/1.1 200 OK\r\nId: i\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n"
	var runs atomic.Int32
	address, stop := answertest.Serve(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for first := true; ; first = false {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			switch run := runs.Add(1); {
			case run < 3:
				_, _ = io.WriteString(conn, failure)
			case first:
				_, _ = io.WriteString(conn, output)
			default:
				_, _ = io.WriteString(conn, failure+output)
			}
		}
	})
	t.Cleanup(stop)
	run := func() runEnd {
		request := itemRequest(&pb.PageItem{Id: "i", Path: "/p"}, "h", address, "u", "")
		return runAtUpstream(t.Context(), l.engines, request, testTimeout, func(engineStatement) {}, func([]byte, int, string) {})
	}
	expect.Expect(run().status).To(Equal(http.StatusInternalServerError))
	expect.Expect(run().status).To(Equal(http.StatusInternalServerError))
	expect.Expect(run()).To(Equal(runEnd{status: http.StatusOK, slotOutcome: dispatch.Served}))
	expect.Expect(runs.Load()).To(BeEquivalentTo(3))
}
