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
	// idleTimeoutShare is the part of an engine's announced idle timeout for which a
	// connection is used again.
	idleTimeoutShare = 0.7
	// idleLossTime is the time after which a broken exchange is not blamed on the
	// rest of its connection; it spans a round trip between regions.
	idleLossTime = 100 * time.Millisecond
	// maxStaleResponses bounds the answers to earlier requests that are skipped
	// on one connection.
	maxStaleResponses = 2
	// maxStaleBodyBytes bounds the body of a skipped answer.
	maxStaleBodyBytes = 256 << 10
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
	Encode(header http.Header, request *Request)
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
	codec  HeaderCodec
	onDial func()
	// idleLimit is shared by all upstreams: what drops idleLimit connections at one of
	// them does so at others.
	idleLimit connpool.IdleLimit
	now       func() time.Time
	mu        sync.Mutex
	pools     map[string]*connpool.Pool
}

// NewClient returns a client. OnDial, unless nil, is called for each new
// connection.
func NewClient(codec HeaderCodec, onDial func()) *Client {
	return &Client{codec: codec, onDial: onDial, now: time.Now, pools: make(map[string]*connpool.Pool)}
}

func (c *Client) pool(address string) *connpool.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = connpool.New(address, dialTimeout, c.onDial)
		p.Limit(&c.idleLimit, c.now)
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

	httpResponse *http.Response
	conn         *connpool.Conn
	pool         *connpool.Pool
	stopCancel   func() bool
	bodyComplete bool
}

// Do sends a call and reads the head of its answer. Close must be called on
// the answer. When the context ends, the connection is closed, which stops the
// engine's work.
func (c *Client) Do(ctx context.Context, request *Request) (*Response, error) {
	pool := c.pool(request.Address)
	conn, err := pool.Get(ctx)
	if err != nil {
		return nil, &Error{NotSent, err}
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.Close() })
	startedAt := c.now()
	response, err := c.exchange(conn, request)
	if err != nil {
		stopCancel()
		_ = conn.Close()
		if now := c.now(); ctx.Err() != nil {
			err = ctx.Err()
		} else if conn.Reused && now.Sub(startedAt) < idleLossTime {
			c.idleLimit.Lost(now, conn.Rested)
		}
		state := MayHaveRun
		if conn.Written == 0 {
			state = NotSent
		}
		return nil, &Error{state, err}
	}
	response.conn, response.pool, response.stopCancel = conn, pool, stopCancel
	return response, nil
}

func (c *Client) exchange(conn *connpool.Conn, request *Request) (*Response, error) {
	if err := c.writeRequest(conn, request); err != nil {
		return nil, eris.Wrap(err, "send request")
	}
	for range maxStaleResponses + 1 {
		response, err := c.readHead(conn, request)
		if err != nil {
			return nil, err
		}
		if response.RequestID == "" || response.RequestID == request.ID {
			return response, nil
		}
		if err := discardStale(response); err != nil {
			return nil, eris.Wrap(err, "answer to another request")
		}
	}
	return nil, eris.New("only answers to other requests came")
}

func (c *Client) readHead(conn *connpool.Conn, request *Request) (*Response, error) {
	httpResponse, err := http.ReadResponse(conn.Reader, &http.Request{Method: request.Method})
	for err == nil && httpResponse.StatusCode/100 == 1 {
		httpResponse, err = http.ReadResponse(conn.Reader, &http.Request{Method: request.Method})
	}
	if err != nil {
		return nil, eris.Wrap(err, "read answer")
	}
	response := &Response{
		ResponseHead:  c.codec.Decode(httpResponse.StatusCode, httpResponse.Header),
		Status:        httpResponse.StatusCode,
		Header:        httpResponse.Header,
		ContentLength: httpResponse.ContentLength,
		httpResponse:  httpResponse,
	}
	response.Body = eofRecorder{httpResponse.Body, &response.bodyComplete}
	return response, nil
}

// discardStale reads an answer that belongs to another request to its end.
func discardStale(response *Response) error {
	if response.httpResponse.Close {
		return eris.New("it has no end on this connection")
	}
	if _, err := io.CopyN(io.Discard, response.Body, maxStaleBodyBytes); !errors.Is(err, io.EOF) {
		return eris.Wrap(err, "it is too long")
	}
	return nil
}

// eofRecorder notes that a body was read to its end.
type eofRecorder struct {
	body     io.Reader
	complete *bool
}

func (r eofRecorder) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		*r.complete = true
	}
	return n, err
}

// Complete reports whether the body was read to its announced end.
func (r *Response) Complete() bool { return r.bodyComplete }

// Close ends the exchange. The connection is kept when the body was read to
// its end; otherwise it is closed, which stops the engine's work.
func (r *Response) Close() {
	stopped := r.stopCancel()
	if !stopped || !r.bodyComplete || r.httpResponse.Close {
		_ = r.conn.Close()
		return
	}
	r.pool.Put(r.conn, maxIdleTime(r.Header))
}

// maxIdleTime returns how long a connection may idle before it is used again.
func maxIdleTime(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(idleTimeoutShare * float64(seconds) * float64(time.Second))
		}
	}
	return connpool.DefaultIdleTime
}

func (c *Client) writeRequest(conn *connpool.Conn, request *Request) error {
	header := make(http.Header, len(request.Header)+4)
	connection := request.Header.Get("Connection")
	for name, values := range request.Header {
		if !fields.HopByHop(name) && !isConnectionOption(connection, name) {
			header[name] = values
		}
	}
	c.codec.Encode(header, request)
	w := conn.Writer
	_, _ = w.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	if err := header.Write(w); err != nil {
		return err
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(request.Body)
	return w.Flush()
}

// isConnectionOption reports whether a Connection header names a header.
func isConnectionOption(connection, name string) bool {
	for option := range strings.SplitSeq(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(option), name) {
			return true
		}
	}
	return false
}
