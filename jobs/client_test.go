package jobs

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/internal/answertest"
)

// A response with the status 000 was taken for a success. All other statuses but 200 are failures,
// and those that are none leave it unknown whether the request was executed.
func TestOnlyStatus200IsASuccess(t *testing.T) {
	var status int
	address, stop := answertest.Serve(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 64<<10))
		_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.1 %03d Status\r\nConnection: close\r\nContent-Length: 11\r\n\r\n{\"id\":\"j1\"}", status))
	})
	defer stop()
	client := NewClient(Options{EntryURL: "http://" + address})
	for status = range 1000 {
		if status/100 == 1 || status == 204 || status == 304 {
			continue
		}
		expect := NewWithT(t)
		job, err := client.Get("j1")
		if status == 200 {
			expect.Expect(err).NotTo(HaveOccurred())
			expect.Expect(job.ID).To(Equal("j1"))
			continue
		}
		var failure *Failure
		expect.Expect(errors.As(err, &failure)).To(BeTrue(), "%03d: %v", status, err)
		expect.Expect(failure.OutcomeUnknown).To(Equal(status < 200 || status > 599), "%03d", status)
	}
}
