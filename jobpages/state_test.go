package jobpages

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// testReplica is the state of one replica with its store and log time.
type testReplica struct {
	*testing.T
	state *State
	store *kv.Memory
	nowMs uint64
}

func newTestReplica(t *testing.T) *testReplica {
	return &testReplica{T: t, state: NewState(), store: kv.NewMemory(), nowMs: 1000}
}

func (g *testReplica) apply(command *pb.Command) *pb.PageCommandResult {
	g.Helper()
	command.UnixMs = g.nowMs
	batch := g.store.NewBatch()
	result := g.state.Apply(batch, 0, command)
	if err := g.store.Commit(batch, false); err != nil {
		g.Fatal(err)
	}
	return result.GetPage()
}

func (g *testReplica) submitJob(jobID string, items int) bool {
	submit := &pb.PageSubmit{JobId: jobID, DueMs: 18_000, KeepMs: 60_000, RetainMs: 180_000, Attempts: 3}
	for i := range items {
		submit.Items = append(submit.Items, &pb.PageItem{Id: jobID + "-" + strconv.Itoa(i), Body: []byte{byte(i)}})
	}
	return g.apply(&pb.Command{Op: &pb.Command_PageSubmit{PageSubmit: submit}}).GetKnown()
}

func (g *testReplica) settleItem(jobID string, index uint32, text string) uint32 {
	result := &pb.PageResult{JobId: jobID, Item: index, Text: []byte(text)}
	return g.apply(&pb.Command{Op: &pb.Command_PageSettle{PageSettle: &pb.PageSettle{Results: []*pb.PageResult{result}}}}).GetSettled()
}

func (g *testReplica) endJob(jobID string) bool {
	return g.apply(&pb.Command{Op: &pb.Command_PageEnd{PageEnd: &pb.PageEnd{JobId: jobID}}}).GetKnown()
}

func (g *testReplica) readPage(jobID string, from uint32) *pb.PageAnswer {
	return ReadPage(g.store, &pb.PageQuery{JobId: jobID, From: from, MaxBytes: 1 << 20})
}

func TestJobIsAcceptedOnce(t *testing.T) {
	expect := NewWithT(t)
	g := newTestReplica(t)
	expect.Expect(g.submitJob("j", 2)).To(BeTrue())
	g.settleItem("j", 1, "one")
	expect.Expect(g.submitJob("j", 2)).To(BeTrue())
	expect.Expect(g.readPage("j", 0).GetEntries()).To(HaveLen(1))
	expect.Expect(g.readPage("j", 0).GetItems()).To(BeEquivalentTo(2))
}

func TestItemHasOneResultAtOnePosition(t *testing.T) {
	expect := NewWithT(t)
	g := newTestReplica(t)
	g.submitJob("j", 3)
	expect.Expect(g.settleItem("j", 2, "two")).To(BeEquivalentTo(1))
	expect.Expect(g.settleItem("j", 2, "again")).To(BeZero())
	expect.Expect(g.settleItem("j", 0, "zero")).To(BeEquivalentTo(1))
	page := g.readPage("j", 0)
	expect.Expect(page.GetEntries()).To(HaveLen(2))
	expect.Expect(page.GetEntries()[0].GetItemId()).To(Equal("j-2"))
	expect.Expect(string(page.GetEntries()[0].GetText())).To(Equal("two"))
	expect.Expect(page.GetNext()).To(BeEquivalentTo(2))
	expect.Expect(g.readPage("j", 1).GetEntries()[0].GetItemId()).To(Equal("j-0"))
}

func TestEndedJobRejectsResults(t *testing.T) {
	expect := NewWithT(t)
	g := newTestReplica(t)
	g.submitJob("j", 2)
	g.settleItem("j", 0, "zero")
	expect.Expect(g.endJob("j")).To(BeTrue())
	expect.Expect(g.endJob("j")).To(BeTrue())
	expect.Expect(g.endJob("unknown")).To(BeFalse())
	expect.Expect(g.settleItem("j", 1, "one")).To(BeZero())
	expect.Expect(g.state.OpenItems()).To(BeEmpty())
	expect.Expect(g.readPage("j", 0).GetEntries()).To(HaveLen(1))
	// Submitting the job again does not reopen it.
	expect.Expect(g.submitJob("j", 2)).To(BeTrue())
	expect.Expect(g.state.OpenItems()).To(BeEmpty())
}

func TestItemBodyIsReadableBeforeItsResult(t *testing.T) {
	expect := NewWithT(t)
	g := newTestReplica(t)
	g.submitJob("j", 2)
	body := ReadItemBody(g.store, &pb.PageBodyQuery{JobId: "j", ItemId: "j-1"})
	expect.Expect(body.GetKnown()).To(BeTrue())
	expect.Expect(body.GetBody()).To(Equal([]byte{1}))
	expect.Expect(ReadItemBody(g.store, &pb.PageBodyQuery{JobId: "j", ItemId: "j-9"}).GetKnown()).To(BeFalse())
}

func TestPagesAreBoundedButNeverEmpty(t *testing.T) {
	expect := NewWithT(t)
	g := newTestReplica(t)
	g.submitJob("j", 3)
	for i := range uint32(3) {
		g.settleItem("j", i, "0123456789")
	}
	small := ReadPage(g.store, &pb.PageQuery{JobId: "j", MaxBytes: 1})
	expect.Expect(small.GetEntries()).To(HaveLen(1))
	expect.Expect(small.GetNext()).To(BeEquivalentTo(1))
	expect.Expect(g.readPage("unknown", 0).GetKnown()).To(BeFalse())
}

func TestRestoreFindsOpenItems(t *testing.T) {
	expect := NewWithT(t)
	g := newTestReplica(t)
	g.submitJob("late", 1)
	g.nowMs = 10
	g.submitJob("early", 3)
	g.settleItem("early", 1, "one")
	g.submitJob("done", 1)
	g.settleItem("done", 0, "zero")
	before := g.state.OpenItems()
	restored := NewState()
	restored.Restore(g.store)
	expect.Expect(restored.OpenItems()).To(Equal(before))
	expect.Expect(before).To(HaveLen(3))
	expect.Expect(before[0].JobID).To(Equal("early"))
	g.state = restored
	expect.Expect(g.settleItem("early", 1, "again")).To(BeZero())
}

func (g *testReplica) saveProgress(jobID string, index, base uint32, text, lastEventID string) {
	progress := &pb.PageProgress{JobId: jobID, Item: index, Base: base, Text: []byte(text), Events: 3, LastEvent: lastEventID}
	g.apply(&pb.Command{Op: &pb.Command_PageSave{PageSave: &pb.PageSave{Progress: []*pb.PageProgress{progress}}}})
}

// After a leader crash, the next leader continues items from their saved
// progress.
func TestNewLeaderContinuesFromSavedProgress(t *testing.T) {
	expect := NewWithT(t)
	g := newTestReplica(t)
	g.submitJob("j", 2)
	g.saveProgress("j", 1, 0, "one", "3")
	g.saveProgress("j", 1, 3, "two", "6")
	g.saveProgress("j", 1, 3, "again", "9")
	saved := SavedProgress(g.store, "j", 1)
	expect.Expect(string(saved.GetText())).To(Equal("onetwo"))
	expect.Expect(saved.GetLastEvent()).To(Equal("6"))
	scheduler := NewScheduler()
	scheduler.RestoreProgress(ItemKey{"j", 1}, saved)
	expect.Expect(scheduler.Progress(ItemKey{"j", 1}).LastEventID).To(Equal("6"))
	expect.Expect(scheduler.TakeUnsaved()).To(BeEmpty())
	settle := func(base uint32, text string) uint32 {
		result := &pb.PageResult{JobId: "j", Item: 1, Base: base, Text: []byte(text)}
		return g.apply(&pb.Command{Op: &pb.Command_PageSettle{PageSettle: &pb.PageSettle{Results: []*pb.PageResult{result}}}}).GetSettled()
	}
	expect.Expect(settle(7, "missing")).To(BeZero())
	expect.Expect(settle(6, "three")).To(BeEquivalentTo(1))
	expect.Expect(string(g.readPage("j", 0).GetEntries()[0].GetText())).To(Equal("onetwothree"))
	expect.Expect(SavedProgress(g.store, "j", 1).GetText()).To(BeEmpty())
}

func TestRunFromTheStartReplacesSavedProgress(t *testing.T) {
	expect := NewWithT(t)
	g := newTestReplica(t)
	g.submitJob("j", 1)
	g.saveProgress("j", 0, 0, "old", "3")
	g.saveProgress("j", 0, 3, "older", "6")
	g.saveProgress("j", 0, 0, "new", "1")
	expect.Expect(string(SavedProgress(g.store, "j", 0).GetText())).To(Equal("new"))
	g.endJob("j")
	expect.Expect(SavedProgress(g.store, "j", 0).GetText()).To(BeEmpty())
	g.saveProgress("j", 0, 0, "late", "1")
	expect.Expect(SavedProgress(g.store, "j", 0).GetText()).To(BeEmpty())
}

func TestTakeUnsavedReturnsProgressOnce(t *testing.T) {
	expect := NewWithT(t)
	scheduler := NewScheduler()
	progress := scheduler.RecordStart(ItemKey{"j", 0}, "u", time.UnixMilli(0))
	progress.Text, progress.EventCount, progress.LastEventID = []byte("one"), 1, "1"
	firstPart := scheduler.TakeUnsaved()
	expect.Expect(firstPart).To(HaveLen(1))
	expect.Expect(firstPart[0].GetBase()).To(BeZero())
	expect.Expect(scheduler.TakeUnsaved()).To(BeEmpty())
	progress.Text = append(progress.Text, "two"...)
	secondPart := scheduler.TakeUnsaved()
	expect.Expect(secondPart[0].GetBase()).To(BeEquivalentTo(3))
	expect.Expect(string(secondPart[0].GetText())).To(Equal("two"))
}

func TestOnlyClosedJobsExpire(t *testing.T) {
	expect := NewWithT(t)
	g := newTestReplica(t)
	g.submitJob("open", 1)
	g.submitJob("closed", 1)
	g.settleItem("closed", 0, "zero")
	expect.Expect(g.state.ExpiredJobs(g.store, g.nowMs+179_999, 9)).To(BeEmpty())
	g.nowMs += 180_000
	expect.Expect(g.state.ExpiredJobs(g.store, g.nowMs, 9)).To(Equal([]string{"closed"}))
	g.apply(&pb.Command{Op: &pb.Command_PageExpire{PageExpire: &pb.PageExpire{JobIds: []string{"closed", "open"}}}})
	expect.Expect(g.readPage("closed", 0).GetKnown()).To(BeFalse())
	expect.Expect(g.readPage("open", 0).GetKnown()).To(BeTrue())
}
