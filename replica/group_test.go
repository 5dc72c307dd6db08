package replica

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	. "github.com/onsi/gomega"
)

const (
	testTick    = 5 * time.Millisecond
	testTimeout = 20 * time.Second
)

// claimStateMachine stores the request ID of the latest claim of each key, and
// returns the previous one.
type claimStateMachine struct{}

func (claimStateMachine) Apply(batch kv.Batch, index uint64, command *pb.Command) *pb.CommandResult {
	open := command.GetClaimOpen()
	previous, _ := batch.Get([]byte(open.Key))
	batch.Set([]byte(open.Key), []byte(open.RequestId))
	return &pb.CommandResult{Result: &pb.CommandResult_Claim{Claim: &pb.ClaimResult{
		State:     pb.ClaimState_CLAIM_GRANTED,
		RequestId: string(previous),
	}}}
}

func (claimStateMachine) Restore(kv.Reader) {}

func claimCommand(key, requestID string) *pb.Command {
	return &pb.Command{Op: &pb.Command_ClaimOpen{ClaimOpen: &pb.ClaimOpen{Key: key, RequestId: requestID}}}
}

// group is a set of replicas in one process.
type group struct {
	t           testing.TB
	lock        sync.Mutex
	replicas    map[string]*Replica
	partitioned map[string]bool
	// dropsAppendReplies drops the acknowledgements of log entries.
	dropsAppendReplies bool
}

func newGroup(t testing.TB) *group {
	return &group{t: t, replicas: make(map[string]*Replica), partitioned: make(map[string]bool)}
}

func (g *group) send(m *pb.QuorumMessage) {
	g.lock.Lock()
	target := g.replicas[m.To]
	blocked := g.partitioned[m.To] || g.partitioned[m.From] || g.dropsAppendReplies && m.Kind == pb.QuorumKind_QUORUM_APPEND_REPLY
	g.lock.Unlock()
	if target != nil && !blocked {
		target.Receive(m)
	}
}

func (g *group) openReplica(options Options) *Replica {
	g.t.Helper()
	options.Send = g.send
	options.TickInterval = testTick
	options.StateMachine = claimStateMachine{}
	options.OnStorageError = func(err error) { g.t.Errorf("replica %s failed: %v", options.ID, err) }
	r, err := Open(options)
	if err != nil {
		g.t.Fatalf("open replica %s: %v", options.ID, err)
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	g.replicas[options.ID] = r
	return r
}

func (g *group) closeReplica(id string) {
	g.t.Helper()
	g.lock.Lock()
	r := g.replicas[id]
	g.lock.Unlock()
	if err := r.Close(); err != nil {
		g.t.Errorf("close replica %s: %v", id, err)
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	delete(g.replicas, id)
}

func (g *group) closeAll() {
	for _, id := range g.ids() {
		g.closeReplica(id)
	}
}

func (g *group) ids() []string {
	g.lock.Lock()
	defer g.lock.Unlock()
	var ids []string
	for id := range g.replicas {
		ids = append(ids, id)
	}
	return ids
}

func (g *group) setPartitioned(id string, partitioned bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.partitioned[id] = partitioned
}

func (g *group) setDropsAppendReplies(drops bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.dropsAppendReplies = drops
}

func (g *group) leader() *Replica {
	g.lock.Lock()
	defer g.lock.Unlock()
	for id, r := range g.replicas {
		if _, _, self := r.Leader(); self && !g.partitioned[id] {
			return r
		}
	}
	return nil
}

// propose retries a command on the current leader until it is applied.
func (g *group) propose(command *pb.Command) *pb.CommandResult {
	g.t.Helper()
	var result *pb.CommandResult
	NewWithT(g.t).Eventually(func() string {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		r := g.leader()
		if r == nil {
			return "no leader"
		}
		var err *pb.ControlError
		result, err = r.Propose(ctx, command)
		return err.GetReason()
	}, testTimeout, testTick).Should(BeEmpty())
	return result
}

// awaitReadBarrier retries ReadBarrier until it succeeds.
func (g *group) awaitReadBarrier(r *Replica) {
	g.t.Helper()
	NewWithT(g.t).Eventually(func() string {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		return r.ReadBarrier(ctx).GetReason()
	}, testTimeout, testTick).Should(BeEmpty())
}

func readKey(r *Replica, key string) string {
	var value []byte
	r.View(func(reader kv.Reader) { value, _ = reader.Get([]byte(key)) })
	return string(value)
}

func replicaList(ids ...string) []*pb.Replica {
	var members []*pb.Replica
	for _, id := range ids {
		members = append(members, &pb.Replica{Id: id, Address: id + ":1", DataCentre: "dc-" + id})
	}
	return members
}

func openThreeReplicas(g *group, folder func(id string) string) {
	for _, id := range []string{"a", "b", "c"} {
		g.openReplica(Options{ID: id, Folder: folder(id), Bootstrap: replicaList("a", "b", "c")})
	}
}

func memoryFolder(string) string { return "" }

func TestGroupAgreesOnCommandsAndReads(t *testing.T) {
	g := newGroup(t)
	openThreeReplicas(g, memoryFolder)
	defer g.closeAll()
	for i := range 50 {
		g.propose(claimCommand(fmt.Sprint(i), fmt.Sprint("v", i)))
	}
	for _, r := range g.replicas {
		g.awaitReadBarrier(r)
		for i := range 50 {
			NewWithT(t).Expect(readKey(r, fmt.Sprint(i))).To(Equal(fmt.Sprint("v", i)))
		}
	}
}

func TestGroupRecoversFromDisk(t *testing.T) {
	g := newGroup(t)
	root := t.TempDir()
	folder := func(id string) string { return root + "/" + id }
	openThreeReplicas(g, folder)
	for i := range 500 {
		g.propose(claimCommand("key", fmt.Sprint(i)))
	}
	g.closeAll()
	openThreeReplicas(g, folder)
	defer g.closeAll()
	for _, r := range g.replicas {
		g.awaitReadBarrier(r)
		NewWithT(t).Expect(readKey(r, "key")).To(Equal("499"))
	}
}

// A job submitted while its group formed waited all of its time at an elected member
// whose first entry was not committed, and its outcome was unknown in the end.
func TestCommandBeforeFirstCommitOfLeaderIsRefusedAtOnce(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	g.setDropsAppendReplies(true)
	openThreeReplicas(g, memoryFolder)
	defer g.closeAll()
	var elected *Replica
	expect.Eventually(func() *Replica {
		elected = g.leader()
		return elected
	}, testTimeout, testTick).ShouldNot(BeNil())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := elected.Propose(ctx, claimCommand("key", "value"))
	expect.Expect(err.GetCode()).To(Equal(pb.ControlError_NOT_LEADER))
	expect.Expect(ctx.Err()).NotTo(HaveOccurred())

	g.setDropsAppendReplies(false)
	g.propose(claimCommand("key", "value"))
}
