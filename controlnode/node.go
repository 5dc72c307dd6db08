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
	// group numbers the control group in its messages.
	group = 0
	// dutyInterval is the pause between two looks at the group's members.
	dutyInterval = 100 * time.Millisecond
	// forwardTimeout bounds one attempt to reach the leader.
	forwardTimeout = 700 * time.Millisecond
	// stopTimeout bounds the wait for the calls that are being answered.
	stopTimeout = time.Second
	// headerTimeout and idleTimeout bound connections that send nothing.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
)

// Node is a running control replica.
type Node struct {
	daemon.FatalErrorReporter
	settings  *node.Settings
	logger    *log.Logger
	identity  *transport.Identity
	transport *transport.Client
	server    *transport.Server
	listener  net.Listener
	operators *http.Server
	replica   *replica.Replica
	peers     *peering.Peers
	leader    *client.Control
	view      *node.View
	follower  *node.Follower
	watchers  *watchers
	metrics   *metrics
	exporter  *node.MetricsServer

	// upstreams holds the heartbeats that this replica received.
	upstreamLock sync.Mutex
	upstreams    *fleet.Table
	// unsaved is set when upstreams joined, left or changed their phase since
	// the table was written to the disk.
	unsaved bool

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Start starts a control replica. The settings must have passed Check.
func Start(settings *node.Settings, logger *log.Logger, handler func(*Node) http.Handler) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		FatalErrorReporter: daemon.NewFatalErrorReporter(),
		settings:           settings,
		logger:             logger,
		identity:           settings.Identity(),
		view:               node.NewView(),
		upstreams:          fleet.NewTable(),
		ctx:                ctx,
		cancel:             cancel,
	}
	n.loadUpstreams()
	n.transport = transport.NewClient(n.identity, nil)
	n.leader = client.NewControl(n.transport, nil)
	n.leader.SetTimeout(forwardTimeout)
	n.watchers = newWatchers()
	n.metrics = newMetrics(n)
	n.peers = peering.New(ctx, n.transport, node.ReplicaAddress, func() {})
	if err := n.open(); err != nil {
		cancel()
		return nil, err
	}
	if err := n.serveOperators(handler(n)); err != nil {
		return nil, errors.Join(err, n.Stop())
	}
	return n, nil
}

func (n *Node) open() error {
	listener, err := daemon.ListenTCP("address", n.settings.ListenAddress())
	if err != nil {
		return err
	}
	founders := n.founders()
	n.replica, err = replica.Open(replica.Options{
		ID:          n.settings.Address,
		Address:     n.settings.Address,
		DataCentre:  n.settings.DataCentre,
		Group:       group,
		Folder:      filepath.Join(n.settings.Folder, "control"),
		Remounted:   true,
		Bootstrap:   founders,
		Size:        uint32(n.settings.GroupSize()),
		Join:        len(founders) == 0,
		Machine:     deployment.State{},
		Send:        n.peers.Send,
		RepairAfter: n.settings.RepairAfter(),
		Seed:        n.identity.Incarnation,
		Logger:      n.logger,
		OnApply:     n.applied,
		OnLead:      n.led,
		OnFault:     n.ReportFatal,
	})
	if err != nil {
		_ = listener.Close()
		return err
	}
	n.listener = listener
	n.server = transport.NewServer(n.identity, n.serveStream)
	n.follower = node.NewFollower(n.transport, n.view, n.settings.Self(n.identity), n.settings.Seeds, n.logger, func(node.Changes) {})
	n.tasks.Go(func() {
		if err := n.server.Serve(listener); err != nil {
			n.ReportFatal(err)
		}
	})
	n.tasks.Go(func() { n.follower.Run(n.ctx) })
	n.tasks.Go(n.runDuties)
	return nil
}

// serveOperators serves operators and upstreams.
func (n *Node) serveOperators(handler http.Handler) error {
	listener, err := daemon.ListenTCP("operators", n.settings.Operators)
	if err != nil {
		return err
	}
	n.exporter, err = node.ServeMetrics(n.settings.Metrics, n.metrics.registry, n.ReportFatal)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	n.operators = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	n.tasks.Go(func() {
		if err := n.operators.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.ReportFatal(err)
		}
	})
	return nil
}

// founders lists the first members, if this replica is to found the group. The
// seeds of the first start are the same for all.
func (n *Node) founders() []*pb.Replica {
	if !n.settings.FirstStart {
		return nil
	}
	var founders []*pb.Replica
	self := false
	for _, seed := range n.settings.Seeds {
		founders = append(founders, &pb.Replica{Id: seed, Address: seed})
		self = self || seed == n.settings.Address
	}
	if !self {
		return nil
	}
	return founders
}

// SetSeeds replaces the addresses at which other replicas are looked for.
func (n *Node) SetSeeds(seeds []string) {
	n.follower.SetSeeds(seeds)
}

func (n *Node) applied(index uint64, command *pb.Command, _ *pb.CommandResult) {
	switch op := command.GetOp().(type) {
	case *pb.Command_RoutingReplace:
		n.logger.Info(eventlog.RoutingAccepted, "version", op.RoutingReplace.GetVersion(), "index", index)
	case *pb.Command_StorageFound:
		n.logger.Info(eventlog.StorageFounded, "members", len(op.StorageFound.GetMembers()), "index", index)
	case *pb.Command_StorageRetire:
		n.logger.Info(eventlog.StorageRetiring, "address", op.StorageRetire.GetAddress(), "index", index)
	case *pb.Command_StorageRetired:
		n.logger.Info(eventlog.StorageRetired, "address", op.StorageRetired.GetAddress(), "index", index)
	}
	n.watchers.notify()
}

func (n *Node) led(term uint64, leading bool) {
	n.logger.Info(eventlog.LeaderChanged, "group", "control", "term", term, "leading", leading)
}

// propose has a command carried out by the leader, wherever it is. A NOT_LEADER
// or OVERLOADED error means that the command was certainly not carried out.
func (n *Node) propose(ctx context.Context, command *pb.Command) (*pb.CommandResult, *pb.ControlError) {
	result, controlErr := n.replica.Propose(ctx, command)
	if controlErr.GetCode() != pb.ControlError_NOT_LEADER {
		return result, controlErr
	}
	n.leader.SetAddresses(n.otherReplicas())
	if address := controlErr.GetLeaderAddress(); address != "" && address != n.settings.Address {
		n.leader.SetLeader(address)
	}
	return n.leader.Propose(ctx, transport.Control, command)
}

// otherReplicas lists the members of the group besides this one; before the
// group is known, the seeds.
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

func (n *Node) routing() *pb.RoutingAnswer {
	var answer *pb.RoutingAnswer
	n.replica.View(func(r kv.Reader) { answer = deployment.Routing(r) })
	return answer
}

func (n *Node) placement() *pb.DeploymentRecord {
	var placement *pb.DeploymentRecord
	n.replica.View(func(r kv.Reader) { placement = deployment.Placement(r) })
	return placement
}

// Stop ends the replica. A leader hands its leadership over first.
func (n *Node) Stop() error {
	n.logger.Info(eventlog.Stopping)
	err := n.replica.Close()
	if n.operators != nil {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		err = errors.Join(err, n.operators.Shutdown(ctx))
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
