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
	gateTick      = 10 * time.Millisecond
	memberTick    = 100 * time.Millisecond
	drainInterval = 20 * time.Millisecond
)

// Daemon is a running entry.
type Daemon struct {
	daemon.FaultReporter
	settings     *Settings
	logger       *log.Logger
	identity     *transport.Identity
	transport    *transport.Client
	control      *client.ReplicaClient
	subscription *daemon.Subscription
	gate         *loop.Loop[gate.Input, gate.Output]
	registrar    *loop.Loop[member.Input, member.Output]
	members      *loop.Loop[member.Input, member.Output]
	datagrams    atomic.Pointer[transport.Datagrams]
	http         *daemon.HTTP
	readiness    daemon.Readiness
	metrics      *metrics
	callers      *daemon.Tokens
	calls        calls
	table        *member.Table
	known        atomic.Int64

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// Start starts an entry. The settings must have passed Check.
func Start(settings *Settings) (*Daemon, error) {
	guard, err := settings.NewGuard()
	if err != nil {
		return nil, err
	}
	web, err := daemon.ListenTCP("http", settings.HTTP)
	if err != nil {
		return nil, err
	}
	d, err := newDaemon(settings)
	if err != nil {
		_ = web.Close()
		return nil, err
	}
	d.http = daemon.NewHTTP(daemon.HTTPOptions{
		Readiness: &d.readiness,
		Registry:  d.metrics.registry,
		Guard:     guard,
		Logger:    d.logger,
		Handler:   d.handle,
		Configure: func(server *fasthttp.Server) {
			server.StreamRequestBody = true
			server.MaxRequestBodySize = settings.MaxBodyBytes
		},
	})
	d.http.Start(watchedListener{settings.HTTPListener(web)}, d.Fault)
	settings.WarnPlain(d.logger)
	d.logger.Info("entry started", "id", settings.ID, "http", settings.HTTP)
	return d, nil
}

func newDaemon(settings *Settings) (*Daemon, error) {
	known, err := daemon.LoadTokens(settings.TokensFile)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings:      settings,
		logger:        settings.NewLogger("entry"),
		identity:      settings.NewIdentity(),
		callers:       known,
		calls:         calls{byID: make(map[string]*call)},
		ctx:           ctx,
		cancel:        cancel,
		FaultReporter: daemon.NewFaultReporter(),
	}
	d.metrics = newMetrics(d.identity, d.MemberCount, d.calls.count)
	d.transport = transport.NewClient(d.identity, settings.TLS.ClientConfig())
	d.control = client.NewReplicaClient(d.transport, settings.Control)
	if err := d.startCores(); err != nil {
		cancel()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) startCores() error {
	core := gate.New(gate.Options{DataCentre: d.settings.DataCentre, Seed: d.identity.Incarnation})
	d.gate = loop.Start[gate.Input, gate.Output](core, gateTick, d.carryGate)
	registrar := member.NewRegistrar(member.RegistrarOptions{}, d.identity.Incarnation)
	d.registrar = loop.Start[member.Input, member.Output](registrar, memberTick, d.carryRegistrar)
	d.table = member.NewTable(member.TableOptions{
		Entry:      d.settings.ID,
		Address:    d.settings.Listen,
		Registrars: d.settings.Registrars,
	})
	d.members = loop.Start[member.Input, member.Output](d.table, memberTick, d.carryMembers)
	datagrams, err := transport.ListenDatagrams(d.identity, d.settings.Listen, d.datagram)
	if err != nil {
		d.gate.Close()
		d.registrar.Close()
		d.members.Close()
		return err
	}
	d.datagrams.Store(datagrams)
	d.subscription = daemon.Subscribe(daemon.SubscriptionOptions{
		Identity:   d.identity,
		Transport:  d.transport,
		Control:    d.settings.Control,
		Role:       "entry",
		DataCentre: d.settings.DataCentre,
		Logger:     d.logger,
		Changed: func(documents *daemon.Documents) {
			d.gate.Post(gate.ProfilesChanged{Profiles: documents})
		},
		Ready: func(ready bool) {
			d.readiness.SetConfigured(ready)
			d.gate.Post(gate.ReadinessChanged{Ready: ready})
		},
	})
	return nil
}

// datagram handles a received datagram on the event loop.
func (d *Daemon) datagram(e *pb.Envelope) {
	message := e.GetMember()
	in := member.Datagram{From: e.GetHeader().GetReplyAddress(), Message: message}
	if message.GetDelta() != nil {
		d.members.Post(in)
		return
	}
	d.registrar.Post(in)
}

func (d *Daemon) sendMember(out member.SendTo) {
	socket := d.datagrams.Load()
	if socket == nil {
		return
	}
	envelope := &pb.Envelope{Body: &pb.Envelope_Member{Member: out.Message}}
	if err := socket.Send(out.Address, envelope); err != nil {
		d.logger.Debug("datagram not sent", "address", out.Address, "error", err)
	}
}

func (d *Daemon) carryRegistrar(out member.Output) {
	if send, ok := out.(member.SendTo); ok {
		d.sendMember(send)
	}
}

func (d *Daemon) carryMembers(out member.Output) {
	switch out := out.(type) {
	case member.SendTo:
		d.sendMember(out)
	case member.Changed:
		d.known.Store(int64(d.table.Len()))
		d.gate.Post(gate.MemberChanged{Member: out.Member})
	case member.Gone:
		d.known.Store(int64(d.table.Len()))
		d.gate.Post(gate.MemberGone{ID: out.ID})
	}
}

// carryGate carries out the outputs of the gate.
func (d *Daemon) carryGate(out gate.Output) {
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
			c.drop(out.Attempt)
		}
	case gate.OpenClaim:
		go d.claim(out)
	case gate.CloseClaim:
		if c := d.calls.get(out.ID); c != nil {
			c.closing = make(chan struct{})
			go d.closeClaim(c, out.NotRun)
		}
	case gate.Finish:
		if c := d.calls.get(out.ID); c != nil {
			d.finishCall(c, out)
		}
	}
}

// finishCall passes the final outcome on. The answer to a claimed request waits
// until its outcome is recorded, so that the caller finds it when it asks again.
func (d *Daemon) finishCall(c *call, finish gate.Finish) {
	closing := c.closing
	if closing == nil {
		c.finish <- finish
		return
	}
	d.background.Go(func() {
		<-closing
		c.finish <- finish
	})
}

// handle serves callers' requests.
func (d *Daemon) handle(ctx *fasthttp.RequestCtx) {
	if !validText(ctx) {
		d.refuse(ctx, pb.Reason_REASON_BAD_REQUEST, "the path, query and headers must be valid UTF-8")
		return
	}
	caller, known := d.identify(ctx)
	if !known {
		d.refuse(ctx, pb.Reason_REASON_UNAUTHORIZED, "the bearer token is not known")
		return
	}
	path := string(ctx.Path())
	switch {
	case path == "/v1/completions" || path == "/v1/chat/completions":
		d.complete(ctx, caller)
	case path == "/v1/models":
		d.models(ctx)
	case strings.HasPrefix(path, servicesPrefix):
		d.plain(ctx, caller)
	case strings.HasPrefix(path, filesPath), strings.HasPrefix(path, batchesPath):
		d.batches(ctx, caller, path)
	default:
		d.refuse(ctx, pb.Reason_REASON_BAD_REQUEST, "no such path")
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// Ready reports whether the entry takes new requests.
func (d *Daemon) Ready() bool {
	return d.readiness.Ready()
}

// MemberCount returns the number of upstreams that the entry knows.
func (d *Daemon) MemberCount() int {
	return int(d.known.Load())
}

// Revision returns the configuration revision in force.
func (d *Daemon) Revision() uint64 {
	return d.subscription.Documents().Revision()
}

// Stop reports not ready, waits for the balancer to turn callers away and for
// running requests to end, both bounded by settings, and ends the entry.
func (d *Daemon) Stop() error {
	d.logger.Info("entry drains")
	d.readiness.Stop()
	limit := time.NewTimer(d.settings.ShutdownDelay + d.settings.StopWait)
	defer limit.Stop()
	balancer := time.NewTimer(d.settings.ShutdownDelay)
	defer balancer.Stop()
	<-balancer.C
	d.awaitCalls(limit.C)
	d.http.Stop()
	d.cancel()
	d.background.Wait()
	d.subscription.Close()
	d.members.Close()
	err := d.datagrams.Load().Close()
	d.registrar.Close()
	d.gate.Close()
	d.transport.Close()
	return err
}

func (d *Daemon) awaitCalls(limit <-chan time.Time) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for d.calls.count() > 0 {
		select {
		case <-limit:
			d.logger.Warn("stop wait is over; running requests are cut off", "requests", d.calls.count())
			return
		case <-ticker.C:
		}
	}
}
