package replica

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/briarcross/briarcross/pb"
	. "github.com/onsi/gomega"
)

func TestCutOffLeaderStopsAnswering(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	openThree(g, inMemory)
	defer g.closeAll()
	g.propose(claim("key", "old"))
	old := g.leader()
	g.partition(old.options.ID, true)
	g.propose(claim("key", "new"))

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, failed := old.Propose(ctx, claim("key", "lost"))
	expect.Expect(failed.GetCode()).To(BeElementOf(pb.ControlError_UNKNOWN, pb.ControlError_NOT_LEADER))
	expect.Expect(old.ReadBarrier(ctx).GetCode()).To(Equal(pb.ControlError_NOT_LEADER))

	g.partition(old.options.ID, false)
	g.confirm(old)
	expect.Expect(get(old, "key")).To(Equal("new"))
}

func TestCloseOfTheLeaderHandsOver(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	openThree(g, inMemory)
	defer g.closeAll()
	g.propose(claim("key", "1"))
	old := g.leader()
	term := old.currentStatus().Term
	g.close(old.options.ID)
	g.propose(claim("key", "2"))
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

func TestLostReplicaIsReplacedAndASecondLossLosesNothing(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	spares := bootstrap("d")
	for _, id := range []string{"a", "b", "c", "d"} {
		options := Options{ID: id, RepairAfter: 40 * testTick, Spares: spares, RetainLogBytes: 1}
		options.Join = id == "d"
		options.Bootstrap = bootstrap("a", "b", "c")
		g.open(options)
	}
	defer g.closeAll()
	for i := range 100 {
		g.propose(claim(string(rune('A'+i)), "value"))
	}
	lost := g.ids()[0]
	for _, id := range g.ids() {
		if id != "d" && id != g.leader().options.ID {
			lost = id
		}
	}
	g.close(lost)
	expect.Eventually(repairStatus(g), testTimeout, testTick).Should(Equal("done: d replaced " + lost))
	g.close(g.leader().options.ID)
	for i := range 100 {
		expect.Expect(g.propose(claim(string(rune('A'+i)), "again")).GetClaim().RequestId).To(Equal("value"))
	}
}

func TestEmptiedFolderJoinsAgainAsANewReplica(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	root := t.TempDir()
	open := func(id string) {
		g.open(Options{
			ID: id, Folder: filepath.Join(root, id),
			Bootstrap: bootstrap("a", "b", "c"), RepairAfter: 40 * testTick,
		})
	}
	open("a")
	open("b")
	open("c")
	defer g.closeAll()
	g.propose(claim("key", "value"))
	g.close("b")
	expect.Expect(os.RemoveAll(filepath.Join(root, "b"))).To(Succeed())
	open("b")
	expect.Eventually(repairStatus(g), testTimeout, testTick).Should(Equal("done: b replaced b"))
	g.confirm(g.replicas["b"])
	expect.Expect(get(g.replicas["b"], "key")).To(Equal("value"))
}
