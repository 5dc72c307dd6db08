package engine

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/internal/answer"
	"github.com/briarcross/briarcross/internal/connpool"
	"github.com/briarcross/briarcross/internal/fields"
	"github.com/briarcross/briarcross/pb"
)

// exchange is one HTTP request and its response on one connection.
type exchange struct {
	pool *connpool.Pool
	// id is the ID of the request. Upstreams that send it back have their connections kept.
	id      string
	conn    *connpool.Conn
	request *fasthttp.Request
	// response is nil until the head of an answer has been read.
	response *answer.Answer
	// stopCancelWatch keeps a later cancel of the context from closing the
	// connection. It returns false when a cancel came first.
	stopCancelWatch func() bool
	sent            bool
}

func newExchange(p *connpool.Pool, requestID string) *exchange {
	x := &exchange{pool: p, id: requestID, request: fasthttp.AcquireRequest()}
	x.request.SetRequestURI("http://" + p.Address() + "/")
	return x
}

// send writes the request and reads the head of its answer. It does not read after a failed
// write; see package answer.
func (x *exchange) send(ctx context.Context) error {
	x.request.Header.Set(HeaderRequestID, x.id)
	c, err := x.pool.GetFor(ctx, x.id)
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
	x.response, err = answer.Read(c, answer.Request{ID: x.id, Method: string(x.request.Header.Method()), IDOf: responseID})
	return eris.Wrap(err, "engine: read answer")
}

func responseID(header http.Header) string { return header.Get(HeaderRequestID) }

// release releases the request and the connection. With reuse set, the body was read to its
// end; the connection returns to the pool if the answer allows it, unless the context was
// cancelled.
func (x *exchange) release(reuse bool) {
	if x.conn != nil {
		if x.stopCancelWatch() && reuse && x.response.KeepsConn() {
			x.pool.Put(x.conn, connpool.DefaultMaxIdleTime)
		} else {
			_ = x.conn.Conn.Close()
		}
	}
	fasthttp.ReleaseRequest(x.request)
}

// drainTimeout bounds the wait for the end of a chunked body after the end mark
// of its event stream.
const drainTimeout = 100 * time.Millisecond

// drainStream reads the rest of the body after the end mark of an event stream.
// It reports whether the connection can be reused.
func (x *exchange) drainStream() bool {
	if x.conn.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(x.response.Body, connpool.BufferBytes))
	return err == nil && n < connpool.BufferBytes && x.conn.SetReadDeadline(time.Time{}) == nil
}

// setHeaders adds all but the hop-by-hop headers to the request.
func setHeaders(request *fasthttp.Request, headers []*pb.HeaderField) {
	for _, field := range headers {
		if !fields.HopByHop(field.GetName()) {
			request.Header.Add(field.GetName(), field.GetValue())
		}
	}
}

// responseHeaders returns all but the hop-by-hop headers of a response, by name.
func responseHeaders(header http.Header) []*pb.HeaderField {
	var headers []*pb.HeaderField
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if fields.HopByHop(name) {
			continue
		}
		for _, value := range header[name] {
			headers = append(headers, &pb.HeaderField{Name: name, Value: value})
		}
	}
	return headers
}
