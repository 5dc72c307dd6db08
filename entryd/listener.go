package entryd

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// writeTimeout bounds the time for which a part of a response waits for a caller that does not read.
const writeTimeout = 30 * time.Second

// watchedListener accepts connections as watchedConn.
type watchedListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn}, nil
}

// watchedConn detects that the caller closes the connection while a request is
// being handled. The HTTP library does not read during that time, so a
// background read of one byte detects the close. A byte that arrives instead is
// kept for the library's next Read.
type watchedConn struct {
	net.Conn
	mu sync.Mutex
	// pending holds bytes read by watch that Read has not returned yet.
	pending []byte
}

// NetConn returns the underlying connection.
func (c *watchedConn) NetConn() net.Conn {
	return c.Conn
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.pending) > 0 && len(p) > 0 {
		n := copy(p, c.pending)
		c.pending = c.pending[n:]
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// Write implements net.Conn. It ends the connection of a caller that does not read.
func (c *watchedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// watch calls onClose when the caller closes the connection. The returned
// function ends the watch and must be called before the next Read.
func (c *watchedConn) watch(onClose func()) (stop func()) {
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		c.readByte(onClose)
	}()
	return func() {
		past := time.Unix(1, 0)
		_ = c.SetReadDeadline(past)
		<-finished
		_ = c.SetReadDeadline(time.Time{})
	}
}

func (c *watchedConn) readByte(onClose func()) {
	var buf [1]byte
	n, err := c.Conn.Read(buf[:])
	if n > 0 {
		c.mu.Lock()
		c.pending = append(c.pending, buf[0])
		c.mu.Unlock()
		return
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		onClose()
	}
}
