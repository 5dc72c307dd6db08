package connpool

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "") }

func listen(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// Requests with one ID got one connection, on which the answer to the first could pass for that
// to the second.
func TestIDIsSentOnceOnAConnection(t *testing.T) {
	address := listen(t)
	rapid.Check(t, func(t *rapid.T) {
		dials := 0
		pool := New(address, time.Second, func() { dials++ })
		defer pool.Close()
		sent := make(map[*Conn]map[string]bool)
		var inUse []*Conn
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(inUse) > 0 && rapid.Bool().Draw(t, "put") {
				pool.Put(inUse[0], time.Minute)
				inUse = inUse[1:]
				continue
			}
			id := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "id")
			conn, err := pool.GetFor(context.Background(), id)
			if err != nil {
				t.Fatal(err)
			}
			if sent[conn] == nil {
				sent[conn] = make(map[string]bool)
			} else if id == "" || !conn.Reused {
				t.Fatalf("connection of an earlier request for ID %q, reused: %v", id, conn.Reused)
			}
			if sent[conn][id] {
				t.Fatalf("ID %q twice on a connection", id)
			}
			sent[conn][id] = true
			inUse = append(inUse, conn)
		}
		if dials != len(sent) {
			t.Fatalf("%d dials for %d connections", dials, len(sent))
		}
		for _, conn := range inUse {
			_ = conn.Close()
		}
	})
}

func TestRequestsWithOtherIDsShareAConnection(t *testing.T) {
	g := NewWithT(t)
	dials := 0
	pool := New(listen(t), time.Second, func() { dials++ })
	t.Cleanup(pool.Close)
	for i := range 2 * MaxRequests {
		conn, err := pool.GetFor(context.Background(), strconv.Itoa(i))
		g.Expect(err).NotTo(HaveOccurred())
		pool.Put(conn, time.Minute)
	}
	g.Expect(dials).To(Equal(2))
}
