package storenode

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
	"github.com/briarcross/briarcross/upstream"
)

const testTimeout = 20 * time.Second

type testCodec struct{}

func (testCodec) Encode(header http.Header, request *upstream.Request) {
	header.Set("Id", request.ID)
	header.Set("After", request.ResumeAfter)
	if request.Authenticated {
		header.Del("Key")
		header.Set("Owner", request.Customer)
	}
}

func (testCodec) SharedPromptParts(header http.Header) []string { return header["Test-Prompt-Part"] }

func (testCodec) EventVersionField() string { return "version" }

func (testCodec) MaxOutputTokens(header http.Header) int {
	tokens, err := strconv.Atoi(header.Get("Output-Tokens"))
	if err != nil {
		return 0
	}
	return tokens
}

func (testCodec) TokenCount(header http.Header) int {
	tokens, _ := strconv.Atoi(header.Get("Test-Tokens"))
	return tokens
}

func (testCodec) ResponseID(header http.Header) string { return header.Get("Id") }

func (testCodec) Decode(_ *upstream.Request, status int, header http.Header) upstream.ResponseHead {
	rate, err := strconv.ParseFloat(header.Get("Limit"), 64)
	return upstream.ResponseHead{NotRun: status == http.StatusMisdirectedRequest, Unmet: status == http.StatusMisdirectedRequest, Genuine: true, Leaving: header.Get("Leaving") != "", AcceptedRate: rate, RateStated: err == nil}
}

// testEngine streams events until gate closes, then ends the stream.
type testEngine struct {
	address string
	// leaving is set before the first request if the engine says that it leaves.
	leaving bool
	// limit is the rate limit that the engine states, empty if it says nothing.
	limit string
	gate  chan struct{}
	left  chan struct{}
	after chan string
}

func startEngine(t *testing.T) *testEngine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &testEngine{address: listener.Addr().String(), gate: make(chan struct{}), left: make(chan struct{}, 8), after: make(chan string, 8)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *testEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.ReadAll(request.Body)
	e.after <- request.Header.Get("After")
	chunk := func(text string) { _, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n", request.Header.Get("Id"))
	if e.leaving {
		_, _ = io.WriteString(conn, "Leaving: 1\r\n")
	}
	if e.limit != "" {
		_, _ = io.WriteString(conn, "Limit: "+e.limit+"\r\n")
	}
	_, _ = io.WriteString(conn, "\r\n")
	chunk("id: 1\ndata: one\n\n")
	chunk("id: 2\ndata: two\n\n")
	closed := make(chan struct{})
	go func() {
		_, _ = reader.ReadByte()
		close(closed)
	}()
	select {
	case <-e.gate:
		chunk("id: 3\ndata: three\n\n")
		chunk("")
	case <-closed:
		e.left <- struct{}{}
	}
}

// testWorker is a storage daemon that runs items for a leader.
type testWorker struct {
	address string
	service *workerService
	server  *transport.Server
}

func startWorker(t *testing.T) *testWorker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &testWorker{address: listener.Addr().String(), service: &workerService{ctx: ctx, engines: upstream.NewClient(testCodec{}, nil), slots: newTestSlots(), hasCustomers: func() bool { return false }}}
	w.server = transport.NewServer(&transport.Identity{ID: "worker"}, func(_ transport.Class, stream *transport.Stream) {
		envelope, err := stream.Receive()
		if err == nil {
			w.service.serve(stream, envelope.GetItemRun())
		}
	})
	go func() { _ = w.server.Serve(listener) }()
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		w.server.Close()
		w.service.tasks.Wait()
	})
	return w
}

func startLeader(t *testing.T, term uint64, addresses ...string) *workers {
	t.Helper()
	client := transport.NewClient(&transport.Identity{ID: "leader"}, nil)
	w := newWorkers(client, log.New(io.Discard), func(string) []string { return addresses })
	w.setTerm(term)
	t.Cleanup(func() {
		w.close()
		client.Close()
	})
	return w
}

// testRun is a run of an item with the output that the leader has received.
type testRun struct {
	item *itemRun
}

func newTestRun(e *testEngine, resumeAfter string) *testRun {
	r := &runner{
		node:        &Node{Dispatcher: &node.Dispatcher{Quarantine: node.NewQuarantine(log.New(io.Discard), func() {})}},
		runAtEngine: func(ctx context.Context, x *itemRun) runEnd { return x.runOnAnyDaemon(ctx) },
	}
	return &testRun{item: &itemRun{
		runner: r, job: &pb.PageJob{Host: "h"}, item: &pb.PageItem{Id: "i", Path: "/p"},
		grant: dispatch.Grant{Address: e.address, Upstream: "u", DataCentre: "d"}, progress: &jobpages.ItemProgress{LastEventID: resumeAfter},
	}}
}

func (r *testRun) text() string {
	r.item.runner.mu.Lock()
	defer r.item.runner.mu.Unlock()
	return string(r.item.progress.Text)
}

// A leader that read the output of all runs itself could read about 9,000 events a
// second, fewer than 160 engines generate.
func TestWorkerRunsItemAndReportsOutput(t *testing.T) {
	expect := NewWithT(t)
	e, worker := startEngine(t), startWorker(t)
	leader := startLeader(t, 1, worker.address)
	run := newTestRun(e, "0")
	ended := make(chan runEnd, 1)
	go func() {
		end, ok := leader.run(context.Background(), run.item)
		if ok {
			ended <- end
		}
	}()
	expect.Eventually(run.text, testTimeout, time.Millisecond).Should(Equal("one\ntwo"))
	expect.Expect(<-e.after).To(Equal("0"))
	close(e.gate)
	var end runEnd
	expect.Eventually(ended, testTimeout).Should(Receive(&end))
	expect.Expect(end).To(Equal(runEnd{status: http.StatusOK, slotOutcome: dispatch.Served}))
	expect.Expect(run.text()).To(Equal("one\ntwo\nthree"))
	expect.Expect(run.item.progress.EventCount).To(Equal(3))
	expect.Expect(run.item.progress.LastEventID).To(Equal("3"))
}

// A preempted item continues after the output that its worker has reported, and the
// engine must stop at once.
func TestCancelledRunEndsAtEngineAndKeepsOutput(t *testing.T) {
	expect := NewWithT(t)
	e, worker := startEngine(t), startWorker(t)
	leader := startLeader(t, 1, worker.address)
	run := newTestRun(e, "")
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool, 1)
	go func() {
		_, ok := leader.run(ctx, run.item)
		ended <- ok
	}()
	expect.Eventually(run.text, testTimeout, time.Millisecond).Should(Equal("one\ntwo"))
	cancel()
	expect.Eventually(ended, testTimeout).Should(Receive(BeTrue()))
	expect.Eventually(e.left, testTimeout).Should(Receive())
	expect.Expect(run.item.progress.LastEventID).To(Equal("2"))
}

// A worker that is killed must not hold its items up, and gets none for a while.
func TestLostWorkerEndsItsRuns(t *testing.T) {
	expect := NewWithT(t)
	e, worker := startEngine(t), startWorker(t)
	leader := startLeader(t, 1, worker.address)
	run := newTestRun(e, "")
	ended := make(chan runEnd, 1)
	go func() {
		end, _ := leader.run(context.Background(), run.item)
		ended <- end
	}()
	expect.Eventually(run.text, testTimeout, time.Millisecond).Should(ContainSubstring("one"))
	worker.server.Close()
	var end runEnd
	expect.Eventually(ended, testTimeout).Should(Receive(&end))
	expect.Expect(end.outcome).To(Equal(jobpages.Interrupted))
	expect.Expect(leader.assign(time.Now(), "d")).To(BeNil())
	expect.Expect(leader.assign(time.Now().Add(workerBackoff), "d")).NotTo(BeNil())
}

// A deposed leader that does not know it yet must not take a worker from its successor,
// whose first run ends the runs of the old one.
func TestWorkerServesLatestTermOnly(t *testing.T) {
	expect := NewWithT(t)
	e, worker := startEngine(t), startWorker(t)
	older, newer := startLeader(t, 1, worker.address), startLeader(t, 2, worker.address)
	start := func(leader *workers, run *testRun) chan runEnd {
		ended := make(chan runEnd, 1)
		go func() {
			end, _ := leader.run(context.Background(), run.item)
			ended <- end
		}()
		return ended
	}
	first := newTestRun(e, "")
	firstEnded := start(older, first)
	expect.Eventually(first.text, testTimeout, time.Millisecond).Should(ContainSubstring("two"))
	second := newTestRun(e, "")
	secondEnded := start(newer, second)
	expect.Eventually(second.text, testTimeout, time.Millisecond).Should(ContainSubstring("two"))
	expect.Eventually(firstEnded, testTimeout).Should(Receive())
	expect.Eventually(start(older, newTestRun(e, "")), testTimeout).Should(Receive())
	close(e.gate)
	var end runEnd
	expect.Eventually(secondEnded, testTimeout).Should(Receive(&end))
	expect.Expect(end.status).To(Equal(http.StatusOK))
	expect.Expect(strings.Count(second.text(), "\n")).To(Equal(2))
}

// Without a worker in the data centre of the upstream, the leader runs the item.
func TestLeaderRunsItemWithoutWorker(t *testing.T) {
	expect := NewWithT(t)
	leader := startLeader(t, 1)
	_, ok := leader.run(context.Background(), newTestRun(startEngine(t), "").item)
	expect.Expect(ok).To(BeFalse())
}

func TestRunsSpreadOverWorkers(t *testing.T) {
	expect := NewWithT(t)
	leader := startLeader(t, 1, "127.0.0.1:1", "127.0.0.1:2")
	e := startEngine(t)
	counts := make(map[string]int)
	for range 10 {
		session := leader.assign(time.Now(), "d")
		leader.add(session, &remoteRun{ended: make(chan runEnd, 1)}, newTestRun(e, "").item)
		counts[session.address]++
	}
	expect.Expect(counts).To(Equal(map[string]int{"127.0.0.1:1": 5, "127.0.0.1:2": 5}))
}
