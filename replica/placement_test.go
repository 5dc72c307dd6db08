package replica

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/briarcross/briarcross/pb"
	. "github.com/onsi/gomega"
)

// voterIDs lists the IDs of the voters that the leader knows of. It returns nil
// while the group has a learner or no leader.
func voterIDs(g *group) func() []string {
	return func() []string {
		leader := g.leader()
		if leader == nil {
			return nil
		}
		var ids []string
		for _, r := range leader.currentStatus().Membership.GetReplicas() {
			if r.GetLearner() {
				return nil
			}
			ids = append(ids, r.GetId())
		}
		slices.Sort(ids)
		return ids
	}
}

// setSpares sets the spares of all replicas.
func setSpares(g *group, ids ...string) {
	for _, id := range g.ids() {
		g.replicas[id].SetSpares(replicaList(ids...))
	}
}

func TestGroupGrowsToTargetVotersWithSparesSetLater(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	for _, id := range []string{"a", "b", "c"} {
		g.openReplica(Options{ID: id, Bootstrap: replicaList("a", "b", "c"), TargetVoters: 5, RepairAfter: time.Hour})
	}
	defer g.closeAll()
	g.propose(claimCommand("key", "value"))
	for _, id := range []string{"d", "e"} {
		g.openReplica(Options{ID: id, Join: true, TargetVoters: 5, RepairAfter: time.Hour})
	}
	setSpares(g, "a", "b", "c", "d", "e")
	expect.Eventually(voterIDs(g), testTimeout, testTick).Should(Equal([]string{"a", "b", "c", "d", "e"}))
	g.awaitReadBarrier(g.replicas["e"])
	expect.Expect(readKey(g.replicas["e"], "key")).To(Equal("value"))
}

// A replica whose folder was emptied never votes with its old identity again, so
// it is replaced at once. RepairAfter, which distinguishes a lost replica from a
// slow one, need not pass.
func TestEmptiedVoterIsReplacedWithoutRepairDelay(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	root := t.TempDir()
	open := func(id string, join bool) {
		options := Options{ID: id, Folder: filepath.Join(root, id), Join: join, RepairAfter: time.Hour, UnstableInodes: true}
		if !join {
			options.Bootstrap = replicaList("a", "b", "c")
		}
		g.openReplica(options)
	}
	open("a", false)
	open("b", false)
	open("c", false)
	defer g.closeAll()
	g.propose(claimCommand("key", "value"))
	identity := func() uint64 {
		for _, r := range g.leader().currentStatus().Membership.GetReplicas() {
			if r.GetId() == "b" && !r.GetLearner() {
				return r.GetIdentity()
			}
		}
		return 0
	}
	before := identity()
	g.closeReplica("b")
	expect.Expect(os.RemoveAll(filepath.Join(root, "b"))).To(Succeed())
	open("b", true)
	expect.Eventually(func() bool {
		return g.leader() != nil && identity() != 0 && identity() != before
	}, testTimeout, testTick).Should(BeTrue())
	g.awaitReadBarrier(g.replicas["b"])
	expect.Expect(readKey(g.replicas["b"], "key")).To(Equal("value"))
}

func TestRetiringReplicaIsRemovedOnceSpareReplacesIt(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			expect := NewWithT(t)
			g := newGroup(t)
			for _, id := range []string{"a", "b", "c"} {
				g.openReplica(Options{ID: id, Bootstrap: replicaList("a", "b", "c"), RepairAfter: time.Hour})
			}
			defer g.closeAll()
			g.propose(claimCommand("key", "value"))
			leader := g.leader().options.ID
			retiring := leader
			if role == "follower" {
				retiring = map[string]string{"a": "b", "b": "c", "c": "a"}[leader]
			}
			g.openReplica(Options{ID: "d", Join: true, RepairAfter: time.Hour})
			for _, id := range g.ids() {
				g.replicas[id].SetRetiring([]string{retiring})
			}
			setSpares(g, "a", "b", "c", "d")
			expect.Eventually(voterIDs(g), testTimeout, testTick).Should(SatisfyAll(
				HaveLen(3), ContainElement("d"), Not(ContainElement(retiring))))
			// The data must remain available without the retired replica.
			g.closeReplica(retiring)
			g.awaitReadBarrier(g.replicas["d"])
			expect.Expect(readKey(g.replicas["d"], "key")).To(Equal("value"))
		})
	}
}

// The watermark file is not synced, so a power loss may tear it.
func TestTornWatermarkIsIgnored(t *testing.T) {
	expect := NewWithT(t)
	folder := createFolder(t)
	path := filepath.Join(folder, watermarkFileName)
	expect.Expect(os.WriteFile(path, []byte{0, 0, 0, 9}, fileMode)).To(Succeed())
	r, err := openSingleReplica(t, "a", folder)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(r.Close()).To(Succeed())
}

func TestFolderWithUnstableInodesIsAccepted(t *testing.T) {
	expect := NewWithT(t)
	folder := createFolder(t)
	moved := filepath.Join(t.TempDir(), "moved")
	expect.Expect(os.CopyFS(moved, os.DirFS(folder))).To(Succeed())
	r, err := Open(Options{
		ID: "a", Folder: moved, UnstableInodes: true, Bootstrap: replicaList("a"), TickInterval: testTick,
		StateMachine: claimStateMachine{}, Send: func(*pb.QuorumMessage) {},
		OnStorageError: func(err error) { t.Error(err) },
	})
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(r.Close()).To(Succeed())
}
