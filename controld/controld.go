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
	daemon.FatalErrorReporter
	settings            *Settings
	logger              *log.Logger
	identity            *transport.Identity
	transport           *transport.Client
	server              *transport.Server
	control             *client.ReplicaClient
	state               *control.State
	replica             *replica.Replica
	peers               *peering.Sender
	configWatchers      *configWatchers
	publisherLoop       *loop.Loop[spread.PublisherInput, spread.PublisherOutput]
	publisher           *spread.Publisher
	leaseServer         *leaseServer
	plannerHost         *plannerHost
	operatorServer      *operatorServer
	metrics             *metrics
	configuredAddresses map[string]string

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	// replicaOpened is closed once the replica field is set. The replica may call
	// its callbacks earlier.
	replicaOpened chan struct{}
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
		settings:            settings,
		logger:              settings.NewLogger("control"),
		identity:            settings.NewIdentity(),
		configuredAddresses: make(map[string]string),
		ctx:                 ctx,
		cancel:              cancel,
		replicaOpened:       make(chan struct{}),
		FatalErrorReporter:  daemon.NewFatalErrorReporter(),
	}
	d.transport = transport.NewClient(d.identity, settings.TLS.ClientConfigSource())
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
	var addresses []string
	for _, r := range append(append([]*pb.Replica{}, bootstrap...), spares...) {
		d.configuredAddresses[r.GetId()] = r.GetAddress()
		addresses = append(addresses, r.GetAddress())
	}
	d.control = client.NewReplicaClient(d.transport, addresses)
	d.peers = peering.NewSender(d.ctx, d.transport, d.address, d.metrics.messagesLost.Inc)

	d.leaseServer = newLeaseServer(d, batch.NewState())
	d.state = control.NewState(d.leaseServer.core)
	d.plannerHost = newPlannerHost(d)
	d.configWatchers = newConfigWatchers(d.updateSince)
	d.publisher = spread.NewPublisher(spread.PublisherOptions{})
	d.publisherLoop = loop.Start[spread.PublisherInput, spread.PublisherOutput](d.publisher, publisherTick, d.executePublisherOutput)
	d.configWatchers.post = d.publisherLoop.Post
	d.replica, err = replica.Open(replica.Options{
		ID:                 d.settings.ID,
		Address:            d.settings.Listen,
		DataCentre:         d.settings.DataCentre,
		Folder:             d.settings.Folder,
		Bootstrap:          bootstrap,
		Spares:             spares,
		Join:               d.settings.Join,
		StateMachine:       d.state,
		Send:               d.peers.Send,
		TickInterval:       d.settings.Tick,
		RepairAfter:        d.settings.RepairAfter,
		Seed:               d.identity.Incarnation,
		Logger:             d.settings.NewLogger("quorum"),
		OnApply:            d.commandApplied,
		OnLeadershipChange: d.leadershipChanged,
		OnStorageError:     d.ReportFatal,
	})
	if err != nil {
		d.publisherLoop.Close()
		d.leaseServer.close()
		d.plannerHost.loop.Close()
		return err
	}
	close(d.replicaOpened)
	return nil
}

func (d *Daemon) isReplicaOpen() bool {
	select {
	case <-d.replicaOpened:
		return true
	default:
		return false
	}
}

// view calls read with the applied state, once the replica is open. It returns
// without calling read if the daemon stops first.
func (d *Daemon) view(read func(kv.Reader)) {
	select {
	case <-d.replicaOpened:
		d.replica.View(read)
	case <-d.ctx.Done():
	}
}

// address returns the address of a replica from the membership or, if the
// membership doesn't list it, from the settings.
func (d *Daemon) address(id string) (string, bool) {
	if d.isReplicaOpen() {
		for _, status := range d.replica.Status().GetReplicas() {
			if status.GetReplica().GetId() == id {
				return status.GetReplica().GetAddress(), true
			}
		}
	}
	address, ok := d.configuredAddresses[id]
	return address, ok
}

func (d *Daemon) commandApplied(_ uint64, command *pb.Command, result *pb.CommandResult) {
	if change := result.GetChange(); change.GetOutcome() == pb.ChangeOutcome_CHANGE_ACCEPTED {
		d.identity.SetRevision(change.GetRevision())
		d.publisherLoop.Post(spread.Applied{Revision: change.GetRevision()})
	}
	d.leaseServer.commandApplied(command, result)
	d.plannerHost.commandApplied(command, result)
}

func (d *Daemon) leadershipChanged(term uint64, leading bool) {
	d.leaseServer.leadershipChanged(term, leading)
	d.plannerHost.leadershipChanged(term, leading)
}

// inBackground runs a function that may block in a goroutine once the replica
// is open, unless the daemon stops first.
func (d *Daemon) inBackground(run func()) {
	d.background.Go(func() {
		select {
		case <-d.replicaOpened:
			run()
		case <-d.ctx.Done():
		}
	})
}

func (d *Daemon) executePublisherOutput(out spread.PublisherOutput) {
	switch out := out.(type) {
	case spread.SendUpdate:
		d.configWatchers.enqueue(out)
	case spread.RequestConfirmation:
		d.confirmRevision()
	}
}

// confirmRevision waits until a quorum confirms that this replica has applied
// everything committed so far, and gives the publisher the outcome.
func (d *Daemon) confirmRevision() {
	d.inBackground(func() {
		ctx, cancel := context.WithTimeout(d.ctx, confirmTimeout)
		defer cancel()
		if controlErr := d.replica.ReadBarrier(ctx); controlErr != nil {
			d.publisherLoop.Post(spread.ConfirmationFailed{})
			return
		}
		d.publisherLoop.Post(spread.Confirmed{Revision: d.revision()})
	})
}

func (d *Daemon) revision() uint64 {
	var revision uint64
	d.view(func(reader kv.Reader) {
		revision = d.state.ConfigRevision(reader)
	})
	return revision
}

func (d *Daemon) queryState(query *pb.Query) *pb.QueryResult {
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
			d.ReportFatal(err)
		}
	})
	d.operatorServer = newOperatorServer(d, guard)
	d.operatorServer.server.Start(d.settings.HTTPListener(listeners.HTTP), d.ReportFatal)
	d.settings.WarnUnencrypted(d.logger)
	context.AfterFunc(d.ctx, func() { _ = listeners.Peers.Close() })
}

// Stop stops the replica. A leader transfers its leadership first.
func (d *Daemon) Stop() error {
	d.logger.Info("control replica is stopping")
	d.operatorServer.readiness.SetStopping()
	err := d.replica.Close()
	d.cancel()
	d.server.Close()
	d.operatorServer.server.Stop()
	d.publisherLoop.Close()
	d.leaseServer.close()
	d.plannerHost.loop.Close()
	d.transport.Close()
	d.peers.Wait()
	d.background.Wait()
	return err
}
