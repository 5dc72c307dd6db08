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
	"github.com/briarcross/briarcross/routing"
	"github.com/briarcross/briarcross/transport"
	"github.com/briarcross/briarcross/upstream"
)

const (
	// group numbers the storage group in its messages.
	group = 1
	// placementInterval is the pause between two looks at the placement.
	placementInterval = 100 * time.Millisecond
	proposeTimeout    = 2 * time.Second
)

// Codec reads what the platform's operators and engines write.
type Codec interface {
	upstream.HeaderCodec
	Table(document []byte) (*routing.Table, error)
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
	peers    *peering.Peers
	control  *client.Control
	runner   *runner
	waits    *waits
	metrics  *metrics
	exporter *node.MetricsServer

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Start starts a storage replica. The settings must have passed Check. The
// replica itself opens once the first members of the group are known.
func Start(settings *node.Settings, codec Codec, logger *log.Logger) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		FatalErrorReporter: daemon.NewFatalErrorReporter(),
		settings:           settings,
		logger:             logger,
		state:              jobpages.NewState(),
		waits:              newWaits(),
		ctx:                ctx,
		cancel:             cancel,
	}
	listener, err := daemon.ListenTCP("address", settings.ListenAddress())
	if err != nil {
		cancel()
		return nil, err
	}
	n.listener = listener
	n.runner = newRunner(n, codec)
	n.Dispatcher, err = node.NewDispatcher(settings, logger, codec.Table, func(u fleet.Upstream) { n.runner.engines.ClosePool(u.Address) })
	if err != nil {
		cancel()
		_ = listener.Close()
		return nil, err
	}
	n.metrics = newMetrics(n)
	n.exporter, err = node.ServeMetrics(settings.Metrics, n.metrics.registry, n.ReportFatal)
	if err != nil {
		cancel()
		_ = listener.Close()
		return nil, err
	}
	n.peers = peering.New(ctx, n.Transport, node.ReplicaAddress, func() {})
	n.control = client.NewControl(n.Transport, settings.Seeds)
	n.server = transport.NewServer(n.Identity, n.serveStream)
	n.tasks.Go(func() {
		if err := n.server.Serve(listener); err != nil {
			n.ReportFatal(err)
		}
	})
	n.Run(ctx)
	n.tasks.Go(n.runMembership)
	return n, nil
}

func (n *Node) folder() string {
	return filepath.Join(n.settings.Folder, "storage")
}

// runMembership opens the replica and keeps the membership of the group.
func (n *Node) runMembership() {
	ticker := time.NewTicker(placementInterval)
	defer ticker.Stop()
	members := ""
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
		r := n.replica.Load()
		if r == nil {
			n.open()
			continue
		}
		members = node.LogMembers(n.logger, "storage", r.Status(), members)
		_, _, leading := r.Leader()
		if leading {
			n.lead(r)
		}
	}
}

// open opens the replica: at once if its folder is in use, otherwise when the
// first members of the group are known.
func (n *Node) open() {
	founders, _ := n.View.Storage()
	_, err := os.Stat(n.folder())
	if err != nil && len(founders) == 0 {
		return
	}
	founder := slices.ContainsFunc(founders, func(r *pb.Replica) bool { return r.GetAddress() == n.settings.Address })
	options := replica.Options{
		ID:          n.settings.Address,
		Address:     n.settings.Address,
		DataCentre:  n.settings.DataCentre,
		Group:       group,
		Folder:      n.folder(),
		Remounted:   true,
		Join:        !founder,
		Machine:     n.state,
		Send:        n.peers.Send,
		RepairAfter: n.settings.RepairAfter(),
		Seed:        n.Identity.Incarnation,
		Logger:      n.logger,
		OnApply:     n.applied,
		OnLead:      n.led,
		OnFault:     n.ReportFatal,
	}
	if founder {
		options.Bootstrap = founders
	}
	r, err := replica.Open(options)
	if err != nil {
		n.ReportFatal(err)
		n.cancel()
		return
	}
	n.replica.Store(r)
	n.logger.Info(eventlog.MembersChanged, "group", "storage", "opened", true, "founder", founder, "founders", len(founders))
}

// lead names the spares of the group and reports replicas that are emptied.
func (n *Node) lead(r *replica.Replica) {
	_, retiring := n.View.Storage()
	r.SetSpares(node.Replicas(n.View.Daemons(node.RoleStore)))
	r.SetRetiring(retiring)
	n.control.SetAddresses(slices.Concat(n.settings.Seeds, n.View.Control()))
	for _, address := range retiring {
		if n.emptied(r, address) {
			n.reportRetired(address)
		}
	}
}

// emptied reports whether a replica is no member of a complete group.
func (n *Node) emptied(r *replica.Replica, address string) bool {
	members := r.Status().GetReplicas()
	for _, member := range members {
		if member.GetReplica().GetAddress() == address || member.GetReplica().GetLearner() {
			return false
		}
	}
	founders, _ := n.View.Storage()
	return len(members) >= len(founders)
}

func (n *Node) reportRetired(address string) {
	ctx, cancel := context.WithTimeout(n.ctx, proposeTimeout)
	defer cancel()
	command := &pb.Command{Op: &pb.Command_StorageRetired{StorageRetired: &pb.StorageRetired{Address: address}}}
	if _, controlErr := n.control.Propose(ctx, transport.Control, command); controlErr != nil {
		n.logger.Warn(eventlog.StorageRetired, "address", address, "error", controlErr.GetReason())
	}
}

func (n *Node) applied(_ uint64, command *pb.Command, result *pb.CommandResult) {
	switch op := command.GetOp().(type) {
	case *pb.Command_PageSubmit:
		n.logger.Info(eventlog.JobAccepted, "job", op.PageSubmit.GetJobId(), "items", len(op.PageSubmit.GetItems()))
		n.runner.wake()
	case *pb.Command_PageEnd:
		n.logger.Info(eventlog.JobEnded, "job", op.PageEnd.GetJobId(), "known", result.GetPage().GetKnown())
		n.runner.endJob(op.PageEnd.GetJobId())
		n.waits.notify(op.PageEnd.GetJobId())
	case *pb.Command_PageSettle:
		for _, r := range op.PageSettle.GetResults() {
			n.waits.notify(r.GetJobId())
		}
	}
}

func (n *Node) led(term uint64, leading bool) {
	n.logger.Info(eventlog.LeaderChanged, "group", "storage", "term", term, "leading", leading)
	n.runner.lead(leading)
}

// Stop ends the replica. A leader hands its leadership over first.
func (n *Node) Stop() error {
	n.logger.Info(eventlog.Stopping)
	n.runner.lead(false)
	var err error
	if r := n.replica.Load(); r != nil {
		err = r.Close()
	}
	n.cancel()
	_ = n.listener.Close()
	n.exporter.Close()
	n.server.Close()
	n.runner.close()
	n.Close()
	n.peers.Wait()
	n.tasks.Wait()
	return err
}
