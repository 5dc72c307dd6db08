package controlnode

import (
	"context"
	"slices"
	"time"

	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
)

// Outcome is the result of an operator's call.
type Outcome int

// The outcomes of a call.
const (
	Done Outcome = iota
	// NotDone calls have certainly changed nothing; they may be repeated.
	NotDone
	// Unknown calls may have been carried out; they may be repeated.
	Unknown
	NotFound
	// TooFew means that too few storage replicas would remain.
	TooFew
)

// String returns the label of the outcome in metrics.
func (o Outcome) String() string {
	return [...]string{"done", "not_done", "unknown", "not_found", "too_few"}[o]
}

// ReplaceRouting puts a checked routing table in force. A version that is not
// higher than the one held is acknowledged and changes nothing.
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

// NoteInvalidRouting logs a routing table that was refused.
func (n *Node) NoteInvalidRouting(err error) {
	n.metrics.calls.WithLabelValues("replace_routing", "invalid").Inc()
	n.logger.Warn(eventlog.RoutingRejected, "reason", "invalid", "error", err)
}

// NoteInvalidHeartbeat logs a heartbeat that could not be read.
func (n *Node) NoteInvalidHeartbeat(id string, err error) {
	n.metrics.heartbeats.WithLabelValues("invalid").Inc()
	n.logger.Warn(eventlog.HeartbeatRejected, "upstream", id, "reason", "invalid", "error", err)
}

func outcomeOf(controlErr *pb.ControlError) Outcome {
	switch {
	case controlErr == nil:
		return Done
	case controlErr.GetCode() == pb.ControlError_UNKNOWN:
		return Unknown
	}
	return NotDone
}

// ReadRouting returns the newest routing table. It fails unless a majority
// confirms that there is no newer one.
func (n *Node) ReadRouting(ctx context.Context) (version uint64, document []byte, confirmed bool) {
	if controlErr := n.replica.Confirm(ctx); controlErr != nil {
		n.metrics.calls.WithLabelValues("read_routing", NotDone.String()).Inc()
		n.logger.Warn(eventlog.ReadRefused, "what", "routing", "reason", controlErr.GetReason())
		return 0, nil, false
	}
	answer := n.routing()
	return answer.GetVersion(), answer.GetDocument(), answer.GetVersion() > 0
}

// Heartbeat records what an upstream says of itself.
func (n *Node) Heartbeat(beat fleet.Upstream) {
	beat.LastHeartbeat = time.Now()
	n.upstreamLock.Lock()
	before, known := n.upstreams.Get(beat.ID)
	applied := n.upstreams.Apply(beat)
	after, _ := n.upstreams.Get(beat.ID)
	changed := !known || before.Phase != after.Phase || before.StartUnixMs != after.StartUnixMs || before.Address != after.Address
	n.unsaved = n.unsaved || applied && changed
	n.upstreamLock.Unlock()
	if !applied {
		n.metrics.heartbeats.WithLabelValues("late").Inc()
		n.logger.Info(eventlog.HeartbeatRejected, "upstream", beat.ID, "born", beat.StartUnixMs, "sequence", beat.Sequence,
			"held_born", before.StartUnixMs, "held_sequence", before.Sequence)
		return
	}
	n.metrics.heartbeats.WithLabelValues("applied").Inc()
	if changed {
		n.logUpstream(after)
		n.watchers.notify()
	}
}

// Deregister records that an upstream leaves.
func (n *Node) Deregister(id string) {
	n.upstreamLock.Lock()
	n.upstreams.Deregister(id, time.Now())
	after, _ := n.upstreams.Get(id)
	n.unsaved = true
	n.upstreamLock.Unlock()
	n.logUpstream(after)
	n.watchers.notify()
}

func (n *Node) logUpstream(u fleet.Upstream) {
	n.logger.Info(eventlog.UpstreamChanged, "upstream", u.ID, "phase", int(u.Phase), "address", u.Address,
		"service", u.Service, "born", u.StartUnixMs, "sequence", u.Sequence)
}

// RetireStorage asks that a storage replica be emptied.
func (n *Node) RetireStorage(ctx context.Context, id string) Outcome {
	if controlErr := n.replica.Confirm(ctx); controlErr != nil {
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
	for _, d := range n.attached(node.RoleStore) {
		if d.GetAddress() != address && !slices.Contains(placement.GetRetiring(), d.GetAddress()) {
			remaining++
		}
	}
	if remaining < max(n.settings.GroupSize(), len(placement.GetStorage())) {
		return TooFew
	}
	_, controlErr := n.propose(ctx, &pb.Command{Op: &pb.Command_StorageRetire{StorageRetire: &pb.StorageRetire{Address: address}}})
	return outcomeOf(controlErr)
}

// Retired reports whether a storage replica has been emptied.
func (n *Node) Retired(ctx context.Context, id string) (retired bool, outcome Outcome) {
	if controlErr := n.replica.Confirm(ctx); controlErr != nil {
		return false, NotDone
	}
	address, ok := n.storageAddress(id)
	if !ok {
		return false, NotFound
	}
	return slices.Contains(n.placement().GetRetired(), address), Done
}

// storageAddress finds a storage daemon by its ID.
func (n *Node) storageAddress(id string) (string, bool) {
	for _, d := range n.view.Daemons(node.RoleStore) {
		if d.GetId() == id {
			return d.GetAddress(), true
		}
	}
	for _, d := range n.attached(node.RoleStore) {
		if d.GetId() == id {
			return d.GetAddress(), true
		}
	}
	return "", false
}
