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

// A faulty engine writes an earlier refusal once more on a kept connection. Without an ID it
// looks like the response to the next request, which runs.
func TestRepeatedRefusalIsNotTakenForTheNextResponse(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfull"
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"
	address := serve(t, func(listener net.Listener) error {
		refused := false
		for {
			conn, err := listener.Accept()
			if err != nil {
				return err
			}
			if err := answerAll(conn, func(first bool) string {
				switch {
				case !refused:
					refused = true
					return refusal
				case first:
					return answer
				}
				return refusal + answer
			}); err != nil {
				return err
			}
		}
	})
	g := NewWithT(t)
	client := engine.NewModelClient("http://"+address, engine.Options{TargetIsEntry: true})
	t.Cleanup(client.Close)
	var r recordingSink
	g.Expect(client.Run(t.Context(), completion("a", "crest"), r.sink).Status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(client.Run(t.Context(), completion("b", "crest"), r.sink).Status).To(Equal(http.StatusOK))
}

// answerAll answers the requests of a connection until it ends. The responses depend on
// whether a request is the first one of the connection.
func answerAll(conn net.Conn, response func(first bool) string) error {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return err
		}
		if _, err := io.WriteString(conn, response(first)); err != nil {
			return err
		}
	}
}
