package upstream

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startEndless starts an engine that answers with a beginning and then repeats a part until
// its peer closes the connection. It returns the number of bytes that it could send.
func startEndless(t *testing.T, beginning, part string) (address string, sent *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	sent = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, err := io.WriteString(conn, beginning)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, part)
					sent.Add(int64(n))
				}
			}()
		}
	}()
	return listener.Addr().String(), sent
}

// Bytes that are no answer came until the caller closed, and were all kept in memory
// until the deadline of the request.
func TestEndlessHeadIsCutOff(t *testing.T) {
	filler := strings.Repeat("a", 4<<10)
	for name, endless := range map[string]struct{ beginning, part string }{
		"status line":             {"HTTP/1.1 200 ", filler},
		"header":                  {"HTTP/1.1 200 OK\r\nA: ", filler},
		"headers":                 {"HTTP/1.1 200 OK\r\n", "A: " + filler + "\r\n"},
		"informational responses": {"", "HTTP/1.1 102 Processing\r\nA: " + filler + "\r\n\r\n"},
		"no protocol":             {"", filler},
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			address, sent := startEndless(t, endless.beginning, endless.part)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := NewClient(testCodec{}, nil).Do(ctx, newRequest(address, "1"))
			expect.Expect(err).To(HaveOccurred())
			expect.Expect(ctx.Err()).NotTo(HaveOccurred())
			expect.Expect(ExecutionStateOf(err)).To(Equal(MayHaveRun))
			// The kernel buffers some megabytes on both sides.
			expect.Expect(sent.Load()).To(BeNumerically("<", 32<<20))
		})
	}
}

// The limit of a head does not count the body, nor the heads of later responses.
func TestLimitOfHeadsDoesNotCountBodies(t *testing.T) {
	expect := NewWithT(t)
	body := strings.Repeat("b", 200<<10)
	answer := "HTTP/1.1 200 OK\r\nMark: m\r\nId: 1\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	address, _ := scriptedEngine(t, answer, answer, answer)
	client := NewClient(testCodec{}, nil)
	for range 3 {
		response, err := client.Do(context.Background(), newRequest(address, "1"))
		expect.Expect(err).NotTo(HaveOccurred())
		got, err := io.ReadAll(response.Body)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(string(got) == body).To(BeTrue())
		response.Close()
	}
}
