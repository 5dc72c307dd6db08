package replica

import (
	"testing"

	"github.com/briarcross/briarcross/quorum"
)

const (
	// productTickMs is the length of a tick in the product, in milliseconds. The timeouts below are
	// those of the product, in virtual milliseconds of the simulation.
	productTickMs = int(DefaultTickInterval / 1_000_000)
	// powerLossRepairTicks is RepairAfter with the default settings, 2.025 s.
	powerLossRepairTicks = 2025 / productTickMs
	// powerLossStartDelay bounds the delay between the starts of replicas, 1 s.
	powerLossStartDelay = 1000 * simTick / productTickMs
	// powerLossBound is the time after the last start within which a command must have been
	// acknowledged and all replicas must vote: the 4.5 s in which the product must have replaced a
	// replica.
	powerLossBound = 4500 * simTick / productTickMs
	powerLossSeeds = 20
	// powerLossRounds is the number of losses of power with a wiped disk for each seed.
	powerLossRounds = 4
)

// crashAllAndRestart crashes all members at once, wipes the disk of one unless it is nil, and starts
// them in random order with random delays.
func (cl *cluster) crashAllAndRestart(members []*simNode, wiped *simNode) {
	for _, n := range members {
		n.crash()
	}
	if wiped != nil {
		wiped.wipe()
	}
	for _, i := range cl.rand.Perm(len(members)) {
		cl.runFor(cl.rand.IntN(powerLossStartDelay))
		members[i].start()
	}
}

// allVote reports whether the leader hears all members, and each votes with the identity of its
// present disk.
func (cl *cluster) allVote(members []*simNode) bool {
	leader := cl.leader()
	if leader == nil {
		return false
	}
	status := leader.core.Status()
	active := map[string]bool{leader.id: true}
	for _, peer := range status.Peers {
		active[peer.ID] = peer.Active
	}
	voters := 0
	for _, r := range status.Membership.GetReplicas() {
		if n := cl.node(r.GetId()); !r.GetLearner() && active[n.id] && r.GetIdentity() == n.identity {
			voters++
		}
	}
	return voters == len(members)
}

// expectRecovery checks that the group recovers after a start within powerLossBound. It returns how
// long a command and the replacement of the wiped replica took.
func (cl *cluster) expectRecovery(members []*simNode) (committed, whole int) {
	startedAt, before := cl.now, cl.checker.acknowledged
	if !cl.runUntil(powerLossBound, func() bool { return cl.checker.acknowledged > before }) {
		cl.checker.fail("no write was acknowledged within %d ticks of the start:%s", powerLossBound/simTick, cl.describe())
	}
	committed = int(cl.now - startedAt)
	if !cl.runUntil(powerLossBound-committed, func() bool { return cl.allVote(members) }) {
		cl.checker.fail("not all replicas vote within %d ticks of the start:%s", powerLossBound/simTick, cl.describe())
	}
	return committed, int(cl.now - startedAt)
}

// All machines lost power, one of three storage replicas came back with an empty disk, and no batch
// item was placed for 33 s. The same group must recover from this again and again, also if the power
// goes off once more while the emptied replica is being replaced. No acknowledged write may be lost.
func TestGroupRecoversInTimeFromPowerLossWithAnEmptiedDisk(t *testing.T) {
	first, count := uint64(1), uint64(powerLossSeeds)
	if soakFirst, soakCount := soakSeeds(t); soakCount != defaultSoakSeeds {
		first, count = soakFirst, soakCount
	}
	slowestCommit, slowestWhole, wipedLeaders, interrupted := 0, 0, 0, 0
	for seed := first; seed < first+count; seed++ {
		cl := newCluster(seed)
		cl.repairTicks = uint64(powerLossRepairTicks)
		members := cl.nodes[:3]
		for _, n := range cl.nodes {
			n.crash()
			n.wipe()
		}
		for _, n := range members {
			n.start()
		}
		cl.expectRecovery(members)
		for round := 0; round < powerLossRounds && cl.checker.err == nil; round++ {
			cl.runFor(cl.rand.IntN(2 * quorum.DefaultElectionTicks * simTick))
			wiped := members[cl.rand.IntN(len(members))]
			if wiped == cl.leader() {
				wipedLeaders++
			}
			cl.crashAllAndRestart(members, wiped)
			if cl.withProbability(30) {
				interrupted++
				cl.runFor(cl.rand.IntN(powerLossBound))
				cl.crashAllAndRestart(members, nil)
			}
			committed, whole := cl.expectRecovery(members)
			slowestCommit, slowestWhole = max(slowestCommit, committed), max(slowestWhole, whole)
		}
		if cl.checker.err == nil {
			cl.healAndCheck()
		}
		if cl.checker.err != nil {
			t.Fatalf("seed %d: %v\nreplay: BRIARCROSS_SOAK_SEED=%d go test -run '%s$' ./replica", seed, cl.checker.err, seed, t.Name())
		}
	}
	t.Logf("%d seeds, %d wiped leaders, %d repairs interrupted: slowest commit after %d ticks, slowest return to three voters after %d ticks",
		count, wipedLeaders, interrupted, slowestCommit/simTick, slowestWhole/simTick)
}
