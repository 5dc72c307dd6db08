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

	"github.com/briarcross/briarcross/internal/answer"
	"github.com/briarcross/briarcross/internal/connpool"
	"github.com/briarcross/briarcross/internal/fields"
)

const (
	// dialTimeout is far above the time to connect within a region, and short
	// enough to try another engine within the latency objective of most routes.
	dialTimeout = 300 * time.Millisecond
	// idleTimeoutShare is the share of an engine's announced idle timeout during
	// which a connection may be reused.
	idleTimeoutShare = 0.7
	// idleLossTime is the time within which the failure of an exchange on a reused
	// connection is attributed to the preceding idle time. It covers a round trip
	// between regions.
	idleLossTime = 100 * time.Millisecond
	// maxDiscardBytes and discardTimeout limit how much of a body is read, and for how
	// long, only to reuse the connection.
	maxDiscardBytes = 8 << 10
	discardTimeout  = 100 * time.Millisecond
)

// Request is one request to an engine.
type Request struct {
	// Address is the host and port of the engine.
	Address string
	// ExpectedInstance is the ID of the engine that should be at Address.
	ExpectedInstance string
	ID               string
	Method           string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	// Header holds the caller's headers.
	Header http.Header
	Body   []byte
	// TimeToDeadline is the time until the caller's deadline; zero means none.
	TimeToDeadline time.Duration
	// ResumeAfter is the ID of the last event that the caller has received; empty
	// for a new stream.
	ResumeAfter string
	// Authenticated is set in a deployment with customers. The credentials of the caller
	// are then removed from Header, and Customer is sent instead, unless it is empty.
	Authenticated bool
	Customer      string
}

// check returns an error if the head of the request would not be read as it is meant. Items that
// an older build has accepted may have any path.
func (r *Request) check() error {
	if !isRequestToken(r.Method) || !isRequestToken(r.Target) || !isRequestToken(r.Host) {
		return eris.Errorf("request has a space or control character in its method, target or host: %q %q %q", r.Method, r.Target, r.Host)
	}
	return nil
}

func isRequestToken(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// ResponseHead is the information decoded from the status and headers of a response.
type ResponseHead struct {
	// NotRun is set when the engine states that it has not run the request.
	NotRun bool
	// OtherInstance is set when an engine other than the expected one responded.
	OtherInstance bool
	// Unmet is set, with NotRun, when the expected engine does not meet a condition that the request
	// itself states. It says nothing about other requests.
	Unmet bool
	// Genuine is set when the response carries the header that only engines set.
	Genuine bool
	// Leaving is set when the response states that its sender leaves; see
	// EngineLeaves.
	Leaving bool
	// AcceptedRate is the number of requests a second that the sender accepts from all
	// callers together, +Inf if it states no limit. RateStated is false if the limit cannot
	// be read; see EngineRate.
	AcceptedRate float64
	RateStated   bool
}

// EngineLeaves reports whether the expected engine responded and stated that it leaves.
func (h *ResponseHead) EngineLeaves() bool {
	return h.Leaving && !h.OtherInstance && (h.Genuine || h.NotRun)
}

// EngineRate returns the AcceptedRate of the expected engine. It returns false if the
// response says nothing about it.
func (h *ResponseHead) EngineRate() (float64, bool) {
	return h.AcceptedRate, h.RateStated && !h.OtherInstance && (h.Genuine || h.NotRun)
}

// HeaderCodec encodes and decodes the headers that the platform defines.
type HeaderCodec interface {
	// Encode sets the headers of a request.
	Encode(header http.Header, request *Request)
	// ResponseID returns the ID of the request that a response belongs to, empty if its header
	// has none. IDs that contradict each other match no request.
	ResponseID(header http.Header) string
	// Decode interprets the status and headers of a response to a request.
	Decode(request *Request, status int, header http.Header) ResponseHead
	// SharedPromptParts returns the IDs of the parts of a request's prompt that other
	// requests may share.
	SharedPromptParts(header http.Header) []string
	// EventVersionField returns the VersionField of the streams of engines.
	EventVersionField() string
	// MaxOutputTokens returns the most tokens that the answer to a request may hold, zero if it
	// states none.
	MaxOutputTokens(header http.Header) int
	// TokenCount returns the number of tokens of an engine's memory that a request may
	// need, zero if it states none.
	TokenCount(header http.Header) int
}

// ExecutionState is what is known about the execution of a request after a failed
// exchange.
type ExecutionState int

// The execution states.
const (
	// NotSent means that no byte of the request has left the process.
	NotSent ExecutionState = iota
	// MayHaveRun means that the request was sent at least in part and its outcome is
	// unknown: the engine may have run it.
	MayHaveRun
)

// Error reports a failed exchange.
type Error struct {
	State ExecutionState
	// Reason is why there is no answer to a request that may have run.
	Reason answer.Reason
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ExecutionStateOf returns the execution state after an error of Do.
func ExecutionStateOf(err error) ExecutionState {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.State
	}
	return MayHaveRun
}

// ReasonOf returns the reason of an error of Do.
func ReasonOf(err error) answer.Reason {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Reason
	}
	return answer.None
}

// EventVersionField returns the VersionField of the streams that the client reads.
func (c *Client) EventVersionField() string { return c.codec.EventVersionField() }

// OutputLimits returns the limits of the stream that answers a request with some headers.
func (c *Client) OutputLimits(header http.Header) OutputLimits {
	return LimitOutput(c.codec.MaxOutputTokens(header))
}

// Client sends requests over persistent connections. It is safe for concurrent use.
type Client struct {
	codec  HeaderCodec
	onDial func()
	// idleLimit is shared by all upstreams: what drops idle connections to one of
	// them, such as a middlebox, drops those to others too.
	idleLimit connpool.IdleLimit
	now       func() time.Time
	mu        sync.Mutex
	// pools holds the connection pools by address.
	pools map[string]*connpool.Pool
}

// NewClient returns a client. onDial, unless nil, is called before each attempt to
// connect.
func NewClient(codec HeaderCodec, onDial func()) *Client {
	return &Client{codec: codec, onDial: onDial, now: time.Now, pools: make(map[string]*connpool.Pool)}
}

func (c *Client) pool(address string) *connpool.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = connpool.New(address, dialTimeout, c.onDial)
		p.SetIdleLimit(&c.idleLimit, c.now)
		c.pools[address] = p
	}
	return p
}

// ClosePool closes the idle connections to an address. Connections in use are
// closed when their response is closed.
func (c *Client) ClosePool(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.Close()
	}
}

// Response is the response of an engine, with the body still to be read.
type Response struct {
	*answer.Answer
	ResponseHead

	conn *connpool.Conn
	pool *connpool.Pool
	// stopCancel stops the closing of conn when the context of the request ends. It
	// returns false if that has happened already.
	stopCancel func() bool
}

// Do sends a request and reads the head of its response. The caller must close the
// response. When the context ends, the connection is closed, which makes the
// engine stop its work. A returned error is an *Error.
func (c *Client) Do(ctx context.Context, request *Request) (*Response, error) {
	if err := request.check(); err != nil {
		return nil, &Error{State: NotSent, Err: err}
	}
	pool := c.pool(request.Address)
	conn, err := pool.GetFor(ctx, request.ID)
	if err != nil {
		return nil, &Error{State: NotSent, Err: err}
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.Close() })
	startedAt := c.now()
	response, err := c.exchange(conn, request)
	if err != nil {
		stopCancel()
		_ = conn.Close()
		reason := answer.ReasonOf(err)
		if now := c.now(); ctx.Err() != nil {
			err = ctx.Err()
		} else if conn.Reused && now.Sub(startedAt) < idleLossTime {
			c.idleLimit.RecordLoss(now, conn.IdleTime)
		}
		state := MayHaveRun
		if conn.BytesWritten == 0 {
			state = NotSent
		}
		return nil, &Error{state, reason, err}
	}
	response.conn, response.pool, response.stopCancel = conn, pool, stopCancel
	return response, nil
}

// exchange sends a request and reads the head of its answer. It does not read after a failed
// write; see package answer.
func (c *Client) exchange(conn *connpool.Conn, request *Request) (*Response, error) {
	if err := c.writeRequest(conn, request); err != nil {
		return nil, eris.Wrap(err, "send request")
	}
	head, err := answer.Read(conn, answer.Request{ID: request.ID, Method: request.Method, IDOf: c.codec.ResponseID})
	if err != nil {
		return nil, err
	}
	return &Response{Answer: head, ResponseHead: c.codec.Decode(request, head.Status, head.Header)}, nil
}

// Discard reads the rest of a body that is of no use, so that Close can keep the
// connection. A body that is long or slow is given up, and with it the connection.
func (r *Response) Discard() {
	timer := time.AfterFunc(discardTimeout, func() { _ = r.conn.Close() })
	defer timer.Stop()
	// Without the end of the body, Close closes the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardBytes))
}

// Close ends the exchange. The connection is kept for reuse if the answer allows it; otherwise
// it is closed, which makes the engine stop its work.
func (r *Response) Close() {
	stopped := r.stopCancel()
	if !stopped || !r.KeepsConn() {
		_ = r.conn.Close()
		return
	}
	r.pool.Put(r.conn, maxIdleTime(r.Header))
}

// maxIdleTime returns how long a connection may be idle and still be reused, from
// the Keep-Alive header of the response.
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
	return connpool.DefaultMaxIdleTime
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

// isConnectionOption reports whether the value of a Connection header lists name.
func isConnectionOption(connection, name string) bool {
	for option := range strings.SplitSeq(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(option), name) {
			return true
		}
	}
	return false
}
