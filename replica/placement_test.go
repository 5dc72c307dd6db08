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

// voterIDs lists the voters as the leader has committed them; nil while the
// group changes or has no leader.
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

// nameSpares tells every replica of the replicas that may join.
func nameSpares(g *group, ids ...string) {
	for _, id := range g.ids() {
		g.replicas[id].SetSpares(bootstrap(ids...))
	}
}

func TestAGroupGrowsToItsSizeWithSparesNamedLater(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	for _, id := range []string{"a", "b", "c"} {
		g.open(Options{ID: id, Bootstrap: bootstrap("a", "b", "c"), TargetVoters: 5, RepairAfter: time.Hour})
	}
	defer g.closeAll()
	g.propose(claim("key", "value"))
	for _, id := range []string{"d", "e"} {
		g.open(Options{ID: id, Join: true, TargetVoters: 5, RepairAfter: time.Hour})
	}
	nameSpares(g, "a", "b", "c", "d", "e")
	expect.Eventually(voterIDs(g), testTimeout, testTick).Should(Equal([]string{"a", "b", "c", "d", "e"}))
	g.confirm(g.replicas["e"])
	expect.Expect(get(g.replicas["e"], "key")).To(Equal("value"))
}

// A folder that was emptied never votes as the old one again, so its replica
// is replaced without the silence that tells a lost replica from a slow one.
func TestAnEmptiedVoterJoinsAgainWithoutWaiting(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	root := t.TempDir()
	open := func(id string, join bool) {
		options := Options{ID: id, Folder: filepath.Join(root, id), Join: join, RepairAfter: time.Hour, UnstableInodes: true}
		if !join {
			options.Bootstrap = bootstrap("a", "b", "c")
		}
		g.open(options)
	}
	open("a", false)
	open("b", false)
	open("c", false)
	defer g.closeAll()
	g.propose(claim("key", "value"))
	identity := func() uint64 {
		for _, r := range g.leader().currentStatus().Membership.GetReplicas() {
			if r.GetId() == "b" && !r.GetLearner() {
				return r.GetIdentity()
			}
		}
		return 0
	}
	before := identity()
	g.close("b")
	expect.Expect(os.RemoveAll(filepath.Join(root, "b"))).To(Succeed())
	open("b", true)
	expect.Eventually(func() bool {
		return g.leader() != nil && identity() != 0 && identity() != before
	}, testTimeout, testTick).Should(BeTrue())
	g.confirm(g.replicas["b"])
	expect.Expect(get(g.replicas["b"], "key")).To(Equal("value"))
}

func TestARetiringReplicaLeavesOnceASpareHasItsPlace(t *testing.T) {
	for _, which := range []string{"leader", "follower"} {
		t.Run(which, func(t *testing.T) {
			expect := NewWithT(t)
			g := newGroup(t)
			for _, id := range []string{"a", "b", "c"} {
				g.open(Options{ID: id, Bootstrap: bootstrap("a", "b", "c"), RepairAfter: time.Hour})
			}
			defer g.closeAll()
			g.propose(claim("key", "value"))
			leader := g.leader().options.ID
			retiring := leader
			if which == "follower" {
				retiring = map[string]string{"a": "b", "b": "c", "c": "a"}[leader]
			}
			g.open(Options{ID: "d", Join: true, RepairAfter: time.Hour})
			for _, id := range g.ids() {
				g.replicas[id].SetRetiring([]string{retiring})
			}
			nameSpares(g, "a", "b", "c", "d")
			expect.Eventually(voterIDs(g), testTimeout, testTick).Should(SatisfyAll(
				HaveLen(3), ContainElement("d"), Not(ContainElement(retiring))))
			// What the retired replica held is held without it.
			g.close(retiring)
			g.confirm(g.replicas["d"])
			expect.Expect(get(g.replicas["d"], "key")).To(Equal("value"))
		})
	}
}

// The watermark is not synced, so a power loss may tear it.
func TestATornWatermarkDoesNotRefuseTheFolder(t *testing.T) {
	expect := NewWithT(t)
	folder := createFolder(t)
	path := filepath.Join(folder, watermarkFileName)
	expect.Expect(os.WriteFile(path, []byte{0, 0, 0, 9}, fileMode)).To(Succeed())
	r, err := openAlone(t, "a", folder)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(r.Close()).To(Succeed())
}

func TestARemountedFolderIsNotACopy(t *testing.T) {
	expect := NewWithT(t)
	folder := createFolder(t)
	moved := filepath.Join(t.TempDir(), "moved")
	expect.Expect(os.CopyFS(moved, os.DirFS(folder))).To(Succeed())
	r, err := Open(Options{
		ID: "a", Folder: moved, UnstableInodes: true, Bootstrap: bootstrap("a"), TickInterval: testTick,
		StateMachine: claimMachine{}, Send: func(*pb.QuorumMessage) {},
		OnStorageError: func(err error) { t.Error(err) },
	})
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(r.Close()).To(Succeed())
}
