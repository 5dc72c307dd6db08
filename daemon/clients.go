package daemon

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/clientlimit"
)

const (
	// overdueInterval is the interval at which overdue bodies are looked for.
	overdueInterval = 2 * time.Second
	// reportInterval is the shortest time between two reports of evictions and refusals.
	reportInterval = 10 * time.Second
	// evictionTimeout bounds the wait for memory of requests that have been evicted.
	evictionTimeout = time.Second
	// firstBufferBytes is the capacity of the first buffer of a body.
	firstBufferBytes = 4 << 10
	// bufferGrowth is the factor by which the buffer of a body grows. largeBufferGrowth is that of
	// a large body of unknown length, of which the last buffer may be mostly unused.
	bufferGrowth      = 4
	largeBufferGrowth = 2
	largeBufferBytes  = 64 << 10
)

// Errors of requests that may not hold what they ask for. The requests have not run.
var (
	// ErrClientMemory means that there is no room for the request now.
	ErrClientMemory = errors.New("clients hold all the memory that they may")
	// ErrBodyTooSlow means that the body has arrived too slowly.
	ErrBodyTooSlow = errors.New("body arrives too slowly")
	// ErrBodyTooLarge means that the body is longer than it may be.
	ErrBodyTooLarge = errors.New("body is too large")
)

// Clients applies a clientlimit.Limiter to the connections and requests of a server. It is safe for
// concurrent use.
type Clients struct {
	mu      sync.Mutex
	limiter *clientlimit.Limiter
	conns   map[net.Conn]*clientConn
	byID    map[clientlimit.ConnectionID]*clientConn
	// requests holds the requests that have not ended.
	requests map[clientlimit.RequestID]*ClientRequest

	// evicted, memory and connections are metrics.
	evicted     *prometheus.CounterVec
	memory      []prometheus.Collector
	connections []prometheus.Collector
	// unreported counts the denials since the last report.
	unreported ClientReport
	onReport   func(ClientReport)
}

// clientConn is an open connection of a client.
type clientConn struct {
	net.Conn
	id clientlimit.ConnectionID
	// request is the request in service, nil between two.
	request *ClientRequest
}

// interrupt makes a read of the body of the request in service return.
func (c *clientConn) interrupt() {
	// A connection that has failed ends by itself.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// ClientReport counts what clients were denied since the last report.
type ClientReport struct {
	// Refused counts the requests without room, Slow those with a body that was too slow, and
	// Evicted those given up for others.
	Refused, Slow, Evicted int
	// Closed counts the connections closed for others, Rejected those closed at once.
	Closed, Rejected int
	// HeldBytes and Connections are what clients hold at the time of the report.
	HeldBytes   int64
	Connections int
}

// Kinds of evictions, as a label of a metric.
const (
	evictedForMemory     = "body_for_memory"
	evictedSlow          = "body_too_slow"
	evictedForConnection = "connection"
	rejectedConnection   = "new_connection"
	refusedMemory        = "no_memory"
)

// NewClients returns the clients of a server within limits, which must have passed Check. onReport,
// if it is not nil, gets a report now and then while clients are denied something.
func NewClients(limits clientlimit.Limits, onReport func(ClientReport)) *Clients {
	c := &Clients{
		limiter: clientlimit.New(limits), conns: make(map[net.Conn]*clientConn), byID: make(map[clientlimit.ConnectionID]*clientConn),
		requests: make(map[clientlimit.RequestID]*ClientRequest), onReport: onReport,
		evicted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_client_evictions_total", Help: "What clients were denied, by kind.",
		}, []string{"kind"}),
	}
	gauge := func(name, help string, read func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return read()
		})
	}
	c.memory = []prometheus.Collector{
		c.evicted,
		gauge("briarcross_client_memory_bytes", "Memory that the requests of clients hold.", func() float64 { return float64(c.limiter.HeldBytes()) }),
		gauge("briarcross_client_memory_limit_bytes", "Memory that the requests of clients may hold.", func() float64 { return float64(limits.MemoryBytes) }),
	}
	c.connections = []prometheus.Collector{
		gauge("briarcross_client_connections", "Open connections of clients.", func() float64 { return float64(c.limiter.Connections()) }),
		gauge("briarcross_client_connections_limit", "Connections that clients may have open.", func() float64 { return float64(limits.Connections) }),
	}
	return c
}

// MemoryCollectors returns the metrics of what requests hold.
func (c *Clients) MemoryCollectors() []prometheus.Collector { return c.memory }

// Collectors returns all metrics.
func (c *Clients) Collectors() []prometheus.Collector { return slices.Concat(c.memory, c.connections) }

// Run ends overdue requests and reports denials until the context ends.
func (c *Clients) Run(ctx context.Context) {
	ticker := time.NewTicker(overdueInterval)
	defer ticker.Stop()
	reportAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.endOverdue(now)
			if now.After(reportAt) && c.report() {
				reportAt = now.Add(reportInterval)
			}
		}
	}
}

func (c *Clients) endOverdue(now time.Time) {
	c.mu.Lock()
	overdue := c.take(c.limiter.EvictOverdue(now), ErrBodyTooSlow)
	c.unreported.Slow += len(overdue)
	c.mu.Unlock()
	c.interrupt(overdue, evictedSlow)
}

// EndStalled ends the requests with a body that has stopped arriving.
func (c *Clients) EndStalled() {
	c.mu.Lock()
	stalled := c.take(c.limiter.EvictBehind(time.Now()), ErrBodyTooSlow)
	c.unreported.Slow += len(stalled)
	c.mu.Unlock()
	c.interrupt(stalled, evictedSlow)
}

func (c *Clients) report() bool {
	c.mu.Lock()
	report := c.unreported
	c.unreported = ClientReport{}
	denied := report != (ClientReport{})
	report.HeldBytes, report.Connections = c.limiter.HeldBytes(), c.limiter.Connections()
	c.mu.Unlock()
	if denied && c.onReport != nil {
		c.onReport(report)
	}
	return denied
}

// take marks requests as evicted for a reason, and returns them.
func (c *Clients) take(ids []clientlimit.RequestID, reason error) []*ClientRequest {
	evicted := make([]*ClientRequest, 0, len(ids))
	for _, id := range ids {
		r := c.requests[id]
		r.evicted = reason
		evicted = append(evicted, r)
	}
	return evicted
}

func (c *Clients) interrupt(requests []*ClientRequest, kind string) {
	for _, r := range requests {
		c.evicted.WithLabelValues(kind).Inc()
		r.interrupt()
	}
}

// wake lets requests continue that were granted what they wait for.
func (c *Clients) wake(granted []clientlimit.RequestID) {
	for _, id := range granted {
		close(c.requests[id].granted)
	}
}

// ClientRequest is a request with what it holds.
type ClientRequest struct {
	clients   *Clients
	id        clientlimit.RequestID
	interrupt func()
	// evicted is the reason for which the request was given up. clients.mu guards it.
	evicted error
	// granted is closed when a request that waits for memory has it. clients.mu guards it.
	granted chan struct{}
}

// Begin adds a request without a connection that counts. Its body counts as received. The caller
// must call End.
func (c *Clients) Begin() *ClientRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.begin(0, func() {})
	c.limiter.Complete(r.id)
	return r
}

func (c *Clients) begin(conn clientlimit.ConnectionID, interrupt func()) *ClientRequest {
	r := &ClientRequest{clients: c, id: c.limiter.Begin(time.Now(), conn), interrupt: interrupt}
	c.requests[r.id] = r
	return r
}

// Serve begins the request whose head has been read on a connection. The request ends when the
// connection is idle again or closed. Serve returns nil if the connection is being closed for
// others; the request must not be served then.
func (c *Clients) Serve(conn net.Conn) *ClientRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, known := c.conns[conn]
	if !known || !c.limiter.Serve(client.id) {
		return nil
	}
	client.request = c.begin(client.id, client.interrupt)
	return client.request
}

// Request returns the request in service on a connection, nil if there is none.
func (c *Clients) Request(conn net.Conn) *ClientRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, known := c.conns[conn]; known {
		return client.request
	}
	return nil
}

// Grow asks for more memory. It returns the reason for which there is none.
func (r *ClientRequest) Grow(bytes int64) error {
	c := r.clients
	c.mu.Lock()
	if r.evicted != nil {
		defer c.mu.Unlock()
		return r.evicted
	}
	grant, ids := c.limiter.Grow(time.Now(), r.id, bytes)
	evicted := c.take(ids, ErrClientMemory)
	c.unreported.Evicted += len(evicted)
	var granted chan struct{}
	switch grant {
	case clientlimit.Refused:
		c.recordRefused()
	case clientlimit.Waiting:
		granted = make(chan struct{})
		r.granted = granted
	}
	c.mu.Unlock()
	c.interrupt(evicted, evictedForMemory)
	switch grant {
	case clientlimit.Granted:
		return nil
	case clientlimit.Waiting:
		return r.await(granted)
	}
	return ErrClientMemory
}

// await waits until evicted requests have given their memory back.
func (r *ClientRequest) await(granted <-chan struct{}) error {
	timer := time.NewTimer(evictionTimeout)
	defer timer.Stop()
	select {
	case <-granted:
		return nil
	case <-timer.C:
	}
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	cancelled, others := c.limiter.Cancel(r.id)
	c.wake(others)
	if !cancelled {
		return nil
	}
	c.recordRefused()
	return ErrClientMemory
}

func (c *Clients) countRefused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordRefused()
}

func (c *Clients) recordRefused() {
	c.unreported.Refused++
	c.evicted.WithLabelValues(refusedMemory).Inc()
}

// Shrink gives memory back.
func (r *ClientRequest) Shrink(bytes int64) {
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake(c.limiter.Shrink(r.id, bytes))
}

// Receive records that bytes of the body have arrived.
func (r *ClientRequest) Receive(bytes int) {
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.Receive(time.Now(), r.id, bytes)
}

// Complete records that the body has arrived, so that the request is not given up any more. It
// returns an error if it has been.
func (r *ClientRequest) Complete() error {
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.limiter.Complete(r.id) {
		return r.evicted
	}
	return nil
}

// Evicted returns the reason for which the request was given up, nil if it was not.
func (r *ClientRequest) Evicted() error {
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.evicted
}

// Release gives all memory back. The request goes on without.
func (r *ClientRequest) Release() {
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake(c.limiter.Release(r.id))
}

// End gives all memory back and forgets the request.
func (r *ClientRequest) End() {
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(r)
}

func (c *Clients) end(r *ClientRequest) {
	c.wake(c.limiter.End(r.id))
	delete(c.requests, r.id)
}

// fits reports whether there may be room for a number of bytes.
func (r *ClientRequest) fits(bytes int64) bool {
	c := r.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.Fits(time.Now(), r.id, bytes)
}

// ReadBody reads a body of a length, which is negative if it is unknown, and of at most limit
// bytes. While it is read and afterwards, each of its bytes counts as a number of bytes of memory:
// its cost. The error is one of those above, or that of the read.
func (r *ClientRequest) ReadBody(body io.Reader, length, limit, cost int64) ([]byte, error) {
	if length > limit {
		return nil, ErrBodyTooLarge
	}
	if length > largeBufferBytes && !r.fits(cost*length) {
		r.clients.countRefused()
		return nil, ErrClientMemory
	}
	capacity := length
	if length < 0 {
		capacity = limit
	}
	reader := &bodyReader{request: r, body: body, capacity: capacity, known: length >= 0, cost: cost}
	return reader.readAll()
}

// BodyMemory returns the most memory that a body of a size and a cost takes while it is read.
func BodyMemory(bytes, cost int64) int64 { return cost*bytes + bytes/largeBufferGrowth }

// bodyReader reads the body of a request into a buffer that grows as bytes arrive.
type bodyReader struct {
	request *ClientRequest
	body    io.Reader
	// capacity is the largest size of the buffer. known is set if it is the length of the body.
	capacity int64
	known    bool
	cost     int64
	buffer   []byte
}

func (b *bodyReader) readAll() ([]byte, error) {
	var excess [1]byte
	for {
		space := b.buffer[len(b.buffer):cap(b.buffer)]
		full := int64(len(b.buffer)) == b.capacity
		if full {
			space = excess[:]
		} else if len(space) == 0 {
			if err := b.grow(); err != nil {
				return nil, err
			}
			continue
		}
		n, err := b.body.Read(space)
		if n > 0 {
			b.request.Receive(n)
		}
		if full && n > 0 {
			return nil, ErrBodyTooLarge
		}
		b.buffer = b.buffer[:len(b.buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return b.buffer, b.request.Complete()
		case err != nil:
			return nil, errors.Join(b.request.Evicted(), err)
		}
	}
}

// grow replaces the buffer by a larger one. While it is copied, both count.
func (b *bodyReader) grow() error {
	old := int64(cap(b.buffer))
	factor := int64(bufferGrowth)
	if !b.known && old >= largeBufferBytes {
		factor = largeBufferGrowth
	}
	size := min(max(firstBufferBytes, factor*old), b.capacity)
	if err := b.request.Grow(b.cost*(size-old) + old); err != nil {
		return err
	}
	buffer := make([]byte, len(b.buffer), size)
	copy(buffer, b.buffer)
	b.buffer = buffer
	b.request.Shrink(old)
	return nil
}

// Listen returns a listener whose connections count. The server must call Track when the state of a
// connection changes, and Serve when it has read the head of a request.
func (c *Clients) Listen(listener net.Listener) net.Listener { return clientListener{listener, c} }

type clientListener struct {
	net.Listener
	clients *Clients
}

// Accept implements net.Listener. It closes new connections for which there is no room.
func (l clientListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.clients.add(conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
}

// add adds a new connection, and closes another if need be. It returns false if there is no room.
func (c *Clients) add(conn net.Conn) bool {
	c.mu.Lock()
	id, eviction, ok := c.limiter.Connect(time.Now())
	if ok {
		client := &clientConn{Conn: conn, id: id}
		c.conns[conn], c.byID[id] = client, client
	} else {
		c.unreported.Rejected++
		c.evicted.WithLabelValues(rejectedConnection).Inc()
	}
	var quiet *clientConn
	var stalled []*ClientRequest
	if eviction != nil {
		c.unreported.Closed++
		if eviction.Request != 0 {
			stalled = c.take([]clientlimit.RequestID{eviction.Request}, ErrClientMemory)
		} else {
			quiet = c.byID[eviction.Connection]
			c.evicted.WithLabelValues(evictedForConnection).Inc()
		}
	}
	c.mu.Unlock()
	c.interrupt(stalled, evictedForConnection)
	if quiet != nil {
		// A deadline would not do: the server sets its own when it begins to read a request. An
		// error means that the client has disconnected.
		_ = quiet.Close()
	}
	return ok
}

// Track records the state of a connection.
func (c *Clients) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, known := c.conns[conn]
	if !known {
		return
	}
	if client.request != nil {
		c.end(client.request)
		client.request = nil
	}
	switch state {
	case http.StateActive, http.StateIdle:
		c.limiter.Quiet(client.id)
	case http.StateClosed, http.StateHijacked:
		c.limiter.Close(client.id)
		delete(c.conns, conn)
		delete(c.byID, client.id)
	}
}

// ListenClients listens on an address for clients. What the kernel receives for a connection that
// is not read is limited, since it counts as memory of the process.
func ListenClients(name, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "setting -%s", name)
	}
	return listener, nil
}
