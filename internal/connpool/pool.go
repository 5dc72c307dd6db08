// Package connpool pools the idle TCP connections to one address.
package connpool

import (
	"bufio"
	"context"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Conn is a connection with its read and write buffers.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	Writer *bufio.Writer
	// BytesWritten is the number of bytes of the current request that the
	// kernel has accepted.
	BytesWritten int
	// Reused is set when the connection has served an earlier request.
	Reused bool
	// IdleTime is how long a reused connection was idle before the current
	// request.
	IdleTime time.Duration

	// sentIDs holds the hashes of the IDs with which requests were sent.
	sentIDs []uint64

	// readLimit is the number of bytes that Read may still return if limited is set.
	readLimit int
	limited   bool
	idleSince time.Time
	idleUntil time.Time
}

const (
	// BufferBytes is the size of each buffer of a connection.
	BufferBytes = 4 << 10
	// DefaultMaxIdleTime is how long a connection may be idle if its server
	// announces no limit. It is below the usual idle timeouts of servers.
	DefaultMaxIdleTime = 4 * time.Second
	// maxIdleConns is the maximum number of idle connections in a pool.
	maxIdleConns = 256
	// MaxRequests is the number of requests after which a connection is closed, and with it
	// the memory of their IDs.
	MaxRequests = 512
)

// countingWriter counts the bytes that the kernel accepted in BytesWritten.
type countingWriter struct{ conn *Conn }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Conn.Write(p)
	w.conn.BytesWritten += n
	return n, err
}

// ErrReadLimit means that the peer sent more bytes than LimitReads allows.
var ErrReadLimit = eris.New("peer sent too many bytes")

// LimitReads limits how many more bytes Reader may read from the peer.
func (c *Conn) LimitReads(limit int) { c.readLimit, c.limited = limit, true }

// UnlimitReads ends the limit of LimitReads.
func (c *Conn) UnlimitReads() { c.limited = false }

// limitedReader applies the limit of LimitReads.
type limitedReader struct{ conn *Conn }

func (r limitedReader) Read(p []byte) (int, error) {
	if !r.conn.limited {
		return r.conn.Conn.Read(p)
	}
	if r.conn.readLimit <= 0 {
		return 0, ErrReadLimit
	}
	n, err := r.conn.Conn.Read(p[:min(len(p), r.conn.readLimit)])
	r.conn.readLimit -= n
	return n, err
}

// Pool keeps idle connections to one address. It is safe for concurrent use.
type Pool struct {
	address   string
	dialer    net.Dialer
	onDial    func()
	idleLimit *IdleLimit
	now       func() time.Time
	mu        sync.Mutex
	idle      []*Conn
	closed    bool
}

// New returns a pool for an address. A zero dialTimeout sets no limit. onDial,
// unless nil, is called before each attempt to connect.
func New(address string, dialTimeout time.Duration, onDial func()) *Pool {
	return &Pool{address: address, dialer: net.Dialer{Timeout: dialTimeout}, onDial: onDial, now: time.Now}
}

// SetIdleLimit sets an idle limit, which pools may share, and the clock of the
// pool. It must be called before the pool is used.
func (p *Pool) SetIdleLimit(l *IdleLimit, now func() time.Time) { p.idleLimit, p.now = l, now }

// Address returns the address that the pool connects to.
func (p *Pool) Address() string { return p.address }

// GetFor returns a usable connection for a request with an ID, and dials one if there is none.
// No request with that ID was sent on the connection before, so that no answer to an earlier one
// can have that ID. For a request without an ID it always dials.
func (p *Pool) GetFor(ctx context.Context, requestID string) (*Conn, error) {
	id := hashID(requestID)
	for requestID != "" {
		c := p.popIdle(id)
		if c == nil {
			break
		}
		if p.usable(c, p.now()) {
			c.BytesWritten = 0
			c.Reused = true
			c.sentIDs = append(c.sentIDs, id)
			return c, nil
		}
		_ = c.Conn.Close()
	}
	c, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	c.sentIDs = append(c.sentIDs, id)
	return c, nil
}

// idSeed is the seed of the hashes of IDs. Two IDs with one hash cost a connection.
var idSeed = maphash.MakeSeed()

func hashID(id string) uint64 { return maphash.String(idSeed, id) }

func (p *Pool) usable(c *Conn, now time.Time) bool {
	c.IdleTime = now.Sub(c.idleSince)
	if p.idleLimit != nil && c.IdleTime > p.idleLimit.At(now) {
		return false
	}
	return now.Before(c.idleUntil) && c.Reader.Buffered() == 0 && isReusable(c.Conn)
}

// popIdle removes the connection that was put back last from the idle ones, without those on
// which a request with an ID was sent. It returns nil if there is none.
func (p *Pool) popIdle(id uint64) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !slices.Contains(c.sentIDs, id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	if p.onDial != nil {
		p.onDial()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, eris.Wrap(err, "connect")
	}
	c := &Conn{Conn: raw}
	c.Reader = bufio.NewReaderSize(limitedReader{c}, BufferBytes)
	c.Writer = bufio.NewWriterSize(countingWriter{c}, BufferBytes)
	return c, nil
}

// Put returns a connection to the pool after its last response was read to the
// end. The connection is reused for at most maxIdleTime from now.
func (p *Pool) Put(c *Conn, maxIdleTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns || maxIdleTime <= 0 || len(c.sentIDs) >= MaxRequests {
		_ = c.Conn.Close()
		return
	}
	c.idleSince = p.now()
	c.idleUntil = c.idleSince.Add(maxIdleTime)
	p.idle = append(p.idle, c)
}

// Close closes the idle connections; connections in use are closed by Put.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Conn.Close()
	}
	p.idle = nil
}
