package controlnode

import (
	"context"
	"slices"

	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/internal/identifier"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
)

// Outcome is the result of an operator's call.
type Outcome int

// The outcomes of a call.
const (
	Done Outcome = iota
	// NotDone means that the call has certainly changed nothing; it may be
	// repeated.
	NotDone
	// OutcomeUnknown means that the call may have been carried out; it may be
	// repeated.
	OutcomeUnknown
	NotFound
	// TooFewReplicas means that the call was refused because too few storage
	// replicas would remain.
	TooFewReplicas
)

// String returns the label of the outcome in metrics.
func (o Outcome) String() string {
	return [...]string{"done", "not_done", "unknown", "not_found", "too_few"}[o]
}

// ReplaceRouting replaces the routing table by a document that has been validated.
// A version that is not higher than the current one is acknowledged and changes
// nothing.
func (n *Node) ReplaceRouting(ctx context.Context, version uint64, document []byte) Outcome {
	replace := &pb.RoutingReplace{Version: version, Document: document}
	_, controlErr := n.propose(ctx, &pb.Command{Op: &pb.Command_RoutingReplace{RoutingReplace: replace}})
	if controlErr != nil {
		n.logger.Warn(eventlog.RoutingRejected, "version", version, "code", controlErr.GetCode().String(), "reason", controlErr.GetReason())
	}
	outcome := outcomeOf(controlErr)
	n.metrics.calls.WithLabelValues("replace_routing", outcome.String()).Inc()
	return outcome
}

// RecordInvalidRouting counts and logs a routing table that was rejected as
// invalid.
func (n *Node) RecordInvalidRouting(err error) {
	n.metrics.calls.WithLabelValues("replace_routing", "invalid").Inc()
	n.logger.Warn(eventlog.RoutingRejected, "reason", "invalid", "error", err)
}

// RecordInvalidHeartbeat counts and logs a heartbeat that could not be decoded.
func (n *Node) RecordInvalidHeartbeat(id string, err error) {
	n.metrics.heartbeats.WithLabelValues("invalid").Inc()
	n.logger.Warn(eventlog.HeartbeatRejected, "upstream", identifier.Loggable(id), "reason", "invalid", "error", err)
}

func outcomeOf(controlErr *pb.ControlError) Outcome {
	switch {
	case controlErr == nil:
		return Done
	case controlErr.GetCode() == pb.ControlError_UNKNOWN:
		return OutcomeUnknown
	}
	return NotDone
}

// ReadRouting returns the latest routing table. Confirmed is false if there is
// none, or if no majority confirmed that it is the latest.
func (n *Node) ReadRouting(ctx context.Context) (version uint64, document []byte, confirmed bool) {
	if controlErr := n.replica.ReadBarrier(ctx); controlErr != nil {
		n.metrics.calls.WithLabelValues("read_routing", NotDone.String()).Inc()
		n.logger.Warn(eventlog.ReadRefused, "what", "routing", "reason", controlErr.GetReason())
		return 0, nil, false
	}
	table := n.routing.refresh()
	if table == nil {
		return 0, nil, false
	}
	return table.version, table.document, true
}

// RecordHeartbeat applies a heartbeat of an upstream, unless a newer one is known. That of a
// service that the routing table does not name waits until it does. It returns false for a
// heartbeat that has no effect although its sender may be sound: the sender must repeat it.
func (n *Node) RecordHeartbeat(heartbeat fleet.Upstream) bool {
	heartbeat.LastHeartbeat = n.now()
	if !n.services.isNamed(heartbeat.Service) {
		// The table may have changed since the last regular update.
		n.updateServices()
	}
	if n.services.hold(heartbeat) {
		n.metrics.heartbeats.WithLabelValues("unnamed_service").Inc()
		n.logger.Info(eventlog.HeartbeatRejected, "upstream", heartbeat.ID, "reason", "unnamed_service", "service", heartbeat.Service,
			"address", heartbeat.Address, "born", heartbeat.StartUnixMs)
		return true
	}
	outcome := n.recordHeartbeat(heartbeat)
	return outcome != heartbeatContested && outcome != heartbeatOverLimit
}

func (n *Node) recordHeartbeat(heartbeat fleet.Upstream) heartbeatOutcome {
	previous, changed, outcome := n.applyHeartbeat(heartbeat, false)
	if outcome != heartbeatApplied {
		n.metrics.heartbeats.WithLabelValues(string(outcome)).Inc()
		n.logger.Info(eventlog.HeartbeatRejected, "upstream", heartbeat.ID, "reason", string(outcome), "address", heartbeat.Address, "born", heartbeat.StartUnixMs, "sequence", heartbeat.Sequence,
			"held_born", previous.StartUnixMs, "held_sequence", previous.Sequence, "held_phase", int(previous.Phase), "replaced_by", previous.ReplacedBy)
		return outcome
	}
	n.metrics.heartbeats.WithLabelValues(string(outcome)).Inc()
	n.announceUpstreams(changed, sourceHeartbeat)
	return outcome
}

// maxUpstreams limits the upstreams that a replica keeps, so that another writer cannot fill its
// memory and updates stay below transport.MaxFrameBytes.
const maxUpstreams = 16 << 10

// heartbeatOutcome is what became of a heartbeat, as a label of a metric.
type heartbeatOutcome string

const (
	heartbeatApplied heartbeatOutcome = "applied"
	// heartbeatLate is that of a heartbeat that is older than the latest of its sender.
	heartbeatLate heartbeatOutcome = "late"
	// heartbeatContested is that of a heartbeat with the ID or the address of a sound upstream.
	heartbeatContested heartbeatOutcome = "contested"
	heartbeatOverLimit heartbeatOutcome = "too_many_upstreams"
)

// applyHeartbeat merges a heartbeat that this replica received itself, or relayed by
// another one. It returns the previous record of its sender and all upstreams that
// changed.
func (n *Node) applyHeartbeat(heartbeat fleet.Upstream, relayed bool) (previous fleet.Upstream, changed []fleet.Upstream, outcome heartbeatOutcome) {
	n.upstreamLock.Lock()
	defer n.upstreamLock.Unlock()
	before, significantBefore := n.upstreams.LastChange(), n.upstreams.LastSignificantChange()
	previous, known := n.upstreams.Get(heartbeat.ID)
	switch {
	case !known && n.upstreams.Len() >= maxUpstreams:
		return previous, nil, heartbeatOverLimit
	case n.upstreams.Contests(heartbeat):
		return previous, nil, heartbeatContested
	case !n.upstreams.Apply(heartbeat):
		outcome = heartbeatLate
	default:
		outcome = heartbeatApplied
		n.relayed[heartbeat.ID] = relayed
	}
	if n.upstreams.LastSignificantChange() != significantBefore {
		changed = n.upstreams.ChangedSince(before)
		n.upstreamsUnsaved = true
	}
	return previous, changed, outcome
}

// applyRelayed applies the heartbeats that another replica has received. An upstream that expired
// here before it was listed as silent would count as heard at daemons that got its record.
func (n *Node) applyRelayed(changes node.ViewChanges) {
	n.upstreamLock.Lock()
	current := n.upstreams.Current(changes.Renewed)
	n.upstreamLock.Unlock()
	var changed []fleet.Upstream
	for _, u := range current {
		_, changedByHeartbeat, _ := n.applyHeartbeat(u, true)
		changed = append(changed, changedByHeartbeat...)
	}
	n.announceUpstreams(changed, sourceReplica)
}

// Deregister records that an upstream has left the deployment.
func (n *Node) Deregister(id string) {
	n.services.forget(id)
	n.upstreamLock.Lock()
	if _, known := n.upstreams.Get(id); !known && n.upstreams.Len() >= maxUpstreams {
		n.upstreamLock.Unlock()
		n.metrics.heartbeats.WithLabelValues(string(heartbeatOverLimit)).Inc()
		return
	}
	n.upstreams.Deregister(id, n.now())
	current, _ := n.upstreams.Get(id)
	n.relayed[id] = false
	n.upstreamsUnsaved = true
	n.upstreamLock.Unlock()
	n.announceUpstreams([]fleet.Upstream{current}, sourceDeregistration)
}

// Sources of a change of an upstream, in log lines.
const (
	sourceHeartbeat      = "heartbeat"
	sourceDeregistration = "deregistration"
	sourceReplica        = "replica"
	sourceSaved          = "saved"
)

// announceUpstreams logs changed upstreams and sends them to the subscribers.
func (n *Node) announceUpstreams(changed []fleet.Upstream, source string) {
	if len(changed) == 0 {
		return
	}
	for _, u := range changed {
		n.logUpstream(u, source)
	}
	n.subscribers.notify()
}

func (n *Node) logUpstream(u fleet.Upstream, source string) {
	n.logger.Info(eventlog.UpstreamChanged, "upstream", u.ID, "phase", int(u.Phase), "address", u.Address,
		"service", u.Service, "born", u.StartUnixMs, "sequence", u.Sequence, "source", source, "replaced_by", u.ReplacedBy, "version", u.SoftwareVersion)
}

// RetireStorage starts the removal of a storage replica from its group.
func (n *Node) RetireStorage(ctx context.Context, id string) Outcome {
	if controlErr := n.replica.ReadBarrier(ctx); controlErr != nil {
		return NotDone
	}
	placement := n.placement()
	address, ok := n.storageAddress(id)
	if !ok {
		return NotFound
	}
	if slices.Contains(placement.GetRetiring(), address) {
		return Done
	}
	remaining := 0
	for _, d := range n.daemonsOf(node.RoleStore) {
		if d.GetAddress() != address && !slices.Contains(placement.GetRetiring(), d.GetAddress()) {
			remaining++
		}
	}
	if remaining < max(n.settings.GroupSize(), len(placement.GetStorage())) {
		return TooFewReplicas
	}
	_, controlErr := n.propose(ctx, &pb.Command{Op: &pb.Command_StorageRetire{StorageRetire: &pb.StorageRetire{Address: address}}})
	return outcomeOf(controlErr)
}

// StorageRetired reports whether a storage replica has left its group after
// RetireStorage.
func (n *Node) StorageRetired(ctx context.Context, id string) (retired bool, outcome Outcome) {
	if controlErr := n.replica.ReadBarrier(ctx); controlErr != nil {
		return false, NotDone
	}
	address, ok := n.storageAddress(id)
	if !ok {
		return false, NotFound
	}
	return slices.Contains(n.placement().GetRetired(), address), Done
}

// storageAddress returns the address of the storage daemon with an ID.
func (n *Node) storageAddress(id string) (string, bool) {
	for _, d := range n.daemonsOf(node.RoleStore) {
		if d.GetId() == id {
			return d.GetAddress(), true
		}
	}
	return "", false
}
