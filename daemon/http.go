package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
)

const httpShutdownTimeout = 5 * time.Second

// Readiness tells the load balancer whether a daemon accepts new requests. The
// zero value is not ready.
type Readiness struct {
	configured atomic.Bool
	stopping   atomic.Bool
}

// SetConfigured stores whether the daemon holds a confirmed configuration.
func (r *Readiness) SetConfigured(confirmed bool) {
	r.configured.Store(confirmed)
}

// Configured reports whether the daemon holds a confirmed configuration.
func (r *Readiness) Configured() bool {
	return r.configured.Load()
}

// SetStopping makes the daemon not ready permanently.
func (r *Readiness) SetStopping() {
	r.stopping.Store(true)
}

// Ready reports whether the daemon accepts new requests.
func (r *Readiness) Ready() bool {
	return r.configured.Load() && !r.stopping.Load()
}

// HTTPServerOptions configures an HTTPServer.
type HTTPServerOptions struct {
	Readiness *Readiness
	Registry  *prometheus.Registry
	// Guard protects the metrics path, and with OperatorsOnly also the paths of
	// Handler.
	Guard *Guard
	// OperatorsOnly is set if only operators may use the paths of Handler.
	OperatorsOnly bool
	// Logger receives errors of single connections at the debug level; nil drops
	// them.
	Logger *log.Logger
	// Handler serves all paths except health, readiness and metrics.
	Handler fasthttp.RequestHandler
	// Configure may change the server's options before it starts; nil keeps them.
	Configure func(*fasthttp.Server)
}

// HTTPServer serves the health, readiness and metrics paths of a daemon and
// passes requests for other paths to its handler.
type HTTPServer struct {
	options HTTPServerOptions
	server  *fasthttp.Server
	metrics fasthttp.RequestHandler
	// done is closed when the server has stopped.
	done chan struct{}
}

const (
	// maxHeaderBytes is the largest size of a request's headers.
	maxHeaderBytes = 16 << 10
	// maxConnections is the largest number of open connections.
	maxConnections      = 16 << 10
	httpIdleTimeout     = 5 * time.Minute
	operatorReadTimeout = 30 * time.Second
)

// NewHTTPServer returns a server that is not started.
func NewHTTPServer(options HTTPServerOptions) *HTTPServer {
	h := &HTTPServer{options: options, metrics: MetricsHandler(options.Registry), done: make(chan struct{})}
	h.server = &fasthttp.Server{
		Handler:               h.handle,
		Name:                  "briarcross",
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ReadBufferSize:        maxHeaderBytes,
		Concurrency:           maxConnections,
		IdleTimeout:           httpIdleTimeout,
		Logger:                connectionLogger{options.Logger},
	}
	if options.OperatorsOnly {
		h.server.ReadTimeout = operatorReadTimeout
	}
	if options.Configure != nil {
		options.Configure(h.server)
	}
	return h
}

// connectionLogger logs the server's errors at the debug level, since any
// client can cause them.
type connectionLogger struct {
	logger *log.Logger
}

// Printf implements fasthttp.Logger.
func (l connectionLogger) Printf(format string, args ...any) {
	if l.logger != nil {
		l.logger.Debugf(format, args...)
	}
}

// Start serves a listener in a goroutine. It passes the error that ends the
// server early to onError.
func (h *HTTPServer) Start(listener net.Listener, onError func(error)) {
	go func() {
		defer close(h.done)
		if err := h.server.Serve(listener); err != nil {
			onError(err)
		}
	}()
}

// Stop closes the listener and waits up to httpShutdownTimeout for open
// connections.
func (h *HTTPServer) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	_ = h.server.ShutdownWithContext(ctx)
	<-h.done
}

func (h *HTTPServer) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		h.serveReadyz(ctx)
	case !h.isAllowed(ctx, path):
		ctx.Error("only operators may do this: show a token or a certificate\n", fasthttp.StatusUnauthorized)
	case path == metricsPath:
		h.metrics(ctx)
	default:
		h.options.Handler(ctx)
	}
}

const metricsPath = "/metrics"

func (h *HTTPServer) isAllowed(ctx *fasthttp.RequestCtx, path string) bool {
	guarded := h.options.OperatorsOnly || path == metricsPath
	return !guarded || h.options.Guard.Allows(ctx)
}

func (h *HTTPServer) serveReadyz(ctx *fasthttp.RequestCtx) {
	if !h.options.Readiness.Ready() {
		ctx.Error("not ready\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}
