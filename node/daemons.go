package node

import (
	"cmp"
	"slices"

	"github.com/briarcross/briarcross/pb"
)

// UniqueDaemons sorts daemons by address and keeps only the latest incarnation at
// each address.
func UniqueDaemons(daemons []*pb.Daemon) []*pb.Daemon {
	slices.SortFunc(daemons, func(a, b *pb.Daemon) int {
		return cmp.Or(cmp.Compare(a.GetAddress(), b.GetAddress()), cmp.Compare(b.GetIncarnation(), a.GetIncarnation()))
	})
	return slices.CompactFunc(daemons, func(a, b *pb.Daemon) bool { return a.GetAddress() == b.GetAddress() })
}

// ReplicasFromDaemons returns the replica records of daemons that are members of
// a replication group. The ID of a replica is the address of its daemon.
func ReplicasFromDaemons(daemons []*pb.Daemon) []*pb.Replica {
	var replicas []*pb.Replica
	for _, d := range daemons {
		replicas = append(replicas, &pb.Replica{Id: d.GetAddress(), Address: d.GetAddress(), DataCentre: d.GetDataCentre()})
	}
	return replicas
}

// ReplicaAddress returns the address of a replica from its ID, which is the
// address itself.
func ReplicaAddress(id string) (string, bool) { return id, true }
