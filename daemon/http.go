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

// Readiness tells the balancer whether a daemon takes new requests. The zero
// value is not ready.
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

// SetStopping makes the daemon not ready for good.
func (r *Readiness) SetStopping() {
	r.stopping.Store(true)
}

// Ready reports whether new requests are welcome.
func (r *Readiness) Ready() bool {
	return r.configured.Load() && !r.stopping.Load()
}

// HTTPServerOptions configure an HTTP interface.
type HTTPServerOptions struct {
	Readiness *Readiness
	Registry  *prometheus.Registry
	// Guard protects the metrics, and all other paths too with OperatorsOnly.
	Guard *Guard
	// OperatorsOnly is set where all paths are for operators.
	OperatorsOnly bool
	// Logger gets faults of single connections, at the debug level.
	Logger *log.Logger
	// Handler serves all paths but those of health, readiness and metrics.
	Handler fasthttp.RequestHandler
	// Configure changes the server before it starts; nil leaves it as it is.
	Configure func(*fasthttp.Server)
}

// HTTPServer serves the health, readiness and metrics paths of a daemon and passes
// other paths to its handler.
type HTTPServer struct {
	options HTTPServerOptions
	server  *fasthttp.Server
	metrics fasthttp.RequestHandler
	done    chan struct{}
}

const (
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 16 << 10
	// maxConnections bounds the connections that a server handles at a time.
	maxConnections      = 16 << 10
	httpIdleTimeout     = 5 * time.Minute
	operatorReadTimeout = 30 * time.Second
)

// NewHTTPServer returns a server.
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

// connectionLogger logs faults that any client can cause.
type connectionLogger struct {
	logger *log.Logger
}

// Printf implements fasthttp.Logger.
func (l connectionLogger) Printf(format string, args ...any) {
	if l.logger != nil {
		l.logger.Debugf(format, args...)
	}
}

// Start serves a listener; an error is passed to fault.
func (h *HTTPServer) Start(listener net.Listener, onError func(error)) {
	go func() {
		defer close(h.done)
		if err := h.server.Serve(listener); err != nil {
			onError(err)
		}
	}()
}

// Stop closes the listener and waits a bounded time for idle connections.
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
