package jobpages

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/origins"
	"github.com/briarcross/briarcross/pb"
)

var openItems = []OpenItem{{JobID: "a", Index: 0}, {JobID: "a", Index: 1}, {JobID: "b", Index: 0}}

func TestRunningItemIsNotRunnable(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(0)
	scheduler := NewScheduler()
	scheduler.RecordStart(now, ItemKey{"a", 1}, "u", now)
	expect.Expect(scheduler.RunnableItems(now, openItems, NewRunTimeEstimator())).To(Equal([]ItemKey{{"a", 0}, {"b", 0}}))
	scheduler.RecordEnd(now, ItemKey{"a", 1}, Preempted)
	expect.Expect(scheduler.RunnableItems(now, openItems, NewRunTimeEstimator())).To(HaveLen(3))
}

// When a burst of online requests exceeds the slots of an upstream, the runs with
// the fewest events are preempted and later resume from their last event.
func TestPreemptsRunsWithFewestEvents(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(0)
	scheduler := NewScheduler()
	for i, events := range []int{200, 3, 90} {
		progress := scheduler.RecordStart(now, ItemKey{"a", uint32(i)}, "u", now)
		progress.EventCount, progress.LastEventID, progress.Text = events, "x", []byte("text")
	}
	scheduler.RecordStart(now, ItemKey{"b", 0}, "other", now)
	victims := scheduler.PreemptionVictims(now, "u", 2, NewRunTimeEstimator())
	expect.Expect(victims).To(Equal([]ItemKey{{"a", 1}, {"a", 2}}))
	expect.Expect(scheduler.PreemptionVictims(now, "u", 9, NewRunTimeEstimator())).To(HaveLen(3))
	scheduler.RecordEnd(now, victims[0], Preempted)
	expect.Expect(scheduler.Progress(victims[0]).Text).To(Equal([]byte("text")))
	expect.Expect(scheduler.Progress(victims[0]).AvoidUpstream).To(BeEmpty())
}

func TestInterruptedRunContinuesElsewhereAfterADelay(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(0)
	scheduler := NewScheduler()
	progress := scheduler.RecordStart(now, ItemKey{"a", 0}, "u", now)
	progress.EventCount, progress.LastEventID = 3, "3"
	scheduler.RecordEnd(now, ItemKey{"a", 0}, Interrupted)
	expect.Expect(scheduler.RunnableItems(now, openItems[:1], NewRunTimeEstimator())).To(BeEmpty())
	expect.Expect(scheduler.RunnableItems(now.Add(restartDelay), openItems[:1], NewRunTimeEstimator())).To(HaveLen(1))
	expect.Expect(progress.AvoidUpstream).To(Equal("u"))
	expect.Expect(progress.LastEventID).To(Equal("3"))
}

func TestFailedRunIsCountedAndRestarts(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(0)
	scheduler := NewScheduler()
	for run := range 3 {
		progress := scheduler.RecordStart(now, ItemKey{"a", 0}, "u", now)
		progress.EventCount, progress.LastEventID = 3, "3"
		expect.Expect(scheduler.RecordEnd(now, ItemKey{"a", 0}, Failed)).To(Equal(run + 1))
		expect.Expect(progress.EventCount).To(BeZero())
		expect.Expect(progress.LastEventID).To(BeEmpty())
	}
}

func TestItemsAreUrgentOnlyWhenBatchCapacityIsTooSmall(t *testing.T) {
	expect := NewWithT(t)
	const runTime = 6 * time.Second
	expect.Expect(IsUrgent(12*time.Second, runTime, 90, 100)).To(BeFalse())
	expect.Expect(IsUrgent(12*time.Second, runTime, 190, 100)).To(BeFalse())
	expect.Expect(IsUrgent(12*time.Second, runTime, 210, 100)).To(BeTrue())
	expect.Expect(IsUrgent(5*time.Second, runTime, 1, 100)).To(BeTrue())
	expect.Expect(IsUrgent(time.Minute, runTime, 1, 0)).To(BeTrue())
}

// A new leader that was partitioned while routes were added has an older routing
// table than the job: it must not fail the items of a route that it lacks.
func TestMissingRouteFailsItemOnlyIfTheRoutingTableIsCurrent(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(100_000)
	job := &pb.PageJob{RoutingVersion: 7, KeepUnixMs: 100_000}
	expect.Expect(CheckEligibility(job, now, 6, false)).To(Equal(RoutingBehind))
	expect.Expect(CheckEligibility(job, now, 7, false)).To(Equal(NoRoute))
	expect.Expect(CheckEligibility(job, now, 9, false)).To(Equal(NoRoute))
	expect.Expect(CheckEligibility(job, now, 6, true)).To(Equal(Eligible))
}

// A leader whose clock jumps ahead by some seconds must not abandon items early.
func TestItemIsKeptForTheClockSkewMargin(t *testing.T) {
	expect := NewWithT(t)
	job := &pb.PageJob{KeepUnixMs: 100_000}
	expect.Expect(CheckEligibility(job, time.UnixMilli(105_000), 1, true)).To(Equal(Eligible))
	expect.Expect(CheckEligibility(job, time.UnixMilli(111_000), 1, true)).To(Equal(KeptTooLong))
}

// Whatever interrupts the runs, an item without output must not take one engine after another,
// and one that has output goes on at once.
func TestFruitlessRunsFollowEachOtherAtOnce(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(0)
	scheduler := NewScheduler()
	key := ItemKey{"a", 0}
	end := func(events int, outcome RunOutcome) time.Duration {
		progress := scheduler.RecordStart(now, key, "u", now)
		progress.EventCount += events
		scheduler.RecordEnd(now, key, outcome)
		return progress.NotBefore.Sub(now)
	}
	var delays []time.Duration
	for range 8 {
		delays = append(delays, end(0, Interrupted))
	}
	expect.Expect(delays).To(Equal([]time.Duration{
		restartDelay, restartDelay, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second, 8 * time.Second,
	}))
	expect.Expect(end(0, Preempted)).To(Equal(8 * time.Second))
	expect.Expect(end(1, Interrupted)).To(Equal(restartDelay))
	expect.Expect(end(0, Interrupted)).To(Equal(restartDelay))
}

// Output that belongs to no item is discarded, and the run does not count towards the attempts
// after which an item is given up.
func TestSpoiledOutputIsDiscarded(t *testing.T) {
	g := NewWithT(t)
	s := NewScheduler()
	key := ItemKey{JobID: "j", Index: 0}
	for range 5 {
		progress := s.RecordStart(time.UnixMilli(0), key, "u", time.UnixMilli(1000))
		progress.AddOutput(origins.Origin{}, []byte("x"), 1, "1")
		g.Expect(s.RecordEnd(time.UnixMilli(10), key, Spoiled)).To(BeZero())
		g.Expect(s.Progress(key).EventCount).To(BeZero())
		g.Expect(s.Progress(key).LastEventID).To(BeEmpty())
		g.Expect(s.Progress(key).AvoidUpstream).To(Equal("u"))
	}
	g.Expect(s.Progress(key).NotBefore).To(BeTemporally(">", time.UnixMilli(10+int64(restartDelay/time.Millisecond))))
}

// The engines hold fewer items than come: with the earliest due first, all ran a little, and most
// were late or not done at all. Items that had become late, mostly large ones, waited with their
// output for all new ones.
func TestItemsWithOutputAreFinishedFirst(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(0)
	due := func(job string, dueIn time.Duration) OpenItem {
		return OpenItem{JobID: job, DueUnixMs: uint64(dueIn.Milliseconds()), AbandonUnixMs: uint64(time.Hour.Milliseconds())}
	}
	open := []OpenItem{due("late", time.Second), due("late-begun", time.Second), due("new", 15*time.Second), due("begun", 16*time.Second)}
	scheduler := NewScheduler()
	for _, job := range []string{"late-begun", "begun"} {
		scheduler.RecordStart(now, ItemKey{job, 0}, "u", now).EventCount = 10
		scheduler.RecordEnd(now, ItemKey{job, 0}, Preempted)
	}
	expect.Expect(scheduler.RunnableItems(now, open, NewRunTimeEstimator())).To(Equal([]ItemKey{{"begun", 0}, {"late-begun", 0}, {"new", 0}, {"late", 0}}))
}

// While items are interrupted for long, no new item could be on time if it is large. All new items
// then counted as late, and each started only when it was.
func TestItemsThatAreOnTimeUnlessLargeWaitForLateOnes(t *testing.T) {
	estimator := NewRunTimeEstimator()
	for i := range 100 {
		events := 50 + 100*(i%2)
		estimator.Observe(events, events, time.Duration(events)*50*time.Millisecond)
		estimator.ObserveCompletion(time.UnixMilli(0).Add(time.Hour), &ItemProgress{FirstStartedAt: time.UnixMilli(0), EventCount: events})
	}
	average, large := estimator.RemainingElapsedTime(0), estimator.RemainingElapsedTimeIfLarge(0)
	expect := NewWithT(t)
	expect.Expect(large).To(BeNumerically(">", average))
	now := time.UnixMilli(0)
	due := func(job string, dueIn time.Duration) OpenItem {
		return OpenItem{JobID: job, DueUnixMs: uint64(dueIn.Milliseconds()), AbandonUnixMs: uint64(time.Hour.Milliseconds())}
	}
	open := []OpenItem{due("late", average/2), due("unless-large", (average+large)/2), due("sure", 2*large)}
	expect.Expect(NewScheduler().RunnableItems(now, open, estimator)).To(Equal([]ItemKey{{"sure", 0}, {"unless-large", 0}, {"late", 0}}))
}

// Of two runs with the same due time, the one that was nearly done has more slack. It was
// preempted first.
func TestRunThatIsNearlyDoneIsPreemptedLast(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(0)
	scheduler := NewScheduler()
	run := func(job string, dueIn time.Duration, events int) {
		scheduler.RecordStart(now, ItemKey{job, 0}, "u", now.Add(dueIn)).EventCount = events
	}
	// An item of the average length takes 6 s.
	run("nearly-done", 15*time.Second, 230)
	run("begun", 15*time.Second, 20)
	run("without-slack", 7*time.Second, 0)
	run("late", time.Second, 100)
	expect.Expect(scheduler.PreemptionVictims(now, "u", 9, NewRunTimeEstimator())).To(Equal([]ItemKey{{"late", 0}, {"begun", 0}, {"nearly-done", 0}, {"without-slack", 0}}))
}
