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

const (
	// bootstrapTimeout is how long a leader waits, after the first storage daemon
	// has subscribed, for as many as a full group needs; after that it bootstraps
	// a smaller group.
	bootstrapTimeout = 4 * time.Second
	proposeTimeout   = time.Second
)

// runMaintenance expires and saves upstreams. While this replica leads, it also
// updates the spares of the control group and bootstraps the storage group.
func (n *Node) runMaintenance() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	var firstStoreAt time.Time
	members := ""
	var leaders node.LeaderWatch
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
		members = node.LogMembers(n.logger, "control", n.replica.Status(), members)
		n.updateServices()
		n.expireUpstreams()
		n.saveUpstreams()
		leader, _, leading := n.replica.Leader()
		leaders.Observe(n.logger, "control", leader != "", time.Now())
		if !leading {
			firstStoreAt = time.Time{}
			continue
		}
		n.replica.SetSpares(node.ReplicasFromDaemons(n.daemonsOf(node.RoleControl)))
		storeDaemons := n.daemonsOf(node.RoleStore)
		if firstStoreAt.IsZero() && len(storeDaemons) > 0 {
			firstStoreAt = time.Now()
		}
		if len(storeDaemons) > 0 {
			n.bootstrapStorage(storeDaemons, time.Since(firstStoreAt) > bootstrapTimeout)
		}
	}
}

// expireUpstreams removes the upstreams that left or fell silent long ago, and lists
// those that have missed several heartbeats or lost their address.
func (n *Node) expireUpstreams() {
	now := n.now()
	n.upstreamLock.Lock()
	for _, id := range n.upstreams.Expire(now) {
		delete(n.relayed, id)
	}
	silent := n.upstreams.MarkSilent(now.Add(-node.MaxMissedHeartbeats * n.settings.HeartbeatInterval))
	changed := !slices.Equal(silent, n.silent)
	var lines []silentUpstream
	for _, id := range silent {
		if _, listed := slices.BinarySearch(n.silent, id); !listed {
			lines = append(lines, n.describeSilent(id))
		}
	}
	n.silent = silent
	n.upstreamLock.Unlock()
	for _, line := range lines {
		n.logger.Info(eventlog.UpstreamSilent, "upstream", line.ID, "address", line.Address, "replaced_by", line.replacedBy,
			"heard_ms", now.Sub(line.LastHeartbeat).Milliseconds())
	}
	if changed {
		n.subscribers.notify()
	}
}

// silentUpstream is a silent upstream and the ID of the other one that has its
// address, if any.
type silentUpstream struct {
	fleet.Upstream
	replacedBy string
}

// describeSilent returns what is logged of a silent upstream. The caller must hold
// upstreamLock.
func (n *Node) describeSilent(id string) silentUpstream {
	u, _ := n.upstreams.Get(id)
	described := silentUpstream{Upstream: u}
	if holder, ok := n.upstreams.Holder(u.Address); ok && holder.ID != id {
		described.replacedBy = holder.ID
	}
	return described
}

// bootstrapStorage proposes the initial members of the storage group, if it has
// none. It waits for a full group unless timedOut is set.
func (n *Node) bootstrapStorage(storeDaemons []*pb.Daemon, timedOut bool) {
	if len(n.placement().GetStorage()) > 0 {
		return
	}
	size := n.settings.GroupSize()
	if len(storeDaemons) < size && !timedOut {
		return
	}
	members := spreadMembers(storeDaemons, size)
	ctx, cancel := context.WithTimeout(n.ctx, proposeTimeout)
	defer cancel()
	command := &pb.Command{Op: &pb.Command_StorageFound{StorageFound: &pb.StorageFound{Members: members}}}
	if _, controlErr := n.replica.Propose(ctx, command); controlErr != nil {
		n.logger.Warn(eventlog.StorageFounded, "error", controlErr.GetReason())
	}
}

// spreadMembers picks up to size members from as many data centres as possible.
func spreadMembers(daemons []*pb.Daemon, size int) []*pb.Replica {
	perDataCentre := make(map[string]int)
	var chosen []*pb.Daemon
	remaining := slices.Clone(daemons)
	for len(chosen) < size && len(remaining) > 0 {
		next := 0
		for i, d := range remaining {
			if perDataCentre[d.GetDataCentre()] < perDataCentre[remaining[next].GetDataCentre()] {
				next = i
			}
		}
		chosen = append(chosen, remaining[next])
		perDataCentre[remaining[next].GetDataCentre()]++
		remaining = slices.Delete(remaining, next, next+1)
	}
	return node.ReplicasFromDaemons(chosen)
}
