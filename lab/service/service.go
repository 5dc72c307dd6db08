// Package labservice is a plain HTTP service for tests. It records each call,
// so that tests can check that a call was relayed completely and how often it
// ran.
package labservice

import (
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/pb"
)

// PathCalls is the path that returns the recorded calls. Calls to it are not
// recorded.
const PathCalls = "/calls"

// HeaderIdempotencyKey is the header whose value the service records.
const HeaderIdempotencyKey = "Idempotency-Key"

// Call is one recorded call.
type Call struct {
	Method         string            `json:"method"`
	Path           string            `json:"path"`
	Query          string            `json:"query"`
	Headers        []*pb.HeaderField `json:"headers"`
	Body           []byte            `json:"body"`
	IdempotencyKey string            `json:"idempotency_key"`
}

// Options configure a Server.
type Options struct {
	// Delay is the time before each response.
	Delay time.Duration
}

// Server is an echo service: it responds to each call with the body and content
// type of the call, and the headers X-Call-Number and X-Call-Method. The query
// parameter status sets the status; missing sets a Content-Length that exceeds
// the body sent by that many bytes.
type Server struct {
	options Options
	http    *fasthttp.Server
	mu      sync.Mutex
	calls   []Call
}

// New returns a server without recorded calls.
func New(o Options) *Server {
	s := &Server{options: o}
	s.http = &fasthttp.Server{Handler: s.handle, Logger: discardLogger{}}
	return s
}

// discardLogger drops the HTTP server's messages.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve handles calls on a listener until Close.
func (s *Server) Serve(ln net.Listener) error {
	return eris.Wrap(s.http.Serve(ln), "labservice: serve HTTP")
}

// Close shuts down the server.
func (s *Server) Close() error {
	return eris.Wrap(s.http.Shutdown(), "labservice: shut down HTTP server")
}

// Calls returns the recorded calls in the order of arrival.
func (s *Server) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call{}, s.calls...)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == PathCalls {
		s.writeCalls(ctx)
		return
	}
	number := s.recordCall(ctx)
	if s.options.Delay > 0 {
		time.Sleep(s.options.Delay)
	}
	ctx.Response.Header.Set("X-Call-Number", strconv.Itoa(number))
	ctx.Response.Header.Set("X-Call-Method", string(ctx.Method()))
	ctx.SetContentTypeBytes(ctx.Request.Header.ContentType())
	if status := ctx.QueryArgs().GetUintOrZero("status"); status > 0 {
		ctx.SetStatusCode(status)
	}
	ctx.SetBody(ctx.PostBody())
	if missingBytes := ctx.QueryArgs().GetUintOrZero("missing"); missingBytes > 0 {
		s.writeTruncated(ctx, missingBytes)
	}
}

// writeTruncated sends a response whose Content-Length exceeds the body by
// missingBytes, and closes the connection.
func (s *Server) writeTruncated(ctx *fasthttp.RequestCtx, missingBytes int) {
	body := append([]byte(nil), ctx.PostBody()...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		head := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)+missingBytes) + "\r\n\r\n"
		_, _ = c.Write(append([]byte(head), body...))
	})
}

func (s *Server) recordCall(ctx *fasthttp.RequestCtx) int {
	call := Call{
		Method:         string(ctx.Method()),
		Path:           string(ctx.URI().PathOriginal()),
		Query:          string(ctx.URI().QueryString()),
		Body:           append([]byte{}, ctx.PostBody()...),
		IdempotencyKey: string(ctx.Request.Header.Peek(HeaderIdempotencyKey)),
	}
	for name, value := range ctx.Request.Header.All() {
		field := &pb.HeaderField{Name: string(name), Value: string(value)}
		call.Headers = append(call.Headers, field)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	return len(s.calls)
}

func (s *Server) writeCalls(ctx *fasthttp.RequestCtx) {
	body, err := json.Marshal(s.Calls())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
