package entrynode

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/routing"
	"github.com/briarcross/briarcross/transport"
	"github.com/briarcross/briarcross/upstream"
)

const (
	testTimeout  = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

// testCodec uses header names that only these tests know.
type testCodec struct{}

func (testCodec) Encode(header http.Header, request *upstream.Request) {
	header.Set("Id", request.ID)
	header.Set("Engine", request.ExpectedInstance)
	header.Set("Remaining-Ms", strconv.FormatInt(request.TimeToDeadline.Milliseconds(), 10))
	if request.ResumeAfter != "" {
		header.Set("After", request.ResumeAfter)
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
	return upstream.ResponseHead{
		AcceptedRate: rate, RateStated: err == nil,
		NotRun:        header.Get("Not-Run") != "",
		OtherInstance: status == http.StatusMisdirectedRequest && header.Get("Unmet") == "", Unmet: header.Get("Unmet") != "", Genuine: header.Get("Mark") != "", Leaving: header.Get("Leaving") != "",
	}
}

func (testCodec) ParseRequestHeaders(r *http.Request) RequestHeaders {
	ms, err := strconv.Atoi(r.Header.Get("Timeout-Ms"))
	if err != nil {
		ms = 0
	}
	return RequestHeaders{ID: r.Header.Get("Id"), TimeToDeadline: time.Duration(ms) * time.Millisecond, ResumeAfter: r.Header.Get("After"), ResumedID: r.Header.Get("Resumes")}
}

func (testCodec) ParseCredentials(header http.Header) Credentials {
	values := header["Key"]
	return Credentials{Given: len(values) > 0, Key: strings.Join(values, "")}
}

func (testCodec) IdentifiesCustomer(name string) bool { return name == "Key" }

func (testCodec) ApplyChange(*routing.Table, *pb.RoutingChange) (*routing.Table, routing.Difference, error) {
	return nil, routing.Difference{}, errors.New("no changes")
}

func (testCodec) ParseJob([]byte) (Job, error) { return Job{}, nil }

func (testCodec) ParseTable(document []byte) (*routing.Table, error) {
	route := func(name string, kind routing.Kind, attempts int, resumable bool) routing.Route {
		return routing.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: kind, Splits: []routing.Split{{Service: "s", Weight: 1}},
			Timeout: 3 * time.Second, LatencyObjective: 400 * time.Millisecond, MaxAttempts: attempts, Resumable: resumable,
		}
	}
	hedged := func(r routing.Route, share float64) routing.Route {
		r.HedgeShare = share
		return r
	}
	table := &routing.Table{
		Version:  4,
		Services: []routing.Service{{Name: "s", TokenCapacity: 1000}},
		Limits:   routing.Limits{MaxBodyBytes: 1000, MaxHeaderBytes: 2000},
		Routes: []routing.Route{
			route("resume", routing.Streaming, 2, true), route("stream", routing.Streaming, 1, false),
			route("repeat", routing.Idempotent, 2, false), route("once", routing.Mutating, 2, false),
			hedged(route("hedge", routing.Streaming, 2, true), 1), hedged(route("hedge3", routing.Streaming, 3, true), 1),
			hedged(route("hedgewhole", routing.Idempotent, 2, false), 1), hedged(route("hedgerarely", routing.Streaming, 2, true), 0.01),
			hedged(route("hedgeonce", routing.Mutating, 2, false), 1), hedged(route("hedgestream", routing.Streaming, 2, false), 1),
			hedged(route("hedge1", routing.Streaming, 1, true), 1),
		},
	}
	if err := addCustomers(table, document); err != nil {
		return nil, err
	}
	return table, table.Build()
}

// engine is a test server that sends scripted responses. Its scripts must not
// depend on which engine gets a request.
type engine struct {
	address string
	// version is the software version that heartbeats report.
	version string
	// slots is the number of slots that heartbeats report.
	slots        int
	received     chan *http.Request
	requestCount atomic.Int32
}

// startEngine starts an engine. The script gets the number of the request, from 1,
// and returns a raw response; if that ends in "<cut>", the connection is closed.
func startEngine(t *testing.T, script func(call int, r *http.Request) string) *engine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &engine{address: listener.Addr().String(), slots: 4, received: make(chan *http.Request, 64)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, script)
		}
	}()
	return e
}

func (e *engine) serve(conn net.Conn, script func(int, *http.Request) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		e.received <- r
		response := script(int(e.requestCount.Add(1)), r)
		raw, cut := strings.CutSuffix(response, "<cut>")
		if _, err := io.WriteString(conn, raw); err != nil || cut {
			return
		}
	}
}

// chunked returns a response with the body in one chunk. If the body ends in
// "<cut>", the final chunk is missing and the connection is closed.
func chunked(id, body string) string {
	content, cut := strings.CutSuffix(body, "<cut>")
	response := "HTTP/1.1 200 OK\r\nMark: m\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n", len(content), content)
	if cut {
		return response + "<cut>"
	}
	return response + "0\r\n\r\n"
}

func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: x%d\n\n", n, n)
	}
	return b.String()
}

// startEntry starts an entry with a fake control replica that reports the engines
// as its upstreams.
func startEntry(t *testing.T, engines ...*engine) (url string, n *Node) {
	t.Helper()
	address := freeAddress(t)
	return startEntryAt(t, address, []string{address}, engines...)
}

// startEntryAt starts an entry at an address. Its control replica reports the engines
// and the entries at some addresses.
func startEntryAt(t *testing.T, address string, entries []string, engines ...*engine) (url string, n *Node) {
	t.Helper()
	return startEntryWith(t, entryOptions{address: address, entries: entries, document: "table"}, engines...)
}

// entryOptions are what a test sets of an entry and its control replica.
type entryOptions struct {
	address string
	entries []string
	// document is the first routing document, changes are later updates.
	document string
	changes  chan *pb.FleetUpdate
	// output gets the log lines unless it is nil.
	output io.Writer
}

func startEntryWith(t *testing.T, options entryOptions, engines ...*engine) (url string, n *Node) {
	t.Helper()
	first := &pb.FleetUpdate{RoutingVersion: 4, RoutingDocument: []byte(options.document), Current: true}
	for i, e := range engines {
		first.Upstreams = append(first.Upstreams, &pb.UpstreamBeat{
			Id: fmt.Sprintf("i-%d", i), BornUnixMs: 1, Sequence: 1, Service: "s", Address: e.address,
			DataCentre: "d", Slots: uint32(e.slots), Phase: pb.UpstreamPhase_UPSTREAM_READY, SoftwareVersion: e.version,
		})
	}
	for _, entry := range options.entries {
		first.Daemons = append(first.Daemons, &pb.Daemon{Id: entry, Role: node.RoleEntry, DataCentre: "d", Address: entry, Incarnation: 1})
	}
	control, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := transport.NewServer(&transport.Identity{ID: "control"}, func(_ transport.Class, stream *transport.Stream) {
		if _, err := stream.Receive(); err != nil {
			return
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for {
				if _, err := stream.Receive(); err != nil {
					return
				}
			}
		}()
		update := first
		for stream.Send(&pb.Envelope{Body: &pb.Envelope_FleetUpdate{FleetUpdate: update}}) == nil {
			update = &pb.FleetUpdate{Current: true}
			select {
			case <-ended:
				return
			case update = <-options.changes:
			case <-time.After(node.UpdateInterval):
			}
		}
	})
	go func() { _ = server.Serve(control) }()
	settings := &node.Settings{
		ID: options.address, Role: node.RoleEntry, DataCentre: "d", Address: options.address, Seeds: []string{control.Addr().String()},
		CallersAddress: freeAddress(t), ReadyAddress: freeAddress(t), HeartbeatInterval: time.Hour, GracePeriod: 4 * time.Second,
	}
	if options.output == nil {
		options.output = io.Discard
	}
	n, err = Start(settings, testCodec{}, log.New(options.output), func(n *Node) Handlers {
		return Handlers{Callers: http.HandlerFunc(n.Serve), Ready: http.NotFoundHandler()}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		n.cancel()
		_ = n.callersServer.Close()
		_ = n.readyServer.Close()
		n.Close()
		n.tasks.Wait()
		_ = control.Close()
		server.Close()
	})
	NewWithT(t).Eventually(n.Ready, testTimeout, pollInterval).Should(BeTrue())
	return "http://" + settings.CallersAddress, n
}

// awaitCurrent waits until the view of an entry counts as current.
func awaitCurrent(t *testing.T, n *Node) {
	t.Helper()
	NewWithT(t).Eventually(func() bool { return n.View.Current(time.Now()) }, testTimeout, pollInterval).Should(BeTrue())
}

// networkLockPort is the port on which a test process listens until it ends, to
// reserve a loopback network.
const networkLockPort = 17701

// hostsPerNetwork is the number of hosts in a network that tests use.
const hostsPerNetwork = 200

// testHosts holds the loopback network that this process has reserved last, and the
// number of its hosts that tests use. No host is used twice.
var testHosts struct {
	sync.Mutex
	network, used int
	locks         []net.Listener
}

// reserveNetwork returns the number of a loopback network that no other test process
// on the machine uses, and the listener that reserves it.
func reserveNetwork() (int, net.Listener, error) {
	for network := range 250 {
		lock, err := net.Listen("tcp", fmt.Sprintf("127.79.%d.1:%d", network, networkLockPort))
		if err == nil {
			return network, lock, nil
		}
	}
	return 0, nil, eris.New("all loopback networks 127.79.0.0 to 127.79.249.0 are in use")
}

// freeAddress returns an address that no other test of this or another process uses.
func freeAddress(t *testing.T) string {
	t.Helper()
	testHosts.Lock()
	defer testHosts.Unlock()
	if len(testHosts.locks) == 0 || testHosts.used == hostsPerNetwork {
		network, lock, err := reserveNetwork()
		if err != nil {
			t.Fatal(err)
		}
		testHosts.network, testHosts.used = network, 0
		testHosts.locks = append(testHosts.locks, lock)
	}
	testHosts.used++
	return fmt.Sprintf("127.79.%d.%d:18000", testHosts.network, testHosts.used)
}

// Two test processes on one machine must not use the same addresses.
func TestProcessesReserveDistinctNetworks(t *testing.T) {
	var networks []int
	for range 2 {
		network, lock, err := reserveNetwork()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = lock.Close() }()
		networks = append(networks, network)
	}
	if networks[0] == networks[1] {
		t.Fatalf("network %d was reserved twice", networks[0])
	}
}

type callerResponse struct {
	status     int
	body       string
	err        error
	retryAfter string
	mark       string
}

func send(t *testing.T, url, path string) callerResponse {
	t.Helper()
	return sendWith(t, url, path, nil)
}

// sendWith sends a request with more headers, which may replace its ID.
func sendWith(t *testing.T, url, path string, headers map[string]string) callerResponse {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "r1")
	r.Header.Set("Timeout-Ms", "2500")
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	return do(r)
}

// do sends a request on a connection of its own.
func do(r *http.Request) callerResponse {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, string(body), err, response.Header.Get("Retry-After"), response.Header.Get("Mark")}
}

func TestInterruptedStreamResumesAtOtherEngine(t *testing.T) {
	for name, firstResponse := range map[string]string{
		"connection closed in an event":       chunked("r1", events(1, 3)+"id: 4\nda<cut>"),
		"connection closed between events":    chunked("r1", events(1, 3)+"<cut>"),
		"response complete, event incomplete": strings.TrimSuffix(chunked("r1", events(1, 3)+"id: 4\nda"), "<cut>"),
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			var calls atomic.Int32
			script := func(_ int, r *http.Request) string {
				if calls.Add(1) == 1 {
					return firstResponse
				}
				return chunked("r1", events(4, 6))
			}
			a, b := startEngine(t, script), startEngine(t, script)
			url, _ := startEntry(t, a, b)
			got := send(t, url, "/resume/x")
			expect.Expect(got.err).NotTo(HaveOccurred())
			expect.Expect(got.body).To(Equal(events(1, 6)))
			expect.Expect(a.requestCount.Load()).To(BeEquivalentTo(1))
			expect.Expect(b.requestCount.Load()).To(BeEquivalentTo(1))
			resumed := <-b.received
			if resumed.Header.Get("After") == "" {
				resumed = <-a.received
			}
			expect.Expect(resumed.Header.Get("After")).To(Equal("3"))
		})
	}
}

func TestInterruptedStreamOfNonResumableRouteIsAborted(t *testing.T) {
	expect := NewWithT(t)
	script := func(int, *http.Request) string { return chunked("r1", events(1, 3)+"id: 4\nda<cut>") }
	a, b := startEngine(t, script), startEngine(t, script)
	url, _ := startEntry(t, a, b)
	got := send(t, url, "/stream/x")
	expect.Expect(got.err).To(HaveOccurred())
	expect.Expect(got.body).To(Equal(events(1, 3)))
	expect.Expect(a.requestCount.Load() + b.requestCount.Load()).To(BeEquivalentTo(1))
}

func TestInterruptedRequestIsNotReportedAsNotRun(t *testing.T) {
	for path, calls := range map[string]int{"/once/x": 1, "/stream/x": 1, "/repeat/x": 2, "/resume/x": 2} {
		t.Run(path, func(t *testing.T) {
			expect := NewWithT(t)
			script := func(int, *http.Request) string { return "<cut>" }
			a, b := startEngine(t, script), startEngine(t, script)
			url, _ := startEntry(t, a, b)
			got := send(t, url, path)
			expect.Expect(got.status).To(Equal(http.StatusBadGateway))
			expect.Expect(int(a.requestCount.Load() + b.requestCount.Load())).To(Equal(calls))
		})
	}
}

func TestRequestNotRunIsSentToOtherEngine(t *testing.T) {
	for name, refusal := range map[string]string{
		"no free slot":   "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: r1\r\nContent-Length: 0\r\n\r\n",
		"other instance": "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			var calls atomic.Int32
			script := func(int, *http.Request) string {
				if calls.Add(1) == 1 {
					return refusal
				}
				return chunked("r1", events(1, 2))
			}
			url, _ := startEntry(t, startEngine(t, script), startEngine(t, script))
			got := send(t, url, "/stream/x")
			expect.Expect(got.status).To(Equal(http.StatusOK))
			expect.Expect(got.body).To(Equal(events(1, 2)))
		})
	}
}

func TestRequestNotRunAnywhereGetsRetryAfter(t *testing.T) {
	expect := NewWithT(t)
	script := func(int, *http.Request) string {
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	}
	url, _ := startEntry(t, startEngine(t, script), startEngine(t, script))
	got := send(t, url, "/once/x")
	expect.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	expect.Expect(got.retryAfter).NotTo(BeEmpty())
}

func TestResponsesNotFromEngineAreNotRelayed(t *testing.T) {
	for name, response := range map[string]string{
		"no mark":         "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok",
		"not HTTP":        "garbage\r\n\r\n<cut>",
		"another request": strings.Repeat("HTTP/1.1 200 OK\r\nMark: m\r\nId: r0\r\nContent-Length: 2\r\n\r\nno", 4) + "<cut>",
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			url, _ := startEntry(t, startEngine(t, func(int, *http.Request) string { return response }))
			got := send(t, url, "/once/x")
			expect.Expect(got.status).To(Equal(http.StatusBadGateway))
			expect.Expect(got.mark).To(BeEmpty())
		})
	}
}

func TestEngineErrorIsRelayedUnchanged(t *testing.T) {
	expect := NewWithT(t)
	script := func(int, *http.Request) string {
		return "HTTP/1.1 500 Internal Server Error\r\nMark: m\r\nId: r1\r\nContent-Length: 4\r\n\r\noops"
	}
	url, _ := startEntry(t, startEngine(t, script), startEngine(t, script))
	got := send(t, url, "/once/x")
	expect.Expect(got.status).To(Equal(http.StatusInternalServerError))
	expect.Expect(got.body).To(Equal("oops"))
	expect.Expect(got.mark).To(Equal("m"))
}

// Bodies of errors without end were passed on until the deadlines of the callers: 75 callers read
// 21 GB.
func TestEndlessBodyOfAnErrorIsNotRelayed(t *testing.T) {
	for name, body := range map[string]string{
		"framed":   "Content-Length: 1073741824\r\n\r\n" + strings.Repeat("x", 2*maxBufferedBytes),
		"unframed": "Connection: close\r\n\r\n" + strings.Repeat("x", 2*maxBufferedBytes) + "<cut>",
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			script := func(int, *http.Request) string {
				return "HTTP/1.1 500 Internal Server Error\r\nMark: m\r\nId: r1\r\n" + body
			}
			url, _ := startEntry(t, startEngine(t, script), startEngine(t, script))
			got := send(t, url, "/once/x")
			expect.Expect(got.status).To(Equal(http.StatusBadGateway))
			expect.Expect(len(got.body)).To(BeNumerically("<", 1000))
		})
	}
}

func TestEngineGetsTimeToDeadline(t *testing.T) {
	expect := NewWithT(t)
	e := startEngine(t, func(int, *http.Request) string { return chunked("r1", events(1, 1)) })
	url, _ := startEntry(t, e)
	expect.Expect(send(t, url, "/stream/x").status).To(Equal(http.StatusOK))
	remaining, err := strconv.Atoi((<-e.received).Header.Get("Remaining-Ms"))
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(remaining).To(And(BeNumerically("<=", 2500), BeNumerically(">", 0)))
}

func TestUnresponsiveEngineTimesOutAtDeadline(t *testing.T) {
	expect := NewWithT(t)
	release := make(chan struct{})
	defer close(release)
	e := startEngine(t, func(int, *http.Request) string {
		<-release
		return "<cut>"
	})
	url, _ := startEntry(t, e)
	got := send(t, url, "/once/x")
	expect.Expect(got.status).To(Equal(http.StatusGatewayTimeout))
}

func TestCallerDisconnectCancelsUpstreamRequest(t *testing.T) {
	expect := NewWithT(t)
	ended := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	expect.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	started := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		if r, err := http.ReadRequest(reader); err == nil {
			_, _ = io.ReadAll(r.Body)
		}
		close(started)
		_, _ = reader.ReadByte()
		close(ended)
	}()
	url, _ := startEntry(t, &engine{address: listener.Addr().String(), slots: 4})
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	expect.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(conn, "POST /stream/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 4\r\n\r\nbody")
	expect.Expect(err).NotTo(HaveOccurred())
	<-started
	expect.Expect(conn.Close()).To(Succeed())
	expect.Eventually(ended, testTimeout).Should(BeClosed())
}

func TestRoutingTableLimits(t *testing.T) {
	expect := NewWithT(t)
	url, _ := startEntry(t, startEngine(t, func(int, *http.Request) string { return "<cut>" }))
	r, err := http.NewRequest(http.MethodPost, url+"/once/x", strings.NewReader(strings.Repeat("x", 1001)))
	expect.Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	response, err := http.DefaultClient.Do(r)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	_ = response.Body.Close()
	got := send(t, url, "/unknown/x")
	expect.Expect(got.status).To(Equal(http.StatusNotFound))
}

func TestMissingRoutingTableIsReportedAsUnavailable(t *testing.T) {
	expect := NewWithT(t)
	settings := &node.Settings{
		ID: "entry", Role: node.RoleEntry, DataCentre: "d", Address: freeAddress(t), Seeds: []string{freeAddress(t)},
		CallersAddress: freeAddress(t), ReadyAddress: freeAddress(t), HeartbeatInterval: time.Hour, GracePeriod: 4 * time.Second,
	}
	n, err := Start(settings, testCodec{}, log.New(io.Discard), func(n *Node) Handlers {
		return Handlers{Callers: http.HandlerFunc(n.Serve), Ready: http.NotFoundHandler()}
	})
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(n.Ready()).To(BeFalse())
	got := send(t, "http://"+settings.CallersAddress, "/unknown/x")
	expect.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	expect.Expect(got.retryAfter).NotTo(BeEmpty())
	n.cancel()
	_ = n.callersServer.Close()
	_ = n.readyServer.Close()
	n.Close()
}

// A connection on which no request was sent must not delay a planned stop until
// the process is killed.
func TestUnusedConnectionDoesNotDelayStop(t *testing.T) {
	expect := NewWithT(t)
	url, n := startEntry(t, startEngine(t, func(int, *http.Request) string { return chunked("r1", events(1, 2)) }))
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	expect.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	expect.Expect(send(t, url, "/stream/x").status).To(Equal(http.StatusOK))
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop() }()
	expect.Eventually(n.Ready, testTimeout, pollInterval).Should(BeFalse())
	// Until the load balancer takes it out of rotation, the entry serves requests.
	expect.Expect(send(t, url, "/stream/x").body).To(Equal(events(1, 2)))
	expect.Expect(<-stopped).NotTo(HaveOccurred())
}
