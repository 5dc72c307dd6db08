package entryd

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/client"
	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/gate"
	"github.com/briarcross/briarcross/loop"
	"github.com/briarcross/briarcross/member"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

const (
	gateTickInterval   = 10 * time.Millisecond
	memberTickInterval = 100 * time.Millisecond
	drainPollInterval  = 20 * time.Millisecond
)

// Daemon is a running entry.
type Daemon struct {
	daemon.FatalErrorReporter
	settings      *Settings
	logger        *log.Logger
	identity      *transport.Identity
	transport     *transport.Client
	controlClient *client.ReplicaClient
	subscription  *daemon.ConfigSubscription
	gateLoop      *loop.Loop[gate.Input, gate.Output]
	registrarLoop *loop.Loop[member.Input, member.Output]
	memberLoop    *loop.Loop[member.Input, member.Output]
	// datagramSocket is nil until startCores has opened the socket.
	datagramSocket atomic.Pointer[transport.DatagramSocket]
	httpServer     *daemon.HTTPServer
	readiness      daemon.Readiness
	metrics        *metrics
	// callerTokens is nil when callers are identified by their header.
	callerTokens *daemon.Tokens
	calls        callTable
	clients      *daemon.Clients
	// memberTable is used on the member loop only.
	memberTable *member.Table
	// memberCount is the length of memberTable, for use outside the member loop.
	memberCount atomic.Int64

	// ctx ends when the daemon has stopped serving requests.
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// Start starts an entry. The settings must be valid as reported by Check.
func Start(settings *Settings) (*Daemon, error) {
	guard, err := settings.NewGuard()
	if err != nil {
		return nil, err
	}
	listener, err := daemon.ListenClients("http", settings.HTTP)
	if err != nil {
		return nil, err
	}
	d, err := newDaemon(settings)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	d.httpServer = daemon.NewHTTPServer(daemon.HTTPServerOptions{
		Readiness: &d.readiness,
		Registry:  d.metrics.registry,
		Guard:     guard,
		Logger:    d.logger,
		Handler:   d.handle,
		Configure: func(server *fasthttp.Server) {
			server.StreamRequestBody = true
			server.MaxRequestBodySize = settings.MaxBodyBytes
			server.ConnState = d.trackConn
		},
	})
	d.httpServer.Start(d.clients.Listen(watchedListener{settings.HTTPListener(listener)}), d.ReportFatal)
	d.background.Go(func() { d.clients.Run(d.ctx) })
	settings.WarnUnencrypted(d.logger)
	d.logger.Info("entry started", "id", settings.ID, "http", settings.HTTP)
	return d, nil
}

func newDaemon(settings *Settings) (*Daemon, error) {
	callerTokens, err := daemon.LoadTokens(settings.TokensFile)
	if err != nil {
		return nil, err
	}
	limits, err := settings.clientLimits()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings:           settings,
		logger:             settings.NewLogger("entry"),
		identity:           settings.NewIdentity(),
		callerTokens:       callerTokens,
		calls:              callTable{byID: make(map[string]*call)},
		ctx:                ctx,
		cancel:             cancel,
		FatalErrorReporter: daemon.NewFatalErrorReporter(),
	}
	d.clients = daemon.NewClients(limits, d.reportClients)
	d.metrics = newMetrics(d.identity, d.clients, d.MemberCount, d.calls.count)
	d.transport = transport.NewClient(d.identity, settings.TLS.ClientConfigSource())
	d.controlClient = client.NewReplicaClient(d.transport, settings.Control)
	if err := d.startCores(); err != nil {
		cancel()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) startCores() error {
	core := gate.New(gate.Options{DataCentre: d.settings.DataCentre, Seed: d.identity.Incarnation})
	d.gateLoop = loop.Start[gate.Input, gate.Output](core, gateTickInterval, d.executeGateOutput)
	registrar := member.NewRegistrar(member.RegistrarOptions{}, d.identity.Incarnation)
	d.registrarLoop = loop.Start[member.Input, member.Output](registrar, memberTickInterval, d.executeRegistrarOutput)
	d.memberTable = member.NewTable(member.TableOptions{
		EntryID:    d.settings.ID,
		Address:    d.settings.Listen,
		Registrars: d.settings.Registrars,
	})
	d.memberLoop = loop.Start[member.Input, member.Output](d.memberTable, memberTickInterval, d.executeMemberOutput)
	datagrams, err := transport.ListenDatagrams(d.identity, d.settings.Listen, d.handleDatagram)
	if err != nil {
		d.gateLoop.Close()
		d.registrarLoop.Close()
		d.memberLoop.Close()
		return err
	}
	d.datagramSocket.Store(datagrams)
	d.subscription = daemon.SubscribeConfig(daemon.ConfigSubscriptionOptions{
		Identity:   d.identity,
		Transport:  d.transport,
		Control:    d.settings.Control,
		Role:       "entry",
		DataCentre: d.settings.DataCentre,
		Logger:     d.logger,
		OnChange: func(documents *daemon.ActiveConfig) {
			d.gateLoop.Post(gate.ProfilesChanged{Profiles: documents})
		},
		OnReadinessChange: func(ready bool) {
			d.readiness.SetConfigured(ready)
			d.gateLoop.Post(gate.ReadinessChanged{Ready: ready})
		},
	})
	return nil
}

// handleDatagram passes a received membership message to the loop that handles
// it: a delta to the member table, any other message to the registrar.
func (d *Daemon) handleDatagram(e *pb.Envelope) {
	message := e.GetMember()
	in := member.Datagram{From: e.GetHeader().GetReplyAddress(), Message: message}
	if message.GetDelta() != nil {
		d.memberLoop.Post(in)
		return
	}
	d.registrarLoop.Post(in)
}

func (d *Daemon) sendMemberMessage(out member.SendTo) {
	socket := d.datagramSocket.Load()
	if socket == nil {
		return
	}
	envelope := &pb.Envelope{Body: &pb.Envelope_Member{Member: out.Message}}
	if err := socket.Send(out.Address, envelope); err != nil {
		d.logger.Debug("failed to send a membership datagram", "address", out.Address, "error", err)
	}
}

func (d *Daemon) executeRegistrarOutput(out member.Output) {
	if send, ok := out.(member.SendTo); ok {
		d.sendMemberMessage(send)
	}
}

func (d *Daemon) executeMemberOutput(out member.Output) {
	switch out := out.(type) {
	case member.SendTo:
		d.sendMemberMessage(out)
	case member.Changed:
		d.memberCount.Store(int64(d.memberTable.Len()))
		d.gateLoop.Post(gate.MemberChanged{Member: out.Member})
	case member.Gone:
		d.memberCount.Store(int64(d.memberTable.Len()))
		d.gateLoop.Post(gate.MemberGone{ID: out.ID})
	}
}

// executeGateOutput executes one output of the gate, on the gate loop.
func (d *Daemon) executeGateOutput(out gate.Output) {
	switch out := out.(type) {
	case gate.Send:
		d.sendAttempt(out)
	case gate.Abort:
		if c := d.calls.get(out.ID); c != nil {
			c.abort(out.Attempt)
		}
	case gate.InputDropped:
		d.metrics.droppedReports.Inc()
		if c := d.calls.get(out.ID); c != nil {
			c.rejectAttempt(out.Attempt)
		}
	case gate.OpenClaim:
		go d.openClaim(out)
	case gate.CloseClaim:
		if c := d.calls.get(out.ID); c != nil {
			c.claimClosed = make(chan struct{})
			go d.closeClaim(c, out.NotRun)
		}
	case gate.Finish:
		if c := d.calls.get(out.ID); c != nil {
			d.finishCall(c, out)
		}
	}
}

// finishCall passes the final outcome to the caller's handler. For a claimed
// request it first waits until the outcome is recorded, so that a retry of the
// caller finds it.
func (d *Daemon) finishCall(c *call, finish gate.Finish) {
	claimClosed := c.claimClosed
	if claimClosed == nil {
		c.finish <- finish
		return
	}
	d.background.Go(func() {
		<-claimClosed
		c.finish <- finish
	})
}

// handle serves the HTTP requests of callers.
func (d *Daemon) handle(ctx *fasthttp.RequestCtx) {
	if d.clients.Serve(ctx.Conn()) == nil {
		d.refuse(ctx, pb.Reason_REASON_OVERLOADED, "there are too many connections")
		ctx.SetConnectionClose()
		return
	}
	if !daemon.ValidText(ctx) {
		d.refuse(ctx, pb.Reason_REASON_BAD_REQUEST, "the path, query and headers must be valid UTF-8")
		return
	}
	caller, identified := d.identify(ctx)
	if !identified {
		d.refuse(ctx, pb.Reason_REASON_UNAUTHORIZED, "the bearer token is not known")
		return
	}
	path := string(ctx.Path())
	switch {
	case path == "/v1/completions" || path == "/v1/chat/completions":
		d.serveCompletion(ctx, caller)
	case path == "/v1/models":
		d.serveModels(ctx)
	case strings.HasPrefix(path, servicesPrefix):
		d.servePlain(ctx, caller)
	case strings.HasPrefix(path, filesPath), strings.HasPrefix(path, batchesPath):
		d.serveBatches(ctx, caller, path)
	default:
		d.refuse(ctx, pb.Reason_REASON_BAD_REQUEST, "no such path")
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// Ready reports whether the entry accepts new requests.
func (d *Daemon) Ready() bool {
	return d.readiness.Ready()
}

// MemberCount returns the number of upstreams that the entry knows.
func (d *Daemon) MemberCount() int {
	return int(d.memberCount.Load())
}

// Revision returns the configuration revision in force.
func (d *Daemon) Revision() uint64 {
	return d.subscription.ActiveConfig().Revision()
}

// Stop shuts the entry down. It reports not ready, waits for ShutdownDelay so
// that the load balancer stops sending requests, waits for running requests to
// end for at most the stop timeout, and closes the servers and loops.
func (d *Daemon) Stop() error {
	d.logger.Info("entry is draining before it stops")
	d.readiness.SetStopping()
	stopTimer := time.NewTimer(d.settings.ShutdownDelay + d.settings.StopTimeout)
	defer stopTimer.Stop()
	delayTimer := time.NewTimer(d.settings.ShutdownDelay)
	defer delayTimer.Stop()
	<-delayTimer.C
	d.awaitCalls(stopTimer.C)
	d.httpServer.Stop()
	d.cancel()
	d.background.Wait()
	d.subscription.Close()
	d.memberLoop.Close()
	err := d.datagramSocket.Load().Close()
	d.registrarLoop.Close()
	d.gateLoop.Close()
	d.transport.Close()
	return err
}

func (d *Daemon) awaitCalls(timeout <-chan time.Time) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for d.calls.count() > 0 {
		select {
		case <-timeout:
			d.logger.Warn("stop timeout reached; cancelling the running requests", "requests", d.calls.count())
			return
		case <-ticker.C:
		}
	}
}
