package node

import (
	"cmp"
	"slices"

	"github.com/briarcross/briarcross/pb"
)

// UniqueDaemons sorts daemons by their addresses and keeps the latest start at
// each.
func UniqueDaemons(daemons []*pb.Daemon) []*pb.Daemon {
	slices.SortFunc(daemons, func(a, b *pb.Daemon) int {
		return cmp.Or(cmp.Compare(a.GetAddress(), b.GetAddress()), cmp.Compare(b.GetIncarnation(), a.GetIncarnation()))
	})
	return slices.CompactFunc(daemons, func(a, b *pb.Daemon) bool { return a.GetAddress() == b.GetAddress() })
}

// ReplicasFromDaemons describes daemons as members of a group, in which they are named by
// their addresses.
func ReplicasFromDaemons(daemons []*pb.Daemon) []*pb.Replica {
	var replicas []*pb.Replica
	for _, d := range daemons {
		replicas = append(replicas, &pb.Replica{Id: d.GetAddress(), Address: d.GetAddress(), DataCentre: d.GetDataCentre()})
	}
	return replicas
}

// ReplicaAddress finds the address of a replica that is named by it.
func ReplicaAddress(id string) (string, bool) { return id, true }
