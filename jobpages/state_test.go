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
	store *kv.MemoryStore
	nowMs uint64
}

func newTestReplica(t *testing.T) *testReplica {
	return &testReplica{T: t, state: NewState(), store: kv.NewMemoryStore(), nowMs: 1000}
}

func (r *testReplica) apply(command *pb.Command) *pb.PageCommandResult {
	r.Helper()
	command.UnixMs = r.nowMs
	batch := r.store.NewBatch()
	result := r.state.Apply(batch, 0, command)
	if err := r.store.Commit(batch, false); err != nil {
		r.Fatal(err)
	}
	return result.GetPage()
}

func (r *testReplica) submitJob(jobID string, items int) bool {
	submit := &pb.PageSubmit{JobId: jobID, DueMs: 18_000, KeepMs: 60_000, RetainMs: 180_000, Attempts: 3}
	for i := range items {
		submit.Items = append(submit.Items, &pb.PageItem{Id: jobID + "-" + strconv.Itoa(i), Body: []byte{byte(i)}})
	}
	return r.apply(&pb.Command{Op: &pb.Command_PageSubmit{PageSubmit: submit}}).GetKnown()
}

func (r *testReplica) settleItem(jobID string, index uint32, text string) uint32 {
	result := &pb.PageResult{JobId: jobID, Item: index, Text: []byte(text)}
	return r.apply(&pb.Command{Op: &pb.Command_PageSettle{PageSettle: &pb.PageSettle{Results: []*pb.PageResult{result}}}}).GetSettled()
}

func (r *testReplica) endJob(jobID string) bool {
	return r.apply(&pb.Command{Op: &pb.Command_PageEnd{PageEnd: &pb.PageEnd{JobId: jobID}}}).GetKnown()
}

func (r *testReplica) readPage(jobID string, from uint32) *pb.PageAnswer {
	return ReadPage(r.store, &pb.PageQuery{JobId: jobID, From: from, MaxBytes: 1 << 20})
}

func TestJobIsAcceptedOnce(t *testing.T) {
	expect := NewWithT(t)
	replica := newTestReplica(t)
	expect.Expect(replica.submitJob("j", 2)).To(BeTrue())
	replica.settleItem("j", 1, "one")
	expect.Expect(replica.submitJob("j", 2)).To(BeTrue())
	expect.Expect(replica.readPage("j", 0).GetEntries()).To(HaveLen(1))
	expect.Expect(replica.readPage("j", 0).GetItems()).To(BeEquivalentTo(2))
}

func TestItemHasOneResultAtOnePosition(t *testing.T) {
	expect := NewWithT(t)
	replica := newTestReplica(t)
	replica.submitJob("j", 3)
	expect.Expect(replica.settleItem("j", 2, "two")).To(BeEquivalentTo(1))
	expect.Expect(replica.settleItem("j", 2, "again")).To(BeZero())
	expect.Expect(replica.settleItem("j", 0, "zero")).To(BeEquivalentTo(1))
	page := replica.readPage("j", 0)
	expect.Expect(page.GetEntries()).To(HaveLen(2))
	expect.Expect(page.GetEntries()[0].GetItemId()).To(Equal("j-2"))
	expect.Expect(string(page.GetEntries()[0].GetText())).To(Equal("two"))
	expect.Expect(page.GetNext()).To(BeEquivalentTo(2))
	expect.Expect(replica.readPage("j", 1).GetEntries()[0].GetItemId()).To(Equal("j-0"))
}

func TestEndedJobRejectsResults(t *testing.T) {
	expect := NewWithT(t)
	replica := newTestReplica(t)
	replica.submitJob("j", 2)
	replica.settleItem("j", 0, "zero")
	expect.Expect(replica.endJob("j")).To(BeTrue())
	expect.Expect(replica.endJob("j")).To(BeTrue())
	expect.Expect(replica.endJob("unknown")).To(BeFalse())
	expect.Expect(replica.settleItem("j", 1, "one")).To(BeZero())
	expect.Expect(replica.state.OpenItems()).To(BeEmpty())
	expect.Expect(replica.readPage("j", 0).GetEntries()).To(HaveLen(1))
	// Submitting the job again does not reopen it.
	expect.Expect(replica.submitJob("j", 2)).To(BeTrue())
	expect.Expect(replica.state.OpenItems()).To(BeEmpty())
}

func TestItemBodyIsReadableBeforeItsResult(t *testing.T) {
	expect := NewWithT(t)
	replica := newTestReplica(t)
	replica.submitJob("j", 2)
	body := ReadItemBody(replica.store, &pb.PageBodyQuery{JobId: "j", ItemId: "j-1"})
	expect.Expect(body.GetKnown()).To(BeTrue())
	expect.Expect(body.GetBody()).To(Equal([]byte{1}))
	expect.Expect(ReadItemBody(replica.store, &pb.PageBodyQuery{JobId: "j", ItemId: "j-9"}).GetKnown()).To(BeFalse())
}

func TestPagesAreBoundedButNeverEmpty(t *testing.T) {
	expect := NewWithT(t)
	replica := newTestReplica(t)
	replica.submitJob("j", 3)
	for i := range uint32(3) {
		replica.settleItem("j", i, "0123456789")
	}
	small := ReadPage(replica.store, &pb.PageQuery{JobId: "j", MaxBytes: 1})
	expect.Expect(small.GetEntries()).To(HaveLen(1))
	expect.Expect(small.GetNext()).To(BeEquivalentTo(1))
	expect.Expect(replica.readPage("unknown", 0).GetKnown()).To(BeFalse())
}

func TestRestoreFindsOpenItems(t *testing.T) {
	expect := NewWithT(t)
	replica := newTestReplica(t)
	replica.submitJob("late", 1)
	replica.nowMs = 10
	replica.submitJob("early", 3)
	replica.settleItem("early", 1, "one")
	replica.submitJob("done", 1)
	replica.settleItem("done", 0, "zero")
	before := replica.state.OpenItems()
	restored := NewState()
	restored.Restore(replica.store)
	expect.Expect(restored.OpenItems()).To(Equal(before))
	expect.Expect(before).To(HaveLen(3))
	expect.Expect(before[0].JobID).To(Equal("early"))
	replica.state = restored
	expect.Expect(replica.settleItem("early", 1, "again")).To(BeZero())
}

func (r *testReplica) saveProgress(jobID string, index, base uint32, text, lastEventID string) {
	progress := &pb.PageProgress{JobId: jobID, Item: index, Base: base, Text: []byte(text), Events: 3, LastEvent: lastEventID}
	r.apply(&pb.Command{Op: &pb.Command_PageSave{PageSave: &pb.PageSave{Progress: []*pb.PageProgress{progress}}}})
}

// After a leader crash, the next leader continues items from their saved
// progress.
func TestNewLeaderContinuesFromSavedProgress(t *testing.T) {
	expect := NewWithT(t)
	replica := newTestReplica(t)
	replica.submitJob("j", 2)
	replica.saveProgress("j", 1, 0, "one", "3")
	replica.saveProgress("j", 1, 3, "two", "6")
	replica.saveProgress("j", 1, 3, "again", "9")
	saved := SavedProgress(replica.store, "j", 1)
	expect.Expect(string(saved.GetText())).To(Equal("onetwo"))
	expect.Expect(saved.GetLastEvent()).To(Equal("6"))
	scheduler := NewScheduler()
	scheduler.RestoreProgress(time.Time{}, ItemKey{"j", 1}, saved, nil)
	expect.Expect(scheduler.Progress(ItemKey{"j", 1}).LastEventID).To(Equal("6"))
	expect.Expect(scheduler.TakeUnsaved()).To(BeEmpty())
	settle := func(base uint32, text string) uint32 {
		result := &pb.PageResult{JobId: "j", Item: 1, Base: base, Text: []byte(text)}
		return replica.apply(&pb.Command{Op: &pb.Command_PageSettle{PageSettle: &pb.PageSettle{Results: []*pb.PageResult{result}}}}).GetSettled()
	}
	expect.Expect(settle(7, "missing")).To(BeZero())
	expect.Expect(settle(6, "three")).To(BeEquivalentTo(1))
	expect.Expect(string(replica.readPage("j", 0).GetEntries()[0].GetText())).To(Equal("onetwothree"))
	expect.Expect(SavedProgress(replica.store, "j", 1).GetText()).To(BeEmpty())
}

func TestRunFromTheStartReplacesSavedProgress(t *testing.T) {
	expect := NewWithT(t)
	replica := newTestReplica(t)
	replica.submitJob("j", 1)
	replica.saveProgress("j", 0, 0, "old", "3")
	replica.saveProgress("j", 0, 3, "older", "6")
	replica.saveProgress("j", 0, 0, "new", "1")
	expect.Expect(string(SavedProgress(replica.store, "j", 0).GetText())).To(Equal("new"))
	replica.endJob("j")
	expect.Expect(SavedProgress(replica.store, "j", 0).GetText()).To(BeEmpty())
	replica.saveProgress("j", 0, 0, "late", "1")
	expect.Expect(SavedProgress(replica.store, "j", 0).GetText()).To(BeEmpty())
}

func TestTakeUnsavedReturnsProgressOnce(t *testing.T) {
	expect := NewWithT(t)
	scheduler := NewScheduler()
	progress := scheduler.RecordStart(time.UnixMilli(0), ItemKey{"j", 0}, "u", time.UnixMilli(0))
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
	replica := newTestReplica(t)
	replica.submitJob("open", 1)
	replica.submitJob("closed", 1)
	replica.settleItem("closed", 0, "zero")
	expect.Expect(replica.state.ExpiredJobs(replica.store, replica.nowMs+179_999, 9)).To(BeEmpty())
	replica.nowMs += 180_000
	expect.Expect(replica.state.ExpiredJobs(replica.store, replica.nowMs, 9)).To(Equal([]string{"closed"}))
	replica.apply(&pb.Command{Op: &pb.Command_PageExpire{PageExpire: &pb.PageExpire{JobIds: []string{"closed", "open"}}}})
	expect.Expect(replica.readPage("closed", 0).GetKnown()).To(BeFalse())
	expect.Expect(replica.readPage("open", 0).GetKnown()).To(BeTrue())
}

func TestOpenSizeIsThatOfJobsWithoutAllResults(t *testing.T) {
	expect := NewWithT(t)
	replica := newTestReplica(t)
	openItems := func() int {
		items, bytes := replica.state.OpenSize()
		expect.Expect(bytes > 0).To(Equal(items > 0))
		restored := NewState()
		restored.Restore(replica.store)
		restoredItems, restoredBytes := restored.OpenSize()
		expect.Expect([]int64{int64(restoredItems), restoredBytes}).To(Equal([]int64{int64(items), bytes}), "a restart changes the size")
		return items
	}
	expect.Expect(openItems()).To(BeZero())
	replica.submitJob("a", 2)
	replica.submitJob("b", 3)
	replica.submitJob("a", 2)
	expect.Expect(openItems()).To(Equal(5))
	replica.settleItem("a", 0, "x")
	expect.Expect(openItems()).To(Equal(5))
	replica.settleItem("a", 1, "x")
	expect.Expect(openItems()).To(Equal(3))
	replica.endJob("b")
	expect.Expect(openItems()).To(BeZero())
}
