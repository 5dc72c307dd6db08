package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/internal/connpool"
	"github.com/briarcross/briarcross/internal/fields"
)

const (
	// dialTimeout is far above a connection within a region, and short enough
	// to try another engine within the objective of most routes.
	dialTimeout = 300 * time.Millisecond
	// idleShare is the part of an engine's announced idle timeout for which a
	// connection is used again.
	idleShare = 0.7
	// lostAtOnce is the time after which a broken exchange is not blamed on the
	// rest of its connection; it spans a round trip between regions.
	lostAtOnce = 100 * time.Millisecond
	// maxStaleAnswers bounds the answers to earlier requests that are skipped
	// on one connection.
	maxStaleAnswers = 2
	// maxStaleBytes bounds the body of a skipped answer.
	maxStaleBytes = 256 << 10
)

// Request is one request to an engine.
type Request struct {
	Address string
	// ExpectedInstance is the ID of the engine that is meant.
	ExpectedInstance string
	ID               string
	Method           string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	// Header holds the caller's headers.
	Header http.Header
	Body   []byte
	// Remaining is the time until the caller's deadline; zero means none.
	Remaining time.Duration
	// ResumeAfter is the ID of the last event that the caller has.
	ResumeAfter string
}

// ResponseHead is what the head of an answer says.
type ResponseHead struct {
	// RequestID names the request that the answer belongs to; empty if unknown.
	RequestID string
	// NotRun is set when the engine states that it has not run the request.
	NotRun bool
	// OtherInstance is set when another engine has the address.
	OtherInstance bool
	// Genuine answers carry the engine's own mark.
	Genuine bool
}

// HeaderCodec writes and reads the headers that the platform defines.
type HeaderCodec interface {
	// Encode sets the headers of a call.
	Encode(header http.Header, call *Request)
	// Decode reads the head of an answer.
	Decode(status int, header http.Header) ResponseHead
}

// ExecutionState tells what is known of a request after a failed exchange.
type ExecutionState int

// The degrees of certainty.
const (
	// NotSent requests have not left the process.
	NotSent ExecutionState = iota
	// MayHaveRun requests were sent, and nothing more is known.
	MayHaveRun
)

// Error is a failed exchange.
type Error struct {
	State ExecutionState
	Err   error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ExecutionStateOf returns what is known after an error of Do.
func ExecutionStateOf(err error) ExecutionState {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.State
	}
	return MayHaveRun
}

// Client sends calls over kept connections. It is safe for concurrent use.
type Client struct {
	dialect HeaderCodec
	onDial  func()
	// idle is shared by all upstreams: what drops idle connections at one of
	// them does so at others.
	idle  connpool.IdleLimit
	now   func() time.Time
	mu    sync.Mutex
	pools map[string]*connpool.Pool
}

// NewClient returns a client. OnDial, unless nil, is called for each new
// connection.
func NewClient(dialect HeaderCodec, onDial func()) *Client {
	return &Client{dialect: dialect, onDial: onDial, now: time.Now, pools: make(map[string]*connpool.Pool)}
}

func (c *Client) pool(address string) *connpool.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = connpool.New(address, dialTimeout, c.onDial)
		p.Limit(&c.idle, c.now)
		c.pools[address] = p
	}
	return p
}

// ClosePool closes the idle connections to an address.
func (c *Client) ClosePool(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.Close()
	}
}

// Response is the answer of an engine whose body is being read.
type Response struct {
	ResponseHead
	Status int
	Header http.Header
	// ContentLength is the length of the body, or negative when it is not announced.
	ContentLength int64
	Body          io.Reader

	response *http.Response
	conn     *connpool.Conn
	pool     *connpool.Pool
	unwatch  func() bool
	complete bool
}

// Do sends a call and reads the head of its answer. Close must be called on
// the answer. When the context ends, the connection is closed, which stops the
// engine's work.
func (c *Client) Do(ctx context.Context, call *Request) (*Response, error) {
	pool := c.pool(call.Address)
	conn, err := pool.Get(ctx)
	if err != nil {
		return nil, &Error{NotSent, err}
	}
	unwatch := context.AfterFunc(ctx, func() { _ = conn.Close() })
	began := c.now()
	answer, err := c.exchange(conn, call)
	if err != nil {
		unwatch()
		_ = conn.Close()
		if now := c.now(); ctx.Err() != nil {
			err = ctx.Err()
		} else if conn.Reused && now.Sub(began) < lostAtOnce {
			c.idle.Lost(now, conn.Rested)
		}
		certainty := MayHaveRun
		if conn.Written == 0 {
			certainty = NotSent
		}
		return nil, &Error{certainty, err}
	}
	answer.conn, answer.pool, answer.unwatch = conn, pool, unwatch
	return answer, nil
}

func (c *Client) exchange(conn *connpool.Conn, call *Request) (*Response, error) {
	if err := c.write(conn, call); err != nil {
		return nil, eris.Wrap(err, "send request")
	}
	for range maxStaleAnswers + 1 {
		answer, err := c.readHead(conn, call)
		if err != nil {
			return nil, err
		}
		if answer.RequestID == "" || answer.RequestID == call.ID {
			return answer, nil
		}
		if err := skip(answer); err != nil {
			return nil, eris.Wrap(err, "answer to another request")
		}
	}
	return nil, eris.New("only answers to other requests came")
}

func (c *Client) readHead(conn *connpool.Conn, call *Request) (*Response, error) {
	response, err := http.ReadResponse(conn.Reader, &http.Request{Method: call.Method})
	for err == nil && response.StatusCode/100 == 1 {
		response, err = http.ReadResponse(conn.Reader, &http.Request{Method: call.Method})
	}
	if err != nil {
		return nil, eris.Wrap(err, "read answer")
	}
	answer := &Response{
		ResponseHead:  c.dialect.Decode(response.StatusCode, response.Header),
		Status:        response.StatusCode,
		Header:        response.Header,
		ContentLength: response.ContentLength,
		response:      response,
	}
	answer.Body = endMarker{response.Body, &answer.complete}
	return answer, nil
}

// skip reads an answer that belongs to another request to its end.
func skip(a *Response) error {
	if a.response.Close {
		return eris.New("it has no end on this connection")
	}
	if _, err := io.CopyN(io.Discard, a.Body, maxStaleBytes); !errors.Is(err, io.EOF) {
		return eris.Wrap(err, "it is too long")
	}
	return nil
}

// endMarker notes that a body was read to its end.
type endMarker struct {
	body     io.Reader
	complete *bool
}

func (m endMarker) Read(p []byte) (int, error) {
	n, err := m.body.Read(p)
	if err == io.EOF {
		*m.complete = true
	}
	return n, err
}

// Complete reports whether the body was read to its announced end.
func (a *Response) Complete() bool { return a.complete }

// Close ends the exchange. The connection is kept when the body was read to
// its end; otherwise it is closed, which stops the engine's work.
func (a *Response) Close() {
	open := a.unwatch()
	if !open || !a.complete || a.response.Close {
		_ = a.conn.Close()
		return
	}
	a.pool.Put(a.conn, idleTime(a.Header))
}

// idleTime returns how long a connection may idle before it is used again.
func idleTime(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(idleShare * float64(seconds) * float64(time.Second))
		}
	}
	return connpool.DefaultIdleTime
}

func (c *Client) write(conn *connpool.Conn, call *Request) error {
	header := make(http.Header, len(call.Header)+4)
	connection := call.Header.Get("Connection")
	for name, values := range call.Header {
		if !fields.HopByHop(name) && !listed(connection, name) {
			header[name] = values
		}
	}
	c.dialect.Encode(header, call)
	w := conn.Writer
	_, _ = w.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	if err := header.Write(w); err != nil {
		return err
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(call.Body)
	return w.Flush()
}

// listed reports whether a Connection header names a header.
func listed(connection, name string) bool {
	for item := range strings.SplitSeq(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(item), name) {
			return true
		}
	}
	return false
}
