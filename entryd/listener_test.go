package entryd

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// connectWatched returns the server's and the caller's end of a TCP connection.
func connectWatched(t *testing.T) (*watchedConn, net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := watchedListener{inner}
	t.Cleanup(func() { _ = listener.Close() })
	caller, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = caller.Close()
		_ = conn.Close()
	})
	return conn.(*watchedConn), caller
}

func TestWatchReportsClosedConnection(t *testing.T) {
	conn, caller := connectWatched(t)
	closed := make(chan struct{})
	stop := conn.watch(func() { close(closed) })
	_ = caller.Close()
	<-closed
	stop()
}

func TestWatchKeepsFirstByteOfNextRequest(t *testing.T) {
	g := NewWithT(t)
	conn, caller := connectWatched(t)
	stop := conn.watch(func() { t.Error("onClose was called for an open connection") })
	_, err := caller.Write([]byte("next"))
	g.Expect(err).NotTo(HaveOccurred())
	stop()
	text := make([]byte, 4)
	_, err = io.ReadFull(conn, text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(Equal("next"))
}

func TestConnectionIsReadableAfterWatchStops(t *testing.T) {
	g := NewWithT(t)
	conn, caller := connectWatched(t)
	for _, text := range []string{"one", "two"} {
		conn.watch(func() { t.Error("onClose was called for an open connection") })()
		_, err := caller.Write([]byte(text))
		g.Expect(err).NotTo(HaveOccurred())
		got := make([]byte, len(text))
		_, err = io.ReadFull(conn, got)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got)).To(Equal(text))
	}
}
