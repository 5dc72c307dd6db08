package operator

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/internal/answertest"
)

// respond serves a response to each connection and returns a client of that server.
func respond(t *testing.T, response *string) *Client {
	t.Helper()
	address, stop := answertest.Serve(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 64<<10))
		_, _ = io.WriteString(conn, *response)
	})
	t.Cleanup(stop)
	return NewClient("http://" + address)
}

// A response with the status 000 was taken for a success.
func TestStatusThatIsNoneIsNoSuccess(t *testing.T) {
	var response string
	client := respond(t, &response)
	for status := range 1000 {
		if status/100 == 1 || status == 204 || status == 304 {
			continue
		}
		response = fmt.Sprintf("HTTP/1.1 %03d Status\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}", status)
		err := client.PostToSidecar(PathDrain)
		expect := NewWithT(t)
		if status == 200 {
			expect.Expect(err).NotTo(HaveOccurred())
			continue
		}
		var failure *Failure
		expect.Expect(errors.As(err, &failure)).To(BeTrue(), "%03d: %v", status, err)
		if status < 200 || status > 599 {
			expect.Expect(failure.Kind).To(Equal(OutcomeUnknown), "%03d", status)
		}
	}
}

// The outcome of a request whose response ends early is unknown.
func TestResponseThatEndsEarlyIsNoOutcome(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}"
	var failure *Failure
	expect := NewWithT(t)
	expect.Expect(errors.As(respond(t, &response).PostToSidecar(PathDrain), &failure)).To(BeTrue())
	expect.Expect(failure.Kind).To(Equal(OutcomeUnknown))
}
