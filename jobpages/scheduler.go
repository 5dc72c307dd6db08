package jobpages

import (
	"cmp"
	"slices"
	"time"

	"github.com/briarcross/briarcross/origins"
	"github.com/briarcross/briarcross/pb"
)

// ItemKey identifies an item of a job.
type ItemKey struct {
	JobID string
	Index uint32
}

// ItemProgress is the leader's volatile state of an item that has no result.
type ItemProgress struct {
	// Text holds the events received so far, in all runs.
	Text []byte
	// EventCount is the number of events in Text.
	EventCount int
	// LastEventID is the ID of the last event in Text; a resumed run continues
	// after it.
	LastEventID string
	// Origin is that of the first event in Text. Only engines of its service and
	// software version may go on with the output. It is zero if there is no output, or
	// if a leader that did not save origins saved it.
	origins.Origin
	// SavedBytes is the number of bytes of Text that were restored, or that
	// TakeUnsaved has returned for saving.
	SavedBytes int
	// Restarted is set once output was discarded. What is saved may be of an earlier
	// run then.
	Restarted bool
	// versionBusySince is the time since which the item has waited for a slot of its
	// version although others had one; zero if it has not. Only output and preemption end
	// the wait: the slot of an engine that sends nothing is of no use.
	versionBusySince time.Time
	// Failures is the number of runs that ended as Failed.
	Failures int
	// FruitlessRuns is the number of runs in a row that were interrupted without output,
	// eventsAtStart the value of EventCount at the start of the latest run.
	FruitlessRuns int
	eventsAtStart int
	// NotBefore is the earliest time of the next run.
	NotBefore time.Time
	// Upstream is the ID of the upstream that runs the item; empty while it waits.
	Upstream string
	// recording is set while the item's result, or what its last run adds to the record of its
	// attempts, is being recorded. The item does not run meanwhile.
	recording bool
	// recordedFruitless is the number of fruitless runs that the record has at least.
	recordedFruitless int
	// AvoidUpstream is the upstream of the last run if that was interrupted or
	// failed, otherwise empty.
	AvoidUpstream string
	// DueAt is the time by which the item should be completed; set by RecordStart.
	DueAt time.Time
	// FirstStartedAt is the time of the first run, zero if it was under another leader.
	FirstStartedAt time.Time
}

// AvoidedUpstream returns AvoidUpstream, which is empty for an item without progress.
func (p *ItemProgress) AvoidedUpstream() string {
	if p == nil {
		return ""
	}
	return p.AvoidUpstream
}

const (
	// The delay after n failures of an item is baseBackoff*2^n, at most
	// maxBackoff.
	baseBackoff = 100 * time.Millisecond
	maxBackoff  = 2 * time.Second
	// restartDelay is the delay of the next run after a run that was interrupted
	// or not run. It gives the previous engine time to stop.
	restartDelay = 50 * time.Millisecond
	// FruitlessLimit is the number of fruitless runs from which on each delays the next run
	// by twice as much as the one before: from fruitlessBackoff to maxFruitlessBackoff. The
	// engines may be lost because of the item, and its result is owed all the same.
	FruitlessLimit      = 3
	fruitlessBackoff    = time.Second
	maxFruitlessBackoff = 8 * time.Second
	// abandonMargin is the margin before its abandon time within which an item
	// takes precedence over all others. It leaves time for a change of leader
	// and another run.
	abandonMargin = 8 * time.Second
)

// Scheduler tracks the runs of items on the leader and orders the waiting items.
// It is not replicated: a new leader starts with an empty one and continues
// items from their saved progress.
type Scheduler struct {
	progress map[ItemKey]*ItemProgress
}

// NewScheduler returns a scheduler without items.
func NewScheduler() *Scheduler {
	return &Scheduler{progress: make(map[ItemKey]*ItemProgress)}
}

// RunnableItems returns the open items that may start now: first those that would otherwise be
// abandoned, then those with output, then those that can complete by their due time, then the
// others. The size of an item is not known: one that starts just in time for the average size is
// late if it is larger. New items that are on time even if they are large therefore precede those
// that are only if they are not. Items with output come before new ones even if they are late:
// they are about as many as there are slots, and what they have generated is worth nothing until
// they complete. Those that can complete by their due time are the first of them. Otherwise the
// order of open is kept, earliest due first. Under an overload that lasts longer than the time
// until items are due, ordering by due time alone would start each item only when it is already
// late.
func (s *Scheduler) RunnableItems(now time.Time, open []OpenItem, estimator *RunTimeEstimator) []ItemKey {
	groups := make([]startGroup, len(open))
	var counts [groupCount]int
	for i, item := range open {
		groups[i] = s.groupOf(now, item, estimator)
		counts[groups[i]]++
	}
	// next holds the index of the next item of each group.
	var next [groupCount]int
	runnable := make([]ItemKey, 0, len(open)-counts[notRunnable])
	for group := nearAbandon; group < groupCount; group++ {
		next[group] = len(runnable)
		runnable = runnable[:len(runnable)+counts[group]]
	}
	for i, item := range open {
		if group := groups[i]; group != notRunnable {
			runnable[next[group]] = ItemKey{item.JobID, item.Index}
			next[group]++
		}
	}
	return runnable
}

// startGroup is a group of items that start one after the other: see RunnableItems.
type startGroup uint8

const (
	// notRunnable items run or have to wait.
	notRunnable startGroup = iota
	nearAbandon
	onTimeBegun
	tooLateBegun
	// onTime items can complete by their due time even if they are large, onTimeIfAverage
	// items only if they are not.
	onTime
	onTimeIfAverage
	tooLate
	groupCount
)

// IsRunnable reports whether an item without a result neither runs nor has to wait.
func (s *Scheduler) IsRunnable(now time.Time, key ItemKey) bool {
	progress, known := s.progress[key]
	return !known || progress.mayRun(now)
}

func (p *ItemProgress) mayRun(now time.Time) bool {
	return p.Upstream == "" && !p.recording && !now.Before(p.NotBefore)
}

func (s *Scheduler) groupOf(now time.Time, item OpenItem, estimator *RunTimeEstimator) startGroup {
	eventsDone := 0
	if progress, known := s.progress[ItemKey{item.JobID, item.Index}]; known {
		if !progress.mayRun(now) {
			return notRunnable
		}
		eventsDone = progress.EventCount
	}
	expectedEnd := now.Add(estimator.RemainingElapsedTime(eventsDone))
	dueAt := time.UnixMilli(int64(item.DueUnixMs))
	switch {
	case IsNearAbandon(expectedEnd, item.AbandonUnixMs):
		return nearAbandon
	case eventsDone > 0 && !expectedEnd.After(dueAt):
		return onTimeBegun
	case eventsDone > 0:
		return tooLateBegun
	case !now.Add(estimator.RemainingElapsedTimeIfLarge(0)).After(dueAt):
		return onTime
	case !expectedEnd.After(dueAt):
		return onTimeIfAverage
	}
	return tooLate
}

// IsNearAbandon reports whether an item that ends at expectedEnd if it starts now is close to
// being abandoned.
func IsNearAbandon(expectedEnd time.Time, abandonUnixMs uint64) bool {
	return expectedEnd.Add(abandonMargin).After(time.UnixMilli(int64(abandonUnixMs)))
}

// RecordStart marks an item as running at an upstream and returns its progress.
func (s *Scheduler) RecordStart(now time.Time, key ItemKey, upstream string, dueAt time.Time) *ItemProgress {
	progress, known := s.progress[key]
	if !known {
		progress = &ItemProgress{FirstStartedAt: now}
		s.progress[key] = progress
	}
	progress.Upstream = upstream
	progress.DueAt = dueAt
	progress.eventsAtStart = progress.EventCount
	return progress
}

// Postpone keeps a waiting item from running before a time.
func (s *Scheduler) Postpone(key ItemKey, notBefore time.Time) {
	progress, known := s.progress[key]
	if !known {
		progress = &ItemProgress{}
		s.progress[key] = progress
	}
	progress.NotBefore = notBefore
}

// Progress returns the progress of an item, or nil if the scheduler has none.
func (s *Scheduler) Progress(key ItemKey) *ItemProgress {
	return s.progress[key]
}

// RunOutcome says how a run ended that left its item without a result.
type RunOutcome int

// The outcomes of a run.
const (
	// Preempted means that the run was stopped to free its slot for online requests.
	Preempted RunOutcome = iota
	// NotRun means that the upstream has certainly not run the item.
	NotRun
	// Interrupted means that the run ended before its output was complete.
	Interrupted
	// Failed means that the engine ended the run with an error.
	Failed
	// Spoiled means that the output is that of no item. The run does not count as failed:
	// the engine did not say so.
	Spoiled
)

// RecordEnd marks an item as waiting after a run. It returns the item's number
// of failures.
func (s *Scheduler) RecordEnd(now time.Time, key ItemKey, outcome RunOutcome) int {
	progress, known := s.progress[key]
	if !known {
		return 0
	}
	progress.AvoidUpstream = ""
	if progress.EventCount > progress.eventsAtStart && outcome != Spoiled {
		progress.FruitlessRuns = 0
	}
	switch outcome {
	case Preempted:
		progress.versionBusySince = time.Time{}
	case Interrupted:
		if progress.EventCount == progress.eventsAtStart {
			progress.FruitlessRuns++
		}
		progress.NotBefore = now.Add(progress.interruptionDelay())
		progress.AvoidUpstream = progress.Upstream
	case Failed:
		progress.Failures++
		progress.NotBefore = now.Add(min(baseBackoff<<min(progress.Failures, 8), maxBackoff))
		progress.AvoidUpstream = progress.Upstream
		// The next run does not resume a failed one: it starts from the beginning.
		progress.discardOutput()
	case Spoiled:
		progress.FruitlessRuns++
		progress.NotBefore = now.Add(progress.interruptionDelay())
		progress.AvoidUpstream = progress.Upstream
		progress.discardOutput()
	case NotRun:
		progress.NotBefore = now.Add(restartDelay)
	}
	progress.Upstream = ""
	return progress.Failures
}

// BeginRecording marks an item as neither running nor waiting: its last run has ended, and what is
// known of the item is being recorded.
func (s *Scheduler) BeginRecording(key ItemKey) {
	if progress, known := s.progress[key]; known {
		progress.Upstream, progress.recording = "", true
	}
}

// EndRecording lets an item run again.
func (s *Scheduler) EndRecording(key ItemKey) {
	if progress, known := s.progress[key]; known {
		progress.recording = false
	}
}

// MustRecordEnd reports whether what a run that RecordEnd has marked as ended adds to the attempts
// of its item must be recorded before the item runs again.
func (p *ItemProgress) MustRecordEnd(outcome RunOutcome) bool {
	switch outcome {
	case Failed, Spoiled:
		return true
	case Interrupted:
		return p.FruitlessRuns > p.recordedFruitless
	}
	return false
}

// MustRecordStart reports whether a run must be recorded before it starts, so that it is counted if
// no leader learns how it ends. That holds for items which an earlier leader may have run, and for
// those that have a record. Runs of items with output do not count.
func (p *ItemProgress) MustRecordStart(ofEarlierLeader bool) bool {
	return p.EventCount == 0 && p.FruitlessRuns >= p.recordedFruitless && (ofEarlierLeader || p.Failures > 0 || p.FruitlessRuns > 0)
}

// Attempts returns the record of an item's attempts, with a number of fruitless runs.
func (p *ItemProgress) Attempts(key ItemKey, fruitlessRuns int) *pb.PageAttempts {
	return &pb.PageAttempts{
		JobId: key.JobID, Item: key.Index, Failures: uint32(p.Failures), FruitlessRuns: uint32(fruitlessRuns),
		DiscardOutput: p.Restarted && p.EventCount == 0,
	}
}

// SetRecorded tells an item's progress the number of fruitless runs that is recorded.
func (s *Scheduler) SetRecorded(key ItemKey, fruitlessRuns int) {
	if progress, known := s.progress[key]; known {
		progress.recordedFruitless = fruitlessRuns
	}
}

// interruptionDelay returns the delay of the next run after an interrupted one.
func (p *ItemProgress) interruptionDelay() time.Duration {
	if p.FruitlessRuns < FruitlessLimit {
		return restartDelay
	}
	return min(fruitlessBackoff<<min(p.FruitlessRuns-FruitlessLimit, 8), maxFruitlessBackoff)
}

// RestoreProgress sets the progress of an item to what is saved of its output and recorded about its
// attempts, unless the scheduler has the item already or there is neither. An item with too many
// fruitless runs waits as after the last of them.
func (s *Scheduler) RestoreProgress(now time.Time, key ItemKey, saved *pb.PageProgress, recorded *pb.PageAttempts) {
	_, known := s.progress[key]
	recordedAny := recorded.GetFailures() > 0 || recorded.GetFruitlessRuns() > 0
	if known || len(saved.GetText()) == 0 && !recordedAny {
		return
	}
	progress := &ItemProgress{
		Text: saved.GetText(), EventCount: int(saved.GetEvents()), LastEventID: saved.GetLastEvent(), SavedBytes: len(saved.GetText()),
		Origin:   origins.Origin{Service: saved.GetService(), SoftwareVersion: saved.GetSoftwareVersion()},
		Failures: int(recorded.GetFailures()), FruitlessRuns: int(recorded.GetFruitlessRuns()), recordedFruitless: int(recorded.GetFruitlessRuns()),
	}
	if progress.FruitlessRuns >= FruitlessLimit {
		progress.NotBefore = now.Add(progress.interruptionDelay())
	}
	s.progress[key] = progress
}

// TakeUnsaved returns the output that items have generated since the last call,
// and counts it as saved.
func (s *Scheduler) TakeUnsaved() []*pb.PageProgress {
	var unsaved []*pb.PageProgress
	for key, progress := range s.progress {
		if len(progress.Text) == progress.SavedBytes {
			continue
		}
		unsaved = append(unsaved, &pb.PageProgress{
			JobId: key.JobID, Item: key.Index, Base: uint32(progress.SavedBytes), Text: slices.Clone(progress.Text[progress.SavedBytes:]),
			Events: uint32(progress.EventCount), LastEvent: progress.LastEventID,
			Service: progress.Service, SoftwareVersion: progress.SoftwareVersion,
		})
		progress.SavedBytes = len(progress.Text)
		progress.recordedFruitless = 0
	}
	slices.SortFunc(unsaved, func(a, b *pb.PageProgress) int {
		return cmp.Or(cmp.Compare(a.GetJobId(), b.GetJobId()), cmp.Compare(a.GetItem(), b.GetItem()))
	})
	return unsaved
}

// Remove deletes the progress of an item that has its result.
func (s *Scheduler) Remove(key ItemKey) {
	delete(s.progress, key)
}

// PreemptionVictims selects up to count runs to preempt at an upstream: first those that will be
// late anyway, then those that can still be on time after a burst of online requests, then the
// others. In each of these groups, those with the fewest events come first: the output is the
// shortest for an engine to read again, and those that are nearly done free their slots soon.
func (s *Scheduler) PreemptionVictims(now time.Time, upstream string, count int, estimator *RunTimeEstimator) []ItemKey {
	type run struct {
		key   ItemKey
		group victimGroup
	}
	var running []run
	for key, progress := range s.progress {
		if progress.Upstream == upstream {
			running = append(running, run{key, victimGroupOf(progress.DueAt.Sub(now) - estimator.RemainingTime(progress.EventCount))})
		}
	}
	slices.SortFunc(running, func(a, b run) int {
		return cmp.Or(
			cmp.Compare(a.group, b.group),
			cmp.Compare(s.progress[a.key].EventCount, s.progress[b.key].EventCount),
			cmp.Compare(a.key.JobID, b.key.JobID),
			cmp.Compare(a.key.Index, b.key.Index),
		)
	})
	var victims []ItemKey
	for _, r := range running[:min(count, len(running))] {
		victims = append(victims, r.key)
	}
	return victims
}

// burstAllowance is the slack with which an item can be preempted for a burst of online requests
// and still be on time.
const burstAllowance = 3 * time.Second

// victimGroup orders runs for preemption.
type victimGroup uint8

const (
	lateAnyway victimGroup = iota
	withSlack
	withoutSlack
)

// victimGroupOf returns the group of a run that has a slack before its due time.
func victimGroupOf(slack time.Duration) victimGroup {
	switch {
	case slack < 0:
		return lateAnyway
	case slack >= burstAllowance:
		return withSlack
	}
	return withoutSlack
}

// IsUrgent reports whether the open items would be late if they ran only in
// batchCapacity, the slots that stay free even in a burst of online requests.
// While that capacity suffices, no run has to be preempted. When it does not,
// items use the slots between the bursts at once; these would be wasted if the
// items waited until they are nearly due.
func IsUrgent(timeToDue, runTime time.Duration, openItems, batchCapacity int) bool {
	if batchCapacity <= 0 {
		return true
	}
	rounds := (openItems + batchCapacity - 1) / batchCapacity
	return time.Duration(rounds)*runTime > timeToDue
}

// clockSkewMargin is added to the abandon time of an item, because the clocks of
// VMs may differ, and jump, by some seconds.
const clockSkewMargin = 10 * time.Second

// Eligibility says whether an item may run, or why not.
type Eligibility string

// The values of Eligibility.
const (
	Eligible Eligibility = ""
	// RoutingBehind: this daemon has no route for the item, but its routing table
	// is older than the one that the job was accepted under. The item waits.
	RoutingBehind Eligibility = "routing_behind"
	NoRoute       Eligibility = "no_route"
	// KeptTooLong: the abandon time passed more than clockSkewMargin ago.
	KeptTooLong Eligibility = "kept_too_long"
)

// CheckEligibility returns whether an item of a job may run, given the version of
// this daemon's routing table and whether that has a route for the item.
func CheckEligibility(job *pb.PageJob, now time.Time, routingVersion uint64, hasRoute bool) Eligibility {
	switch {
	case !hasRoute && routingVersion < job.GetRoutingVersion():
		return RoutingBehind
	case !hasRoute:
		return NoRoute
	case now.After(time.UnixMilli(int64(job.GetKeepUnixMs())).Add(clockSkewMargin)):
		return KeptTooLong
	}
	return Eligible
}
