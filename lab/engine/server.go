package labengine

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/engine"
)

// Server serves an Engine over HTTP. One goroutine owns the engine.
type Server struct {
	engine *Engine
	http   *fasthttp.Server
	// calls are functions that run on the engine's goroutine.
	calls   chan func(now time.Time)
	closing chan struct{}
	closed  chan struct{}
	once    sync.Once

	serials atomic.Uint64
	dead    atomic.Bool
	conns   connTable

	// The owner's goroutine alone uses these.
	streams map[uint64]*stream
	orders  map[uint64]chan engine.OrderResponse
}

const (
	callQueue        = 1024
	maxRequestBytes  = 16 << 20
	readTimeout      = time.Minute
	maxConcurrency   = 256 << 10
	idleConnTimeout  = time.Minute
	writeBufferBytes = 4 << 10
)

// NewServer returns a server for a new engine. Close must be called.
func NewServer(o Options) *Server {
	s := &Server{
		engine:  New(o),
		calls:   make(chan func(time.Time), callQueue),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
		streams: make(map[uint64]*stream),
		orders:  make(map[uint64]chan engine.OrderResponse),
	}
	s.dead.Store(o.Faults.Die)
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "briarcross-lab",
		MaxRequestBodySize:    maxRequestBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleConnTimeout,
		WriteBufferSize:       writeBufferBytes,
		Concurrency:           maxConcurrency,
		NoDefaultServerHeader: true,
		Logger:                silent{},
	}
	go s.own()
	return s
}

// silent drops the HTTP server's messages about connections that broke.
type silent struct{}

func (silent) Printf(string, ...any) {}

// Serve answers requests on a listener until Close.
func (s *Server) Serve(ln net.Listener) error {
	err := s.http.Serve(&watchedListener{Listener: ln, server: s})
	return eris.Wrap(err, "labengine: serve")
}

// Close ends all requests and connections.
func (s *Server) Close() error {
	s.once.Do(func() { close(s.closing) })
	<-s.closed
	s.conns.closeAll()
	return eris.Wrap(s.http.Shutdown(), "labengine: close")
}

// SetFaults replaces the engine's faults.
func (s *Server) SetFaults(faults Faults) {
	s.dead.Store(faults.Die)
	s.do(func(now time.Time) { s.engine.Step(now, SetFaults{Faults: faults}) })
	if faults.Die {
		s.conns.closeAll()
	}
}

// Ledger returns the engine's ledger.
func (s *Server) Ledger() []LedgerEntry {
	var entries []LedgerEntry
	s.do(func(time.Time) { entries = s.engine.Ledger() })
	return entries
}

// Counters returns the engine's counters.
func (s *Server) Counters() Counters {
	var counters Counters
	s.do(func(time.Time) { counters = s.engine.Counters() })
	return counters
}

// Identity returns what the engine serves.
func (s *Server) Identity() engine.Identity {
	var identity engine.Identity
	s.do(func(time.Time) { identity = s.engine.Identity() })
	return identity
}

// do runs a function on the engine's goroutine and waits for it. It reports
// false when the server is closing.
func (s *Server) do(call func(now time.Time)) bool {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		call(now)
		close(done)
	}
	select {
	case s.calls <- wrapped:
	case <-s.closing:
		return false
	}
	select {
	case <-done:
		return true
	case <-s.closed:
		return false
	}
}

// own drives the engine until the server closes.
func (s *Server) own() {
	defer close(s.closed)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.schedule(timer)
		select {
		case call := <-s.calls:
			call(time.Now())
		case now := <-timer.C:
			s.engine.Tick(now)
		case <-s.closing:
			s.endStreams()
			return
		}
		s.deliver()
	}
}

func (s *Server) schedule(timer *time.Timer) {
	next, ok := s.engine.NextTick()
	if !ok {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(time.Until(next))
}

// deliver hands the engine's outputs to the streams.
func (s *Server) deliver() {
	for _, out := range s.engine.Drain() {
		switch out := out.(type) {
		case Accepted:
			s.put(out.Serial, out, false)
		case Token:
			s.put(out.Serial, out, false)
		case Refused:
			s.put(out.Serial, out, true)
		case Finished:
			s.put(out.Serial, out, true)
		case Stopped:
			s.put(out.Serial, out, true)
		case OrderReplied:
			s.orders[out.Serial] <- out.Reply
			delete(s.orders, out.Serial)
		}
	}
}

func (s *Server) put(serial uint64, out Output, last bool) {
	stream, ok := s.streams[serial]
	if !ok {
		return
	}
	stream.put(out)
	if last {
		delete(s.streams, serial)
	}
}

func (s *Server) endStreams() {
	for serial, stream := range s.streams {
		stream.put(Stopped{Serial: serial})
	}
}
