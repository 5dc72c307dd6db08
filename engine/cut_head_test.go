package engine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/engine"
)

// An engine that stops in the middle of the head of its response and closes has sent no
// response. It must not look like one with an empty or short body.
func TestHeadThatStopsHalfWayIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1234\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"empty":  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for size := 1; size < len(head); size++ {
				address := serve(t, func(listener net.Listener) error { return answerOnce(listener, head[:size]) })
				client := engine.NewModelClient("http://"+address, engine.Options{TargetIsEntry: true})
				var r recordingSink
				result := client.Run(t.Context(), completion("a", "crest"), r.sink)
				client.Close()
				g.Expect(result.Complete).To(BeFalse(), "head cut after %d bytes: %q", size, head[:size])
				g.Expect(result.Sent).To(BeTrue())
				g.Expect(r.head).To(BeNil())
			}
		})
	}
}

// answerOnce reads one request, sends a response that may be incomplete, and closes the
// connection.
func answerOnce(listener net.Listener, response string) error {
	defer func() { _ = listener.Close() }()
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return err
	}
	_, err = io.WriteString(conn, response)
	return err
}
