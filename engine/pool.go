package engine

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// conn is one connection to an upstream with its buffers.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// written counts the bytes of the current request that left the process.
	written   int
	idleSince time.Time
}

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxIdleTime bounds the reuse of a connection; it is below the usual
	// idle timeouts of servers.
	maxIdleTime = 4 * time.Second
	// maxIdleConns bounds the idle connections of one pool.
	maxIdleConns = 256
)

// countingWriter counts what the kernel accepted.
type countingWriter struct{ conn *conn }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Conn.Write(p)
	w.conn.written += n
	return n, err
}

// pool keeps idle connections to one address.
type pool struct {
	address string
	dialer  net.Dialer
	mu      sync.Mutex
	idle    []*conn
	closed  bool
}

// get returns an idle connection that the upstream has not closed, or dials.
func (p *pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if time.Since(c.idleSince) < maxIdleTime && c.reader.Buffered() == 0 && alive(c.Conn) {
			c.written = 0
			return c, nil
		}
		_ = c.Conn.Close()
	}
}

func (p *pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, eris.Wrap(err, "engine: connect")
	}
	c := &conn{Conn: raw}
	c.reader = bufio.NewReaderSize(raw, readBufferBytes)
	c.writer = bufio.NewWriterSize(countingWriter{c}, writeBufferBytes)
	return c, nil
}

// put returns a connection whose last answer was read to its end.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		_ = c.Conn.Close()
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Conn.Close()
	}
	p.idle = nil
}
