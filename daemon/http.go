package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
)

const httpStopTimeout = 5 * time.Second

// Readiness tells the balancer whether a daemon takes new requests. The zero
// value is not ready.
type Readiness struct {
	configured atomic.Bool
	stopping   atomic.Bool
}

// SetConfigured stores whether the daemon holds a confirmed configuration.
func (r *Readiness) SetConfigured(on bool) {
	r.configured.Store(on)
}

// Stop makes the daemon not ready for good.
func (r *Readiness) Stop() {
	r.stopping.Store(true)
}

// Ready reports whether new requests are welcome.
func (r *Readiness) Ready() bool {
	return r.configured.Load() && !r.stopping.Load()
}

// HTTP serves the health, readiness and metrics paths of a daemon and passes
// other paths to its handler.
type HTTP struct {
	server    *fasthttp.Server
	readiness *Readiness
	metrics   fasthttp.RequestHandler
	next      fasthttp.RequestHandler
	done      chan struct{}
}

// NewHTTP returns a server. Configure may change it before it starts; it may
// be nil.
func NewHTTP(readiness *Readiness, registry *prometheus.Registry, next fasthttp.RequestHandler, configure func(*fasthttp.Server)) *HTTP {
	h := &HTTP{
		readiness: readiness,
		metrics:   MetricsHandler(registry),
		next:      next,
		done:      make(chan struct{}),
	}
	h.server = &fasthttp.Server{
		Handler:               h.handle,
		Name:                  "briarcross",
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	if configure != nil {
		configure(h.server)
	}
	return h
}

// Start serves a listener; an error is passed to fault.
func (h *HTTP) Start(listener net.Listener, fault func(error)) {
	go func() {
		defer close(h.done)
		if err := h.server.Serve(listener); err != nil {
			fault(err)
		}
	}()
}

// Stop closes the listener and waits a bounded time for idle connections.
func (h *HTTP) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), httpStopTimeout)
	defer cancel()
	_ = h.server.ShutdownWithContext(ctx)
	<-h.done
}

func (h *HTTP) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		h.readyz(ctx)
	case "/metrics":
		h.metrics(ctx)
	default:
		h.next(ctx)
	}
}

func (h *HTTP) readyz(ctx *fasthttp.RequestCtx) {
	if !h.readiness.Ready() {
		ctx.Error("not ready\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}
