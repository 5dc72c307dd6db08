package sidecard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/batch"
	"github.com/briarcross/briarcross/client"
	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/loop"
	"github.com/briarcross/briarcross/member"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecar"
	"github.com/briarcross/briarcross/transport"
)

const (
	coreTickInterval      = 10 * time.Millisecond
	workerTickInterval    = 20 * time.Millisecond
	announcerTickInterval = 100 * time.Millisecond
	loadInterval          = 500 * time.Millisecond
	loadTimeout           = time.Second
)

// Daemon is a running sidecar.
type Daemon struct {
	daemon.FatalErrorReporter
	settings       *Settings
	logger         *log.Logger
	identity       *transport.Identity
	transport      *transport.Client
	server         *transport.Server
	control        *client.ReplicaClient
	engine         engine.Client
	subscription   *daemon.ConfigSubscription
	core           *loop.Loop[sidecar.Input, sidecar.Output]
	sidecar        *sidecar.Sidecar
	worker         *loop.Loop[batch.WorkerInput, batch.WorkerOutput]
	announcer      *loop.Loop[member.Input, member.Output]
	datagramSocket atomic.Pointer[transport.DatagramSocket]
	http           *daemon.HTTPServer
	readiness      daemon.Readiness
	metrics        *metrics
	runs           runTable
	items          itemTable
	orders         *orderHandler

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	// draining is set from drain to undrain.
	draining atomic.Bool
	// announcedState is the latest announced pb.MemberState.
	announcedState atomic.Int32
	coreDrained    *latch
	workerDrained  *latch
}

// Start starts a sidecar. The settings must have passed Check.
func Start(settings *Settings) (*Daemon, error) {
	guard, err := settings.NewGuard()
	if err != nil {
		return nil, err
	}
	listeners, err := settings.OpenListeners()
	if err != nil {
		return nil, err
	}
	d, err := newDaemon(settings)
	if err != nil {
		listeners.Close()
		return nil, err
	}
	d.serve(listeners, guard)
	d.logger.Info("sidecar started", "id", settings.ID, "listen", settings.Listen, "engine", settings.Engine)
	return d, nil
}

func newDaemon(settings *Settings) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings:           settings,
		logger:             settings.NewLogger("sidecar"),
		identity:           settings.NewIdentity(),
		runs:               runTable{byID: make(map[sidecar.AttemptID]*run)},
		items:              itemTable{byLease: make(map[batch.LeaseRef]sidecar.AttemptID)},
		ctx:                ctx,
		cancel:             cancel,
		FatalErrorReporter: daemon.NewFatalErrorReporter(),
		coreDrained:        newLatch(),
		workerDrained:      newLatch(),
	}
	announcer := member.NewAnnouncer(member.AnnouncerOptions{Registrars: settings.Registrars})
	d.announcer = loop.Start[member.Input, member.Output](announcer, announcerTickInterval, d.executeAnnouncerOutput)
	datagrams, err := transport.ListenDatagrams(d.identity, settings.Listen, d.handleDatagram)
	if err != nil {
		d.announcer.Close()
		cancel()
		return nil, err
	}
	d.datagramSocket.Store(datagrams)
	d.metrics = newMetrics(d.identity)
	d.transport = transport.NewClient(d.identity, settings.TLS.ClientConfigSource())
	d.control = client.NewReplicaClient(d.transport, settings.Control)
	d.engine = newEngine(settings)
	d.startCores()
	return d, nil
}

func newEngine(settings *Settings) engine.Client {
	if settings.Kind == KindPlain {
		return engine.NewPlainClient(settings.Engine, engine.Options{})
	}
	return engine.NewModelClient(settings.Engine, engine.Options{})
}

func (d *Daemon) startCores() {
	d.sidecar = sidecar.New(sidecar.Options{
		Incarnation: d.identity.Incarnation,
		Services:    d.settings.Services,
		MaxQueue:    d.settings.MaxQueue,
		MaxWindow:   d.settings.MaxWindow,
		CanPause:    d.settings.Kind == KindModel,
	})
	worker := batch.NewWorker(batch.WorkerOptions{
		ID:          d.settings.ID,
		Incarnation: d.identity.Incarnation,
		Services:    d.settings.Services,
		DataCentre:  d.settings.DataCentre,
		Seed:        d.identity.Incarnation,
	})
	d.worker = loop.Start[batch.WorkerInput, batch.WorkerOutput](worker, workerTickInterval, d.executeWorkerOutput)
	d.core = loop.Start[sidecar.Input, sidecar.Output](d.sidecar, coreTickInterval, d.executeCoreOutput)
	d.orders = newOrderHandler(d)
	d.subscription = daemon.SubscribeConfig(daemon.ConfigSubscriptionOptions{
		Identity:          d.identity,
		Transport:         d.transport,
		Control:           d.settings.Control,
		Role:              "sidecar",
		DataCentre:        d.settings.DataCentre,
		Logger:            d.logger,
		OnChange:          func(*daemon.ActiveConfig) {},
		OnReadinessChange: d.onReadinessChange,
	})
}

func (d *Daemon) serve(listeners *daemon.Listeners, guard *daemon.Guard) {
	d.server = transport.NewServer(d.identity, d.serveStream)
	d.background.Go(func() {
		if err := d.server.Serve(d.settings.TLS.Listener(listeners.Peers)); err != nil {
			d.ReportFatal(err)
		}
	})
	d.background.Go(d.orders.runReports)
	d.background.Go(d.pollLoad)
	d.background.Go(d.announceLoad)
	context.AfterFunc(d.ctx, func() { _ = listeners.Peers.Close() })
	d.http = daemon.NewHTTPServer(daemon.HTTPServerOptions{
		Readiness:     &d.readiness,
		Registry:      d.metrics.registry,
		Guard:         guard,
		OperatorsOnly: true,
		Logger:        d.logger,
		Handler:       d.handle,
	})
	d.http.Start(d.settings.HTTPListener(listeners.HTTP), d.ReportFatal)
	d.settings.WarnUnencrypted(d.logger)
}

func (d *Daemon) serveStream(_ transport.Class, stream *transport.Stream) {
	envelope, err := stream.Receive()
	if err != nil {
		return
	}
	if request := envelope.GetOnlineRequest(); request != nil && stream.HasRole(transport.RoleEntry) {
		d.serveOnline(stream, envelope.GetHeader(), request)
	}
}

// handle serves the HTTP paths for operators.
func (d *Daemon) handle(ctx *fasthttp.RequestCtx) {
	switch {
	case string(ctx.Path()) == "/drain" && ctx.IsPost():
		d.drain()
		ctx.SetBodyString("draining\n")
	case string(ctx.Path()) == "/undrain" && ctx.IsPost():
		d.undrain()
		ctx.SetBodyString("serving\n")
	default:
		ctx.Error("no such path\n", fasthttp.StatusNotFound)
	}
}

// RequestCount returns the number of queued and running requests, batch items
// included.
func (d *Daemon) RequestCount() int {
	return d.runs.count()
}

// Stop drains the sidecar, waits at most StopTimeout for its requests and batch
// items, and stops it.
func (d *Daemon) Stop() error {
	d.logger.Info("draining before the stop")
	d.readiness.SetStopping()
	coreDrained, workerDrained := d.coreDrained.reset(), d.workerDrained.reset()
	d.drain()
	timer := time.NewTimer(d.settings.StopTimeout)
	defer timer.Stop()
	d.awaitDrained(coreDrained, timer.C)
	d.awaitDrained(workerDrained, timer.C)
	d.announce(pb.MemberState_MEMBER_LEFT)
	d.announcer.Do(func() {})
	return d.close()
}

func (d *Daemon) awaitDrained(drained <-chan struct{}, timeout <-chan time.Time) {
	select {
	case <-drained:
	case <-timeout:
		d.logger.Warn("stop timeout reached; cancelling the running requests")
	}
}

func (d *Daemon) close() error {
	d.cancel()
	d.server.Close()
	d.http.Stop()
	d.subscription.Close()
	d.announcer.Close()
	d.orders.loop.Close()
	d.core.Close()
	d.worker.Close()
	d.transport.Close()
	err := d.datagramSocket.Load().Close()
	d.background.Wait()
	return err
}
