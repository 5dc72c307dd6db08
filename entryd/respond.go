package entryd

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/gate"
	"github.com/briarcross/briarcross/openai"
	"github.com/briarcross/briarcross/pb"
)

const (
	headerRequestID      = "Briarcross-Request-Id"
	headerOutcome        = "Briarcross-Outcome"
	headerReason         = "Briarcross-Reason"
	headerIdempotent     = "Briarcross-Idempotent"
	headerTimeout        = "Briarcross-Timeout-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	contentTypeJSON      = "application/json"
	contentTypeStream    = "text/event-stream"

	minFailureStatus = 300
)

var outcomeLabels = map[pb.Outcome]string{
	pb.Outcome_OUTCOME_DONE:    "done",
	pb.Outcome_OUTCOME_NOT_RUN: "not-run",
	pb.Outcome_OUTCOME_UNKNOWN: "unknown",
}

// statusOf returns the HTTP status for the outcome and reason of a failed
// request.
func statusOf(outcome pb.Outcome, reason pb.Reason) int {
	switch reason {
	case pb.Reason_REASON_CALLER_LIMIT, pb.Reason_REASON_RATE_LIMIT:
		return fasthttp.StatusTooManyRequests
	case pb.Reason_REASON_UNKNOWN_SERVICE:
		return fasthttp.StatusNotFound
	case pb.Reason_REASON_BAD_REQUEST:
		return fasthttp.StatusBadRequest
	case pb.Reason_REASON_TOO_LARGE:
		return fasthttp.StatusRequestEntityTooLarge
	case pb.Reason_REASON_UNAUTHORIZED:
		return fasthttp.StatusUnauthorized
	case pb.Reason_REASON_CLAIM_PENDING, pb.Reason_REASON_CLAIM_MISMATCH:
		return fasthttp.StatusConflict
	case pb.Reason_REASON_DEADLINE:
		return fasthttp.StatusGatewayTimeout
	}
	if outcome == pb.Outcome_OUTCOME_NOT_RUN {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadGateway
}

// refuse responds to a request that is refused before it reaches the gate.
func (d *Daemon) refuse(ctx *fasthttp.RequestCtx, reason pb.Reason, message string) {
	finish := gate.Finish{Outcome: pb.Outcome_OUTCOME_NOT_RUN, Reason: reason}
	d.writeFailure(ctx, &finish, message)
}

// writeFailure responds to a request that has no complete response.
func (d *Daemon) writeFailure(ctx *fasthttp.RequestCtx, finish *gate.Finish, message string) {
	d.metrics.refusals.WithLabelValues(finish.Reason.String()).Inc()
	if finish.RetryAfter > 0 {
		seconds := int64((finish.RetryAfter + time.Second - 1) / time.Second)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	ctx.Response.Header.Set(headerOutcome, outcomeLabels[finish.Outcome])
	ctx.Response.Header.Set(headerReason, finish.Reason.String())
	ctx.SetStatusCode(statusOf(finish.Outcome, finish.Reason))
	ctx.SetContentType(contentTypeJSON)
	if message == "" {
		message = "the request was not answered: " + finish.Reason.String()
	}
	ctx.SetBody(openai.ErrorBody(finish.Reason.String(), message))
}

// respond waits for the response to a call and writes it. A stream continues
// after the HTTP handler has returned. In every case release is called when the
// response has ended.
func (d *Daemon) respond(ctx *fasthttp.RequestCtx, c *call, release func()) {
	ctx.Response.Header.Set(headerRequestID, c.request.ID)
	first, finish := c.nextPart()
	if finish == nil && first.head != nil && d.shouldStream(c, first.head) {
		d.respondStream(ctx, c, first.head, release)
		return
	}
	defer release()
	for finish == nil {
		_, finish = c.nextPart()
	}
	d.respondComplete(ctx, c, finish)
}

// shouldStream reports whether a response is relayed as it arrives.
func (d *Daemon) shouldStream(c *call, head *pb.AnswerHead) bool {
	if c.request.Plain {
		return !c.bufferBody
	}
	return c.wantsStream && head.GetStatus() < minFailureStatus
}

func (d *Daemon) respondComplete(ctx *fasthttp.RequestCtx, c *call, finish *gate.Finish) {
	if finish.RecordedResult != nil {
		d.writeRecordedResult(ctx, finish.RecordedResult)
		return
	}
	if finish.Outcome != pb.Outcome_OUTCOME_DONE {
		d.writeFailure(ctx, finish, "")
		return
	}
	status, body, err := c.completeResponse()
	if err != nil {
		failed := gate.Finish{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: pb.Reason_REASON_TRUNCATED}
		d.writeFailure(ctx, &failed, "")
		return
	}
	ctx.Response.Header.Set(headerOutcome, outcomeLabels[finish.Outcome])
	ctx.SetContentType(contentTypeJSON)
	if c.request.Plain {
		setHeaders(ctx, c.headers)
	}
	ctx.SetStatusCode(status)
	ctx.SetBody(body)
}

// writeRecordedResult responds to a repeated non-idempotent request with the
// recorded response.
func (d *Daemon) writeRecordedResult(ctx *fasthttp.RequestCtx, recorded *pb.ClaimResult) {
	ctx.Response.Header.Set(headerOutcome, outcomeLabels[pb.Outcome_OUTCOME_DONE])
	ctx.Response.Header.Set(headerRequestID, recorded.GetRequestId())
	ctx.SetContentType(recorded.GetContentType())
	ctx.SetStatusCode(int(recorded.GetStatus()))
	ctx.SetBody(recorded.GetAnswer())
}

func setHeaders(ctx *fasthttp.RequestCtx, headers []*pb.HeaderField) {
	for _, field := range headers {
		switch field.GetName() {
		case "Content-Length", "Transfer-Encoding", "Connection":
		default:
			ctx.Response.Header.Add(field.GetName(), field.GetValue())
		}
	}
}

// outcomeStream is the body of a response whose outcome is sent as a trailer,
// since it is unknown when the headers are sent. The goroutine that reads the
// body sets the trailer, since it also writes the headers.
type outcomeStream struct {
	io.ReadCloser
	header  *fasthttp.ResponseHeader
	outcome pb.Outcome
}

// Read implements io.Reader.
func (s *outcomeStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		s.header.Set(headerOutcome, outcomeLabels[s.outcome])
	}
	return n, err
}

// streamBody sets the response body to what write produces, and the outcome
// trailer to what it returns.
func streamBody(ctx *fasthttp.RequestCtx, write func(*bufio.Writer) pb.Outcome) {
	_ = ctx.Response.Header.SetTrailer(headerOutcome)
	body := &outcomeStream{header: &ctx.Response.Header}
	body.ReadCloser = fasthttp.NewStreamReader(func(w *bufio.Writer) {
		body.outcome = write(w)
	})
	ctx.SetBodyStream(body, -1)
}

// respondStream relays a response as server-sent events while it arrives.
func (d *Daemon) respondStream(ctx *fasthttp.RequestCtx, c *call, head *pb.AnswerHead, release func()) {
	ctx.SetStatusCode(int(head.GetStatus()))
	ctx.SetContentType(contentTypeStream)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	streamBody(ctx, func(w *bufio.Writer) pb.Outcome {
		defer release()
		return d.writeEvents(w, c).Outcome
	})
}

// writeEvents writes the events of a response and then its end: [DONE] after a
// complete response, an error event after a truncated one.
func (d *Daemon) writeEvents(w *bufio.Writer, c *call) *gate.Finish {
	for {
		part, finish := c.nextPart()
		if finish != nil {
			d.writeEnd(w, finish)
			return finish
		}
		if part.data == nil {
			continue
		}
		writeEvent(w, part.data)
		if len(c.parts) > 0 {
			continue
		}
		if w.Flush() != nil {
			d.gateLoop.Post(gate.CallerGone{ID: c.request.ID})
		}
	}
}

func writeEvent(w *bufio.Writer, payload []byte) {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(payload)
	_, _ = w.WriteString("\n\n")
}

func (d *Daemon) writeEnd(w *bufio.Writer, finish *gate.Finish) {
	if finish.Outcome == pb.Outcome_OUTCOME_DONE {
		writeEvent(w, []byte("[DONE]"))
	} else {
		d.metrics.refusals.WithLabelValues(finish.Reason.String()).Inc()
		_, _ = w.WriteString("event: error\n")
		writeEvent(w, openai.ErrorBody(finish.Reason.String(), "the answer was cut off"))
	}
	_ = w.Flush()
}
