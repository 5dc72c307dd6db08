package daemon

import (
	"net"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"
)

// ProfilingServer serves pprof profiles of this process on a loopback address.
type ProfilingServer struct {
	server   *fasthttp.Server
	listener net.Listener
	done     chan struct{}
}

// StartProfiling serves profiles on the address of the Pprof setting, under
// /debug/pprof/. It returns nil if the setting is empty.
func (s *Settings) StartProfiling() (*ProfilingServer, error) {
	if s.Pprof == "" {
		return nil, nil
	}
	listener, err := ListenTCP("pprof", s.Pprof)
	if err != nil {
		return nil, err
	}
	p := &ProfilingServer{
		server:   &fasthttp.Server{Handler: pprofhandler.PprofHandler, Logger: connectionLogger{}, CloseOnShutdown: true},
		listener: listener,
		done:     make(chan struct{}),
	}
	go func() {
		defer close(p.done)
		_ = p.server.Serve(listener)
	}()
	return p, nil
}

// Address returns the address on which the server listens.
func (p *ProfilingServer) Address() string {
	return p.listener.Addr().String()
}

// Stop stops the server without waiting for running profiles, which are cut off.
// It does nothing on a nil server.
func (p *ProfilingServer) Stop() {
	if p == nil {
		return
	}
	_ = p.listener.Close()
	<-p.done
}
