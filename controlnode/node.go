package controlnode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/briarcross/briarcross/client"
	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/deployment"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/peering"
	"github.com/briarcross/briarcross/replica"
	"github.com/briarcross/briarcross/transport"
)

const (
	// groupID identifies the control group in replication messages.
	groupID = 0
	// maintenanceInterval is the interval of runMaintenance.
	maintenanceInterval = 100 * time.Millisecond
	// forwardTimeout limits one attempt to forward a command to the leader.
	forwardTimeout = 700 * time.Millisecond
	// stopTimeout limits the wait for HTTP calls in progress when the node stops.
	stopTimeout = time.Second
	// headerTimeout and idleTimeout close HTTP connections that send nothing.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// maxHeaderBytes limits the head of an HTTP call, with its path.
	maxHeaderBytes = 16 << 10
)

// Node is a running control replica.
type Node struct {
	daemon.FatalErrorReporter
	settings *node.Settings
	logger   *log.Logger
	// now returns the time.
	now            func() time.Time
	identity       *transport.Identity
	transport      *transport.Client
	server         *transport.Server
	listener       net.Listener
	operatorServer *http.Server
	replica        *replica.Replica
	peers          *peering.Sender
	leaderClient   *client.ReplicaClient
	view           *node.View
	follower       *node.Follower
	subscribers    *subscribers
	// quarantine holds the evidence of all daemons about parts of prompts that crash
	// engines.
	quarantine *node.Quarantine
	services   *serviceRegistry
	routing    *routingSource
	metrics    *metrics
	exporter   *node.MetricsServer

	// upstreamLock guards upstreams, the latest heartbeats that this replica has
	// received, and upstreamsUnsaved.
	upstreamLock sync.Mutex
	upstreams    *fleet.Table
	// upstreamsUnsaved is set when an upstream was added or left, or changed its
	// phase, start time or address, since upstreams was written to disk.
	upstreamsUnsaved bool
	// relayed holds the upstreams whose latest heartbeat came from another replica,
	// silent the sorted IDs of those that missed several heartbeats. upstreamLock
	// guards both.
	relayed map[string]bool
	silent  []string

	// directoryLock guards the daemons that subscribe to this replica, those that any
	// replica knows, and the addresses of control replicas.
	directoryLock sync.Mutex
	ownDaemons    *directory
	allDaemons    *directory
	control       []string

	// routingHistory tells for how long a subscriber has lacked a routing table.
	routingHistory routingHistory

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// RoutingCodec reads routing documents.
type RoutingCodec struct {
	// ServiceNames returns the names of the services in a document.
	ServiceNames func(document []byte) ([]string, error)
	// Change returns the change from one accepted document to another, or nil if the whole
	// document has to be sent.
	Change func(baseVersion uint64, base []byte, version uint64, document []byte) *pb.RoutingChange
}

// Start starts a control replica. The settings must have passed Check. The handler serves the HTTP
// calls of operators and upstreams.
func Start(settings *node.Settings, logger *log.Logger, codec RoutingCodec, handler func(*Node) http.Handler) (*Node, error) {
	n := newNode(settings, logger, codec, time.Now)
	if err := n.open(); err != nil {
		n.cancel()
		return nil, err
	}
	if err := n.serveOperators(handler(n)); err != nil {
		return nil, errors.Join(err, n.Stop())
	}
	return n, nil
}

// newNode returns a control replica with the upstreams that it has saved. It does not run yet.
func newNode(settings *node.Settings, logger *log.Logger, codec RoutingCodec, now func() time.Time) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		FatalErrorReporter: daemon.NewFatalErrorReporter(),
		settings:           settings,
		logger:             logger,
		now:                now,
		identity:           settings.Identity(),
		view:               node.NewView(settings.HeartbeatInterval),
		upstreams:          fleet.NewTable(settings.HeartbeatInterval),
		relayed:            make(map[string]bool),
		ownDaemons:         newDirectory(),
		allDaemons:         newDirectory(),
		ctx:                ctx,
		cancel:             cancel,
	}
	n.routing = newRoutingSource(n.readRouting, codec.Change)
	n.services = newServiceRegistry(n.routing.refresh, codec.ServiceNames)
	n.transport = transport.NewClient(n.identity, nil)
	n.leaderClient = client.NewReplicaClient(n.transport, nil)
	n.leaderClient.SetAttemptTimeout(forwardTimeout)
	n.subscribers = newSubscribers()
	n.quarantine = node.NewQuarantine(logger, n.subscribers.notify)
	n.metrics = newMetrics(n)
	n.peers = peering.NewSender(ctx, n.transport, node.ReplicaAddress, func() {})
	n.loadUpstreams()
	return n
}

func (n *Node) open() error {
	listener, err := daemon.ListenTCP("address", n.settings.ListenAddress())
	if err != nil {
		return err
	}
	initialMembers := n.initialMembers()
	n.replica, err = replica.Open(replica.Options{
		ID:                 n.settings.Address,
		Address:            n.settings.Address,
		DataCentre:         n.settings.DataCentre,
		Group:              groupID,
		Folder:             filepath.Join(n.settings.DataDir, "control"),
		UnstableInodes:     true,
		Bootstrap:          initialMembers,
		TargetVoters:       uint32(n.settings.GroupSize()),
		Join:               len(initialMembers) == 0,
		StateMachine:       deployment.State{},
		Send:               n.peers.Send,
		RepairAfter:        n.settings.RepairAfter(),
		Seed:               n.identity.Incarnation,
		Logger:             n.logger,
		OnApply:            n.onApply,
		OnLeadershipChange: n.onLeadershipChange,
		OnStorageError:     n.ReportFatal,
	})
	if err != nil {
		_ = listener.Close()
		return err
	}
	n.listener = listener
	n.server = transport.NewServer(n.identity, n.serveStream)
	n.follower = node.NewFollower(n.transport, n.view, n.quarantine, nil, n.settings.Self(n.identity), n.settings.Seeds, n.logger, n.applyRelayed)
	n.tasks.Go(func() {
		if err := n.server.Serve(listener); err != nil {
			n.ReportFatal(err)
		}
	})
	n.tasks.Go(func() { n.follower.Run(n.ctx) })
	n.tasks.Go(n.runMaintenance)
	n.tasks.Go(n.runDirectory)
	n.tasks.Go(n.runRouting)
	return nil
}

// serveOperators starts the HTTP server for operators and upstreams, and the
// metrics server.
func (n *Node) serveOperators(handler http.Handler) error {
	listener, err := daemon.ListenTCP("operators", n.settings.OperatorsAddress)
	if err != nil {
		return err
	}
	n.exporter, err = node.ServeMetrics(n.settings.MetricsAddress, n.metrics.registry, n.ReportFatal)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	n.operatorServer = &http.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	n.tasks.Go(func() {
		if err := n.operatorServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.ReportFatal(err)
		}
	})
	return nil
}

// initialMembers lists the members to bootstrap the group with. It is empty unless
// this is the first start of the deployment and this replica is among the seeds,
// which are then the same for all replicas.
func (n *Node) initialMembers() []*pb.Replica {
	if !n.settings.FirstStart {
		return nil
	}
	var members []*pb.Replica
	included := false
	for _, seed := range n.settings.Seeds {
		members = append(members, &pb.Replica{Id: seed, Address: seed})
		included = included || seed == n.settings.Address
	}
	if !included {
		return nil
	}
	return members
}

// SetSeeds replaces the addresses through which other replicas are discovered.
func (n *Node) SetSeeds(seeds []string) {
	n.follower.SetSeeds(seeds)
}

func (n *Node) onApply(index uint64, command *pb.Command, result *pb.CommandResult) {
	switch op := command.GetOp().(type) {
	case *pb.Command_RoutingReplace:
		inForce := result.GetRouting().GetVersion()
		changed := n.routingHistory.record(inForce, time.Now())
		n.logger.Info(eventlog.RoutingAccepted, "version", op.RoutingReplace.GetVersion(), "in_force", inForce, "changed", changed, "index", index)
		// Subscribers are notified once the change has been compared with the version before.
		n.routing.wakeUp()
		return
	case *pb.Command_StorageFound:
		n.logger.Info(eventlog.StorageFounded, "members", len(op.StorageFound.GetMembers()), "index", index)
	case *pb.Command_StorageRetire:
		n.logger.Info(eventlog.StorageRetiring, "address", op.StorageRetire.GetAddress(), "index", index)
	case *pb.Command_StorageRetired:
		n.logger.Info(eventlog.StorageRetired, "address", op.StorageRetired.GetAddress(), "index", index)
	}
	n.subscribers.notify()
}

// inContactWithMajority reports whether this replica leads its group or hears from
// the leader.
func (n *Node) inContactWithMajority() bool {
	leader, _, _ := n.replica.Leader()
	return leader != ""
}

func (n *Node) onLeadershipChange(term uint64, leading bool) {
	n.logger.Info(eventlog.LeaderChanged, "group", "control", "term", term, "leading", leading)
}

// propose proposes a command, and forwards it to the leader if that is another
// replica. A NOT_LEADER or OVERLOADED error means that the command was certainly
// not applied.
func (n *Node) propose(ctx context.Context, command *pb.Command) (*pb.CommandResult, *pb.ControlError) {
	result, controlErr := n.replica.Propose(ctx, command)
	if controlErr.GetCode() != pb.ControlError_NOT_LEADER {
		return result, controlErr
	}
	n.leaderClient.SetAddresses(n.otherReplicas())
	if address := controlErr.GetLeaderAddress(); address != "" && address != n.settings.Address {
		n.leaderClient.SetLeaderAddress(address)
	}
	return n.leaderClient.Propose(ctx, transport.Control, command)
}

// otherReplicas lists the addresses of the other members of the group, or of the
// other seeds before any are known.
func (n *Node) otherReplicas() []string {
	var others []string
	for _, r := range n.members() {
		if r.GetAddress() != n.settings.Address {
			others = append(others, r.GetAddress())
		}
	}
	if len(others) > 0 {
		return others
	}
	for _, seed := range n.settings.Seeds {
		if seed != n.settings.Address {
			others = append(others, seed)
		}
	}
	return others
}

func (n *Node) members() []*pb.Replica {
	var members []*pb.Replica
	for _, status := range n.replica.Status().GetReplicas() {
		members = append(members, status.GetReplica())
	}
	return members
}

// readRouting reads the routing table, or only its version if that is the known one. A replica
// that is not open has none.
func (n *Node) readRouting(known uint64) (version uint64, document []byte) {
	if n.replica == nil {
		return 0, nil
	}
	n.replica.View(func(r kv.Reader) {
		if version = deployment.ReadRoutingVersion(r); version != known {
			document = deployment.ReadRouting(r).GetDocument()
		}
	})
	return version, document
}

func (n *Node) placement() *pb.DeploymentRecord {
	var placement *pb.DeploymentRecord
	n.replica.View(func(r kv.Reader) { placement = deployment.ReadPlacement(r) })
	return placement
}

// Stop stops the replica. A leader first transfers its leadership.
func (n *Node) Stop() error {
	n.logger.Info(eventlog.Stopping)
	err := n.replica.Close()
	if n.operatorServer != nil {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		err = errors.Join(err, n.operatorServer.Shutdown(ctx))
	}
	if n.exporter != nil {
		n.exporter.Close()
	}
	n.cancel()
	_ = n.listener.Close()
	n.server.Close()
	n.transport.Close()
	n.peers.Wait()
	n.tasks.Wait()
	return err
}
