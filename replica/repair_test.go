package replica

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/briarcross/briarcross/pb"
	. "github.com/onsi/gomega"
)

func TestPartitionedLeaderRefusesRequests(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	openThreeReplicas(g, memoryFolder)
	defer g.closeAll()
	g.propose(claimCommand("key", "old"))
	old := g.leader()
	g.setPartitioned(old.options.ID, true)
	g.propose(claimCommand("key", "new"))

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, failed := old.Propose(ctx, claimCommand("key", "lost"))
	expect.Expect(failed.GetCode()).To(BeElementOf(pb.ControlError_UNKNOWN, pb.ControlError_NOT_LEADER))
	expect.Expect(old.ReadBarrier(ctx).GetCode()).To(Equal(pb.ControlError_NOT_LEADER))

	g.setPartitioned(old.options.ID, false)
	g.awaitReadBarrier(old)
	expect.Expect(readKey(old, "key")).To(Equal("new"))
}

func TestClosingLeaderTransfersLeadership(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	openThreeReplicas(g, memoryFolder)
	defer g.closeAll()
	g.propose(claimCommand("key", "1"))
	old := g.leader()
	term := old.currentStatus().Term
	g.closeReplica(old.options.ID)
	g.propose(claimCommand("key", "2"))
	expect.Expect(g.leader().currentStatus().Term).To(Equal(term + 1))
}

func repairStatus(g *group) func() string {
	return func() string {
		if r := g.leader(); r != nil {
			return r.Status().Repair
		}
		return ""
	}
}

func TestSecondLossAfterRepairLosesNoWrites(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	spares := replicaList("d")
	for _, id := range []string{"a", "b", "c", "d"} {
		options := Options{ID: id, RepairAfter: 40 * testTick, Spares: spares, RetainLogBytes: 1}
		options.Join = id == "d"
		options.Bootstrap = replicaList("a", "b", "c")
		g.openReplica(options)
	}
	defer g.closeAll()
	for i := range 100 {
		g.propose(claimCommand(string(rune('A'+i)), "value"))
	}
	lost := g.ids()[0]
	for _, id := range g.ids() {
		if id != "d" && id != g.leader().options.ID {
			lost = id
		}
	}
	g.closeReplica(lost)
	expect.Eventually(repairStatus(g), testTimeout, testTick).Should(Equal("done: d replaced " + lost))
	g.closeReplica(g.leader().options.ID)
	for i := range 100 {
		expect.Expect(g.propose(claimCommand(string(rune('A'+i)), "again")).GetClaim().RequestId).To(Equal("value"))
	}
}

func TestEmptiedFolderRejoinsWithNewIdentity(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	root := t.TempDir()
	open := func(id string) {
		g.openReplica(Options{
			ID: id, Folder: filepath.Join(root, id),
			Bootstrap: replicaList("a", "b", "c"), RepairAfter: 40 * testTick,
		})
	}
	open("a")
	open("b")
	open("c")
	defer g.closeAll()
	g.propose(claimCommand("key", "value"))
	g.closeReplica("b")
	expect.Expect(os.RemoveAll(filepath.Join(root, "b"))).To(Succeed())
	open("b")
	expect.Eventually(repairStatus(g), testTimeout, testTick).Should(Equal("done: b replaced b"))
	g.awaitReadBarrier(g.replicas["b"])
	expect.Expect(readKey(g.replicas["b"], "key")).To(Equal("value"))
}
