package storenode

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/briarcross/briarcross/client"
	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/peering"
	"github.com/briarcross/briarcross/replica"
	"github.com/briarcross/briarcross/transport"
	"github.com/briarcross/briarcross/upstream"
)

const (
	// groupID identifies the storage group in replication messages.
	groupID = 1
	// membershipInterval is the interval at which the membership is checked.
	membershipInterval = 100 * time.Millisecond
	proposeTimeout     = 2 * time.Second
)

// Codec implements the platform's formats: the headers of its engines and the
// routing documents of its operators.
type Codec interface {
	upstream.HeaderCodec
	node.RoutingCodec
}

// Node is a running storage replica.
type Node struct {
	daemon.FatalErrorReporter
	*node.Dispatcher
	settings *node.Settings
	logger   *log.Logger
	state    *jobpages.State
	replica  atomic.Pointer[replica.Replica]
	server   *transport.Server
	listener net.Listener
	peers    *peering.Sender
	control  *client.ReplicaClient
	runner   *runner
	worker   *workerService
	notifier *jobNotifier
	metrics  *metrics
	// clients limits what entries send for callers.
	clients  *daemon.Clients
	exporter *node.MetricsServer

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Start starts a storage replica. The settings must have passed Check. On the
// first start, the replica opens only once the initial members of the group are
// known.
func Start(settings *node.Settings, codec Codec, logger *log.Logger) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		FatalErrorReporter: daemon.NewFatalErrorReporter(),
		settings:           settings,
		logger:             logger,
		state:              jobpages.NewState(),
		notifier:           newJobNotifier(),
		ctx:                ctx,
		cancel:             cancel,
	}
	listener, err := daemon.ListenTCP("address", settings.ListenAddress())
	if err != nil {
		cancel()
		return nil, err
	}
	n.listener = listener
	limits, err := settings.ClientLimits()
	if err != nil {
		cancel()
		_ = listener.Close()
		return nil, err
	}
	n.clients = daemon.NewClients(limits, func(r daemon.ClientReport) {
		n.logger.Warn(eventlog.ClientsLimited, "refused", r.Refused, "held_bytes", r.HeldBytes)
	})
	n.runner = newRunner(n, codec)
	n.Dispatcher, err = node.NewDispatcher(settings, logger, codec, func(u fleet.Upstream) { n.runner.engines.ClosePool(u.Address) }, n.runner.requestPreemption)
	if err != nil {
		cancel()
		_ = listener.Close()
		return nil, err
	}
	n.worker = &workerService{ctx: ctx, engines: n.runner.engines, slots: n.Slots, hasCustomers: n.hasCustomers}
	n.runner.start()
	n.metrics = newMetrics(n)
	n.exporter, err = node.ServeMetrics(settings.MetricsAddress, n.metrics.registry, n.ReportFatal)
	if err != nil {
		cancel()
		_ = listener.Close()
		return nil, err
	}
	n.peers = peering.NewSender(ctx, n.Transport, node.ReplicaAddress, func() {})
	n.control = client.NewReplicaClient(n.Transport, settings.Seeds)
	n.server = transport.NewServer(n.Identity, n.serveStream)
	n.tasks.Go(func() {
		if err := n.server.Serve(listener); err != nil {
			n.ReportFatal(err)
		}
	})
	n.Run(ctx)
	n.tasks.Go(n.maintainMembership)
	n.tasks.Go(func() { n.clients.Run(ctx) })
	n.tasks.Go(func() { n.runner.watchStalls(ctx) })
	return n, nil
}

// workersIn lists the storage daemons of a data centre that are no members of the
// group. Members are busy with its log.
func (n *Node) workersIn(dataCentre string) []string {
	status := n.replica.Load().Status()
	var addresses []string
	for _, d := range n.View.Daemons(node.RoleStore) {
		if d.GetDataCentre() == dataCentre && !isMember(status, d.GetAddress()) {
			addresses = append(addresses, d.GetAddress())
		}
	}
	return addresses
}

func (n *Node) replicaFolder() string {
	return filepath.Join(n.settings.DataDir, "storage")
}

// maintainMembership opens the replica, then logs membership changes and, on the
// leader, maintains the group.
func (n *Node) maintainMembership() {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	members := ""
	var leaders node.LeaderWatch
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
		r := n.replica.Load()
		if r == nil {
			n.openReplica()
			continue
		}
		members = node.LogMembers(n.logger, "storage", r.Status(), members)
		leader, _, leading := r.Leader()
		leaders.Observe(n.logger, "storage", leader != "" || !isMember(r.Status(), n.settings.Address), time.Now())
		if leading {
			n.maintainGroup(r)
		}
	}
}

// openReplica opens the replica if its folder exists or the initial members of
// the group are known; otherwise it does nothing.
func (n *Node) openReplica() {
	initialMembers, _ := n.View.StorageMembers()
	_, err := os.Stat(n.replicaFolder())
	if err != nil && len(initialMembers) == 0 {
		return
	}
	isInitialMember := slices.ContainsFunc(initialMembers, func(r *pb.Replica) bool { return r.GetAddress() == n.settings.Address })
	options := replica.Options{
		ID:                 n.settings.Address,
		Address:            n.settings.Address,
		DataCentre:         n.settings.DataCentre,
		Group:              groupID,
		Folder:             n.replicaFolder(),
		UnstableInodes:     true,
		Join:               !isInitialMember,
		StateMachine:       n.state,
		Send:               n.peers.Send,
		RepairAfter:        n.settings.RepairAfter(),
		Seed:               n.Identity.Incarnation,
		Logger:             n.logger,
		OnApply:            n.onApply,
		OnLeadershipChange: n.onLeadershipChange,
		OnStorageError:     n.ReportFatal,
	}
	if isInitialMember {
		options.Bootstrap = initialMembers
	}
	r, err := replica.Open(options)
	if err != nil {
		n.ReportFatal(err)
		n.cancel()
		return
	}
	n.replica.Store(r)
	n.logger.Info(eventlog.MembersChanged, "group", "storage", "opened", true, "founder", isInitialMember, "founders", len(initialMembers))
}

// maintainGroup updates the spares and the retiring replicas of the group, and
// reports to the control replicas which retiring replicas have left it.
func (n *Node) maintainGroup(r *replica.Replica) {
	_, retiring := n.View.StorageMembers()
	r.SetSpares(node.ReplicasFromDaemons(n.View.Daemons(node.RoleStore)))
	r.SetRetiring(retiring)
	n.control.SetAddresses(slices.Concat(n.settings.Seeds, n.View.ControlAddresses()))
	for _, address := range retiring {
		if n.hasLeftGroup(r, address) {
			n.reportRetired(address)
		}
	}
}

// hasLeftGroup reports whether a replica is not a member of the group while the
// group has its full size and no learners.
func (n *Node) hasLeftGroup(r *replica.Replica, address string) bool {
	members := r.Status().GetReplicas()
	for _, member := range members {
		if member.GetReplica().GetAddress() == address || member.GetReplica().GetLearner() {
			return false
		}
	}
	initialMembers, _ := n.View.StorageMembers()
	return len(members) >= len(initialMembers)
}

func (n *Node) reportRetired(address string) {
	ctx, cancel := context.WithTimeout(n.ctx, proposeTimeout)
	defer cancel()
	command := &pb.Command{Op: &pb.Command_StorageRetired{StorageRetired: &pb.StorageRetired{Address: address}}}
	if _, controlErr := n.control.Propose(ctx, transport.Control, command); controlErr != nil {
		n.logger.Warn(eventlog.StorageRetired, "address", address, "error", controlErr.GetReason())
	}
}

func (n *Node) onApply(_ uint64, command *pb.Command, result *pb.CommandResult) {
	switch op := command.GetOp().(type) {
	case *pb.Command_PageSubmit:
		n.logger.Info(eventlog.JobAccepted, withJob(op.PageSubmit.GetJobId(), "items", len(op.PageSubmit.GetItems()))...)
		n.runner.wake()
	case *pb.Command_PageEnd:
		n.logger.Info(eventlog.JobEnded, withJob(op.PageEnd.GetJobId(), "known", result.GetPage().GetKnown())...)
		n.runner.cancelRuns(op.PageEnd.GetJobId())
		n.notifier.notify(op.PageEnd.GetJobId())
	case *pb.Command_PageSettle:
		for _, r := range op.PageSettle.GetResults() {
			n.notifier.notify(r.GetJobId())
		}
	}
}

// withJob adds the ID that the caller gave a job, and the name of its owner if it has one,
// to the fields of a log line.
func withJob(storedID string, fields ...any) []any {
	customer, callerID := jobpages.SplitStoredJobID(storedID)
	fields = append(fields, "job", callerID)
	if customer != "" {
		fields = append(fields, "customer", customer)
	}
	return fields
}

// hasCustomers reports whether the routing table in force has customers.
func (n *Node) hasCustomers() bool {
	table := n.Table()
	return table != nil && table.Customers != nil
}

func (n *Node) onLeadershipChange(term uint64, leading bool) {
	n.logger.Info(eventlog.LeaderChanged, "group", "storage", "term", term, "leading", leading)
	n.setLeading(term, leading)
}

// setLeading makes this replica run the items of the open jobs, or stop running them.
func (n *Node) setLeading(term uint64, leading bool) {
	n.SetRunsBatch(leading)
	n.runner.setLeading(term, leading)
}

// Stop stops the replica. A leader first transfers its leadership.
func (n *Node) Stop() error {
	n.logger.Info(eventlog.Stopping)
	n.setLeading(0, false)
	var err error
	if r := n.replica.Load(); r != nil {
		err = r.Close()
	}
	n.cancel()
	_ = n.listener.Close()
	n.exporter.Close()
	n.server.Close()
	n.runner.close()
	n.worker.tasks.Wait()
	n.Close()
	n.peers.Wait()
	n.tasks.Wait()
	return err
}
