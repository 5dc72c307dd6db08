package engine

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/internal/connpool"
	"github.com/briarcross/briarcross/internal/fields"
	"github.com/briarcross/briarcross/pb"
)

// ErrIncomplete means that a response body is shorter than its Content-Length.
var ErrIncomplete = eris.New("engine: answer ended early")

// exchange is one HTTP request and its response on one connection.
type exchange struct {
	pool     *connpool.Pool
	conn     *connpool.Conn
	request  *fasthttp.Request
	response *fasthttp.Response
	// stopCancelWatch keeps a later cancel of the context from closing the
	// connection. It returns false when a cancel came first.
	stopCancelWatch func() bool
	sent            bool
}

func newExchange(p *connpool.Pool) *exchange {
	x := &exchange{pool: p}
	x.request = fasthttp.AcquireRequest()
	x.response = fasthttp.AcquireResponse()
	x.response.StreamBody = true
	x.request.SetRequestURI("http://" + p.Address() + "/")
	return x
}

// send writes the request and reads the head of the response.
func (x *exchange) send(ctx context.Context) error {
	c, err := x.pool.Get(ctx)
	if err != nil {
		return eris.Wrap(err, "engine")
	}
	x.conn = c
	x.stopCancelWatch = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	err = x.request.Write(c.Writer)
	if err == nil {
		err = c.Writer.Flush()
	}
	x.sent = c.BytesWritten > 0
	if err != nil {
		return eris.Wrap(err, "engine: send request")
	}
	if x.request.Header.IsHead() {
		x.response.SkipBody = true
	}
	if err := x.response.ReadLimitBody(c.Reader, 0); err != nil {
		return eris.Wrap(err, "engine: read answer")
	}
	return nil
}

// body returns a reader of the response body.
func (x *exchange) body() io.Reader {
	stream := x.response.BodyStream()
	if stream == nil {
		return eofReader{}
	}
	return &lengthReader{source: stream, remaining: x.response.Header.ContentLength()}
}

// status returns the HTTP status, or zero without a connection.
func (x *exchange) status() int {
	if x.conn == nil {
		return 0
	}
	return x.response.StatusCode()
}

// release releases the buffers and the connection. With reuse set, the body was
// read to its end; the connection returns to the pool unless the context was
// cancelled, the upstream closes it, or the response is an error: a faulty engine may
// write it once more, and it would pass for the response to the next request.
func (x *exchange) release(reuse bool) {
	if x.conn != nil {
		reuse = x.stopCancelWatch() && reuse
		reuse = reuse && x.status() < firstErrorStatus && !x.response.ConnectionClose() && x.response.Header.ContentLength() >= -1
		if !reuse {
			_ = x.conn.Conn.Close()
		}
		_ = x.response.CloseBodyStream()
		if reuse {
			x.pool.Put(x.conn, connpool.DefaultMaxIdleTime)
		}
	}
	fasthttp.ReleaseRequest(x.request)
	fasthttp.ReleaseResponse(x.response)
}

// firstErrorStatus is the lowest status of a response that is an error.
const firstErrorStatus = 400

// drainTimeout bounds the wait for the end of a chunked body after the end mark
// of its event stream.
const drainTimeout = 100 * time.Millisecond

// drainStream reads the rest of the body after the end mark of an event stream.
// It reports whether the connection can be reused.
func (x *exchange) drainStream() bool {
	if x.conn.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(x.body(), connpool.BufferBytes))
	return err == nil && n < connpool.BufferBytes && x.conn.SetReadDeadline(time.Time{}) == nil
}

type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// lengthReader returns ErrIncomplete when the body ends before its
// Content-Length.
type lengthReader struct {
	source io.Reader
	// remaining is the number of bytes still to read; it is negative without a
	// Content-Length.
	remaining int
}

func (r *lengthReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if r.remaining >= 0 {
		r.remaining -= n
	}
	if err == io.EOF && r.remaining > 0 {
		err = ErrIncomplete
	}
	return n, err
}

// setHeaders adds all but the hop-by-hop headers to the request.
func setHeaders(request *fasthttp.Request, headers []*pb.HeaderField) {
	for _, field := range headers {
		if !fields.HopByHop(field.GetName()) {
			request.Header.Add(field.GetName(), field.GetValue())
		}
	}
}

// responseHeaders returns all but the hop-by-hop headers of a response.
func responseHeaders(response *fasthttp.Response) []*pb.HeaderField {
	var headers []*pb.HeaderField
	for name, value := range response.Header.All() {
		if fields.HopByHop(string(name)) {
			continue
		}
		headers = append(headers, &pb.HeaderField{Name: string(name), Value: string(value)})
	}
	return headers
}
