package config

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// testState is a State with an in-memory store and a log time.
type testState struct {
	state State
	store kv.Store
	now   uint64
}

func newTestState() *testState {
	return &testState{store: kv.NewMemoryStore(), now: 1_700_000_000_000}
}

func (s *testState) change(c *pb.ConfigChange) *pb.ChangeResult {
	b := s.store.NewBatch()
	result := s.state.ApplyChange(b, c, s.now)
	if err := s.store.Commit(b, true); err != nil {
		panic(err)
	}
	return result
}

func putOp(expected uint64, doc *pb.Document) *pb.ConfigOp {
	return &pb.ConfigOp{Op: &pb.ConfigOp_Put{Put: doc}, ExpectedRevision: expected}
}

func deleteOp(expected uint64, key string) *pb.ConfigOp {
	return &pb.ConfigOp{Op: &pb.ConfigOp_Delete{Delete: key}, ExpectedRevision: expected}
}

func newChange(id string, ops ...*pb.ConfigOp) *pb.ConfigChange {
	return &pb.ConfigChange{ChangeId: id, Operator: "test", Ops: ops}
}

// parseOne parses a YAML text with exactly one document.
func parseOne(text string) *pb.Document {
	docs, err := Parse("test.yaml", []byte(text))
	if err != nil || len(docs) != 1 {
		panic(fmt.Sprintf("parsed %d documents, want 1; error: %v", len(docs), err))
	}
	return docs[0]
}

func newProfile(name, class string, priority int) *pb.Document {
	return parseOne(fmt.Sprintf("kind: Profile\nname: %s\nspec: {class: %s, priority: %d}", name, class, priority))
}

func newService(name, online string) *pb.Document {
	return parseOne(fmt.Sprintf("kind: Service\nname: %s\nspec: {kind: plain, profile: %s}", name, online))
}

func haveOutcome(outcome pb.ChangeOutcome) OmegaMatcher {
	return WithTransform((*pb.ChangeResult).GetOutcome, Equal(outcome))
}

const (
	accepted   = pb.ChangeOutcome_CHANGE_ACCEPTED
	conflicted = pb.ChangeOutcome_CHANGE_CONFLICT
	invalid    = pb.ChangeOutcome_CHANGE_INVALID
)

func TestConcurrentEditsOfOneRevisionConflict(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	s.change(newChange("setup", putOp(0, newProfile("p", "online", 1))))
	first := s.change(newChange("anna", putOp(1, newProfile("p", "online", 2))))
	second := s.change(newChange("piotr", putOp(1, newProfile("p", "online", 3))))
	g.Expect(first).To(haveOutcome(accepted))
	g.Expect(second).To(haveOutcome(conflicted))
	g.Expect(second.GetCurrent()).To(HaveLen(1))
	g.Expect(second.GetCurrent()[0].GetProfile().GetPriority()).To(BeEquivalentTo(2))
	g.Expect(second.GetCurrent()[0].GetRevision()).To(BeEquivalentTo(2))
	g.Expect(s.state.Revision(s.store)).To(BeEquivalentTo(2))
}

func TestResentChangeReturnsFirstResult(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	create := newChange("create", putOp(0, newProfile("p", "online", 1)))
	stale := newChange("late", putOp(0, newProfile("p", "online", 9)))
	first := s.change(create)
	conflict := s.change(stale)
	s.change(newChange("edit", putOp(1, newProfile("p", "online", 2))))
	s.now += uint64(OutcomeRetention.Milliseconds()) - 1
	g.Expect(s.change(create).String()).To(Equal(first.String()))
	g.Expect(s.change(stale).String()).To(Equal(conflict.String()))
	g.Expect(s.state.Revision(s.store)).To(BeEquivalentTo(2))
}

func TestReusedChangeIDIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	s.change(newChange("id", putOp(0, newProfile("p", "online", 1))))
	g.Expect(s.change(newChange("id", putOp(1, newProfile("p", "online", 2))))).To(haveOutcome(invalid))
	g.Expect(s.change(newChange("", putOp(1, newProfile("p", "online", 2))))).To(haveOutcome(invalid))
}

func TestOutcomesExpireByLogTime(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	create := newChange("create", putOp(0, newProfile("p", "online", 1)))
	s.change(create)
	s.now += uint64(OutcomeRetention.Milliseconds())
	s.change(newChange("other", putOp(0, newProfile("q", "online", 1))))
	g.Expect(s.change(create)).To(haveOutcome(conflicted))
}

func TestChangeIsValidatedAsAWhole(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	g.Expect(s.change(newChange("dangling", putOp(0, newService("s", "p"))))).To(haveOutcome(invalid))
	g.Expect(s.change(newChange("class", putOp(0, newService("s", "p")), putOp(0, newProfile("p", "batch", 1))))).
		To(haveOutcome(invalid))
	g.Expect(s.state.Revision(s.store)).To(BeZero())
	g.Expect(s.change(newChange("both", putOp(0, newService("s", "p")), putOp(0, newProfile("p", "online", 1))))).
		To(haveOutcome(accepted))
	g.Expect(s.change(newChange("used", deleteOp(1, "profile/p")))).To(haveOutcome(invalid))
	g.Expect(s.change(newChange("reclass", putOp(1, newProfile("p", "batch", 1))))).To(haveOutcome(invalid))
	g.Expect(s.change(newChange("twice", deleteOp(1, "service/s"), deleteOp(1, "service/s")))).To(haveOutcome(invalid))
	g.Expect(s.change(newChange("move", putOp(0, newProfile("q", "online", 1)), putOp(1, newService("s", "q")),
		deleteOp(1, "profile/p")))).To(haveOutcome(accepted))
	g.Expect(s.change(newChange("gone", deleteOp(2, "service/s"), deleteOp(2, "profile/q")))).To(haveOutcome(accepted))
	g.Expect(s.state.Query(s.store, &pb.ConfigQuery{}).GetDocuments()).To(BeEmpty())
}

func TestUnchangedDocumentsKeepTheirRevision(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	s.change(newChange("a", putOp(0, newProfile("p", "online", 1))))
	result := s.change(newChange("b", putOp(1, newProfile("p", "online", 1))))
	g.Expect(result).To(haveOutcome(accepted))
	g.Expect(result.GetRevision()).To(BeEquivalentTo(1))
	result = s.change(newChange("c", putOp(1, newProfile("p", "online", 1)), putOp(0, newProfile("q", "online", 1))))
	g.Expect(result.GetRevision()).To(BeEquivalentTo(2))
	answer := s.state.Query(s.store, &pb.ConfigQuery{Name: "profile/p"})
	g.Expect(answer.GetDocuments()[0].GetRevision()).To(BeEquivalentTo(1))
}

func TestUpdateSinceReturnsDeltaOrSnapshot(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	s.change(newChange("p", putOp(0, newProfile("p", "online", 0))))
	for i := range MaxHistoryRevisions + 5 {
		s.change(newChange(fmt.Sprint(i), putOp(uint64(i+1), newProfile("p", "online", i%2+1))))
	}
	last := s.state.Revision(s.store)
	g.Expect(last).To(BeEquivalentTo(MaxHistoryRevisions + 6))
	behind := s.state.UpdateSince(s.store, last-MaxHistoryRevisions)
	g.Expect(behind.GetSnapshot()).To(BeFalse())
	g.Expect(behind.GetDocuments()).To(HaveLen(1))
	g.Expect(s.state.UpdateSince(s.store, last-MaxHistoryRevisions-1).GetSnapshot()).To(BeTrue())
	ahead := s.state.UpdateSince(s.store, last+3)
	g.Expect(ahead.GetRevision()).To(Equal(last))
	g.Expect(ahead.GetDocuments()).To(BeEmpty())
	history := s.state.History(s.store, &pb.ConfigHistoryQuery{Before: last, Limit: 2}).GetRecords()
	g.Expect(history).To(HaveLen(2))
	g.Expect(history[0].GetRevision()).To(Equal(last - 1))
}

func TestConfigurationSizeIsLimited(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	s.change(newChange("p", putOp(0, newProfile("p", "online", 1))))
	var result *pb.ChangeResult
	for i := 0; i == 0 || result.GetOutcome() == accepted; i++ {
		c := newChange(fmt.Sprint("fill-", i))
		for j := range MaxOps {
			doc := newService(fmt.Sprintf("s-%d-%d", i, j), "p").GetService()
			doc.Kind = pb.ServiceKind_SERVICE_MODEL
			doc.Model = "m"
			for k := range maxAdapters {
				doc.Adapters = append(doc.Adapters, fmt.Sprintf("%0100d", k))
			}
			c.Ops = append(c.Ops, putOp(0, &pb.Document{Body: &pb.Document_Service{Service: doc}}))
		}
		result = s.change(c)
	}
	g.Expect(result).To(haveOutcome(invalid))
	g.Expect(result.GetReason()).To(ContainSubstring("bytes"))
	stored := uint64(0)
	for _, doc := range s.state.Query(s.store, &pb.ConfigQuery{}).GetDocuments() {
		stored += encodedSize(doc)
	}
	g.Expect(totalBytes.Get(s.store)).To(Equal(stored))
	g.Expect(stored).To(BeNumerically("<=", MaxBytes+MaxOps*10))
}

func TestDeltaWithTooManyDocumentsIsReplacedBySnapshot(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	s.addProfiles(maxDeltaKeys)
	g.Expect(s.state.UpdateSince(s.store, 0).GetSnapshot()).To(BeFalse())
	s.change(newChange("last", putOp(0, newProfile("last", "online", 1))))
	g.Expect(s.state.UpdateSince(s.store, 0).GetSnapshot()).To(BeTrue())
	g.Expect(s.state.UpdateSince(s.store, 1).GetSnapshot()).To(BeFalse())
}

func TestConflictListsAtMostMaxConflictsDocuments(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	s.addProfiles(MaxOps)
	c := newChange("stale")
	for i := range MaxOps {
		c.Ops = append(c.Ops, deleteOp(9, fmt.Sprint("profile/p", i)))
	}
	result := s.change(c)
	g.Expect(result).To(haveOutcome(conflicted))
	g.Expect(result.GetCurrent()).To(HaveLen(maxConflicts))
}
