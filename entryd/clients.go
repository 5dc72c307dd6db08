package entryd

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/pb"
)

const (
	// bodyCost is the memory for a byte of a body, which is encoded once more for its upstream.
	bodyCost = 2
	// uploadBytes is the memory of an upload of JSON lines: a buffer for a line, a line, and a chunk
	// of items in several forms.
	uploadBytes = 4 << 20
	// lingerTimeout bounds the time for which the rest of a refused body is read.
	lingerTimeout = time.Second
	// memoryRetryAfterSeconds is the time after which bodies that have stopped arriving have given
	// their memory back.
	memoryRetryAfterSeconds = 1
)

// reportClients logs what callers were denied.
func (d *Daemon) reportClients(r daemon.ClientReport) {
	d.logger.Warn("callers were denied memory or connections", "refused", r.Refused, "slow", r.Slow, "evicted", r.Evicted,
		"closed", r.Closed, "rejected", r.Rejected, "held_bytes", r.HeldBytes, "connections", r.Connections)
}

// trackConn is the ConnState hook of the server, whose states are those of net/http.
func (d *Daemon) trackConn(conn net.Conn, state fasthttp.ConnState) {
	d.clients.Track(conn, http.ConnState(state))
}

// clientRequest returns what the request holds as one of the clients.
func (d *Daemon) clientRequest(ctx *fasthttp.RequestCtx) *daemon.ClientRequest {
	return d.clients.Request(ctx.Conn())
}

// readBody reads the body of a request of at most limit bytes.
func (d *Daemon) readBody(ctx *fasthttp.RequestCtx, limit int) ([]byte, error) {
	return d.clientRequest(ctx).ReadBody(bodyReader(ctx), bodyLength(ctx), int64(limit), bodyCost)
}

// bodyLength returns the length of a body, -1 if it is unknown.
func bodyLength(ctx *fasthttp.RequestCtx) int64 {
	if ctx.RequestBodyStream() == nil {
		return int64(len(ctx.PostBody()))
	}
	return max(-1, int64(ctx.Request.Header.ContentLength()))
}

// refuseBody refuses a request whose body could not be read, and ends its connection. The server
// reads the rest of the body for a while, so that a caller who is still sending gets the refusal.
func (d *Daemon) refuseBody(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, daemon.ErrBodyTooLarge), errors.Is(err, fasthttp.ErrBodyTooLarge):
		d.refuse(ctx, pb.Reason_REASON_TOO_LARGE, "the body is too large")
	case errors.Is(err, daemon.ErrBodyTooSlow):
		d.refuse(ctx, pb.Reason_REASON_BAD_REQUEST, "the body arrives too slowly")
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	case errors.Is(err, daemon.ErrClientMemory):
		d.refuse(ctx, pb.Reason_REASON_OVERLOADED, "requests hold all the memory that they may")
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(memoryRetryAfterSeconds))
	default:
		d.refuse(ctx, pb.Reason_REASON_BAD_REQUEST, "the body is incomplete")
	}
	d.endConnection(ctx)
}

// endConnection ends the connection of a request after its response.
func (d *Daemon) endConnection(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	if request := d.clientRequest(ctx); request != nil {
		request.Release()
	}
	// A connection that has failed ends by itself.
	_ = ctx.Conn().SetReadDeadline(time.Now().Add(lingerTimeout))
}

// holdUpload returns a reader of the body of an upload, once there is memory for it.
func (d *Daemon) holdUpload(ctx *fasthttp.RequestCtx) (io.Reader, error) {
	request := d.clientRequest(ctx)
	if err := request.Grow(uploadBytes); err != nil {
		return nil, err
	}
	return &uploadReader{request: request, body: bodyReader(ctx)}, nil
}

// uploadReader reads the body of an upload, and returns the reason if the upload is given up.
type uploadReader struct {
	request *daemon.ClientRequest
	body    io.Reader
}

// Read implements io.Reader.
func (r *uploadReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 {
		r.request.Receive(n)
	}
	if errors.Is(err, io.EOF) {
		if evicted := r.request.Complete(); evicted != nil {
			return n, evicted
		}
		return n, err
	}
	if err != nil {
		return n, errors.Join(r.request.Evicted(), err)
	}
	return n, nil
}

// isDenied reports whether a request was ended for what it holds.
func isDenied(err error) bool {
	return errors.Is(err, daemon.ErrClientMemory) || errors.Is(err, daemon.ErrBodyTooSlow)
}
