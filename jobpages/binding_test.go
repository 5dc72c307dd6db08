package jobpages

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/origins"
	"github.com/briarcross/briarcross/pb"
)

var (
	v1       = origins.Origin{Service: "s", SoftwareVersion: "v1"}
	v2       = origins.Origin{Service: "s", SoftwareVersion: "v2"}
	services = []string{"s"}
	item     = ItemKey{"a", 0}
)

// waitingItem returns a scheduler with an item that has output of an origin.
func waitingItem(origin origins.Origin) (*Scheduler, *ItemProgress) {
	scheduler := NewScheduler()
	progress := scheduler.RecordStart(time.UnixMilli(0), item, "u", time.UnixMilli(0))
	progress.AddOutput(origin, []byte("one"), 1, "1")
	progress.AddOutput(origin, []byte("two"), 1, "2")
	scheduler.TakeUnsaved()
	scheduler.RecordEnd(time.UnixMilli(0), item, Preempted)
	return scheduler, progress
}

// bindingOf returns the reason why the item may start anywhere, or "bound".
func bindingOf(scheduler *Scheduler, now time.Time) string {
	if _, bound, reason := scheduler.BoundTo(now, item, services); !bound {
		return string(reason)
	}
	return "bound"
}

// refuse records that v1 has no slot for the item; others tells whether its service has.
func refuse(scheduler *Scheduler, now time.Time, others bool) {
	round := scheduler.NewStartRound(now)
	round.RecordBusy(v1, item)
	round.End(func(string) bool { return others })
}

// A result held events of two software versions.
func TestItemWithOutputIsBoundToItsOrigin(t *testing.T) {
	expect := NewWithT(t)
	scheduler, progress := waitingItem(v1)
	origin, bound, _ := scheduler.BoundTo(time.UnixMilli(0), item, services)
	expect.Expect(bound).To(BeTrue())
	expect.Expect(origin).To(Equal(v1))
	expect.Expect(scheduler.DiscardOtherOutput(item, v1)).To(BeZero())
	expect.Expect(scheduler.DiscardOtherOutput(item, v2)).To(Equal(2))
	expect.Expect(*progress).To(Equal(ItemProgress{FirstStartedAt: time.UnixMilli(0), DueAt: time.UnixMilli(0), Restarted: true}))
	_, bound, reason := scheduler.BoundTo(time.UnixMilli(0), item, services)
	expect.Expect(bound).To(BeFalse())
	expect.Expect(reason).To(BeEmpty())
	progress.AddOutput(v2, []byte("new"), 1, "1")
	expect.Expect(progress.Origin).To(Equal(v2))
	expect.Expect(string(progress.Text)).To(Equal("new"))
}

// The versions of two services may have the same name.
func TestItemRestartsIfItsRouteLeavesItsService(t *testing.T) {
	expect := NewWithT(t)
	scheduler, _ := waitingItem(v1)
	_, bound, reason := scheduler.BoundTo(time.UnixMilli(0), item, []string{"other"})
	expect.Expect(bound).To(BeFalse())
	expect.Expect(reason).To(Equal(VersionGone))
	expect.Expect(scheduler.DiscardOtherOutput(item, origins.Origin{Service: "other", SoftwareVersion: "v1"})).To(Equal(2))
}

// An item lay while engines of another version were free.
func TestItemOfABusyVersionRestartsAfterAWhile(t *testing.T) {
	expect := NewWithT(t)
	scheduler, _ := waitingItem(v1)
	now := time.UnixMilli(1000)
	refuse(scheduler, now, true)
	expect.Expect(bindingOf(scheduler, now.Add(maxVersionWait-time.Millisecond))).To(Equal("bound"))
	refuse(scheduler, now.Add(time.Second), false)
	expect.Expect(bindingOf(scheduler, now.Add(maxVersionWait))).To(Equal(string(VersionBusy)))
	scheduler.RecordStart(now, item, "u", now)
	scheduler.RecordEnd(now, item, Preempted)
	expect.Expect(bindingOf(scheduler, now.Add(maxVersionWait))).To(Equal("bound"))
}

// The only engine of a version is cut off. Each time that it is no longer suspect it
// gets the item again, until its silence ends the run.
func TestRunsWithoutOutputDoNotProlongTheWait(t *testing.T) {
	expect := NewWithT(t)
	scheduler, progress := waitingItem(v1)
	now := time.UnixMilli(1000)
	refuse(scheduler, now, true)
	scheduler.RecordStart(now, item, "u", now)
	scheduler.RecordEnd(now.Add(maxVersionWait), item, Interrupted)
	expect.Expect(bindingOf(scheduler, now.Add(maxVersionWait))).To(Equal(string(VersionBusy)))
	progress.AddOutput(v1, []byte("three"), 1, "3")
	expect.Expect(bindingOf(scheduler, now.Add(maxVersionWait))).To(Equal("bound"))
}

// A burst that takes all slots must not cost the items their output.
func TestItemKeepsItsOutputWhileNoVersionHasSlots(t *testing.T) {
	expect := NewWithT(t)
	scheduler, _ := waitingItem(v1)
	for second := range 10 {
		refuse(scheduler, time.Unix(int64(second), 0), false)
	}
	expect.Expect(bindingOf(scheduler, time.Unix(10, 0))).To(Equal("bound"))
}

// Slots of another version that items take at once are slots as well.
func TestStartAtAnotherVersionBeginsTheWait(t *testing.T) {
	expect := NewWithT(t)
	scheduler, _ := waitingItem(v1)
	for second, startedAt := range []origins.Origin{v1, v2} {
		now := time.Unix(int64(second*10), 0)
		round := scheduler.NewStartRound(now)
		round.RecordBusy(v1, item)
		round.RecordStart(startedAt)
		round.End(func(string) bool { return false })
		expect.Expect(bindingOf(scheduler, now.Add(maxVersionWait)) == "bound").To(Equal(startedAt == v1))
	}
}

// Thousands of items that wait for one version cost a search for a slot each.
func TestOneRefusalHoldsForAllItemsOfAVersion(t *testing.T) {
	expect := NewWithT(t)
	scheduler, _ := waitingItem(v1)
	second, other := ItemKey{"a", 1}, ItemKey{"a", 2}
	for key, origin := range map[ItemKey]origins.Origin{second: v1, other: v2} {
		scheduler.RecordStart(time.UnixMilli(0), key, "u", time.UnixMilli(0)).AddOutput(origin, []byte("x"), 1, "1")
		scheduler.RecordEnd(time.UnixMilli(0), key, Preempted)
	}
	now := time.UnixMilli(1000)
	round := scheduler.NewStartRound(now)
	expect.Expect(round.MustWait(item)).To(BeFalse())
	round.RecordBusy(v1, item)
	expect.Expect(round.MustWait(second)).To(BeTrue())
	expect.Expect(round.MustWait(other)).To(BeFalse())
	expect.Expect(round.MustWait(ItemKey{"new", 0})).To(BeFalse())
	round.End(func(string) bool { return true })
	_, bound, reason := scheduler.BoundTo(now.Add(maxVersionWait), second, services)
	expect.Expect(bound).To(BeFalse())
	expect.Expect(reason).To(Equal(VersionBusy))
	expect.Expect(scheduler.NewStartRound(now.Add(maxVersionWait)).MustWait(second)).To(BeFalse())
}

func (r *testReplica) saveOutput(parts []*pb.PageProgress) {
	r.apply(&pb.Command{Op: &pb.Command_PageSave{PageSave: &pb.PageSave{Progress: parts}}})
}

func (r *testReplica) settleOutput(base int, text []byte, origin origins.Origin) uint32 {
	result := &pb.PageResult{JobId: item.JobID, Item: item.Index, Base: uint32(base), Text: text, Service: origin.Service, SoftwareVersion: origin.SoftwareVersion}
	return r.apply(&pb.Command{Op: &pb.Command_PageSettle{PageSettle: &pb.PageSettle{Results: []*pb.PageResult{result}}}}).GetSettled()
}

// If the first save of a run at another version was lost, its next saves and its result
// were added to the saved part of the run before.
func TestLostSaveDoesNotJoinTheOutputOfTwoVersions(t *testing.T) {
	expect := NewWithT(t)
	replica := newTestReplica(t)
	replica.submitJob(item.JobID, 1)
	scheduler := NewScheduler()
	progress := scheduler.RecordStart(time.UnixMilli(0), item, "u", time.UnixMilli(0))
	progress.AddOutput(v1, []byte("old"), 1, "1")
	replica.saveOutput(scheduler.TakeUnsaved())
	scheduler.RecordEnd(time.UnixMilli(0), item, Preempted)
	scheduler.DiscardOtherOutput(item, v2)
	scheduler.RecordStart(time.UnixMilli(0), item, "u", time.UnixMilli(0))
	progress.AddOutput(v2, []byte("new"), 1, "1")
	scheduler.TakeUnsaved()
	progress.AddOutput(v2, []byte("newer"), 1, "2")
	replica.saveOutput(scheduler.TakeUnsaved())
	saved := SavedProgress(replica.store, item.JobID, item.Index)
	expect.Expect(string(saved.GetText())).To(Equal("old"))
	expect.Expect(saved.GetSoftwareVersion()).To(Equal("v1"))
	expect.Expect(replica.settleOutput(3, []byte("\nnewer"), v2)).To(BeZero())
	base, text := progress.UnsavedPart()
	expect.Expect(base).To(BeZero())
	expect.Expect(replica.settleOutput(base, text, v2)).To(BeEquivalentTo(1))
	expect.Expect(string(replica.readPage(item.JobID, 0).GetEntries()[0].GetText())).To(Equal("new\nnewer"))
}

// The next leader went on at any version.
func TestSavedOutputKeepsItsOrigin(t *testing.T) {
	expect := NewWithT(t)
	replica := newTestReplica(t)
	replica.submitJob(item.JobID, 1)
	scheduler := NewScheduler()
	progress := scheduler.RecordStart(time.UnixMilli(0), item, "u", time.UnixMilli(0))
	for _, text := range []string{"one", "two"} {
		progress.AddOutput(v1, []byte(text), 1, text)
		replica.saveOutput(scheduler.TakeUnsaved())
	}
	next := NewScheduler()
	next.RestoreProgress(time.Time{}, item, SavedProgress(replica.store, item.JobID, item.Index), nil)
	restored := next.Progress(item)
	expect.Expect(restored.Origin).To(Equal(v1))
	expect.Expect(string(restored.Text)).To(Equal("one\ntwo"))
	restored.AddOutput(v1, []byte("three"), 1, "three")
	base, text := restored.UnsavedPart()
	expect.Expect(base).To(Equal(len("one\ntwo")))
	expect.Expect(replica.settleOutput(base, text, v1)).To(BeEquivalentTo(1))
	expect.Expect(string(replica.readPage(item.JobID, 0).GetEntries()[0].GetText())).To(Equal("one\ntwo\nthree"))
}

// A leader of an older build saves no origin, and goes on at any version.
func TestOutputThatAnOlderBuildSavedHasNoOrigin(t *testing.T) {
	expect := NewWithT(t)
	replica := newTestReplica(t)
	replica.submitJob(item.JobID, 1)
	replica.saveOutput([]*pb.PageProgress{{JobId: item.JobID, Text: []byte("one"), Events: 1, LastEvent: "1", Service: "s", SoftwareVersion: "v1"}})
	replica.saveProgress(item.JobID, item.Index, 3, "\ntwo", "2")
	saved := SavedProgress(replica.store, item.JobID, item.Index)
	expect.Expect(string(saved.GetText())).To(Equal("one\ntwo"))
	scheduler := NewScheduler()
	scheduler.RestoreProgress(time.Time{}, item, saved, nil)
	expect.Expect(bindingOf(scheduler, time.UnixMilli(0))).To(Equal(string(VersionUnknown)))
	expect.Expect(scheduler.DiscardOtherOutput(item, origins.Origin{Service: "s"})).To(BeZero())
	expect.Expect(scheduler.DiscardOtherOutput(item, v1)).To(Equal(3))
	expect.Expect(replica.settleOutput(7, []byte("\nthree"), origins.Origin{})).To(BeEquivalentTo(1), "replicas of both builds must accept it")
}
