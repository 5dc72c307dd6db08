package controld

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/briarcross/briarcross/batch"
	"github.com/briarcross/briarcross/client"
	"github.com/briarcross/briarcross/control"
	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/loop"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/peering"
	"github.com/briarcross/briarcross/replica"
	"github.com/briarcross/briarcross/spread"
	"github.com/briarcross/briarcross/transport"
)

const (
	publisherTick  = 50 * time.Millisecond
	schedulerTick  = 20 * time.Millisecond
	confirmTimeout = 2 * time.Second
)

// Daemon is a running control replica.
type Daemon struct {
	daemon.FaultReporter
	settings  *Settings
	logger    *log.Logger
	identity  *transport.Identity
	transport *transport.Client
	server    *transport.Server
	control   *client.ReplicaClient
	state     *control.State
	replica   *replica.Replica
	peers     *peering.Peers
	watchers  *watchers
	publisher *loop.Loop[spread.PublisherInput, spread.PublisherOutput]
	spread    *spread.Publisher
	leases    *leases
	placer    *placer
	http      *operatorServer
	metrics   *metrics
	addresses map[string]string

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	// opened is closed once replica is set; its callbacks may come earlier.
	opened chan struct{}
}

// Start starts a control replica. The settings must have passed Check.
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
	d.logger.Info("control replica started", "id", settings.ID, "listen", settings.Listen, "http", settings.HTTP)
	return d, nil
}

func newDaemon(settings *Settings) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings:      settings,
		logger:        settings.NewLogger("control"),
		identity:      settings.NewIdentity(),
		addresses:     make(map[string]string),
		ctx:           ctx,
		cancel:        cancel,
		opened:        make(chan struct{}),
		FaultReporter: daemon.NewFaultReporter(),
	}
	d.transport = transport.NewClient(d.identity, settings.TLS.ClientConfig())
	d.metrics = newMetrics(d.identity)
	if err := d.startReplica(); err != nil {
		cancel()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) startReplica() error {
	bootstrap, err := parseReplicas("replicas", d.settings.Replicas)
	if err != nil {
		return err
	}
	spares, err := parseReplicas("spares", d.settings.Spares)
	if err != nil {
		return err
	}
	var known []string
	for _, r := range append(append([]*pb.Replica{}, bootstrap...), spares...) {
		d.addresses[r.GetId()] = r.GetAddress()
		known = append(known, r.GetAddress())
	}
	d.control = client.NewReplicaClient(d.transport, known)
	d.peers = peering.New(d.ctx, d.transport, d.address, d.metrics.peerLost.Inc)

	d.leases = newLeases(d, batch.NewState())
	d.state = control.NewState(d.leases.core)
	d.placer = newPlacer(d)
	d.watchers = newWatchers(d.updateSince)
	d.spread = spread.NewPublisher(spread.PublisherOptions{})
	d.publisher = loop.Start[spread.PublisherInput, spread.PublisherOutput](d.spread, publisherTick, d.carryPublisher)
	d.watchers.post = d.publisher.Post
	d.replica, err = replica.Open(replica.Options{
		ID:          d.settings.ID,
		Address:     d.settings.Listen,
		DataCentre:  d.settings.DataCentre,
		Folder:      d.settings.Folder,
		Bootstrap:   bootstrap,
		Spares:      spares,
		Join:        d.settings.Join,
		Machine:     d.state,
		Send:        d.peers.Send,
		Tick:        d.settings.Tick,
		RepairAfter: d.settings.RepairAfter,
		Seed:        d.identity.Incarnation,
		Logger:      d.settings.NewLogger("quorum"),
		OnApply:     d.applied,
		OnLead:      d.lead,
		OnFault:     d.Fault,
	})
	if err != nil {
		d.publisher.Close()
		d.leases.close()
		d.placer.loop.Close()
		return err
	}
	close(d.opened)
	return nil
}

func (d *Daemon) isOpen() bool {
	select {
	case <-d.opened:
		return true
	default:
		return false
	}
}

// view reads the applied state. It waits until the replica is open.
func (d *Daemon) view(read func(kv.Reader)) {
	select {
	case <-d.opened:
		d.replica.View(read)
	case <-d.ctx.Done():
	}
}

// address returns the address of a replica, as the membership or else the
// settings have it.
func (d *Daemon) address(id string) (string, bool) {
	if d.isOpen() {
		for _, status := range d.replica.Status().GetReplicas() {
			if status.GetReplica().GetId() == id {
				return status.GetReplica().GetAddress(), true
			}
		}
	}
	address, ok := d.addresses[id]
	return address, ok
}

func (d *Daemon) applied(_ uint64, command *pb.Command, result *pb.CommandResult) {
	if change := result.GetChange(); change.GetOutcome() == pb.ChangeOutcome_CHANGE_ACCEPTED {
		d.identity.SetRevision(change.GetRevision())
		d.publisher.Post(spread.Applied{Revision: change.GetRevision()})
	}
	d.leases.applied(command, result)
	d.placer.applied(command, result)
}

func (d *Daemon) lead(term uint64, leading bool) {
	d.leases.lead(term, leading)
	d.placer.lead(term, leading)
}

// inBackground runs a function that may block, until the daemon stops.
func (d *Daemon) inBackground(run func()) {
	d.background.Go(func() {
		select {
		case <-d.opened:
			run()
		case <-d.ctx.Done():
		}
	})
}

func (d *Daemon) carryPublisher(out spread.PublisherOutput) {
	switch out := out.(type) {
	case spread.Send:
		d.watchers.queue(out)
	case spread.ConfirmWanted:
		d.confirm()
	}
}

// confirm has a quorum confirm the revision that this replica has applied.
func (d *Daemon) confirm() {
	d.inBackground(func() {
		ctx, cancel := context.WithTimeout(d.ctx, confirmTimeout)
		defer cancel()
		if controlErr := d.replica.Confirm(ctx); controlErr != nil {
			d.publisher.Post(spread.ConfirmFailed{})
			return
		}
		d.publisher.Post(spread.Confirmed{Revision: d.revision()})
	})
}

func (d *Daemon) revision() uint64 {
	var revision uint64
	d.view(func(reader kv.Reader) {
		revision = d.state.ConfigRevision(reader)
	})
	return revision
}

func (d *Daemon) query(query *pb.Query) *pb.QueryResult {
	var result *pb.QueryResult
	d.view(func(reader kv.Reader) {
		result = d.state.Query(reader, query)
	})
	return result
}

func (d *Daemon) updateSince(from uint64) *pb.ConfigUpdate {
	var update *pb.ConfigUpdate
	d.view(func(reader kv.Reader) {
		update = d.state.UpdateSince(reader, from)
	})
	return update
}

func (d *Daemon) serve(listeners *daemon.Listeners, guard *daemon.Guard) {
	d.server = transport.NewServer(d.identity, d.serveStream)
	d.background.Go(func() {
		if err := d.server.Serve(d.settings.TLS.Listener(listeners.Peers)); err != nil {
			d.Fault(err)
		}
	})
	d.http = newOperatorServer(d, guard)
	d.http.http.Start(d.settings.HTTPListener(listeners.HTTP), d.Fault)
	d.settings.WarnPlain(d.logger)
	context.AfterFunc(d.ctx, func() { _ = listeners.Peers.Close() })
}

// Stop ends the replica. A leader hands its leadership over first.
func (d *Daemon) Stop() error {
	d.logger.Info("control replica stops")
	d.http.readiness.Stop()
	err := d.replica.Close()
	d.cancel()
	d.server.Close()
	d.http.http.Stop()
	d.publisher.Close()
	d.leases.close()
	d.placer.loop.Close()
	d.transport.Close()
	d.peers.Wait()
	d.background.Wait()
	return err
}
