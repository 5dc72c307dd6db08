package replica

import (
	"fmt"
	"testing"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
	"pgregory.net/rapid"
)

const scenarioSeeds = 4

// scenario runs a script with several seeds, then checks that everything
// heals and that nothing acknowledged was lost.
func scenario(t *testing.T, script func(w *world)) {
	t.Helper()
	for seed := uint64(1); seed <= scenarioSeeds; seed++ {
		w := newWorld(seed)
		if !w.runUntil(10_000, func() bool { return w.leader() != nil && w.check.acknowledged > 3 }) {
			t.Fatalf("seed %d: no write succeeds in a new group", seed)
		}
		script(w)
		if w.check.err == nil {
			w.settle()
		}
		if w.check.err != nil {
			t.Fatalf("seed %d: %v\nreplay: go test -run '%s$' ./replica", seed, w.check.err, t.Name())
		}
	}
}

// expectRepair waits until the group reports a repair as done.
func (w *world) expectRepair() {
	done := w.runUntil(20_000, func() bool {
		leader := w.leader()
		return leader != nil && leader.core.Status().Membership.GetRepair().GetPhase() == pb.RepairPhase_REPAIR_DONE
	})
	if !done {
		w.check.fail("the repair does not end:%s", w.describe())
	}
}

// expectProgress checks that a write succeeds without any healing.
func (w *world) expectProgress() {
	before := w.check.acknowledged
	if !w.runUntil(20_000, func() bool { return w.check.acknowledged > before }) {
		w.check.fail("no write succeeds:%s", w.describe())
	}
}

func (w *world) destroy(n *simNode) {
	n.crash()
	n.wipe()
}

// other returns a running voter that does not lead.
func (w *world) other() *simNode {
	for _, r := range w.leader().core.Status().Membership.Replicas {
		if n := w.node(r.Id); n.up && n != w.leader() {
			return n
		}
	}
	return nil
}

func TestLeaderCrashAfterAcknowledgement(t *testing.T) {
	scenario(t, func(w *world) {
		for range 5 {
			before := w.check.acknowledged
			w.runUntil(20_000, func() bool { return w.check.acknowledged > before && w.leader() != nil })
			w.crashFor(w.leader(), 400)
		}
	})
}

func TestLeaderPartitionedThenHealed(t *testing.T) {
	scenario(t, func(w *world) {
		old := w.leader()
		w.isolate(old.id, true, true)
		w.runFor(200)
		w.expectProgress()
		w.runFor(30_000)
		if old.core.Status().Leading {
			w.check.fail("the cut-off leader still leads")
		}
	})
}

func TestSecondLossRightAfterRepair(t *testing.T) {
	scenario(t, func(w *world) {
		w.destroy(w.leader())
		w.runUntil(10_000, func() bool { return w.leader() != nil })
		w.expectRepair()
		if w.check.err != nil {
			return
		}
		if w.percent(50) {
			w.destroy(w.leader())
		} else {
			w.destroy(w.other())
		}
		w.expectProgress()
	})
}

func TestWholeDataCentreLost(t *testing.T) {
	scenario(t, func(w *world) {
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
	scenario(t, func(w *world) {
		if !w.runUntil(120_000, func() bool { return w.check.acknowledged >= 500 }) {
			w.check.fail("500 writes take too long")
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
	scenario(t, func(w *world) {
		victim := w.other()
		old := victim.identity
		w.destroy(victim)
		victim.start()
		w.crashFor(w.leader(), 100)
		w.runFor(50)
		request := &pb.QuorumMessage{
			Kind: pb.QuorumKind_QUORUM_VOTE, Group: 7, From: "a", To: victim.id, FromIdentity: w.node("a").identity,
			ToIdentity: old, Term: 1000, LogTerm: 1000, LogIndex: 1000, Transfer: true,
		}
		victim.step(quorum.MessageReceived{Message: request})
		if victim.core.Status().Term == 1000 {
			w.check.fail("an emptied replica took part in an election as the old one")
		}
		w.expectRepair()
	})
}

// TestAnyFaultsInAnyOrder lets rapid choose and shrink the order of faults.
func TestAnyFaultsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.runFor(1000)
		steps := rapid.SliceOfN(rapid.IntRange(0, len(simFaults)-1), 1, 12).Draw(t, "faults")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 1500), len(steps), len(steps)).Draw(t, "pauses")
		var names []string
		for i, fault := range steps {
			names = append(names, fmt.Sprintf("%s, then %d ms", simFaults[fault].name, pauses[i]))
			simFaults[fault].run(w)
			w.runFor(pauses[i])
		}
		if w.check.err == nil {
			w.settle()
		}
		if w.check.err != nil {
			t.Fatalf("%v after %q", w.check.err, names)
		}
	})
}
