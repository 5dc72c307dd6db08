package daemon

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/clientlimit"
)

const (
	// overdueInterval is the interval at which overdue bodies are looked for.
	overdueInterval = 2 * time.Second
	// reportInterval is the shortest time between two reports of evictions and refusals.
	reportInterval = 10 * time.Second
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

	// denials, memory and connections are metrics.
	denials     *prometheus.CounterVec
	memory      []prometheus.Collector
	connections []prometheus.Collector
	// unreported counts the denials since the last report.
	unreported ClientReport
	onReport   func(ClientReport)
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

// Kinds of denials, as a label of a metric: requests refused, bodies given up for others or as too
// slow, connections closed for others, and new ones closed at once.
const (
	deniedMemory        = "no_memory"
	deniedBody          = "body_for_memory"
	deniedSlowBody      = "body_too_slow"
	deniedConnection    = "connection"
	deniedNewConnection = "new_connection"
)

// NewClients returns the clients of a server within limits, which must have passed Check. onReport,
// if it is not nil, gets a report now and then while clients are denied something.
func NewClients(limits clientlimit.Limits, onReport func(ClientReport)) *Clients {
	c := &Clients{
		limiter: clientlimit.New(limits), conns: make(map[net.Conn]*clientConn), byID: make(map[clientlimit.ConnectionID]*clientConn),
		requests: make(map[clientlimit.RequestID]*ClientRequest), onReport: onReport,
		denials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_client_denials_total", Help: "What clients were denied, by kind.",
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
		c.denials,
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
	overdue := c.markEvicted(c.limiter.EvictOverdue(now), ErrBodyTooSlow)
	c.unreported.Slow += len(overdue)
	c.mu.Unlock()
	c.interrupt(overdue, deniedSlowBody)
}

// EndStalled ends the requests with a body that has stopped arriving.
func (c *Clients) EndStalled() {
	c.mu.Lock()
	stalled := c.markEvicted(c.limiter.EvictBehind(time.Now()), ErrBodyTooSlow)
	c.unreported.Slow += len(stalled)
	c.mu.Unlock()
	c.interrupt(stalled, deniedSlowBody)
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

// markEvicted marks requests as evicted for a reason, and returns them.
func (c *Clients) markEvicted(ids []clientlimit.RequestID, reason error) []*ClientRequest {
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
		c.denials.WithLabelValues(kind).Inc()
		r.interrupt()
	}
}

// wake lets requests continue that were granted what they wait for.
func (c *Clients) wake(granted []clientlimit.RequestID) {
	for _, id := range granted {
		close(c.requests[id].granted)
	}
}
