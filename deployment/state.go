// Package deployment is the state machine of the control group in a
// deployment that is configured as a whole: the routing table with the highest
// version, and the placement of the storage group.
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

var version = record.Uint64{Key: versionKey}

// State implements replica.StateMachine. All of it lies in the store.
type State struct{}

// Apply carries out the command of one log entry. An unknown command gives an
// empty result.
func (State) Apply(b kv.Batch, _ uint64, c *pb.Command) *pb.CommandResult {
	switch op := c.GetOp().(type) {
	case *pb.Command_RoutingReplace:
		return replaceRouting(b, op.RoutingReplace)
	case *pb.Command_StorageFound:
		found(b, op.StorageFound.GetMembers())
	case *pb.Command_StorageRetire:
		retire(b, op.StorageRetire.GetAddress())
	case *pb.Command_StorageRetired:
		retired(b, op.StorageRetired.GetAddress())
	}
	return &pb.CommandResult{}
}

// Restore implements replica.StateMachine.
func (State) Restore(kv.Reader) {}

// replaceRouting keeps the table with the highest version; an equal or lower
// one changes nothing.
func replaceRouting(b kv.Batch, c *pb.RoutingReplace) *pb.CommandResult {
	held := version.Get(b)
	if c.GetVersion() > held {
		held = c.GetVersion()
		version.Set(b, held)
		b.Set(documentKey, c.GetDocument())
	}
	return &pb.CommandResult{Result: &pb.CommandResult_Routing{Routing: &pb.RoutingResult{Version: held}}}
}

// found names the first members of the storage group, once.
func found(b kv.Batch, members []*pb.Replica) {
	placement := Placement(b)
	if len(placement.GetStorage()) > 0 {
		return
	}
	placement.Storage = members
	record.Set(b, placementKey, placement)
}

func retire(b kv.Batch, address string) {
	placement := Placement(b)
	if slices.Contains(placement.GetRetiring(), address) || slices.Contains(placement.GetRetired(), address) {
		return
	}
	placement.Retiring = append(placement.Retiring, address)
	record.Set(b, placementKey, placement)
}

func retired(b kv.Batch, address string) {
	placement := Placement(b)
	if !slices.Contains(placement.GetRetiring(), address) || slices.Contains(placement.GetRetired(), address) {
		return
	}
	placement.Retired = append(placement.Retired, address)
	record.Set(b, placementKey, placement)
}

// Routing returns the routing table in force; version zero means none.
func Routing(r kv.Reader) *pb.RoutingAnswer {
	document, _ := r.Get(documentKey)
	return &pb.RoutingAnswer{Version: version.Get(r), Document: document}
}

// Placement returns the placement of the storage group. A retired replica
// stays among the retiring ones, so that it never joins again.
func Placement(r kv.Reader) *pb.DeploymentRecord {
	placement := &pb.DeploymentRecord{}
	record.Get(r, placementKey, placement)
	return placement
}
