// Package deployment is the replicated state machine of the control group in a
// deployment whose configuration is replaced as a whole. It holds the routing table
// with the highest version and the placement of the storage group.
package deployment

import (
	"slices"

	"github.com/briarcross/briarcross/internal/record"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

var (
	versionKey   = []byte("deployment/routing/version")
	documentKey  = []byte("deployment/routing/document")
	placementKey = []byte("deployment/placement")
)

var routingVersion = record.Uint64{Key: versionKey}

// State implements replica.StateMachine. It keeps all its state in the store.
type State struct{}

// Apply applies the command of one log entry. An unknown command changes nothing
// and gives an empty result.
func (State) Apply(b kv.Batch, _ uint64, c *pb.Command) *pb.CommandResult {
	switch op := c.GetOp().(type) {
	case *pb.Command_RoutingReplace:
		return replaceRouting(b, op.RoutingReplace)
	case *pb.Command_StorageFound:
		setStorageMembers(b, op.StorageFound.GetMembers())
	case *pb.Command_StorageRetire:
		startRetiring(b, op.StorageRetire.GetAddress())
	case *pb.Command_StorageRetired:
		markRetired(b, op.StorageRetired.GetAddress())
	}
	return &pb.CommandResult{}
}

// Restore implements replica.StateMachine. There is no state outside the store.
func (State) Restore(kv.Reader) {}

// replaceRouting stores a routing table if its version is higher than the current
// one, and returns the version in force.
func replaceRouting(b kv.Batch, c *pb.RoutingReplace) *pb.CommandResult {
	current := routingVersion.Get(b)
	if c.GetVersion() > current {
		current = c.GetVersion()
		routingVersion.Set(b, current)
		b.Set(documentKey, c.GetDocument())
	}
	return &pb.CommandResult{Result: &pb.CommandResult_Routing{Routing: &pb.RoutingResult{Version: current}}}
}

// setStorageMembers sets the initial members of the storage group unless they are
// set.
func setStorageMembers(b kv.Batch, members []*pb.Replica) {
	placement := ReadPlacement(b)
	if len(placement.GetStorage()) > 0 {
		return
	}
	placement.Storage = members
	record.Set(b, placementKey, placement)
}

func startRetiring(b kv.Batch, address string) {
	placement := ReadPlacement(b)
	if slices.Contains(placement.GetRetiring(), address) || slices.Contains(placement.GetRetired(), address) {
		return
	}
	placement.Retiring = append(placement.Retiring, address)
	record.Set(b, placementKey, placement)
}

func markRetired(b kv.Batch, address string) {
	placement := ReadPlacement(b)
	if !slices.Contains(placement.GetRetiring(), address) || slices.Contains(placement.GetRetired(), address) {
		return
	}
	placement.Retired = append(placement.Retired, address)
	record.Set(b, placementKey, placement)
}

// ReadRouting returns the routing table in force; version zero means that there is
// none.
func ReadRouting(r kv.Reader) *pb.RoutingAnswer {
	document, _ := r.Get(documentKey)
	return &pb.RoutingAnswer{Version: routingVersion.Get(r), Document: document}
}

// ReadRoutingVersion returns the version of the routing table in force, or zero.
func ReadRoutingVersion(r kv.Reader) uint64 { return routingVersion.Get(r) }

// ReadPlacement returns the placement of the storage group. A retired replica also
// stays in Retiring, so that it never joins again.
func ReadPlacement(r kv.Reader) *pb.DeploymentRecord {
	placement := &pb.DeploymentRecord{}
	record.Get(r, placementKey, placement)
	return placement
}
