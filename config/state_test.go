package config

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// bench is a state on an in-memory store.
type bench struct {
	state State
	store kv.Store
	now   uint64
}

func newBench() *bench {
	return &bench{store: kv.NewMemoryStore(), now: 1_700_000_000_000}
}

func (s *bench) change(c *pb.ConfigChange) *pb.ChangeResult {
	b := s.store.NewBatch()
	result := s.state.ApplyChange(b, c, s.now)
	if err := s.store.Commit(b, true); err != nil {
		panic(err)
	}
	return result
}

func put(expected uint64, doc *pb.Document) *pb.ConfigOp {
	return &pb.ConfigOp{Op: &pb.ConfigOp_Put{Put: doc}, ExpectedRevision: expected}
}

func remove(expected uint64, key string) *pb.ConfigOp {
	return &pb.ConfigOp{Op: &pb.ConfigOp_Delete{Delete: key}, ExpectedRevision: expected}
}

func change(id string, ops ...*pb.ConfigOp) *pb.ConfigChange {
	return &pb.ConfigChange{ChangeId: id, Operator: "test", Ops: ops}
}

// parseOne returns the document of a YAML text.
func parseOne(text string) *pb.Document {
	docs, err := Parse("test.yaml", []byte(text))
	if err != nil || len(docs) != 1 {
		panic(fmt.Sprintf("%d documents, error %v", len(docs), err))
	}
	return docs[0]
}

func profile(name, class string, priority int) *pb.Document {
	return parseOne(fmt.Sprintf("kind: Profile\nname: %s\nspec: {class: %s, priority: %d}", name, class, priority))
}

func service(name, online string) *pb.Document {
	return parseOne(fmt.Sprintf("kind: Service\nname: %s\nspec: {kind: plain, profile: %s}", name, online))
}

func haveOutcome(outcome pb.ChangeOutcome) OmegaMatcher {
	return WithTransform((*pb.ChangeResult).GetOutcome, Equal(outcome))
}

const (
	accepted  = pb.ChangeOutcome_CHANGE_ACCEPTED
	conflicts = pb.ChangeOutcome_CHANGE_CONFLICT
	refused   = pb.ChangeOutcome_CHANGE_INVALID
)

func TestOfTwoOperatorsWithEqualVersionsOneWins(t *testing.T) {
	g := NewWithT(t)
	s := newBench()
	s.change(change("setup", put(0, profile("p", "online", 1))))
	first := s.change(change("anna", put(1, profile("p", "online", 2))))
	second := s.change(change("piotr", put(1, profile("p", "online", 3))))
	g.Expect(first).To(haveOutcome(accepted))
	g.Expect(second).To(haveOutcome(conflicts))
	g.Expect(second.GetCurrent()).To(HaveLen(1))
	g.Expect(second.GetCurrent()[0].GetProfile().GetPriority()).To(BeEquivalentTo(2))
	g.Expect(second.GetCurrent()[0].GetRevision()).To(BeEquivalentTo(2))
	g.Expect(s.state.Revision(s.store)).To(BeEquivalentTo(2))
}

func TestResentChangeGetsItsFirstAnswer(t *testing.T) {
	g := NewWithT(t)
	s := newBench()
	create := change("create", put(0, profile("p", "online", 1)))
	late := change("late", put(0, profile("p", "online", 9)))
	first := s.change(create)
	lost := s.change(late)
	s.change(change("edit", put(1, profile("p", "online", 2))))
	s.now += uint64(OutcomeRetention.Milliseconds()) - 1
	g.Expect(s.change(create).String()).To(Equal(first.String()))
	g.Expect(s.change(late).String()).To(Equal(lost.String()))
	g.Expect(s.state.Revision(s.store)).To(BeEquivalentTo(2))
}

func TestReusedChangeIDIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := newBench()
	s.change(change("id", put(0, profile("p", "online", 1))))
	g.Expect(s.change(change("id", put(1, profile("p", "online", 2))))).To(haveOutcome(refused))
	g.Expect(s.change(change("", put(1, profile("p", "online", 2))))).To(haveOutcome(refused))
}

func TestOutcomesExpireByLogTime(t *testing.T) {
	g := NewWithT(t)
	s := newBench()
	create := change("create", put(0, profile("p", "online", 1)))
	s.change(create)
	s.now += uint64(OutcomeRetention.Milliseconds())
	s.change(change("other", put(0, profile("q", "online", 1))))
	g.Expect(s.change(create)).To(haveOutcome(conflicts))
}

func TestChangeIsValidatedWhole(t *testing.T) {
	g := NewWithT(t)
	s := newBench()
	g.Expect(s.change(change("dangling", put(0, service("s", "p"))))).To(haveOutcome(refused))
	g.Expect(s.change(change("class", put(0, service("s", "p")), put(0, profile("p", "batch", 1))))).
		To(haveOutcome(refused))
	g.Expect(s.state.Revision(s.store)).To(BeZero())
	g.Expect(s.change(change("both", put(0, service("s", "p")), put(0, profile("p", "online", 1))))).
		To(haveOutcome(accepted))
	g.Expect(s.change(change("used", remove(1, "profile/p")))).To(haveOutcome(refused))
	g.Expect(s.change(change("reclass", put(1, profile("p", "batch", 1))))).To(haveOutcome(refused))
	g.Expect(s.change(change("twice", remove(1, "service/s"), remove(1, "service/s")))).To(haveOutcome(refused))
	g.Expect(s.change(change("move", put(0, profile("q", "online", 1)), put(1, service("s", "q")),
		remove(1, "profile/p")))).To(haveOutcome(accepted))
	g.Expect(s.change(change("gone", remove(2, "service/s"), remove(2, "profile/q")))).To(haveOutcome(accepted))
	g.Expect(s.state.Query(s.store, &pb.ConfigQuery{}).GetDocuments()).To(BeEmpty())
}

func TestUnchangedDocumentsKeepTheirRevision(t *testing.T) {
	g := NewWithT(t)
	s := newBench()
	s.change(change("a", put(0, profile("p", "online", 1))))
	result := s.change(change("b", put(1, profile("p", "online", 1))))
	g.Expect(result).To(haveOutcome(accepted))
	g.Expect(result.GetRevision()).To(BeEquivalentTo(1))
	result = s.change(change("c", put(1, profile("p", "online", 1)), put(0, profile("q", "online", 1))))
	g.Expect(result.GetRevision()).To(BeEquivalentTo(2))
	answer := s.state.Query(s.store, &pb.ConfigQuery{Name: "profile/p"})
	g.Expect(answer.GetDocuments()[0].GetRevision()).To(BeEquivalentTo(1))
}

func TestUpdateSinceGivesDeltaOrSnapshot(t *testing.T) {
	g := NewWithT(t)
	s := newBench()
	s.change(change("p", put(0, profile("p", "online", 0))))
	for i := range MaxHistoryRevisions + 5 {
		s.change(change(fmt.Sprint(i), put(uint64(i+1), profile("p", "online", i%2+1))))
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

func TestSizeOfTheConfigurationIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := newBench()
	s.change(change("p", put(0, profile("p", "online", 1))))
	var result *pb.ChangeResult
	for i := 0; i == 0 || result.GetOutcome() == accepted; i++ {
		c := change(fmt.Sprint("fill-", i))
		for j := range MaxOps {
			doc := service(fmt.Sprintf("s-%d-%d", i, j), "p").GetService()
			doc.Kind = pb.ServiceKind_SERVICE_MODEL
			doc.Model = "m"
			for k := range maxAdapters {
				doc.Adapters = append(doc.Adapters, fmt.Sprintf("%0100d", k))
			}
			c.Ops = append(c.Ops, put(0, &pb.Document{Body: &pb.Document_Service{Service: doc}}))
		}
		result = s.change(c)
	}
	g.Expect(result).To(haveOutcome(refused))
	g.Expect(result.GetReason()).To(ContainSubstring("bytes"))
	stored := uint64(0)
	for _, doc := range s.state.Query(s.store, &pb.ConfigQuery{}).GetDocuments() {
		stored += documentBytes(doc)
	}
	g.Expect(bytesNumber.Get(s.store)).To(Equal(stored))
	g.Expect(stored).To(BeNumerically("<=", MaxBytes+MaxOps*10))
}

func TestDeltaWithTooManyDocumentsBecomesASnapshot(t *testing.T) {
	g := NewWithT(t)
	s := newBench()
	s.fill(maxDeltaKeys)
	g.Expect(s.state.UpdateSince(s.store, 0).GetSnapshot()).To(BeFalse())
	s.change(change("last", put(0, profile("last", "online", 1))))
	g.Expect(s.state.UpdateSince(s.store, 0).GetSnapshot()).To(BeTrue())
	g.Expect(s.state.UpdateSince(s.store, 1).GetSnapshot()).To(BeFalse())
}

func TestConflictShowsABoundedNumberOfDocuments(t *testing.T) {
	g := NewWithT(t)
	s := newBench()
	s.fill(MaxOps)
	c := change("stale")
	for i := range MaxOps {
		c.Ops = append(c.Ops, remove(9, fmt.Sprint("profile/p", i)))
	}
	result := s.change(c)
	g.Expect(result).To(haveOutcome(conflicts))
	g.Expect(result.GetCurrent()).To(HaveLen(maxConflicts))
}
