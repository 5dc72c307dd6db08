package replica

import (
	"fmt"
	"testing"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
	"pgregory.net/rapid"
)

const scenarioSeeds = 4

// runScenario runs a script with several seeds, then checks that everything
// heals and that nothing acknowledged was lost.
func runScenario(t *testing.T, run func(w *cluster)) {
	t.Helper()
	for seed := uint64(1); seed <= scenarioSeeds; seed++ {
		w := newCluster(seed)
		if !w.runUntil(10_000, func() bool { return w.leader() != nil && w.checker.acknowledged > 3 }) {
			t.Fatalf("seed %d: no write succeeds in a new group", seed)
		}
		run(w)
		if w.checker.err == nil {
			w.healAndCheck()
		}
		if w.checker.err != nil {
			t.Fatalf("seed %d: %v\nreplay: go test -run '%s$' ./replica", seed, w.checker.err, t.Name())
		}
	}
}

// expectRepair waits until the group reports a repair as done.
func (w *cluster) expectRepair() {
	done := w.runUntil(20_000, func() bool {
		leader := w.leader()
		return leader != nil && leader.core.Status().Membership.GetRepair().GetPhase() == pb.RepairPhase_REPAIR_DONE
	})
	if !done {
		w.checker.fail("the repair does not end:%s", w.describe())
	}
}

// expectProgress checks that a write succeeds without any healing.
func (w *cluster) expectProgress() {
	before := w.checker.acknowledged
	if !w.runUntil(20_000, func() bool { return w.checker.acknowledged > before }) {
		w.checker.fail("no write succeeds:%s", w.describe())
	}
}

func (w *cluster) crashAndWipe(n *simNode) {
	n.crash()
	n.wipe()
}

// runningFollower returns a running voter that does not lead.
func (w *cluster) runningFollower() *simNode {
	for _, r := range w.leader().core.Status().Membership.Replicas {
		if n := w.node(r.Id); n.up && n != w.leader() {
			return n
		}
	}
	return nil
}

func TestLeaderCrashAfterAcknowledgement(t *testing.T) {
	runScenario(t, func(w *cluster) {
		for range 5 {
			before := w.checker.acknowledged
			w.runUntil(20_000, func() bool { return w.checker.acknowledged > before && w.leader() != nil })
			w.crashFor(w.leader(), 400)
		}
	})
}

func TestLeaderPartitionedThenHealed(t *testing.T) {
	runScenario(t, func(w *cluster) {
		old := w.leader()
		w.isolate(old.id, true, true)
		w.runFor(200)
		w.expectProgress()
		w.runFor(30_000)
		if old.core.Status().Leading {
			w.checker.fail("the cut-off leader still leads")
		}
	})
}

func TestSecondLossRightAfterRepair(t *testing.T) {
	runScenario(t, func(w *cluster) {
		w.crashAndWipe(w.leader())
		w.runUntil(10_000, func() bool { return w.leader() != nil })
		w.expectRepair()
		if w.checker.err != nil {
			return
		}
		if w.percent(50) {
			w.crashAndWipe(w.leader())
		} else {
			w.crashAndWipe(w.runningFollower())
		}
		w.expectProgress()
	})
}

func TestWholeDataCentreLost(t *testing.T) {
	runScenario(t, func(w *cluster) {
		name := w.leader().dataCentre
		for _, n := range w.nodes {
			if n.dataCentre == name {
				n.crash()
			}
		}
		w.expectProgress()
	})
}

func TestRestartAfterManyChanges(t *testing.T) {
	runScenario(t, func(w *cluster) {
		if !w.runUntil(120_000, func() bool { return w.checker.acknowledged >= 500 }) {
			w.checker.fail("500 writes take too long")
		}
		for _, n := range w.nodes {
			n.crash()
		}
		for _, n := range w.nodes {
			n.start()
		}
		w.expectProgress()
	})
}

func TestEmptiedDiskNeverVotesWithOldIdentity(t *testing.T) {
	runScenario(t, func(w *cluster) {
		victim := w.runningFollower()
		old := victim.identity
		w.crashAndWipe(victim)
		victim.start()
		w.crashFor(w.leader(), 100)
		w.runFor(50)
		request := &pb.QuorumMessage{
			Kind: pb.QuorumKind_QUORUM_VOTE, Group: 7, From: "a", To: victim.id, FromIdentity: w.node("a").identity,
			ToIdentity: old, Term: 1000, LogTerm: 1000, LogIndex: 1000, Transfer: true,
		}
		victim.step(quorum.MessageReceived{Message: request})
		if victim.core.Status().Term == 1000 {
			w.checker.fail("an emptied replica took part in an election as the old one")
		}
		w.expectRepair()
	})
}

// TestAnyFaultsInAnyOrder lets rapid choose and shrink the order of faults.
func TestAnyFaultsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster(rapid.Uint64().Draw(t, "seed"))
		w.runFor(1000)
		steps := rapid.SliceOfN(rapid.IntRange(0, len(simFaults)-1), 1, 12).Draw(t, "faults")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 1500), len(steps), len(steps)).Draw(t, "pauses")
		var names []string
		for i, fault := range steps {
			names = append(names, fmt.Sprintf("%s, then %d ms", simFaults[fault].name, pauses[i]))
			simFaults[fault].run(w)
			w.runFor(pauses[i])
		}
		if w.checker.err == nil {
			w.healAndCheck()
		}
		if w.checker.err != nil {
			t.Fatalf("%v after %q", w.checker.err, names)
		}
	})
}
