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

	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/routing"
	"github.com/briarcross/briarcross/upstream"
)

const (
	// rotationTime is the time after which the balancer has taken a daemon that
	// is not ready out of rotation, with one of its checks to spare.
	rotationTime = 3 * time.Second
	// stopMargin is what remains of the grace time for the process to end.
	stopMargin = time.Second
	// headerTimeout and idleTimeout bound connections that send nothing. The
	// second is above the idle times that routing tables allow callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds the headers that are read at all.
	maxHeaderBytes = 64 << 10
)

// Request is what a caller says of a request in its headers.
type Request struct {
	ID string
	// Deadline is how long the caller waits; zero means that it did not say.
	Deadline time.Duration
	// ResumeAfter is the ID of the last event that the caller has.
	ResumeAfter string
}

// Job is a batch job as a caller submits it.
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

// Codec reads what the platform's callers and operators write.
type Codec interface {
	upstream.HeaderCodec
	Table(document []byte) (*routing.Table, error)
	Request(r *http.Request) Request
	Job(body []byte) (Job, error)
}

// Node is a running entry.
type Node struct {
	daemon.FaultReporter
	settings *node.Settings
	logger   *log.Logger
	codec    Codec
	*node.Dispatcher
	engines *upstream.Client
	metrics *metrics

	callers  *http.Server
	unused   *unusedConns
	ready    *http.Server
	exporter *node.MetricsServer
	stopping atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Handlers are the platform's HTTP interfaces of an entry.
type Handlers struct {
	Callers http.Handler
	Ready   http.Handler
}

// Start starts an entry. The settings must have passed Check. Handlers wraps
// the entry in the platform's interfaces.
func Start(settings *node.Settings, codec Codec, logger *log.Logger, handlers func(*Node) Handlers) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		FaultReporter: daemon.NewFaultReporter(),
		settings:      settings,
		logger:        logger,
		codec:         codec,
		metrics:       newMetrics(),
		unused:        newUnusedConns(),
		ctx:           ctx,
		cancel:        cancel,
	}
	n.engines = upstream.NewClient(codec, n.metrics.connections.Inc)
	dispatcher, err := node.NewDispatcher(settings, logger, codec.Table, n.upstreamGone)
	if err != nil {
		cancel()
		return nil, err
	}
	n.Dispatcher = dispatcher
	n.Storage.SetAttemptTimeout(storageAttempt)
	if err := n.listen(handlers(n)); err != nil {
		cancel()
		dispatcher.Close()
		return nil, err
	}
	n.Run(ctx)
	return n, nil
}

func (n *Node) listen(handlers Handlers) error {
	callers, err := daemon.ListenTCP("callers", n.settings.Callers)
	if err != nil {
		return err
	}
	ready, err := daemon.ListenTCP("ready", n.settings.Ready)
	if err != nil {
		_ = callers.Close()
		return err
	}
	n.callers = &http.Server{
		Handler:           handlers.Callers,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          quietLog,
		ConnState:         n.unused.note,
	}
	n.ready = &http.Server{Handler: handlers.Ready, ReadHeaderTimeout: headerTimeout, ErrorLog: quietLog}
	n.metrics.registry.MustRegister(n.Collectors()...)
	n.exporter, err = node.ServeMetrics(n.settings.Metrics, n.metrics.registry, n.Fault)
	if err != nil {
		return errors.Join(err, callers.Close(), ready.Close())
	}
	n.serve(n.callers, callers)
	n.serve(n.ready, ready)
	return nil
}

func (n *Node) serve(server *http.Server, listener net.Listener) {
	n.tasks.Go(func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			n.Fault(err)
		}
	})
}

// Ready reports whether the balancer may send new connections.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.Table() != nil
}

// upstreamGone closes the idle connections to an upstream that takes nothing
// new.
func (n *Node) upstreamGone(u fleet.Upstream) {
	n.engines.ClosePool(u.Address)
}

// Stop lets the balancer take the entry out of rotation, then ends it once all
// requests are answered.
func (n *Node) Stop() error {
	n.logger.Info(eventlog.Stopping)
	deadline := time.Now().Add(n.settings.Grace - stopMargin)
	n.stopping.Store(true)
	select {
	case <-time.After(min(rotationTime, n.settings.Grace/2)):
	case <-n.ctx.Done():
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.unused.close()
	err := errors.Join(n.callers.Shutdown(ctx), n.callers.Close())
	_ = n.ready.Close()
	n.exporter.Close()
	n.cancel()
	n.Close()
	n.tasks.Wait()
	return err
}
