package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/internal/connpool"
)

const emptyRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n"

func refusalOf(id string) string { return emptyRefusal + "Id: " + id + "\r\n\r\n" }

func answerTo(id string) string {
	return "HTTP/1.1 200 OK\r\nMark: m\r\nContent-Length: 2\r\nId: " + id + "\r\n\r\nok"
}

// refusalRepeater is an engine that refuses the first request on each connection, and writes
// that refusal once more before its answer to the second one. It counts the requests that it
// runs.
func refusalRepeater(t *testing.T) (address string, ran *atomic.Int32) {
	t.Helper()
	ran = &atomic.Int32{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go repeatRefusal(conn, ran)
		}
	}()
	return listener.Addr().String(), ran
}

func repeatRefusal(conn net.Conn, ran *atomic.Int32) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	refusal := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Id")
		response := refusal + answerTo(id)
		if refusal == "" {
			refusal = refusalOf(id)
			response = refusal
		} else {
			ran.Add(1)
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

// do sends a request and ends its exchange.
func do(t *testing.T, client *Client, address, id string) ResponseHead {
	t.Helper()
	response, err := client.Do(context.Background(), newRequest(address, id))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer response.Close()
	response.Discard()
	return response.ResponseHead
}

func TestRepeatedRefusalOfAnotherRequestIsSkipped(t *testing.T) {
	g := NewWithT(t)
	client := NewClient(testCodec{}, nil)
	address, ran := refusalRepeater(t)
	g.Expect(do(t, client, address, "1").NotRun).To(BeTrue())
	second := do(t, client, address, "2")
	g.Expect(second.NotRun).To(BeFalse())
	g.Expect(second.Genuine).To(BeTrue())
	g.Expect(ran.Load()).To(BeEquivalentTo(1))
}

// A stream that waits for a full engine, and an item of a batch job, come to the same engine
// again with the same ID. An earlier refusal, written once more on the same connection, then
// looks like one of the request that runs.
func TestRepeatedRefusalOfTheSameRequestIsNotTakenForANewOne(t *testing.T) {
	g := NewWithT(t)
	client := NewClient(testCodec{}, nil)
	address, ran := refusalRepeater(t)
	for range 4 {
		g.Expect(do(t, client, address, "1").NotRun).To(BeTrue())
		g.Expect(ran.Load()).To(BeZero())
	}
	g.Expect(do(t, client, address, "2").NotRun).To(BeFalse())
}

// The IDs of the requests on a connection are kept as long as it is. Their number is limited.
func TestConnectionWithManyRequestsIsClosed(t *testing.T) {
	g := NewWithT(t)
	dials := 0
	client := NewClient(testCodec{}, func() { dials++ })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Id", r.Header.Get("Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	for i := range 3 * connpool.MaxRequests {
		g.Expect(do(t, client, listener.Addr().String(), strconv.Itoa(i)).NotRun).To(BeTrue())
	}
	g.Expect(dials).To(Equal(3))
}
