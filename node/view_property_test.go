package node

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/pb"
)

// heartbeatInterval is the interval of the heartbeats in the test below, silentAfter the
// age at which an upstream is silent.
const (
	heartbeatInterval = time.Second
	silentAfter       = MaxMissedHeartbeats * heartbeatInterval
)

// replicaOfTest is a control replica and what it has sent to each daemon.
type replicaOfTest struct {
	table  *fleet.Table
	silent []string
	sent   map[*View]uint64
}

func (r *replicaOfTest) updateTo(now time.Time, v *View) *pb.FleetUpdate {
	update := &pb.FleetUpdate{Silent: &pb.SilentUpstreams{Ids: r.silent}}
	for _, u := range r.table.ChangedSince(r.sent[v]) {
		update.Upstreams = append(update.Upstreams, EncodeHeartbeat(now, u))
	}
	r.sent[v] = r.table.LastChange()
	return update
}

// Upstreams follow each other at one address. Their heartbeats and deregistrations reach
// any control replica, late and in any order; replicas relay records and restart with
// saved ones; daemons hear of changes, from some replicas before others. Once the last
// upstream of the address is heard by all replicas, and they have exchanged what
// they know, each daemon uses it, and the others last or not at all.
func TestDaemonsAgreeOnTheUpstreamAtAReusedAddress(t *testing.T) {
	const upstreams, replicas, daemons = 4, 3, 2
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		startsKnown := rapid.Bool().Draw(t, "startsKnown")
		ids := rapid.Permutation([]string{"p", "q", "r", "s"}).Draw(t, "ids")
		at := now
		group := make([]*replicaOfTest, replicas)
		for i := range group {
			group[i] = &replicaOfTest{table: fleet.NewTable(heartbeatInterval), sent: make(map[*View]uint64)}
		}
		views := make([]*View, daemons)
		for i := range views {
			views[i] = NewView(time.Second)
		}
		sequences := make([]uint64, upstreams)
		heartbeat := func(upstream int) fleet.Upstream {
			u := fleet.Upstream{
				ID: ids[upstream], Sequence: sequences[upstream], Service: "s", Address: "10.0.0.1:80", Slots: 8,
				Phase: fleet.Ready, LastHeartbeat: at,
			}
			if startsKnown {
				u.StartUnixMs = uint64(upstream + 1)
			}
			return u
		}
		relay := func(from, to *replicaOfTest) {
			for _, u := range rapid.Permutation(from.table.All()).Draw(t, "records") {
				to.table.Apply(DecodeHeartbeat(at, EncodeHeartbeat(at, u)))
			}
		}
		maintain := func() {
			for _, r := range group {
				r.table.Expire(at)
				r.silent = r.table.MarkSilent(at.Add(-silentAfter))
			}
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "elapsedMs")) * time.Millisecond)
			maintain()
			replica := rapid.IntRange(0, replicas-1).Draw(t, "replica")
			upstream := rapid.IntRange(0, upstreams-1).Draw(t, "upstream")
			view := views[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			switch rapid.SampledFrom([]string{"heartbeat", "heartbeat", "deregister", "relay", "restart", "update", "update", "expire"}).Draw(t, "step") {
			case "heartbeat":
				sequences[upstream]++
				group[replica].table.Apply(heartbeat(upstream))
			case "deregister":
				if upstream != upstreams-1 {
					group[replica].table.Deregister(ids[upstream], at)
				}
			case "relay":
				relay(group[rapid.IntRange(0, replicas-1).Draw(t, "from")], group[replica])
			case "restart":
				restarted := &replicaOfTest{table: fleet.NewTable(heartbeatInterval), sent: make(map[*View]uint64)}
				for _, u := range rapid.Permutation(group[replica].table.All()).Draw(t, "saved") {
					restarted.table.Restore(DecodeHeartbeat(at.Add(-silentAfter), EncodeHeartbeat(at, u)))
				}
				group[replica] = restarted
				for _, v := range views {
					v.RemoveReplica(names[replica])
				}
			case "update":
				view.Merge(at, names[replica], group[replica].updateTo(at, view))
			case "expire":
				view.ExpireUpstreams(at)
			}
		}
		at = at.Add(max(heartbeatInterval, fleet.ClaimDelay(heartbeatInterval)))
		sequences[upstreams-1]++
		for _, r := range group {
			r.table.Apply(heartbeat(upstreams - 1))
		}
		for _, to := range group {
			for _, from := range group {
				relay(from, to)
			}
		}
		maintain()
		last := ids[upstreams-1]
		for i, v := range views {
			for j, r := range group {
				v.Merge(at, names[j], r.updateTo(at, v))
			}
			known := v.Upstreams()
			if !slices.ContainsFunc(known, func(u fleet.Upstream) bool { return u.ID == last }) {
				t.Fatalf("daemon %d does not know the last upstream", i)
			}
			for _, u := range known {
				if usable := u.Phase == fleet.Ready && !u.Silent; usable != (u.ID == last) {
					t.Fatalf("daemon %d has upstream %s in phase %d, silent %t; the last upstream of the address is %s", i, u.ID, u.Phase, u.Silent, last)
				}
			}
		}
	})
}
