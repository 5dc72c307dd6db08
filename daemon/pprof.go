package daemon

import (
	"net"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"
)

// ProfilingServer serves profiles of this process on loopback.
type ProfilingServer struct {
	server   *fasthttp.Server
	listener net.Listener
	done     chan struct{}
}

// StartProfiling serves profiles at the Pprof setting, below /debug/pprof/. It
// returns nil when the setting is empty.
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

// Address returns the address that is served.
func (p *ProfilingServer) Address() string {
	return p.listener.Addr().String()
}

// Stop ends the interface; running profiles are cut off.
func (p *ProfilingServer) Stop() {
	if p == nil {
		return
	}
	_ = p.listener.Close()
	<-p.done
}
