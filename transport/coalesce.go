package transport

import (
	"net"
	"sync"
)

// maxPendingBytes bounds the bytes that wait to be written to one connection;
// Write blocks above it.
const maxPendingBytes = 256 << 10

// coalescingConn combines the writes that arrive during an earlier write into a
// single one, since a yamux session writes the header and the body of each frame
// separately.
type coalescingConn struct {
	net.Conn
	traffic *Traffic
	// streams is told when the session closes the connection.
	streams *activity

	mu           sync.Mutex
	stateChanged *sync.Cond
	pending      []byte
	writeBuffer  []byte
	err          error
}

func newCoalescingConn(inner net.Conn, traffic *Traffic, streams *activity) *coalescingConn {
	c := &coalescingConn{Conn: inner, traffic: traffic, streams: streams}
	c.stateChanged = sync.NewCond(&c.mu)
	go c.flush()
	return c
}

// Write implements net.Conn. It returns before the data is sent; a later call
// returns a write error.
func (c *coalescingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil && len(c.pending) > maxPendingBytes {
		c.stateChanged.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	c.pending = append(c.pending, p...)
	c.traffic.sent.Add(uint64(len(p)))
	c.stateChanged.Broadcast()
	return len(p), nil
}

// Read implements net.Conn.
func (c *coalescingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// flush writes pending data until the connection fails or is closed.
func (c *coalescingConn) flush() {
	for {
		data, ok := c.takePending()
		if !ok {
			return
		}
		if _, err := c.Conn.Write(data); err != nil {
			c.fail(err)
			return
		}
	}
}

func (c *coalescingConn) takePending() ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil && len(c.pending) == 0 {
		c.stateChanged.Wait()
	}
	if c.err != nil {
		return nil, false
	}
	data := c.pending
	c.pending = c.writeBuffer[:0]
	c.writeBuffer = data
	c.stateChanged.Broadcast()
	return data, true
}

func (c *coalescingConn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	c.stateChanged.Broadcast()
}

// Close implements net.Conn. Pending data is dropped.
func (c *coalescingConn) Close() error {
	c.streams.close()
	c.fail(net.ErrClosed)
	return c.Conn.Close()
}
