// Package answertest holds the properties that all clients of upstreams must have, with the
// upstreams that test them; see package answer.
package answertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// HeaderRun is the header with the number of the run that an answer belongs to.
const HeaderRun = "Run"

// Result is what a client has received for one request.
type Result struct {
	// Run is the value of HeaderRun; empty without the head of an answer.
	Run    string
	Status int
	Body   string
	// Complete is set if the client takes the answer for whole.
	Complete bool
}

// Client is a client under test.
type Client interface {
	// Do sends a request with an ID to an address.
	Do(address, id string, body []byte) Result
	// Close ends the client.
	Close()
}

// ClientKind is a kind of clients under test.
type ClientKind struct {
	Name string
	New  func() Client
	// IDHeader is the header with the ID of a request and of its answer, MarkHeader one that
	// answers must have.
	IDHeader, MarkHeader string
}

// framing is how an answer marks the end of its body.
type framing int

const (
	withLength framing = iota
	inChunks
	untilClose
)

// plan is how an upstream answers one request.
type plan struct {
	status  int
	framing framing
	// hideID is set if the answer has no ID.
	hideID bool
	// copies are numbers of earlier answers on the connection, which are written once more,
	// counted from the latest one.
	copies []int
	// copiesAfter is set if the copies follow the answer instead of preceding it.
	copiesAfter bool
}

func drawPlan(t *rapid.T) plan {
	return plan{
		status:      rapid.SampledFrom([]int{200, 201, 204, 206, 304, 400, 404, 409, 421, 422, 429, 500, 502, 503, 504, 599}).Draw(t, "status"),
		framing:     framing(rapid.IntRange(0, int(untilClose)).Draw(t, "framing")),
		hideID:      rapid.IntRange(0, 9).Draw(t, "hideID") == 0,
		copies:      rapid.SliceOfN(rapid.IntRange(0, 3), 0, 2).Draw(t, "copies"),
		copiesAfter: rapid.Bool().Draw(t, "copiesAfter"),
	}
}

// copier is an upstream that writes answers once more.
type copier struct {
	kind ClientKind
	mu   sync.Mutex
	next plan
	runs int
}

func (c *copier) set(p plan) (run int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = p
	return c.runs + 1
}

func (c *copier) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var earlier []string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		c.mu.Lock()
		c.runs++
		run, p := c.runs, c.next
		c.mu.Unlock()
		copies := ""
		for _, i := range p.copies {
			if i < len(earlier) {
				copies += earlier[len(earlier)-1-i]
			}
		}
		id := request.Header.Get(c.kind.IDHeader)
		if p.hideID {
			id = ""
		}
		answer := c.format(p, id, run)
		earlier = append(earlier, answer)
		if p.copiesAfter && p.framing != untilClose {
			answer += copies
		} else {
			answer = copies + answer
		}
		if _, err := io.WriteString(conn, answer); err != nil || p.framing == untilClose {
			return
		}
	}
}

// format returns the answer of a run. Its body names the run.
func (c *copier) format(p plan, id string, run int) string {
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Type: text/plain\r\n%s: m\r\n%s: %d\r\n", p.status, c.kind.MarkHeader, HeaderRun, run)
	if id != "" {
		head += c.kind.IDHeader + ": " + id + "\r\n"
	}
	body := runBody(p.status, run)
	switch {
	case p.framing == untilClose:
		return head + "Connection: close\r\n\r\n" + body
	case body == "":
		return head + "\r\n"
	case p.framing == inChunks:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	}
	return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func runBody(status, run int) string {
	if status == http.StatusNoContent || status == http.StatusNotModified {
		return ""
	}
	return "run " + strconv.Itoa(run)
}

// CheckAnswersBelongToTheirExchange checks that the answer that a client returns is that of the
// exchange, whatever earlier answers an upstream writes once more, also if requests have the
// same ID.
func CheckAnswersBelongToTheirExchange(t *testing.T, kind ClientKind) {
	rapid.Check(t, func(rt *rapid.T) {
		upstream := &copier{kind: kind}
		address, stop := Serve(rt, upstream.serve)
		defer stop()
		client := kind.New()
		defer client.Close()
		idsHidden := false
		for range rapid.IntRange(2, 12).Draw(rt, "exchanges") {
			id := rapid.SampledFrom([]string{"a", "a", "b", "c"}).Draw(rt, "id")
			p := drawPlan(rt)
			idsHidden = idsHidden || p.hideID
			run := upstream.set(p)
			result := client.Do(address, id, []byte("body"))
			if result.Run == "" && idsHidden {
				// An answer without an ID may belong to any request.
				continue
			}
			want := Result{Run: strconv.Itoa(run), Status: p.status, Body: runBody(p.status, run), Complete: true}
			if result != want {
				rt.Fatalf("request %s got %+v, want %+v", id, result, want)
			}
		}
	})
}

// CheckCopiesOfStatus checks the answer to the second request with an ID, after an upstream has
// written its answer of some status to the first one once or twice more.
func CheckCopiesOfStatus(t *testing.T, kind ClientKind) {
	for _, status := range []int{200, 204, 304, 400, 404, 421, 422, 429, 500, 502, 503, 504} {
		for _, copies := range [][]int{{0}, {0, 0}} {
			t.Run(strconv.Itoa(status)+" "+strconv.Itoa(len(copies)), func(t *testing.T) {
				upstream := &copier{kind: kind}
				address, stop := Serve(t, upstream.serve)
				defer stop()
				client := kind.New()
				defer client.Close()
				for _, p := range []plan{{status: status}, {status: 200, copies: copies}, {status: status}, {status: 200, copies: copies}} {
					run := upstream.set(p)
					want := Result{Run: strconv.Itoa(run), Status: p.status, Body: runBody(p.status, run), Complete: true}
					if result := client.Do(address, "a", []byte("body")); result != want {
						t.Errorf("got %+v, want %+v", result, want)
					}
				}
			})
		}
	}
}

// Fataler is the part of a test that Serve needs.
type Fataler interface {
	Fatalf(format string, args ...any)
}

// Serve serves each connection to the returned address until stop is called.
func Serve(t Fataler, serve func(net.Conn)) (address string, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	var mu sync.Mutex
	var conns []net.Conn
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			tasks.Go(func() { serve(conn) })
		}
	})
	return listener.Addr().String(), func() {
		_ = listener.Close()
		mu.Lock()
		open := slices.Clone(conns)
		mu.Unlock()
		for _, conn := range open {
			_ = conn.Close()
		}
		tasks.Wait()
	}
}
