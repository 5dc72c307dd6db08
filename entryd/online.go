package entryd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/gate"
	"github.com/briarcross/briarcross/openai"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

const (
	requestIDBytes = 12
	servicesPrefix = "/services/"
	claimTimeout   = 5 * time.Second
)

func newRequestID() string {
	var id [requestIDBytes]byte
	_, _ = rand.Read(id[:])
	return "req-" + hex.EncodeToString(id[:])
}

// serveCompletion serves a completion request to a model service.
func (d *Daemon) serveCompletion(ctx *fasthttp.RequestCtx, caller string) {
	body, err := d.readBody(ctx, d.settings.MaxBodyBytes)
	if err != nil {
		d.refuseBody(ctx, err)
		return
	}
	path := string(ctx.Path())
	completion, err := openai.ParseRequest(path, body)
	if err != nil {
		d.refuse(ctx, pb.Reason_REASON_BAD_REQUEST, err.Error())
		return
	}
	request := d.newGateRequest(ctx, caller, completion.Service, body)
	request.PrefixHashes = openai.PrefixHashes(completion.Prompt)
	request.PromptTokens = openai.EstimateTokens(completion.Prompt)
	request.MaxTokens = completion.MaxTokens
	request.Resumable = true
	onlineRequest := newOnlineRequest(ctx, request, path, body)
	d.serveCall(ctx, newCall(request, onlineRequest, completion.Stream))
}

// servePlain serves a request to a plain service.
func (d *Daemon) servePlain(ctx *fasthttp.RequestCtx, caller string) {
	body, err := d.readBody(ctx, d.settings.MaxBodyBytes)
	if err != nil {
		d.refuseBody(ctx, err)
		return
	}
	// The target is relayed as the caller sent it, without decoding and encoding.
	rest := strings.TrimPrefix(string(ctx.Request.Header.RequestURI()), servicesPrefix)
	service, path, _ := strings.Cut(rest, "/")
	service, _, _ = strings.Cut(service, "?")
	target := "/" + path
	request := d.newGateRequest(ctx, caller, service, body)
	request.Plain = true
	onlineRequest := newOnlineRequest(ctx, request, target, body)
	d.serveCall(ctx, newCall(request, onlineRequest, false))
}

func (d *Daemon) newGateRequest(ctx *fasthttp.RequestCtx, caller, service string, body []byte) gate.Request {
	var digest [8]byte
	hash := xxhash.New()
	_, _ = hash.Write(ctx.Path())
	_, _ = hash.Write(body)
	return gate.Request{
		ID:             newRequestID(),
		Caller:         caller,
		Service:        service,
		Idempotent:     d.isIdempotent(ctx, service),
		IdempotencyKey: string(ctx.Request.Header.Peek(headerIdempotencyKey)),
		Digest:         hash.Sum(digest[:0]),
		Deadline:       requestDeadline(ctx),
	}
}

// isIdempotent reports whether a request may run more than once. The profile of
// the service must allow it, and the caller must not forbid it by a header.
func (d *Daemon) isIdempotent(ctx *fasthttp.RequestCtx, service string) bool {
	if string(ctx.Request.Header.Peek(headerIdempotent)) == "false" {
		return false
	}
	_, profile, _, ok := d.subscription.ActiveConfig().ProfileOf(service)
	return ok && profile.GetIdempotent()
}

func requestDeadline(ctx *fasthttp.RequestCtx) time.Time {
	ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(headerTimeout)))
	if err != nil || ms <= 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

func newOnlineRequest(ctx *fasthttp.RequestCtx, request gate.Request, path string, body []byte) *pb.OnlineRequest {
	message := &pb.OnlineRequest{
		RequestId:    request.ID,
		Service:      request.Service,
		Caller:       request.Caller,
		Idempotent:   request.Idempotent,
		Method:       string(ctx.Method()),
		Path:         path,
		Body:         body,
		Prefix:       request.PrefixHashes,
		PromptTokens: uint32(max(0, request.PromptTokens)),
		MaxTokens:    uint32(max(0, request.MaxTokens)),
	}
	for name, value := range ctx.Request.Header.All() {
		if isRelayedHeader(string(name)) {
			message.Headers = append(message.Headers, &pb.HeaderField{Name: string(name), Value: string(value)})
		}
	}
	return message
}

// isRelayedHeader reports whether a request header is relayed to the service.
// Headers of the connection and the caller's credentials are not.
func isRelayedHeader(name string) bool {
	switch name {
	case "Connection", "Host", "Content-Length", "Transfer-Encoding", "Authorization", "Keep-Alive", "Upgrade", "Te", "Expect":
		return false
	default:
		return true
	}
}

// serveCall passes a call to the gate and writes the response.
func (d *Daemon) serveCall(ctx *fasthttp.RequestCtx, c *call) {
	d.calls.add(c)
	stopWatch := func() {}
	if conn, ok := ctx.Conn().(*watchedConn); ok {
		stopWatch = conn.watch(func() {
			d.gateLoop.Post(gate.CallerGone{ID: c.request.ID})
		})
	}
	release := func() {
		stopWatch()
		close(c.done)
		d.calls.remove(c.request.ID)
	}
	d.gateLoop.Post(gate.RequestArrived{Request: c.request})
	d.respond(ctx, c, release)
}

// openClaim records a non-idempotent request with an idempotency key before it
// runs.
func (d *Daemon) openClaim(out gate.OpenClaim) {
	ctx, cancel := context.WithTimeout(d.ctx, claimTimeout)
	defer cancel()
	command := &pb.Command{Op: &pb.Command_ClaimOpen{ClaimOpen: out.Open}}
	result, controlErr := d.controlClient.Propose(ctx, transport.Control, command)
	d.gateLoop.Post(gate.ClaimResponse{ID: out.ID, Result: result.GetClaim(), Err: controlErr})
}

// closeClaim records the outcome of a claimed request. notRun means that no
// upstream has received it.
func (d *Daemon) closeClaim(c *call, notRun bool) {
	defer close(c.claimClosed)
	ctx, cancel := context.WithTimeout(d.ctx, claimTimeout)
	defer cancel()
	claimClose := &pb.ClaimClose{
		Caller:      c.request.Caller,
		Key:         c.request.IdempotencyKey,
		RequestId:   c.request.ID,
		NotRun:      notRun,
		ContentType: contentTypeJSON,
	}
	if !notRun {
		status, body, err := c.completeResponse()
		if err != nil {
			return
		}
		claimClose.Status = uint32(status)
		claimClose.Answer = body
	}
	command := &pb.Command{Op: &pb.Command_ClaimClose{ClaimClose: claimClose}}
	if _, controlErr := d.controlClient.Propose(ctx, transport.Control, command); controlErr != nil {
		d.logger.Warn("failed to record the outcome of a claimed request", "request", c.request.ID, "reason", controlErr.GetReason())
	}
}
