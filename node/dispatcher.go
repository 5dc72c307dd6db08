package node

import (
	"context"
	"errors"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/client"
	"github.com/briarcross/briarcross/customers"
	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quota"
	"github.com/briarcross/briarcross/routing"
	"github.com/briarcross/briarcross/transport"
)

const (
	// batchReserve is the number of slots of each upstream that batch work leaves
	// free for online requests that arrive before batch runs can be preempted.
	batchReserve = 1
	// MaxMissedHeartbeats is the number of missed heartbeats after which an
	// upstream is silent: it is used only if no other is available.
	MaxMissedHeartbeats = 4
	// storageRefreshInterval is the interval at which the addresses of the storage
	// replicas are refreshed.
	storageRefreshInterval = 200 * time.Millisecond
	// expireInterval is the interval at which expired upstreams are removed.
	expireInterval = 10 * time.Second
)

// errStarting is the error of a send before the socket is open.
var errStarting = errors.New("daemon is starting")

// Dispatcher is the part that entries and storage replicas have in common: it
// follows the control replicas and assigns slots of upstreams to requests.
type Dispatcher struct {
	Settings  *Settings
	Logger    *log.Logger
	Identity  *transport.Identity
	Transport *transport.Client
	View      *View
	Slots     *SlotPool
	// Storage is the client of the storage group.
	Storage *client.ReplicaClient
	// Quarantine knows the parts of prompts that crash engines.
	Quarantine *Quarantine
	// StreamOrigins knows which engines began the streams of callers.
	StreamOrigins *StreamOrigins
	// Quotas counts the requests of customers with a quota; nil on daemons other than
	// entries.
	Quotas *QuotaExchange

	follower     *Follower
	loadReporter *LoadReporter
	// datagrams is nil until the socket is open. Datagrams may arrive before.
	datagrams  atomic.Pointer[transport.DatagramSocket]
	routing    *RoutingReceiver
	table      atomic.Pointer[routing.Table]
	onNotReady func(fleet.Upstream)
	// onPreemption is called for each preemption request of another daemon; nil on
	// daemons that run no batch items.
	onPreemption func(dispatch.PreemptionRequest)
	// suspicions counts the failures that were counted against upstreams.
	suspicions prometheus.Counter
	// leaving counts the upstreams that were marked as leaving, by source.
	leaving *prometheus.CounterVec
	// rateChanges counts the changes of rate limits of upstreams, by source.
	rateChanges *prometheus.CounterVec
	// routingLag measures how long after control this daemon puts a routing table in force.
	routingLag prometheus.Histogram
	// routingDelay measures the time from the arrival of a routing table until it is in force,
	// routingBytes the bytes received for tables and changes.
	routingDelay prometheus.Histogram
	routingBytes *prometheus.CounterVec
	tasks        sync.WaitGroup
	closeOnce    sync.Once
}

// NewDispatcher returns a dispatcher, which does nothing until Run. onNotReady is called for an
// upstream that is draining, leaving or gone and accepts no new requests, and must not block;
// onPreemption, which may be nil, for each preemption request of another daemon.
func NewDispatcher(settings *Settings, logger *log.Logger, codec RoutingCodec, onNotReady func(fleet.Upstream), onPreemption func(dispatch.PreemptionRequest)) (*Dispatcher, error) {
	d := &Dispatcher{
		Settings:     settings,
		Logger:       logger,
		Identity:     settings.Identity(),
		View:         NewView(settings.HeartbeatInterval),
		onNotReady:   onNotReady,
		onPreemption: onPreemption,
		suspicions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "briarcross_upstream_suspicions_total", Help: "Failures that had requests kept away from an upstream.",
		}),
		leaving: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_upstreams_leaving_total", Help: "Upstreams that said in an answer that they leave, by how this daemon learned it first: answer, worker, report.",
		}, []string{"source"}),
	}
	d.rateChanges = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "briarcross_upstream_rate_changes_total", Help: "Rate limits of upstreams that began, changed or ended, by how this daemon learned it first: answer, worker, report, expiry.",
	}, []string{"source"})
	d.routingLag = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "briarcross_routing_lag_seconds", Help: "Time for which a control replica had a routing table that this daemon lacked, when it was applied.", Buckets: LatencyBuckets,
	})
	d.routingDelay = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "briarcross_routing_delay_seconds", Help: "Time from the arrival of a routing table, or of a change of it, until it was in force.", Buckets: LatencyBuckets,
	})
	d.routingBytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "briarcross_routing_received_bytes_total", Help: "Bytes of routing tables that came into force, by how they were sent: whole, change.",
	}, []string{"kind"})
	d.Quarantine = NewQuarantine(logger, func() { d.follower.EvidenceChanged() })
	d.StreamOrigins = newStreamOrigins(settings.Address, settings.DataCentre, d.View, d.sendDatagram)
	d.routing = NewRoutingReceiver(codec, logger, d.applyRouting)
	d.Transport = transport.NewClient(d.Identity, nil)
	d.Storage = client.NewReplicaClient(d.Transport, nil)
	d.Slots = NewSlotPool(PoolOptions(settings, d.Identity), SlotHooks{
		LoadChanged:         func() { d.loadReporter.LoadsChanged() },
		HealthChanged:       d.logHealthChange,
		Leaving:             d.upstreamLeaving,
		RateChanged:         d.rateChanged,
		PreemptionRequested: func(r dispatch.PreemptionRequest) { d.loadReporter.RequestPreemption(r) },
	})
	d.loadReporter = NewLoadReporter(d.Identity, d.View, settings, d.Slots, d.Storage.SuggestLeader)
	if settings.Role == RoleEntry {
		d.Quotas = NewQuotaExchange(d.Identity, settings, d.View, d.logQuota)
		d.loadReporter.SetQuotas(d.Quotas)
	}
	datagrams, err := transport.ListenDatagrams(d.Identity, settings.ListenAddress(), d.handleDatagram)
	if err != nil {
		return nil, err
	}
	d.datagrams.Store(datagrams)
	d.loadReporter.SetSocket(datagrams)
	d.follower = NewFollower(d.Transport, d.View, d.Quarantine, d.routing, settings.Self(d.Identity), settings.Seeds, logger, d.applyViewChanges)
	return d, nil
}

// PoolOptions returns the options of the pool of upstreams of a daemon.
func PoolOptions(settings *Settings, identity *transport.Identity) dispatch.Options {
	return dispatch.Options{
		Daemon:         identity.ID,
		DataCentre:     settings.DataCentre,
		Seed:           identity.Incarnation,
		BatchReserve:   batchReserve,
		PeerTimeout:    PeerTimeout,
		SummaryTimeout: SummaryTimeout,
	}
}

// Run starts the background tasks and returns. They run until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	d.tasks.Go(func() { d.follower.Run(ctx) })
	d.tasks.Go(func() { d.loadReporter.Run(ctx) })
	d.tasks.Go(func() { d.loadReporter.sendPreemptions(ctx) })
	d.tasks.Go(func() { d.Slots.Run(ctx) })
	if d.Quotas != nil {
		d.tasks.Go(func() { d.Quotas.Run(ctx) })
	}
	d.tasks.Go(func() { d.refreshStorageAddresses(ctx) })
	d.tasks.Go(func() { d.expireUpstreams(ctx) })
}

// Close waits for the background tasks of Run and closes the connections. The
// context of Run must have ended.
func (d *Dispatcher) Close() {
	d.closeOnce.Do(func() {
		d.tasks.Wait()
		d.routing.Wait()
		d.StreamOrigins.Wait()
		if err := d.datagrams.Load().Close(); err != nil {
			d.Logger.Warn(eventlog.Stopping, "error", err)
		}
		d.Transport.Close()
	})
}

// SetSeeds replaces the seed addresses of the control replicas.
func (d *Dispatcher) SetSeeds(seeds []string) {
	d.follower.SetSeeds(seeds)
}

// SetRunsBatch records whether this daemon runs batch items and reports its loads.
func (d *Dispatcher) SetRunsBatch(runsBatch bool) {
	d.loadReporter.SetRunsBatch(runsBatch)
}

// Table returns the routing table in force, or nil before the first one.
func (d *Dispatcher) Table() *routing.Table {
	return d.table.Load()
}

// sendDatagram sends a datagram, or returns an error while the socket is not open.
func (d *Dispatcher) sendDatagram(address string, e *pb.Envelope) error {
	datagrams := d.datagrams.Load()
	if datagrams == nil {
		return errStarting
	}
	return datagrams.Send(address, e)
}

func (d *Dispatcher) handleDatagram(e *pb.Envelope) {
	if report := e.GetLoadReport(); report != nil {
		d.loadReporter.HandleReport(e.GetHeader(), report)
	}
	if request := e.GetPreemptionRequest(); request != nil && d.onPreemption != nil {
		d.onPreemption(dispatch.PreemptionRequest{Upstream: request.GetUpstream(), Online: int(request.GetOnline())})
	}
	d.StreamOrigins.handle(e)
}

func (d *Dispatcher) applyViewChanges(changes ViewChanges) {
	for _, u := range changes.PhaseChanges {
		d.Logger.Info(eventlog.UpstreamChanged, "upstream", u.ID, "phase", int(u.Phase), "address", u.Address,
			"service", u.Service, "born", u.StartUnixMs, "sequence", u.Sequence, "replaced_by", u.ReplacedBy, "version", u.SoftwareVersion)
		if u.Phase != fleet.Ready {
			d.onNotReady(u)
		}
	}
	d.Slots.UpdateUpstreams(changes.Upstreams)
	if len(changes.Upstreams) > 0 {
		d.StreamOrigins.VersionsChanged()
	}
	// A daemon with a routing table is ready, and refuses requests without upstreams.
	if changes.Routing != nil {
		d.routing.Receive(*changes.Routing)
	}
}

// logHealthChange logs a change of an upstream's health in this daemon's view, and
// counts it if it has failures.
func (d *Dispatcher) logHealthChange(change dispatch.HealthChange) {
	if change.Failures > 0 {
		d.suspicions.Inc()
	}
	d.Logger.Info(eventlog.UpstreamJudged, "upstream", change.Upstream, "failures", change.Failures, "suspect_ms", change.SuspectFor.Milliseconds())
}

// upstreamLeaving records that an upstream said in an answer that it leaves.
func (d *Dispatcher) upstreamLeaving(change dispatch.LeavingChange) {
	d.leaving.WithLabelValues(string(change.Source)).Inc()
	fields := []any{"upstream", change.Upstream, "born", change.StartUnixMs, "request", change.Request, "source", string(change.Source)}
	if change.Latest.ID != "" {
		fields = append(fields, "phase", int(change.Latest.Phase), "phase_age_ms", time.Since(change.Latest.LastHeartbeat).Milliseconds())
	}
	d.Logger.Info(eventlog.UpstreamLeaving, fields...)
	d.onNotReady(change.Latest)
}

// rateChanged records that an upstream stated another rate limit.
func (d *Dispatcher) rateChanged(change dispatch.RateChange) {
	d.rateChanges.WithLabelValues(string(change.Source)).Inc()
	d.Logger.Info(eventlog.UpstreamRateChanged, "upstream", change.Upstream, "born", change.StartUnixMs, "request", change.Request,
		"source", string(change.Source), "per_second", formatRate(change.PerSecond), "previous", formatRate(change.Previous))
}

// logQuota logs that a customer went over its quota here, or is back within it.
func (d *Dispatcher) logQuota(transition quota.Transition, request string) {
	event := eventlog.CustomerWithinQuota
	if transition.Over {
		event = eventlog.CustomerOverQuota
	}
	d.Logger.Info(event, "customer", transition.Customer, "request", request, "per_second", transition.PerSecond, "burst", transition.Burst,
		"level", transition.Level, "share", transition.Share, "settled", transition.Settled,
		"refused", transition.Refused, "duration_ms", transition.Duration.Milliseconds())
}

// formatRate formats a number of requests a second.
func formatRate(perSecond float64) string {
	if math.IsInf(perSecond, 1) {
		return "unlimited"
	}
	return strconv.FormatFloat(perSecond, 'g', -1, 64)
}

// applyRouting puts a routing table in force. The RoutingReceiver makes one call after the other,
// with increasing versions.
func (d *Dispatcher) applyRouting(applied AppliedRouting) {
	decodedAt := time.Now()
	table, former, last := applied.Table, d.table.Load(), applied.Last
	previous := uint64(0)
	if former != nil {
		previous = former.Version
	}
	if applied.Whole {
		d.setLimits(table.Customers, former != nil)
		d.StreamOrigins.RoutesChanged(former, table)
	} else {
		d.changeLimits(table.Customers, applied.Difference.Customers)
		d.StreamOrigins.PlacesChanged(former, table, applied.Difference.Places)
	}
	for _, service := range table.Services {
		d.Slots.SetTokenCapacity(service.Name, service.TokenCapacity)
	}
	d.table.Store(table)
	d.routingLag.Observe(last.Lag.Seconds())
	d.routingBytes.WithLabelValues(transferKind(applied.Whole)).Add(float64(applied.Bytes))
	d.routingDelay.Observe(time.Since(last.ReceivedAt).Seconds())
	d.Logger.Info(eventlog.RoutingApplied, "version", table.Version, "previous", previous, "routes", table.RouteCount(), "services", len(table.Services),
		"from", last.From, "current", last.Current, "whole", applied.Whole, "lag_ms", last.Lag.Milliseconds(), "bytes", applied.Bytes,
		"waited_ms", applied.StartedAt.Sub(last.ReceivedAt).Milliseconds(), "decode_ms", decodedAt.Sub(applied.StartedAt).Milliseconds(),
		"apply_ms", time.Since(decodedAt).Milliseconds())
}

// setLimits puts the quotas of all customers, nil without any, in force. running is set if there
// was a routing table before.
func (d *Dispatcher) setLimits(registry *customers.Registry, running bool) {
	if d.Quotas == nil {
		return
	}
	var limits map[string]customers.Quota
	if registry != nil {
		limits = registry.Limits()
	}
	d.Quotas.SetLimits(limits, running)
}

// changeLimits puts the quotas of some customers in force, which may be gone.
func (d *Dispatcher) changeLimits(registry *customers.Registry, names []string) {
	if d.Quotas == nil || len(names) == 0 {
		return
	}
	limits := make(map[string]customers.Quota, len(names))
	for _, name := range names {
		limits[name] = customers.Quota{}
		if registry == nil {
			continue
		}
		if customer, known := registry.ByName(name); known {
			limits[name] = customer.Quota
		}
	}
	d.Quotas.ChangeLimits(limits)
}

// transferKind is the label of metrics that tells whole tables from changes.
func transferKind(whole bool) string {
	if whole {
		return "whole"
	}
	return "change"
}

// refreshStorageAddresses keeps the addresses of the storage replicas up to date.
func (d *Dispatcher) refreshStorageAddresses(ctx context.Context) {
	version := uint64(0)
	for ctx.Err() == nil {
		if current := d.View.DaemonsVersion(); current != version {
			version = current
			d.setStorageAddresses()
		}
		sleep(ctx, storageRefreshInterval)
	}
}

func (d *Dispatcher) setStorageAddresses() {
	var addresses []string
	for _, store := range d.View.Daemons(RoleStore) {
		addresses = append(addresses, store.GetAddress())
	}
	if len(addresses) > 0 {
		d.Storage.SetAddresses(addresses)
	}
}

// expireUpstreams removes the upstreams that left or fell silent long ago.
func (d *Dispatcher) expireUpstreams(ctx context.Context) {
	for ctx.Err() == nil {
		d.View.ExpireAndApply(time.Now(), func(ids []string) {
			for _, id := range ids {
				d.Slots.RemoveUpstream(id)
			}
			if len(ids) > 0 {
				d.StreamOrigins.VersionsChanged()
			}
		})
		sleep(ctx, expireInterval)
	}
}
