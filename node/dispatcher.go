package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/client"
	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/routing"
	"github.com/briarcross/briarcross/transport"
)

const (
	// batchReserve is the number of slots of an upstream that batch leaves free
	// for the online requests that arrive before it can give way.
	batchReserve = 1
	// SilentHeartbeats is the number of missed heartbeats after which an
	// upstream is used only when no other is left.
	SilentHeartbeats = 4
	// storageInterval is the pause between two looks for storage replicas.
	storageInterval = 200 * time.Millisecond
	// expireInterval is the pause between two looks for upstreams that left
	// long ago.
	expireInterval = 10 * time.Second
)

// Dispatcher is what daemons share that place requests at upstreams.
type Dispatcher struct {
	Settings  *Settings
	Logger    *log.Logger
	Identity  *transport.Identity
	Transport *transport.Client
	View      *View
	Slots     *Slots
	// Storage calls the storage group.
	Storage *client.ReplicaClient

	follower  *Follower
	reports   *Reports
	datagrams *transport.Datagrams
	decode    func([]byte) (*routing.Table, error)
	table     atomic.Pointer[routing.Table]
	tableLock sync.Mutex
	onGone    func(fleet.Upstream)
	// suspicions counts the failures that count against upstreams.
	suspicions prometheus.Counter
	tasks      sync.WaitGroup
	closeOnce  sync.Once
}

// NewDispatcher returns a dispatcher. Decode reads a routing table; onGone is
// called for an upstream that takes no new requests any more.
func NewDispatcher(settings *Settings, logger *log.Logger, decode func([]byte) (*routing.Table, error), onGone func(fleet.Upstream)) (*Dispatcher, error) {
	d := &Dispatcher{
		Settings: settings,
		Logger:   logger,
		Identity: settings.Identity(),
		View:     NewView(),
		decode:   decode,
		onGone:   onGone,
		suspicions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "briarcross_upstream_suspicions_total", Help: "Failures that had requests kept away from an upstream.",
		}),
	}
	d.Transport = transport.NewClient(d.Identity, nil)
	d.Storage = client.NewReplicaClient(d.Transport, nil)
	d.Slots = NewSlots(dispatch.Options{
		DataCentre:       settings.DataCentre,
		Seed:             d.Identity.Incarnation,
		BatchReserve:     batchReserve,
		PeerTimeout:      PeerTimeout,
		HeartbeatTimeout: SilentHeartbeats * settings.Heartbeat,
	}, func() { d.reports.Changed() }, d.judged)
	datagrams, err := transport.ListenDatagrams(d.Identity, settings.ListenAddress(), d.receive)
	if err != nil {
		return nil, err
	}
	d.datagrams = datagrams
	d.reports = NewReports(datagrams, d.View, settings, d.Slots.Loads)
	d.follower = NewFollower(d.Transport, d.View, settings.Self(d.Identity), settings.Seeds, logger, d.changed)
	return d, nil
}

// Run follows the control replicas until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	d.tasks.Go(func() { d.follower.Run(ctx) })
	d.tasks.Go(func() { d.reports.Run(ctx) })
	d.tasks.Go(func() { d.Slots.Run(ctx) })
	d.tasks.Go(func() { d.findStorage(ctx) })
	d.tasks.Go(func() { d.expireUpstreams(ctx) })
}

// Close ends what Run started, after its context has ended.
func (d *Dispatcher) Close() {
	d.closeOnce.Do(func() {
		d.tasks.Wait()
		if err := d.datagrams.Close(); err != nil {
			d.Logger.Warn(eventlog.Stopping, "error", err)
		}
		d.Transport.Close()
	})
}

// SetSeeds replaces the addresses at which control replicas are looked for.
func (d *Dispatcher) SetSeeds(seeds []string) {
	d.follower.SetSeeds(seeds)
}

// Table returns the routing table in force, or nil before there is one.
func (d *Dispatcher) Table() *routing.Table {
	return d.table.Load()
}

func (d *Dispatcher) receive(e *pb.Envelope) {
	if report := e.GetLoadReport(); report != nil {
		d.Slots.Peer(DecodeReport(e.GetHeader(), report))
	}
}

func (d *Dispatcher) changed(c Changes) {
	if c.Routing != nil {
		d.apply(c.Routing)
	}
	for _, u := range c.Moved {
		d.Logger.Info(eventlog.UpstreamChanged, "upstream", u.ID, "phase", int(u.Phase), "address", u.Address,
			"service", u.Service, "born", u.BornUnixMs, "sequence", u.Sequence)
		if u.Phase != fleet.Ready {
			d.onGone(u)
		}
	}
	d.Slots.Update(c.Upstreams)
}

// judged notes what this daemon came to think of an upstream.
func (d *Dispatcher) judged(j dispatch.HealthChange) {
	if j.Failures > 0 {
		d.suspicions.Inc()
	}
	d.Logger.Info(eventlog.UpstreamJudged, "upstream", j.Upstream, "failures", j.Failures, "suspect_ms", j.SuspectFor.Milliseconds())
}

// apply puts a routing table in force unless a newer one is.
func (d *Dispatcher) apply(r *Routing) {
	d.tableLock.Lock()
	defer d.tableLock.Unlock()
	if held := d.table.Load(); held != nil && held.Version >= r.Version {
		return
	}
	table, err := d.decode(r.Document)
	if err != nil {
		d.Logger.Error(eventlog.RoutingRejected, "version", r.Version, "error", err)
		return
	}
	d.table.Store(table)
	d.Logger.Info(eventlog.RoutingApplied, "version", r.Version, "routes", len(table.Routes), "services", len(table.Services))
}

// findStorage keeps the addresses of the storage replicas up to date.
func (d *Dispatcher) findStorage(ctx context.Context) {
	for ctx.Err() == nil {
		var addresses []string
		for _, store := range d.View.Daemons(RoleStore) {
			addresses = append(addresses, store.GetAddress())
		}
		if len(addresses) > 0 {
			d.Storage.SetAddresses(addresses)
		}
		pause(ctx, storageInterval)
	}
}

// expireUpstreams drops the upstreams that left long ago.
func (d *Dispatcher) expireUpstreams(ctx context.Context) {
	for ctx.Err() == nil {
		for _, id := range d.View.Expire(time.Now()) {
			d.Slots.Forget(id)
		}
		pause(ctx, expireInterval)
	}
}
