package controlnode

import (
	"context"
	"slices"
	"time"

	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
)

const (
	// foundingPatience is the time for which a leader waits for more storage
	// daemons than have announced themselves, before it founds a smaller group.
	foundingPatience = 4 * time.Second
	proposeTimeout   = time.Second
)

// runDuties keeps the membership of the control group, and founds the storage
// group, while this replica leads.
func (n *Node) runDuties() {
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	var firstSeen time.Time
	members := ""
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
		members = node.LogMembers(n.logger, "control", n.replica.Status(), members)
		n.expireUpstreams()
		n.saveUpstreams()
		_, _, leading := n.replica.Leader()
		if !leading {
			firstSeen = time.Time{}
			continue
		}
		n.replica.SetSpares(node.ReplicasFromDaemons(n.attached(node.RoleControl)))
		stores := n.attached(node.RoleStore)
		if firstSeen.IsZero() && len(stores) > 0 {
			firstSeen = time.Now()
		}
		if len(stores) > 0 {
			n.foundStorage(stores, time.Since(firstSeen) > foundingPatience)
		}
	}
}

func (n *Node) expireUpstreams() {
	n.upstreamLock.Lock()
	defer n.upstreamLock.Unlock()
	n.upstreams.Expire(time.Now())
}

func (n *Node) attached(role string) []*pb.Daemon {
	daemons, _ := n.watchers.list()
	return slices.DeleteFunc(daemons, func(d *pb.Daemon) bool { return d.GetRole() != role })
}

// foundStorage names the first members of the storage group.
func (n *Node) foundStorage(stores []*pb.Daemon, patienceOver bool) {
	if len(n.placement().GetStorage()) > 0 {
		return
	}
	size := n.settings.GroupSize()
	if len(stores) < size && !patienceOver {
		return
	}
	members := spreadMembers(stores, size)
	ctx, cancel := context.WithTimeout(n.ctx, proposeTimeout)
	defer cancel()
	command := &pb.Command{Op: &pb.Command_StorageFound{StorageFound: &pb.StorageFound{Members: members}}}
	if _, controlErr := n.replica.Propose(ctx, command); controlErr != nil {
		n.logger.Warn(eventlog.StorageFounded, "error", controlErr.GetReason())
	}
}

// spreadMembers picks members from as many data centres as possible.
func spreadMembers(stores []*pb.Daemon, size int) []*pb.Replica {
	used := make(map[string]int)
	var chosen []*pb.Daemon
	remaining := slices.Clone(stores)
	for len(chosen) < size && len(remaining) > 0 {
		best := 0
		for i, d := range remaining {
			if used[d.GetDataCentre()] < used[remaining[best].GetDataCentre()] {
				best = i
			}
		}
		chosen = append(chosen, remaining[best])
		used[remaining[best].GetDataCentre()]++
		remaining = slices.Delete(remaining, best, best+1)
	}
	return node.ReplicasFromDaemons(chosen)
}
