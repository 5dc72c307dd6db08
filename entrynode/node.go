package entrynode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/semaphore"

	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/upstream"
)

const (
	// headerTimeout and idleTimeout close connections that send nothing.
	// idleTimeout is above the idle timeouts that routing tables set for callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes limits the headers that are read, before any limit of the
	// routing table applies.
	maxHeaderBytes = 64 << 10
)

// RequestHeaders holds the parsed headers of a caller's request.
type RequestHeaders struct {
	ID string
	// TimeToDeadline is the time until the caller's deadline; zero means none.
	TimeToDeadline time.Duration
	// ResumeAfter is the ID of the last event that the caller has received.
	ResumeAfter string
	// ResumedID is the ID of the caller's request that began the stream; empty for a
	// new stream.
	ResumedID string
}

// Job is a batch job submitted by a caller.
type Job struct {
	Items []JobItem
}

// JobItem is one request of a job.
type JobItem struct {
	ID      string
	Path    string
	Headers map[string]string
	Body    []byte
}

// Codec parses the headers, jobs and routing tables of the platform.
type Codec interface {
	upstream.HeaderCodec
	node.RoutingCodec
	ParseRequestHeaders(r *http.Request) RequestHeaders
	ParseCredentials(header http.Header) Credentials
	// IdentifiesCustomer reports whether a header holds credentials or names a customer.
	IdentifiesCustomer(headerName string) bool
	ParseJob(body []byte) (Job, error)
}

// Node is a running entry daemon.
type Node struct {
	daemon.FatalErrorReporter
	settings *node.Settings
	logger   *log.Logger
	codec    Codec
	*node.Dispatcher
	upstreamClient *upstream.Client
	metrics        *metrics

	callersListener net.Listener
	callersServer   *http.Server
	callerConns     *callerConns
	clients         *daemon.Clients
	// lingering is the number of refused requests whose rest is read.
	lingering     atomic.Int32
	itemReads     *semaphore.Weighted
	readyServer   *http.Server
	metricsServer *node.MetricsServer
	stopping      atomic.Bool
	// stopTimes is set while the entry stops.
	stopTimes atomic.Pointer[stopTimes]

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Handlers are the HTTP handlers of an entry: for callers, and for the readiness
// check of the load balancer.
type Handlers struct {
	Callers http.Handler
	Ready   http.Handler
}

// Start starts an entry. The settings must have passed Check. handlers returns the
// platform's HTTP handlers for the entry.
func Start(settings *node.Settings, codec Codec, logger *log.Logger, handlers func(*Node) Handlers) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		FatalErrorReporter: daemon.NewFatalErrorReporter(),
		settings:           settings,
		logger:             logger,
		codec:              codec,
		metrics:            newMetrics(),
		callerConns:        newCallerConns(),
		itemReads:          semaphore.NewWeighted(maxItemReads),
		ctx:                ctx,
		cancel:             cancel,
	}
	limits, err := settings.ClientLimits()
	if err != nil {
		cancel()
		return nil, err
	}
	n.clients = daemon.NewClients(limits, n.reportClients)
	n.upstreamClient = upstream.NewClient(codec, n.metrics.connections.Inc)
	dispatcher, err := node.NewDispatcher(settings, logger, codec, n.upstreamGone, nil)
	if err != nil {
		cancel()
		return nil, err
	}
	n.Dispatcher = dispatcher
	n.Storage.SetAttemptTimeout(storageAttemptTimeout)
	if err := n.listen(handlers(n)); err != nil {
		cancel()
		dispatcher.Close()
		return nil, err
	}
	n.Run(ctx)
	n.tasks.Go(func() { n.clients.Run(ctx) })
	return n, nil
}

// reportClients logs what callers were denied.
func (n *Node) reportClients(r daemon.ClientReport) {
	n.logger.Warn(eventlog.ClientsLimited, "refused", r.Refused, "slow", r.Slow, "evicted", r.Evicted, "closed", r.Closed, "rejected", r.Rejected,
		"held_bytes", r.HeldBytes, "connections", r.Connections)
}

func (n *Node) listen(handlers Handlers) error {
	callersListener, err := daemon.ListenClients("callers", n.settings.CallersAddress)
	if err != nil {
		return err
	}
	readyListener, err := daemon.ListenTCP("ready", n.settings.ReadyAddress)
	if err != nil {
		_ = callersListener.Close()
		return err
	}
	n.callersListener = n.clients.Listen(callersListener)
	n.callersServer = &http.Server{
		Handler:           n.endAborted(n.limitClients(n.closeWhileStopping(handlers.Callers))),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          discardLog,
		ConnState:         n.trackConn,
		ConnContext:       withCallerConn,
	}
	readyClients := daemon.NewProbeClients()
	n.readyServer = &http.Server{Handler: handlers.Ready, ReadHeaderTimeout: headerTimeout, WriteTimeout: responseWriteTimeout, ErrorLog: discardLog, ConnState: readyClients.Track}
	n.metrics.registry.MustRegister(n.Collectors()...)
	n.metrics.registry.MustRegister(n.clients.Collectors()...)
	n.metricsServer, err = node.ServeMetrics(n.settings.MetricsAddress, n.metrics.registry, n.ReportFatal)
	if err != nil {
		return errors.Join(err, callersListener.Close(), readyListener.Close())
	}
	n.serve(n.callersServer, n.callersListener)
	n.serve(n.readyServer, readyClients.Listen(readyListener))
	return nil
}

func (n *Node) serve(server *http.Server, listener net.Listener) {
	n.tasks.Go(func() {
		if err := server.Serve(listener); err != http.ErrServerClosed && !n.stopping.Load() {
			n.ReportFatal(err)
		}
	})
}

// Ready reports whether the load balancer may send new connections.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.Table() != nil
}

// upstreamGone closes the idle connections to an upstream that accepts no new
// requests.
func (n *Node) upstreamGone(u fleet.Upstream) {
	n.upstreamClient.ClosePool(u.Address)
}
