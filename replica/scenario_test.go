package replica

import (
	"fmt"
	"testing"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
	"pgregory.net/rapid"
)

const scenarioSeeds = 4

// runScenario runs a scenario with several seeds. It then heals all faults and
// checks that the group recovers and that no acknowledged write was lost.
func runScenario(t *testing.T, run func(cl *cluster)) {
	t.Helper()
	for seed := uint64(1); seed <= scenarioSeeds; seed++ {
		cl := newCluster(seed)
		if !cl.runUntil(10_000, func() bool { return cl.leader() != nil && cl.checker.acknowledged > 3 }) {
			t.Fatalf("seed %d: new group has no leader or fewer than 4 acknowledged writes after 10 s", seed)
		}
		run(cl)
		if cl.checker.err == nil {
			cl.healAndCheck()
		}
		if cl.checker.err != nil {
			t.Fatalf("seed %d: %v\nreplay: go test -run '%s$' ./replica", seed, cl.checker.err, t.Name())
		}
	}
}

// expectRepair waits until the leader reports that a lost replica was replaced.
func (cl *cluster) expectRepair() {
	done := cl.runUntil(20_000, func() bool {
		leader := cl.leader()
		return leader != nil && leader.core.Status().Membership.GetRepair().GetPhase() == pb.RepairPhase_REPAIR_DONE
	})
	if !done {
		cl.checker.fail("the lost replica was not replaced within 20 s:%s", cl.describe())
	}
}

// expectProgress checks that a write succeeds while the faults persist.
func (cl *cluster) expectProgress() {
	before := cl.checker.acknowledged
	if !cl.runUntil(20_000, func() bool { return cl.checker.acknowledged > before }) {
		cl.checker.fail("no write succeeded within 20 s:%s", cl.describe())
	}
}

func (cl *cluster) crashAndWipe(n *simNode) {
	n.crash()
	n.wipe()
}

// runningFollower returns a running member that is not the leader.
func (cl *cluster) runningFollower() *simNode {
	for _, r := range cl.leader().core.Status().Membership.Replicas {
		if n := cl.node(r.Id); n.up && n != cl.leader() {
			return n
		}
	}
	return nil
}

func TestLeaderCrashAfterAcknowledgement(t *testing.T) {
	runScenario(t, func(cl *cluster) {
		for range 5 {
			before := cl.checker.acknowledged
			cl.runUntil(20_000, func() bool { return cl.checker.acknowledged > before && cl.leader() != nil })
			cl.crashFor(cl.leader(), 400)
		}
	})
}

func TestLeaderPartitionedThenHealed(t *testing.T) {
	runScenario(t, func(cl *cluster) {
		old := cl.leader()
		cl.isolate(old.id, true, true)
		cl.runFor(200)
		cl.expectProgress()
		cl.runFor(30_000)
		if old.core.Status().Leading {
			cl.checker.fail("the partitioned replica still considers itself leader")
		}
	})
}

func TestSecondLossRightAfterRepair(t *testing.T) {
	runScenario(t, func(cl *cluster) {
		cl.crashAndWipe(cl.leader())
		cl.runUntil(10_000, func() bool { return cl.leader() != nil })
		cl.expectRepair()
		if cl.checker.err != nil {
			return
		}
		if cl.withProbability(50) {
			cl.crashAndWipe(cl.leader())
		} else {
			cl.crashAndWipe(cl.runningFollower())
		}
		cl.expectProgress()
	})
}

func TestWholeDataCentreLost(t *testing.T) {
	runScenario(t, func(cl *cluster) {
		name := cl.leader().dataCentre
		for _, n := range cl.nodes {
			if n.dataCentre == name {
				n.crash()
			}
		}
		cl.expectProgress()
	})
}

func TestRestartAfterManyChanges(t *testing.T) {
	runScenario(t, func(cl *cluster) {
		if !cl.runUntil(120_000, func() bool { return cl.checker.acknowledged >= 500 }) {
			cl.checker.fail("fewer than 500 writes were acknowledged within 120 s")
		}
		for _, n := range cl.nodes {
			n.crash()
		}
		for _, n := range cl.nodes {
			n.start()
		}
		cl.expectProgress()
	})
}

func TestEmptiedDiskNeverVotesWithOldIdentity(t *testing.T) {
	runScenario(t, func(cl *cluster) {
		victim := cl.runningFollower()
		old := victim.identity
		cl.crashAndWipe(victim)
		victim.start()
		cl.crashFor(cl.leader(), 100)
		cl.runFor(50)
		request := &pb.QuorumMessage{
			Kind: pb.QuorumKind_QUORUM_VOTE, Group: 7, From: "a", To: victim.id, FromIdentity: cl.node("a").identity,
			ToIdentity: old, Term: 1000, LogTerm: 1000, LogIndex: 1000, Transfer: true,
		}
		victim.step(quorum.MessageReceived{Message: request})
		if victim.core.Status().Term == 1000 {
			cl.checker.fail("an emptied replica accepted a vote request for its old identity")
		}
		cl.expectRepair()
	})
}

// TestAnyFaultsInAnyOrder runs random sequences of faults; rapid shrinks those
// that fail.
func TestAnyFaultsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(rapid.Uint64().Draw(t, "seed"))
		cl.runFor(1000)
		steps := rapid.SliceOfN(rapid.IntRange(0, len(simFaults)-1), 1, 12).Draw(t, "faults")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 1500), len(steps), len(steps)).Draw(t, "pauses")
		var names []string
		for i, fault := range steps {
			names = append(names, fmt.Sprintf("%s, then %d ms", simFaults[fault].name, pauses[i]))
			simFaults[fault].run(cl)
			cl.runFor(pauses[i])
		}
		if cl.checker.err == nil {
			cl.healAndCheck()
		}
		if cl.checker.err != nil {
			t.Fatalf("%v after %q", cl.checker.err, names)
		}
	})
}
