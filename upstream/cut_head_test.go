package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// An engine that stops in the middle of the head of its response and closes has sent no
// response. It must not look like one with an empty or short body.
func TestHeadThatStopsHalfWayIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nMark: m\r\nId: 1\r\nContent-Length: 1234\r\n\r\n",
		"chunks":      "HTTP/1.1 200 OK\r\nMark: m\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"unframed":    "HTTP/1.1 200 OK\r\nMark: m\r\nId: 1\r\n\r\n",
		"informative": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nMark: m\r\nId: 1\r\n\r\n",
		"line feeds":  strings.ReplaceAll("HTTP/1.1 200 OK\r\nMark: m\r\nId: 1\r\n\r\n", "\r", ""),
		"no body":     "HTTP/1.1 204 No Content\r\nMark: m\r\nId: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for size := 1; size < len(head); size++ {
				_, err := NewClient(testCodec{}, nil).Do(context.Background(), newRequest(closingEngine(t, head[:size]), "1"))
				g.Expect(err).To(HaveOccurred(), "head cut after %d bytes: %q", size, head[:size])
				g.Expect(ExecutionStateOf(err)).To(Equal(MayHaveRun))
			}
		})
	}
}

// closingEngine reads one request, sends a response that may be incomplete, and closes the
// connection.
func closingEngine(t *testing.T, response string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, response)
	}()
	return listener.Addr().String()
}
