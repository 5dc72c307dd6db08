package entrynode

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/daemon"
)

// dialEntry starts an entry with an engine, and returns a connection to it.
func dialEntry(t *testing.T) (*Node, *engine, net.Conn) {
	t.Helper()
	e := startEngine(t, func(int, *http.Request) string { return chunked("r1", events(1, 2)) })
	url, n := startEntry(t, e)
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return n, e, conn
}

func writeBody(expect *WithT, conn net.Conn, length, sent int) {
	_, err := fmt.Fprintf(conn, "POST /stream/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
	expect.Expect(err).NotTo(HaveOccurred())
}

func TestRequestIsRefusedWhileCallersHoldAllMemory(t *testing.T) {
	expect := NewWithT(t)
	n, e, conn := dialEntry(t)
	limits, err := n.settings.ClientLimits()
	expect.Expect(err).NotTo(HaveOccurred())
	var others []*daemon.ClientRequest
	for held := int64(0); held < limits.MemoryBytes; held += limits.SmallBytes {
		other := n.clients.Begin()
		expect.Expect(other.Grow(min(limits.SmallBytes, limits.MemoryBytes-held))).To(Succeed())
		others = append(others, other)
	}
	writeBody(expect, conn, 10, 10)
	response, body := readResponse(t, bufio.NewReader(conn))
	expect.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	expect.Expect(response.Header.Get("Retry-After")).To(Equal("1.00"))
	expect.Expect(response.Close).To(BeTrue())
	expect.Expect(body).To(Equal("memory_full\n"))
	expect.Expect(e.requestCount.Load()).To(BeZero(), "a refused request has not run")
	for _, other := range others {
		other.End()
	}
	again, err := net.Dial("tcp", conn.RemoteAddr().String())
	expect.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = again.Close() }()
	writeBody(expect, again, 10, 10)
	response, _ = readResponse(t, bufio.NewReader(again))
	expect.Expect(response.StatusCode).To(Equal(http.StatusOK))
}

func TestRequestWithABodyThatStopsIsEnded(t *testing.T) {
	expect := NewWithT(t)
	n, e, conn := dialEntry(t)
	writeBody(expect, conn, 10, 9)
	type result struct {
		response *http.Response
		body     string
	}
	results := make(chan result, 1)
	go func() {
		response, body := readResponse(t, bufio.NewReader(conn))
		results <- result{response, body}
	}()
	var got result
	expect.Eventually(func() bool {
		n.clients.EndStalled()
		select {
		case got = <-results:
			return true
		default:
			return false
		}
	}, testTimeout, pollInterval).Should(BeTrue())
	expect.Expect(got.response.StatusCode).To(Equal(http.StatusRequestTimeout))
	expect.Expect(got.response.Close).To(BeTrue())
	expect.Expect(got.body).To(Equal("body_too_slow\n"))
	expect.Expect(e.requestCount.Load()).To(BeZero(), "a refused request has not run")
}

// A refusal without the body having been read must not keep the connection of a caller that sends
// nothing more: no other could be opened.
func TestConnectionOfARefusedRequestCanBeClosedForOthers(t *testing.T) {
	expect := NewWithT(t)
	n, _, conn := dialEntry(t)
	_, err := fmt.Fprint(conn, "POST /none HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 10\r\n\r\n")
	expect.Expect(err).NotTo(HaveOccurred())
	one := make([]byte, 1)
	read := make(chan error, 1)
	go func() {
		for {
			if _, err := conn.Read(one); err != nil {
				read <- err
				return
			}
		}
	}()
	expect.Eventually(func() bool {
		n.clients.EndStalled()
		select {
		case <-read:
			return true
		default:
			return false
		}
	}, testTimeout, pollInterval).Should(BeTrue(), "the connection is closed")
}
