package control

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/batch"
	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	replicalog "github.com/briarcross/briarcross/replica"
)

var (
	_ replicalog.StateMachine = (*State)(nil)
	_ BatchState              = (*batch.State)(nil)
)

// replica applies commands in order, like a replica of the log.
type replica struct {
	state *State
	store kv.Store
	index uint64
}

func newReplica() *replica {
	return &replica{state: NewState(nil), store: kv.NewMemoryStore()}
}

func (r *replica) apply(c *pb.Command) *pb.CommandResult {
	r.index++
	b := r.store.NewBatch()
	result := r.state.Apply(b, r.index, c)
	if err := r.store.Commit(b, true); err != nil {
		panic(err)
	}
	return result
}

// snapshot returns a replica that is restored from a copy of the store.
func (r *replica) snapshot() *replica {
	restored := newReplica()
	b := restored.store.NewBatch()
	r.store.Scan(nil, nil, func(key, value []byte) bool {
		b.Set(append([]byte(nil), key...), append([]byte(nil), value...))
		return true
	})
	if err := restored.store.Commit(b, true); err != nil {
		panic(err)
	}
	restored.index = r.index
	restored.state.Restore(restored.store)
	return restored
}

func putProfile(id string, unixMs, expected uint64, text string) *pb.Command {
	docs, err := config.Parse("test.yaml", []byte(text))
	if err != nil {
		panic(err)
	}
	return &pb.Command{UnixMs: unixMs, Op: &pb.Command_ConfigChange{ConfigChange: &pb.ConfigChange{
		ChangeId: id,
		Ops:      []*pb.ConfigOp{{Op: &pb.ConfigOp_Put{Put: docs[0]}, ExpectedRevision: expected}},
	}}}
}

const profileText = "kind: Profile\nname: p\nspec: {class: online}"

func TestChangeResentAfterSnapshotAndFailoverGetsFirstResult(t *testing.T) {
	g := NewWithT(t)
	leader := newReplica()
	change := putProfile("id", 1000, 0, profileText)
	first := leader.apply(change)
	successor := leader.snapshot()
	resent := putProfile("id", 900, 0, profileText)
	g.Expect(successor.apply(resent).String()).To(Equal(first.String()))
	query := &pb.Query{Query: &pb.Query_Config{Config: &pb.ConfigQuery{}}}
	configResult := successor.state.Query(successor.store, query).GetConfig()
	g.Expect(configResult.GetRevision()).To(BeEquivalentTo(1))
	g.Expect(successor.state.UpdateSince(successor.store, 0).GetDocuments()).To(HaveLen(1))
}

func TestLogTimeNeverDecreases(t *testing.T) {
	g := NewWithT(t)
	r := newReplica()
	r.apply(putProfile("a", 5000, 0, profileText))
	r.apply(putProfile("b", 10, 1, "kind: Profile\nname: p\nspec: {class: online, priority: 3}"))
	query := &pb.Query{Query: &pb.Query_History{History: &pb.ConfigHistoryQuery{}}}
	records := r.state.Query(r.store, query).GetHistory().GetRecords()
	g.Expect(records).To(HaveLen(2))
	g.Expect(records[0].GetUnixMs()).To(BeEquivalentTo(5000))
}

func TestUnknownCommandAndQueryGiveEmptyResults(t *testing.T) {
	g := NewWithT(t)
	r := newReplica()
	g.Expect(r.apply(&pb.Command{}).GetResult()).To(BeNil())
	g.Expect(r.state.Query(r.store, &pb.Query{}).GetResult()).To(BeNil())
}
