package jobpages

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// group is one replica's state with its store.
type group struct {
	*testing.T
	state *State
	store *kv.MemoryStore
	now   uint64
}

func newGroup(t *testing.T) *group {
	return &group{T: t, state: New(), store: kv.NewMemoryStore(), now: 1000}
}

func (g *group) apply(c *pb.Command) *pb.PageCommandResult {
	g.Helper()
	c.UnixMs = g.now
	batch := g.store.NewBatch()
	result := g.state.Apply(batch, 0, c)
	if err := g.store.Commit(batch, false); err != nil {
		g.Fatal(err)
	}
	return result.GetPage()
}

func (g *group) submit(id string, items int) bool {
	submit := &pb.PageSubmit{JobId: id, DueMs: 18_000, KeepMs: 60_000, RetainMs: 180_000, Attempts: 3}
	for i := range items {
		submit.Items = append(submit.Items, &pb.PageItem{Id: id + "-" + strconv.Itoa(i), Body: []byte{byte(i)}})
	}
	return g.apply(&pb.Command{Op: &pb.Command_PageSubmit{PageSubmit: submit}}).GetKnown()
}

func (g *group) settle(id string, item uint32, text string) uint32 {
	result := &pb.PageResult{JobId: id, Item: item, Text: []byte(text)}
	return g.apply(&pb.Command{Op: &pb.Command_PageSettle{PageSettle: &pb.PageSettle{Results: []*pb.PageResult{result}}}}).GetSettled()
}

func (g *group) end(id string) bool {
	return g.apply(&pb.Command{Op: &pb.Command_PageEnd{PageEnd: &pb.PageEnd{JobId: id}}}).GetKnown()
}

func (g *group) page(id string, from uint32) *pb.PageAnswer {
	return Page(g.store, &pb.PageQuery{JobId: id, From: from, MaxBytes: 1 << 20})
}

func TestAJobIsAcceptedOnce(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	expect.Expect(g.submit("j", 2)).To(BeTrue())
	g.settle("j", 1, "one")
	expect.Expect(g.submit("j", 2)).To(BeTrue())
	expect.Expect(g.page("j", 0).GetEntries()).To(HaveLen(1))
	expect.Expect(g.page("j", 0).GetItems()).To(BeEquivalentTo(2))
}

func TestAnItemHasOneResultAtOnePosition(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	g.submit("j", 3)
	expect.Expect(g.settle("j", 2, "two")).To(BeEquivalentTo(1))
	expect.Expect(g.settle("j", 2, "again")).To(BeZero())
	expect.Expect(g.settle("j", 0, "zero")).To(BeEquivalentTo(1))
	page := g.page("j", 0)
	expect.Expect(page.GetEntries()).To(HaveLen(2))
	expect.Expect(page.GetEntries()[0].GetItemId()).To(Equal("j-2"))
	expect.Expect(string(page.GetEntries()[0].GetText())).To(Equal("two"))
	expect.Expect(page.GetNext()).To(BeEquivalentTo(2))
	expect.Expect(g.page("j", 1).GetEntries()[0].GetItemId()).To(Equal("j-0"))
}

func TestAnEndedJobTakesNoResults(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	g.submit("j", 2)
	g.settle("j", 0, "zero")
	expect.Expect(g.end("j")).To(BeTrue())
	expect.Expect(g.end("j")).To(BeTrue())
	expect.Expect(g.end("unknown")).To(BeFalse())
	expect.Expect(g.settle("j", 1, "one")).To(BeZero())
	expect.Expect(g.state.Open()).To(BeEmpty())
	expect.Expect(g.page("j", 0).GetEntries()).To(HaveLen(1))
	// The same job comes again after its end.
	expect.Expect(g.submit("j", 2)).To(BeTrue())
	expect.Expect(g.state.Open()).To(BeEmpty())
}

func TestBodiesAreReadableUntilTheirResult(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	g.submit("j", 2)
	body := Body(g.store, &pb.PageBodyQuery{JobId: "j", ItemId: "j-1"})
	expect.Expect(body.GetKnown()).To(BeTrue())
	expect.Expect(body.GetBody()).To(Equal([]byte{1}))
	expect.Expect(Body(g.store, &pb.PageBodyQuery{JobId: "j", ItemId: "j-9"}).GetKnown()).To(BeFalse())
}

func TestPagesAreBoundedButNeverEmpty(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	g.submit("j", 3)
	for i := range uint32(3) {
		g.settle("j", i, "0123456789")
	}
	small := Page(g.store, &pb.PageQuery{JobId: "j", MaxBytes: 1})
	expect.Expect(small.GetEntries()).To(HaveLen(1))
	expect.Expect(small.GetNext()).To(BeEquivalentTo(1))
	expect.Expect(g.page("unknown", 0).GetKnown()).To(BeFalse())
}

func TestRestoreFindsTheOpenItems(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	g.submit("late", 1)
	g.now = 10
	g.submit("early", 3)
	g.settle("early", 1, "one")
	g.submit("done", 1)
	g.settle("done", 0, "zero")
	before := g.state.Open()
	restored := New()
	restored.Restore(g.store)
	expect.Expect(restored.Open()).To(Equal(before))
	expect.Expect(before).To(HaveLen(3))
	expect.Expect(before[0].JobID).To(Equal("early"))
	g.state = restored
	expect.Expect(g.settle("early", 1, "again")).To(BeZero())
}

func (g *group) save(id string, item, base uint32, text, last string) {
	progress := &pb.PageProgress{JobId: id, Item: item, Base: base, Text: []byte(text), Events: 3, LastEvent: last}
	g.apply(&pb.Command{Op: &pb.Command_PageSave{PageSave: &pb.PageSave{Progress: []*pb.PageProgress{progress}}}})
}

// A leader that dies leaves the saved part of its items to the next one.
func TestSavedProgressIsGoneOnWith(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	g.submit("j", 2)
	g.save("j", 1, 0, "one", "3")
	g.save("j", 1, 3, "two", "6")
	g.save("j", 1, 3, "again", "9")
	saved := Saved(g.store, "j", 1)
	expect.Expect(string(saved.GetText())).To(Equal("onetwo"))
	expect.Expect(saved.GetLastEvent()).To(Equal("6"))
	p := NewPlan()
	p.Resume(Key{"j", 1}, saved)
	expect.Expect(p.Progress(Key{"j", 1}).LastEvent).To(Equal("6"))
	expect.Expect(p.Unsaved()).To(BeEmpty())
	settle := func(base uint32, text string) uint32 {
		result := &pb.PageResult{JobId: "j", Item: 1, Base: base, Text: []byte(text)}
		return g.apply(&pb.Command{Op: &pb.Command_PageSettle{PageSettle: &pb.PageSettle{Results: []*pb.PageResult{result}}}}).GetSettled()
	}
	expect.Expect(settle(7, "missing")).To(BeZero())
	expect.Expect(settle(6, "three")).To(BeEquivalentTo(1))
	expect.Expect(string(g.page("j", 0).GetEntries()[0].GetText())).To(Equal("onetwothree"))
	expect.Expect(Saved(g.store, "j", 1).GetText()).To(BeEmpty())
}

func TestARunFromTheBeginningReplacesSavedProgress(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	g.submit("j", 1)
	g.save("j", 0, 0, "old", "3")
	g.save("j", 0, 3, "older", "6")
	g.save("j", 0, 0, "new", "1")
	expect.Expect(string(Saved(g.store, "j", 0).GetText())).To(Equal("new"))
	g.end("j")
	expect.Expect(Saved(g.store, "j", 0).GetText()).To(BeEmpty())
	g.save("j", 0, 0, "late", "1")
	expect.Expect(Saved(g.store, "j", 0).GetText()).To(BeEmpty())
}

func TestUnsavedProgressIsHandedOutOnce(t *testing.T) {
	expect := NewWithT(t)
	p := NewPlan()
	held := p.Start(Key{"j", 0}, "u", time.UnixMilli(0))
	held.Text, held.Events, held.LastEvent = []byte("one"), 1, "1"
	first := p.Unsaved()
	expect.Expect(first).To(HaveLen(1))
	expect.Expect(first[0].GetBase()).To(BeZero())
	expect.Expect(p.Unsaved()).To(BeEmpty())
	held.Text = append(held.Text, "two"...)
	second := p.Unsaved()
	expect.Expect(second[0].GetBase()).To(BeEquivalentTo(3))
	expect.Expect(string(second[0].GetText())).To(Equal("two"))
}

func TestOnlyClosedJobsExpire(t *testing.T) {
	expect := NewWithT(t)
	g := newGroup(t)
	g.submit("open", 1)
	g.submit("closed", 1)
	g.settle("closed", 0, "zero")
	expect.Expect(g.state.Expired(g.store, g.now+179_999, 9)).To(BeEmpty())
	g.now += 180_000
	expect.Expect(g.state.Expired(g.store, g.now, 9)).To(Equal([]string{"closed"}))
	g.apply(&pb.Command{Op: &pb.Command_PageExpire{PageExpire: &pb.PageExpire{JobIds: []string{"closed", "open"}}}})
	expect.Expect(g.page("closed", 0).GetKnown()).To(BeFalse())
	expect.Expect(g.page("open", 0).GetKnown()).To(BeTrue())
}
