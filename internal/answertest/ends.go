package answertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// connEnd is how an upstream ends its connection after its answer.
type connEnd string

const (
	closed         connEnd = "closed"
	halfClosed     connEnd = "half-closed"
	reset          connEnd = "reset"
	resetAfterHalf connEnd = "reset 5 ms after a half-close"
)

// bodyForm is how an answer frames its body, and how much of it is sent.
type bodyForm struct {
	name   string
	fields string
	sent   string
	// framed is set if the end of the body is marked, whole if all of it is sent.
	framed, whole bool
}

const (
	wholeBody = "the whole body of an answer"
	bodyPart  = "the whole"
)

func bodyForms() []bodyForm {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(wholeBody))
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	const chunked = "Transfer-Encoding: chunked\r\n"
	return []bodyForm{
		{"no length", "", wholeBody, false, true},
		{"length", length, wholeBody, true, true},
		{"length, cut", length, bodyPart, true, false},
		{"chunks", chunked, chunk(bodyPart) + chunk(wholeBody[len(bodyPart):]) + "0\r\n\r\n", true, true},
		{"chunks, last one missing", chunked, chunk(wholeBody), true, false},
		{"chunks, cut", chunked, chunk(wholeBody)[:len(bodyPart)], true, false},
	}
}

const (
	// shortUpload fits the receive buffer of an upstream, so that its kernel acknowledges it
	// unread. longUpload does not; the send buffer of a client may take it.
	shortUpload = 1 << 10
	longUpload  = 1 << 20
	// unreadBufferBytes is the size of the read buffer of an upstream that leaves the upload
	// to its kernel.
	unreadBufferBytes = 16
	resetDelay        = 5 * time.Millisecond
	// watchdog ends the exchange with an upstream that does not take the request and keeps its
	// connection.
	watchdog = 2 * time.Second
	// halfClosedTime is how long a connection stays half-closed.
	halfClosedTime = 50 * time.Millisecond
)

// endCase is an answer at some point of the upload, with the end of its connection.
type endCase struct {
	status int
	form   bodyForm
	end    connEnd
	// upload is the size of the request's body; readAll is set if the upstream reads it
	// before it answers.
	upload  int
	readAll bool
}

func (c endCase) name() string {
	order := "before the upload was read"
	if c.readAll {
		order = "after the upload was read"
	}
	return fmt.Sprintf("%d, %s, %s, %s, upload %d", c.status, c.form.name, c.end, order, c.upload)
}

// complete reports whether a client may take the answer for whole.
func (c endCase) complete() bool {
	switch {
	case !c.form.whole:
		return false
	case c.form.framed:
		return true
	}
	return c.readAll && (c.end == closed || c.end == halfClosed)
}

// decidable reports whether the evidence tells what complete asks: a reset that comes after the
// end of an answer to a request that was acknowledged cannot be told from none, and a reset may
// drop what was not read.
func (c endCase) decidable() bool {
	acknowledged := c.readAll || c.upload == shortUpload
	return c.form.framed || !acknowledged || c.end != resetAfterHalf && (c.readAll || c.end != halfClosed)
}

// CheckEnds checks that an answer without its end, or of which the end of the connection cannot
// be the end, is not taken for whole; over statuses, framings, ends of the connection and the
// point of the upload at which the answer comes.
func CheckEnds(t *testing.T, kind ClientKind) {
	for _, status := range []int{200, 206, 404, 500, 503} {
		for _, form := range bodyForms() {
			for _, end := range []connEnd{closed, halfClosed, reset, resetAfterHalf} {
				for _, upload := range []int{shortUpload, longUpload} {
					for _, readAll := range []bool{false, true} {
						c := endCase{status, form, end, upload, readAll}
						if !c.decidable() {
							continue
						}
						t.Run(c.name(), func(t *testing.T) {
							t.Parallel()
							checkEnd(t, kind, c)
						})
					}
				}
			}
		}
	}
}

func checkEnd(t *testing.T, kind ClientKind, c endCase) {
	address, stop := Serve(t, func(conn net.Conn) { serveEnd(conn.(*net.TCPConn), kind, c) })
	defer stop()
	client := kind.New()
	defer client.Close()
	got := client.Do(address, "a", []byte(strings.Repeat("u", c.upload)))
	if got.Complete && !c.complete() {
		t.Errorf("complete: %+v", got)
	}
	// A reset may overtake the answer, and an upload that is not read may keep the client from
	// reading it.
	if sound := c.readAll && (c.end == closed || c.end == halfClosed); sound && c.complete() && (!got.Complete || got.Body != wholeBody) {
		t.Errorf("not complete: %+v", got)
	}
}

func serveEnd(conn *net.TCPConn, kind ClientKind, c endCase) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(watchdog))
	reader := bufio.NewReaderSize(conn, unreadBufferBytes)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if c.readAll {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\n%s: m\r\n%s: %s\r\n%s: 1\r\n%s\r\n%s",
		c.status, kind.MarkHeader, kind.IDHeader, request.Header.Get(kind.IDHeader), HeaderRun, c.form.fields, c.form.sent)
	switch c.end {
	case closed:
		return
	case halfClosed:
		_ = conn.CloseWrite()
		time.Sleep(halfClosedTime)
	case resetAfterHalf:
		_ = conn.CloseWrite()
		time.Sleep(resetDelay)
	}
	if c.end != halfClosed {
		_ = conn.SetLinger(0)
	}
}
