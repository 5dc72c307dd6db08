package daemon

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

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/clientlimit"
)

const (
	clientTestTimeout  = 20 * time.Second
	clientPollInterval = 10 * time.Millisecond
)

var testClientLimits = clientlimit.Limits{
	MemoryBytes: 1 << 20, ReservedBytes: 256 << 10, SmallBytes: 64 << 10, Connections: 20,
	MinBytesPerSecond: 1 << 10, EvictableLag: 100 * time.Millisecond, MaxLag: time.Minute,
}

// bodyServer is a server that reads the bodies of its requests as clients of a limiter, and
// answers with their length.
type bodyServer struct {
	clients *Clients
	address string
}

func startBodyServer(t *testing.T, limits clientlimit.Limits) *bodyServer {
	t.Helper()
	expect := NewWithT(t)
	listener, err := ListenClients("test", "127.0.0.1:0")
	expect.Expect(err).NotTo(HaveOccurred())
	s := &bodyServer{clients: NewClients(limits, nil), address: listener.Addr().String()}
	type connKey struct{}
	server := &http.Server{
		ConnState: s.clients.Track,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			held := s.clients.Serve(r.Context().Value(connKey{}).(net.Conn))
			if held == nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			body, err := held.ReadBody(r.Body, r.ContentLength, 1<<20, 1)
			if err != nil {
				w.Header().Set("Connection", "close")
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			_, _ = fmt.Fprint(w, len(body))
		}),
	}
	go func() { _ = server.Serve(s.clients.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// send sends a part of a request with a body of a length.
func (s *bodyServer) send(expect *WithT, length, sent int) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	expect.Expect(err).NotTo(HaveOccurred())
	_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
	return conn
}

// post sends a whole request and returns the body of its response, empty without one of status 200.
func (s *bodyServer) post(expect *WithT, length int) string {
	conn := s.send(expect, length, length)
	defer func() { _ = conn.Close() }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return ""
	}
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

func TestStalledBodiesAreGivenUpForNewConnections(t *testing.T) {
	expect := NewWithT(t)
	s := startBodyServer(t, testClientLimits)
	for range 3 * testClientLimits.Connections {
		conn := s.send(expect, 10, 9)
		defer func() { _ = conn.Close() }()
	}
	expect.Eventually(func() string { return s.post(expect, 10) }, clientTestTimeout, clientPollInterval).Should(Equal("10"))
}

func TestLargeBodyIsRefusedBeforeItIsRead(t *testing.T) {
	expect := NewWithT(t)
	s := startBodyServer(t, testClientLimits)
	large := int(testClientLimits.MemoryBytes)
	conn := s.send(expect, large, 0)
	defer func() { _ = conn.Close() }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
}

// A body that has stopped arriving gives its memory to one that needs it.
func TestStalledBodyIsGivenUpForAnother(t *testing.T) {
	expect := NewWithT(t)
	s := startBodyServer(t, testClientLimits)
	size := 400 << 10
	stalled := s.send(expect, size, size-1)
	defer func() { _ = stalled.Close() }()
	expect.Eventually(func() string { return s.post(expect, size) }, clientTestTimeout, clientPollInterval).Should(Equal(strconv.Itoa(size)))
	response, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	expect.Eventually(func() int64 {
		s.clients.mu.Lock()
		defer s.clients.mu.Unlock()
		return s.clients.limiter.HeldBytes()
	}, clientTestTimeout, clientPollInterval).Should(BeZero())
}

func TestIdleConnectionIsClosedForANewOne(t *testing.T) {
	expect := NewWithT(t)
	s := startBodyServer(t, testClientLimits)
	for range 3 * testClientLimits.Connections {
		conn, err := net.Dial("tcp", s.address)
		expect.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
	}
	expect.Eventually(func() string { return s.post(expect, 10) }, clientTestTimeout, clientPollInterval).Should(Equal("10"))
	s.clients.mu.Lock()
	defer s.clients.mu.Unlock()
	expect.Expect(s.clients.limiter.Connections()).To(BeNumerically("<=", testClientLimits.Connections))
}

// trickle is a body that arrives in pieces of one byte.
type trickle struct{ left int }

func (b *trickle) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	b.left--
	p[0] = 'x'
	return 1, nil
}

func TestBodyOfUnknownLengthIsReadUpToItsLimit(t *testing.T) {
	expect := NewWithT(t)
	clients := NewClients(testClientLimits, nil)
	for _, size := range []int{0, 1, firstBufferBytes, firstBufferBytes + 1, 100_000} {
		request := clients.Begin()
		body, err := request.ReadBody(&trickle{size}, -1, 100_000, 3)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(body).To(HaveLen(size))
		expect.Expect(clients.limiter.HeldBytes()).To(Equal(int64(3 * cap(body))))
		request.End()
		expect.Expect(clients.limiter.HeldBytes()).To(BeZero())
	}
	request := clients.Begin()
	_, err := request.ReadBody(&trickle{100_001}, -1, 100_000, 3)
	expect.Expect(err).To(MatchError(ErrBodyTooLarge))
	_, err = request.ReadBody(&trickle{}, 100_001, 100_000, 3)
	expect.Expect(err).To(MatchError(ErrBodyTooLarge))
}
