package entrynode

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const rawRequest = "POST /stream/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nTimeout-Ms: 2500\r\nContent-Length: 0\r\n\r\n"

// startStoppable starts an entry, and returns a connection to it and a function that ends
// the entry as Stop does once it is out of rotation.
func startStoppable(t *testing.T) (n *Node, conn net.Conn, endConns func() <-chan struct{}) {
	t.Helper()
	url, n := startEntry(t, startEngine(t, func(int, *http.Request) string { return chunked("r1", events(1, 6)) }))
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return n, conn, func() <-chan struct{} {
		n.stopping.Store(true)
		_ = n.callersListener.Close()
		done := make(chan struct{})
		go func() {
			defer close(done)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			n.callerConns.drain(ctx)
		}()
		return done
	}
}

func (c *callerConns) countOf(state http.ConnState) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, s := range c.conns {
		if s.state == state {
			count++
		}
	}
	return count
}

// readResponse reads a response and its body.
func readResponse(t *testing.T, reader *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

// A caller connects just before an entry ends its connections, and sends its request. It was
// cut off without a response: under load, a new connection is read late.
func TestRequestOnANewConnectionIsCutOffByAStop(t *testing.T) {
	expect := NewWithT(t)
	n, conn, endConns := startStoppable(t)
	expect.Eventually(func() int { return n.callerConns.countOf(http.StateNew) }, testTimeout, time.Millisecond).Should(Equal(1))
	done := endConns()
	_, err := io.WriteString(conn, rawRequest)
	expect.Expect(err).NotTo(HaveOccurred())
	response, body := readResponse(t, bufio.NewReader(conn))
	expect.Expect(body).To(Equal(events(1, 6)))
	expect.Expect(response.Close).To(BeTrue())
	expect.Eventually(done, testTimeout).Should(BeClosed())
}

// A request is read in part when the entry ends its connections.
func TestRequestThatIsBeingReadIsCutOffByAStop(t *testing.T) {
	expect := NewWithT(t)
	n, conn, endConns := startStoppable(t)
	reader := bufio.NewReader(conn)
	_, err := io.WriteString(conn, rawRequest)
	expect.Expect(err).NotTo(HaveOccurred())
	readResponse(t, reader)
	expect.Eventually(func() int { return n.callerConns.countOf(http.StateIdle) }, testTimeout, time.Millisecond).Should(Equal(1))
	body := strings.Repeat("b", 500)
	_, err = io.WriteString(conn, strings.Replace(rawRequest, "Content-Length: 0", "Content-Length: 500", 1)+body[:100])
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Eventually(func() int { return n.callerConns.countOf(http.StateActive) }, testTimeout, time.Millisecond).Should(Equal(1))
	done := endConns()
	_, err = io.WriteString(conn, body[100:])
	expect.Expect(err).NotTo(HaveOccurred())
	_, got := readResponse(t, reader)
	expect.Expect(got).To(Equal(events(1, 6)))
	expect.Eventually(done, testTimeout).Should(BeClosed())
}

// Without requests, connections would hold a stop up to the end of the grace period.
func TestUnusedConnectionsEndWithAStop(t *testing.T) {
	expect := NewWithT(t)
	n, conn, endConns := startStoppable(t)
	expect.Eventually(func() int { return n.callerConns.countOf(http.StateNew) }, testTimeout, time.Millisecond).Should(Equal(1))
	expect.Expect(n.callerConns.endUnread(time.Now())).To(Equal(1))
	done := endConns()
	expect.Eventually(done, testTimeout).Should(BeClosed())
	_, err := conn.Read(make([]byte, 1))
	expect.Expect(err).To(Equal(io.EOF))
}

// Callers send one request after the other on open connections until the entry closes
// them. Each request that is passed on to an engine gets its response.
func TestOpenConnectionsLoseNoRequestToAStop(t *testing.T) {
	expect := NewWithT(t)
	engine := startEngine(t, func(int, *http.Request) string { return chunked("r1", events(1, 6)) })
	engine.slots = 64
	go func() {
		for range engine.received {
		}
	}()
	url, n := startEntry(t, engine)
	results := make(chan int)
	const callers = 16
	for range callers {
		go func() {
			answered := 0
			defer func() { results <- answered }()
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for {
				if _, err := io.WriteString(conn, rawRequest); err != nil {
					return
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					return
				}
				if body, err := io.ReadAll(response.Body); err != nil || string(body) != events(1, 6) {
					return
				}
				answered++
				if response.Close {
					return
				}
			}
		}()
	}
	expect.Eventually(engine.requestCount.Load, testTimeout, time.Millisecond).Should(BeNumerically(">", 200))
	go func() { _ = n.Stop() }()
	answered := 0
	for range callers {
		answered += <-results
	}
	expect.Expect(engine.requestCount.Load()).To(BeEquivalentTo(answered))
}

// A caller sends its next request on a connection that a stream kept open late into the
// grace period. It was passed on to an engine, and cut without a response when that ended.
func TestRequestThatComesLateInAStopIsCutOff(t *testing.T) {
	expect := NewWithT(t)
	engine := startEngine(t, func(int, *http.Request) string { return chunked("r1", events(1, 6)) })
	url, n := startEntry(t, engine)
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	expect.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	// The end is nearer than the 2.5 s that the request may take.
	now := time.Now()
	n.stopTimes.Store(&stopTimes{outOfRotation: now, end: now.Add(2 * time.Second)})
	n.stopping.Store(true)
	_, err = io.WriteString(conn, rawRequest)
	expect.Expect(err).NotTo(HaveOccurred())
	response, _ := readResponse(t, bufio.NewReader(conn))
	expect.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	expect.Expect(response.Close).To(BeTrue())
	expect.Expect(engine.requestCount.Load()).To(BeZero())
}

// Within the time in which the load balancer sends connections, requests are taken whatever
// time they may need; later only those that end before the entry does.
func TestStopAdmitsWhatEndsInTime(t *testing.T) {
	expect := NewWithT(t)
	now := time.Now()
	times := newStopTimes(now, 8*time.Second)
	expect.Expect(times.admits(now.Add(2*time.Second), 15*time.Second)).To(BeTrue())
	expect.Expect(times.admits(now.Add(3*time.Second), 4*time.Second)).To(BeTrue())
	expect.Expect(times.admits(now.Add(3*time.Second), 5*time.Second)).To(BeFalse())
	expect.Expect(times.admits(now.Add(6900*time.Millisecond), 200*time.Millisecond)).To(BeFalse())
	expect.Expect(newStopTimes(now, 4*time.Second).outOfRotation).To(Equal(now.Add(2 * time.Second)))
}
