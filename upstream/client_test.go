package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/internal/answer"
)

// testCodec is a HeaderCodec for the headers of these tests.
type testCodec struct{}

func (testCodec) Encode(header http.Header, request *Request) {
	header.Set("Id", request.ID)
	header.Set("Expect-Engine", request.ExpectedInstance)
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

func (testCodec) Decode(_ *Request, status int, header http.Header) ResponseHead {
	return ResponseHead{
		NotRun:        header.Get("Not-Run") != "",
		OtherInstance: status == http.StatusMisdirectedRequest, Genuine: header.Get("Mark") != "",
	}
}

// scriptedEngine responds to the n-th request that it reads, over all connections,
// with the n-th script. It closes the connection after an empty script or one that
// ends in <close>.
func scriptedEngine(t *testing.T, scripts ...string) (address string, requests <-chan *http.Request) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	received := make(chan *http.Request, len(scripts))
	next := make(chan string, len(scripts))
	for _, s := range scripts {
		next <- s
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScripts(conn, next, received)
		}
	}()
	return listener.Addr().String(), received
}

func serveScripts(conn net.Conn, next <-chan string, received chan<- *http.Request) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(strings.NewReader(string(body)))
		received <- request
		script := <-next
		if _, err := io.WriteString(conn, script); err != nil || script == "" || strings.HasSuffix(script, "<close>") {
			return
		}
	}
}

func newRequest(address, id string) *Request {
	return &Request{
		Address: address, ExpectedInstance: "i-1", ID: id, Method: "POST", Target: "/p/%41?q=1", Host: "h.example",
		Header: http.Header{"Kept": {"yes"}, "Connection": {"Dropped"}, "Dropped": {"no"}, "Transfer-Encoding": {"chunked"}},
		Body:   []byte("body"),
	}
}

func TestRequestIsForwardedWithoutHopByHopHeaders(t *testing.T) {
	g := NewWithT(t)
	address, requests := scriptedEngine(t, "HTTP/1.1 200 OK\r\nMark: m\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
	client := NewClient(testCodec{}, nil)
	response, err := client.Do(context.Background(), newRequest(address, "1"))
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("ok"))
	g.Expect(response.Complete()).To(BeTrue())
	g.Expect(response.Genuine).To(BeTrue())
	response.Close()
	request := <-requests
	sentBody, _ := io.ReadAll(request.Body)
	g.Expect(request.RequestURI).To(Equal("/p/%41?q=1"))
	g.Expect(request.Host).To(Equal("h.example"))
	g.Expect(string(sentBody)).To(Equal("body"))
	g.Expect(request.Header).To(HaveKeyWithValue("Kept", []string{"yes"}))
	g.Expect(request.Header).To(HaveKeyWithValue("Expect-Engine", []string{"i-1"}))
	g.Expect(request.Header).NotTo(HaveKey("Dropped"))
}

func TestConnectionIsReused(t *testing.T) {
	g := NewWithT(t)
	ok := func(id string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"
	}
	address, _ := scriptedEngine(t, ok("1"), ok("2"), ok("3"))
	dials := 0
	client := NewClient(testCodec{}, func() { dials++ })
	for _, id := range []string{"1", "2", "3"} {
		response, err := client.Do(context.Background(), newRequest(address, id))
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.ReadAll(response.Body)
		response.Close()
	}
	g.Expect(dials).To(Equal(1))
}

// A late response to an earlier request arrives on a connection before the response
// to the current one.
// The body of a stale response is skipped up to a limit. The rest of a longer one must
// not be read as the next response: it may look like one.
func TestLongStaleResponseIsNotReadAsNextResponse(t *testing.T) {
	expect := NewWithT(t)
	forged := "HTTP/1.1 200 OK\r\nMark: m\r\nId: 1\r\nContent-Length: 6\r\n\r\nforged"
	for _, skipped := range []int{answer.MaxStaleBodyBytes - 1, answer.MaxStaleBodyBytes, answer.MaxStaleBodyBytes + 1} {
		body := strings.Repeat("x", skipped) + forged
		stale := fmt.Sprintf("HTTP/1.1 200 OK\r\nMark: m\r\nId: 0\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		address, _ := scriptedEngine(t, stale+"<close>")
		c := NewClient(testCodec{}, nil)
		_, err := c.Do(context.Background(), newRequest(address, "1"))
		expect.Expect(err).To(HaveOccurred())
	}
}

func TestStaleResponseIsSkipped(t *testing.T) {
	g := NewWithT(t)
	stale := "HTTP/1.1 200 OK\r\nMark: m\r\nId: 0\r\nContent-Length: 5\r\n\r\nstale"
	address, _ := scriptedEngine(t, stale+"HTTP/1.1 200 OK\r\nMark: m\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
	response, err := NewClient(testCodec{}, nil).Do(context.Background(), newRequest(address, "1"))
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Close()
	body, _ := io.ReadAll(response.Body)
	g.Expect(string(body)).To(Equal("ok"))
}

// A late copy of the response to an earlier request carries no ID, and was taken for the
// response to the next request on the connection.
func TestLateResponseWithoutIDIsTakenForTheNextOne(t *testing.T) {
	expect := NewWithT(t)
	answer := "HTTP/1.1 200 OK\r\nMark: m\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	address, _ := scriptedEngine(t, answer, "HTTP/1.1 200 OK\r\nMark: m\r\nContent-Length: 5\r\n\r\nstale")
	client := NewClient(testCodec{}, nil)
	response, err := client.Do(context.Background(), newRequest(address, "1"))
	expect.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(response.Body)
	expect.Expect(err).NotTo(HaveOccurred())
	response.Close()
	_, err = client.Do(context.Background(), newRequest(address, "2"))
	expect.Expect(err).To(HaveOccurred())
	expect.Expect(ExecutionStateOf(err)).To(Equal(MayHaveRun))
}

// On a new connection, a response can only belong to the request that was sent.
func TestFirstResponseOnAConnectionNeedsNoID(t *testing.T) {
	expect := NewWithT(t)
	address, _ := scriptedEngine(t, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	response, err := NewClient(testCodec{}, nil).Do(context.Background(), newRequest(address, "1"))
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(response.NotRun).To(BeTrue())
	response.Close()
}

func TestFailedExchangeMayHaveRun(t *testing.T) {
	stale := "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1\r\n\r\nx"
	for name, script := range map[string]string{
		"closed":                        "",
		"truncated head":                "HTTP/1.1 200 OK\r\nContent-<close>",
		"malformed response":            "what is this<close>",
		"only stale responses":          stale + stale + stale + "<close>",
		"stale response without length": "HTTP/1.1 200 OK\r\nId: 0\r\n\r\nx<close>",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := scriptedEngine(t, script)
			_, err := NewClient(testCodec{}, nil).Do(context.Background(), newRequest(address, "1"))
			NewWithT(t).Expect(err).To(HaveOccurred())
			NewWithT(t).Expect(ExecutionStateOf(err)).To(Equal(MayHaveRun))
		})
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = NewClient(testCodec{}, nil).Do(context.Background(), newRequest(address, "1"))
	NewWithT(t).Expect(ExecutionStateOf(err)).To(Equal(NotSent))
}

func TestTruncatedBodyIsNotComplete(t *testing.T) {
	for name, script := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok<close>",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			if name == "length" {
				script = strings.TrimSuffix(script, "<close>")
			}
			address, _ := scriptedEngine(t, script, "")
			ctx, cancel := context.WithCancel(context.Background())
			response, err := NewClient(testCodec{}, nil).Do(ctx, newRequest(address, "1"))
			g.Expect(err).NotTo(HaveOccurred())
			first := make([]byte, 2)
			_, err = io.ReadFull(response.Body, first)
			g.Expect(err).NotTo(HaveOccurred())
			cancel()
			_, err = io.ReadAll(response.Body)
			g.Expect(err).To(HaveOccurred())
			g.Expect(response.Complete()).To(BeFalse())
			response.Close()
		})
	}
}

func TestCancelledRequestClosesConnection(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	closed := make(chan error, 1)
	requestRead := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			closed <- err
			return
		}
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		if err == nil {
			_, err = io.ReadAll(request.Body)
		}
		if err != nil {
			closed <- err
			return
		}
		close(requestRead)
		_, err = reader.ReadByte()
		closed <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-requestRead
		cancel()
	}()
	_, err = NewClient(testCodec{}, nil).Do(ctx, newRequest(listener.Addr().String(), "1"))
	g.Expect(errors.Is(err, context.Canceled)).To(BeTrue())
	g.Expect(<-closed).To(HaveOccurred())
}

// An engine that drops an idle connection without notice fails the next request on
// it. Later requests must not reuse connections that were idle for as long, to that
// engine or another.
func TestIdleLimitIsLearnedFromLostConnections(t *testing.T) {
	g := NewWithT(t)
	const idlePeriod = 300 * time.Millisecond
	dials := 0
	client := NewClient(testCodec{}, func() { dials++ })
	now := time.UnixMilli(1_000_000)
	client.now = func() time.Time { return now }
	do := func(address, id string) error {
		response, err := client.Do(context.Background(), newRequest(address, id))
		if err != nil {
			return err
		}
		defer response.Close()
		_, err = io.ReadAll(response.Body)
		return err
	}
	dropping, _ := scriptedEngine(t, answerTo("1"), "", answerTo("3"), answerTo("4"))
	other, _ := scriptedEngine(t, answerTo("1"), answerTo("2"))
	g.Expect(do(dropping, "1")).To(Succeed())
	g.Expect(do(other, "1")).To(Succeed())
	now = now.Add(idlePeriod)
	g.Expect(do(dropping, "2")).NotTo(Succeed())
	g.Expect(do(other, "2")).To(Succeed())
	g.Expect(do(dropping, "3")).To(Succeed())
	now = now.Add(idlePeriod)
	g.Expect(do(dropping, "4")).To(Succeed())
	g.Expect(dials).To(Equal(5))
}
