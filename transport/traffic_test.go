package transport

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

func TestTrafficOfAClassIsCounted(t *testing.T) {
	g := NewWithT(t)
	identity := &Identity{ID: "e1"}
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conn := newCoalescingConn(near, identity.Traffic(Batch), newActivity())
	defer func() { _ = conn.Close() }()

	_, err := conn.Write([]byte("five!"))
	g.Expect(err).NotTo(HaveOccurred())
	var got [5]byte
	_, err = io.ReadFull(far, got[:])
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _, _ = far.Write([]byte("abc")) }()
	_, err = io.ReadFull(conn, got[:3])
	g.Expect(err).NotTo(HaveOccurred())

	g.Expect(identity.Traffic(Batch).Sent()).To(BeEquivalentTo(5))
	g.Expect(identity.Traffic(Batch).Received()).To(BeEquivalentTo(3))
	g.Expect(identity.Traffic(Online).Sent()).To(BeZero())
}
