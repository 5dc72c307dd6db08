package answertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// head is the begin of a response and whether it is one of an answer.
type head struct {
	text string
	want bool
}

// heads returns the begins of responses with each status of three digits, other status lines
// and other framings. A head that is none is followed by a whole one.
func heads() []head {
	const rest = "\r\nContent-Length: 2\r\n"
	var all []head
	for status := range 1000 {
		all = append(all, head{fmt.Sprintf("HTTP/1.1 %03d Status%s", status, rest), status >= 200 && status <= 599})
	}
	for _, line := range []string{
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 0x2 OK", "HTTP/1.1 ٢٠٠ OK",
		"HTTP/2.0 200 OK", "HTTP/2 200 OK", "HTTP/3.0 200 OK", "HTTP/0.9 200 OK", "HTTP/11 200 OK", "HTTP/1.1", "HTTP/1.1 ", "http/1.1 200 OK",
		"ICY 200 OK", "200 OK", "OK", "killed",
	} {
		all = append(all, head{line + rest, false})
	}
	for _, fields := range []string{
		"Content-Length: 2\r\nContent-Length: 3\r\n", "Content-Length: -1\r\n", "Content-Length: +2\r\n", "Content-Length: 2x\r\n",
		"Content-Length: 99999999999999999999\r\n", "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
		"Content-Length: 2\r\nkilled\r\n", "Content-Length: 2\r\nBad Name: x\r\n",
		"Content-Length : 2\r\n", "Content-Length: 2\r\nA: \x00\r\n", "Content-Length: 2\r\nA: a\x7fb\r\n",
	} {
		all = append(all, head{"HTTP/1.1 200 OK\r\n" + fields, false})
	}
	return append(all, head{"HTTP/1.0 200 OK" + rest, true}, head{"HTTP/1.1 200" + rest, true}, head{"HTTP/1.1 200 \r\n" + "Content-Length: 2\r\n", true})
}

// CheckHeads checks that a client returns answers for the heads of answers alone, and that the
// next request gets its own answer after any other bytes.
func CheckHeads(t *testing.T, kind ClientKind) {
	address, stop := Serve(t, func(conn net.Conn) { sendHeads(conn, kind) })
	defer stop()
	client := kind.New()
	defer client.Close()
	for i, h := range heads() {
		id := fmt.Sprintf("head-%d", i)
		got := client.Do(address, id, []byte(h.text))
		interim := strings.HasPrefix(h.text, "HTTP/1.1 1") && !strings.HasPrefix(h.text, "HTTP/1.1 101")
		switch {
		case interim && got != Result{Run: "next", Status: http.StatusOK, Body: "ok", Complete: true}:
			t.Errorf("%q before an answer: got %+v", h.text, got)
		case !interim && !h.want && got != Result{}:
			t.Errorf("%q is no answer: got %+v", h.text, got)
		case h.want && (got.Run != id || !got.Complete):
			t.Errorf("%q is an answer: got %+v", h.text, got)
		}
		want := Result{Run: "sound-" + id, Status: http.StatusOK, Body: "ok", Complete: true}
		if got := client.Do(address, "sound-"+id, []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n")); got != want {
			t.Errorf("after %q: got %+v, want %+v", h.text, got, want)
		}
	}
}

// sendHeads answers each request with the head in its body.
func sendHeads(conn net.Conn, kind ClientKind) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get(kind.IDHeader)
		common := kind.MarkHeader + ": m\r\n" + kind.IDHeader + ": " + id + "\r\n"
		response := string(text) + common + HeaderRun + ": " + id + "\r\n\r\n"
		if !strings.HasPrefix(response, "HTTP/1.1 204") && !strings.HasPrefix(response, "HTTP/1.1 304") && !strings.HasPrefix(response, "HTTP/1.1 1") {
			response += "ok"
		}
		if !strings.HasPrefix(id, "sound-") {
			response += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + common + HeaderRun + ": next\r\n\r\nok"
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}
