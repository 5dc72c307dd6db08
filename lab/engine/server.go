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

// Server serves an Engine over HTTP. Only one goroutine, runEngineLoop, uses
// the engine.
type Server struct {
	engine *Engine
	http   *fasthttp.Server
	// tasks holds functions to run on the engine's goroutine.
	tasks     chan func(now time.Time)
	closing   chan struct{}
	closed    chan struct{}
	closeOnce sync.Once

	lastSerial atomic.Uint64
	down       atomic.Bool
	conns      connSet

	// Used only on the engine's goroutine; the keys are serial numbers.
	outputQueues   map[uint64]*outputQueue
	orderResponses map[uint64]chan engine.OrderResponse
}

const (
	taskQueueSize    = 1024
	maxRequestBytes  = 16 << 20
	readTimeout      = time.Minute
	maxConcurrency   = 256 << 10
	idleConnTimeout  = time.Minute
	writeBufferBytes = 4 << 10
)

// NewServer starts a new engine and returns its server. The caller must call
// Close.
func NewServer(o Options) *Server {
	s := &Server{
		engine:         New(o),
		tasks:          make(chan func(time.Time), taskQueueSize),
		closing:        make(chan struct{}),
		closed:         make(chan struct{}),
		outputQueues:   make(map[uint64]*outputQueue),
		orderResponses: make(map[uint64]chan engine.OrderResponse),
	}
	s.down.Store(o.Faults.Down)
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "briarcross-lab",
		MaxRequestBodySize:    maxRequestBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleConnTimeout,
		WriteBufferSize:       writeBufferBytes,
		Concurrency:           maxConcurrency,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
	go s.runEngineLoop()
	return s
}

// discardLogger drops the HTTP server's messages about broken connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve handles requests on a listener until Close.
func (s *Server) Serve(ln net.Listener) error {
	err := s.http.Serve(&trackingListener{Listener: ln, server: s})
	return eris.Wrap(err, "labengine: serve HTTP")
}

// Close cancels all requests and closes all connections.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.closing) })
	<-s.closed
	s.conns.closeAll()
	return eris.Wrap(s.http.Shutdown(), "labengine: shut down HTTP server")
}

// SetFaults replaces the engine's faults.
func (s *Server) SetFaults(faults Faults) {
	s.down.Store(faults.Down)
	s.runOnEngine(func(now time.Time) { s.engine.Step(now, SetFaults{Faults: faults}) })
	if faults.Down {
		s.conns.closeAll()
	}
}

// Ledger returns the engine's ledger.
func (s *Server) Ledger() []LedgerEntry {
	var entries []LedgerEntry
	s.runOnEngine(func(time.Time) { entries = s.engine.Ledger() })
	return entries
}

// Counters returns the engine's counters.
func (s *Server) Counters() Counters {
	var counters Counters
	s.runOnEngine(func(time.Time) { counters = s.engine.Counters() })
	return counters
}

// Identity returns the models, adapters, role and version that the engine
// reports.
func (s *Server) Identity() engine.Identity {
	var identity engine.Identity
	s.runOnEngine(func(time.Time) { identity = s.engine.Identity() })
	return identity
}

// runOnEngine runs a function on the engine's goroutine and waits for it. It
// returns false if the server closes first.
func (s *Server) runOnEngine(task func(now time.Time)) bool {
	done := make(chan struct{})
	notifyingTask := func(now time.Time) {
		task(now)
		close(done)
	}
	select {
	case s.tasks <- notifyingTask:
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

// runEngineLoop runs tasks and the engine's timer until the server closes.
func (s *Server) runEngineLoop() {
	defer close(s.closed)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.resetTimer(timer)
		select {
		case task := <-s.tasks:
			task(time.Now())
		case now := <-timer.C:
			s.engine.Tick(now)
		case <-s.closing:
			s.cancelRequests()
			return
		}
		s.deliverOutputs()
	}
}

func (s *Server) resetTimer(timer *time.Timer) {
	next, ok := s.engine.NextTick()
	if !ok {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(time.Until(next))
}

// deliverOutputs passes the engine's outputs to the HTTP handlers.
func (s *Server) deliverOutputs() {
	for _, out := range s.engine.Drain() {
		switch out := out.(type) {
		case Accepted:
			s.enqueueOutput(out.Serial, out, false)
		case Token:
			s.enqueueOutput(out.Serial, out, false)
		case Refused:
			s.enqueueOutput(out.Serial, out, true)
		case Finished:
			s.enqueueOutput(out.Serial, out, true)
		case Cancelled:
			s.enqueueOutput(out.Serial, out, true)
		case OrderResult:
			s.orderResponses[out.Serial] <- out.Response
			delete(s.orderResponses, out.Serial)
		}
	}
}

func (s *Server) enqueueOutput(serial uint64, out Output, last bool) {
	queue, ok := s.outputQueues[serial]
	if !ok {
		return
	}
	queue.put(out)
	if last {
		delete(s.outputQueues, serial)
	}
}

func (s *Server) cancelRequests() {
	for serial, queue := range s.outputQueues {
		queue.put(Cancelled{Serial: serial})
	}
}
