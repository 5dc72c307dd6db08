package jobpages

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// ItemKey names an item.
type ItemKey struct {
	JobID string
	Index uint32
}

// ItemProgress is what is known of an item that has no result.
type ItemProgress struct {
	// Text holds the events so far.
	Text []byte
	// EventCount counts them.
	EventCount int
	// LastEventID is the ID of the last one.
	LastEventID string
	// SavedBytes is the number of bytes of the text that are saved.
	SavedBytes int
	// Failures counts the runs that an engine ended with a failure.
	Failures int
	// NotBefore is the time before which the item does not run again.
	NotBefore time.Time
	// Upstream is where the item runs; empty while it waits.
	Upstream string
	// AvoidUpstream names the upstream at which the last run broke off.
	AvoidUpstream string
	// DueAt is the time at which the item should be done.
	DueAt time.Time
}

const (
	// baseBackoff doubles with each failure of an item.
	baseBackoff = 100 * time.Millisecond
	maxBackoff  = 2 * time.Second
	// restartDelay is the time after a broken run before the item goes on, so
	// that the engine before has stopped.
	restartDelay = 50 * time.Millisecond
	// abandonMargin is the time before an item is given up at which it comes
	// first; it leaves time for a change of leader and another run.
	abandonMargin = 8 * time.Second
)

// Scheduler is the leader's volatile knowledge of the items that run. A new leader
// starts with an empty one and runs every open item from its beginning.
type Scheduler struct {
	progress map[ItemKey]*ItemProgress
}

// NewScheduler returns an empty plan.
func NewScheduler() *Scheduler {
	return &Scheduler{progress: make(map[ItemKey]*ItemProgress)}
}

// RunnableItems returns the open items that may start now: first those that would
// otherwise be given up, then those that can be done in time, the earliest due
// first, then the others. It answers batch that comes faster than it can be
// done for longer than its jobs have: in the order of due times alone, each
// item would start when it is late already.
func (p *Scheduler) RunnableItems(now time.Time, open []OpenItem, estimator *RunTimeEstimator) []ItemKey {
	var nearAbandon, onTime, late []ItemKey
	for _, item := range open {
		key := ItemKey{item.JobID, item.Index}
		progress, known := p.progress[key]
		if known && (progress.Upstream != "" || now.Before(progress.NotBefore)) {
			continue
		}
		eventsDone := 0
		if known {
			eventsDone = progress.EventCount
		}
		end := now.Add(estimator.RemainingTime(eventsDone))
		switch {
		case end.Add(abandonMargin).After(time.UnixMilli(int64(item.AbandonUnixMs))):
			nearAbandon = append(nearAbandon, key)
		case !end.After(time.UnixMilli(int64(item.DueUnixMs))):
			onTime = append(onTime, key)
		default:
			late = append(late, key)
		}
	}
	return slices.Concat(nearAbandon, onTime, late)
}

// RecordStart marks an item as running and returns its progress.
func (p *Scheduler) RecordStart(key ItemKey, upstream string, dueAt time.Time) *ItemProgress {
	progress, known := p.progress[key]
	if !known {
		progress = &ItemProgress{}
		p.progress[key] = progress
	}
	progress.Upstream = upstream
	progress.DueAt = dueAt
	return progress
}

// Progress returns what is known of an item; nil if nothing is.
func (p *Scheduler) Progress(key ItemKey) *ItemProgress {
	return p.progress[key]
}

// RunOutcome is how a run ended.
type RunOutcome int

// The ends of a run that leave the item open.
const (
	// Preempted runs were stopped for online requests.
	Preempted RunOutcome = iota
	// NotRun runs did not start.
	NotRun
	// Interrupted runs ended without their whole output.
	Interrupted
	// Failed runs were ended by the engine with a failure.
	Failed
)

// RecordEnd marks an item as waiting after a run. It returns the number of failures.
func (p *Scheduler) RecordEnd(now time.Time, key ItemKey, outcome RunOutcome) int {
	progress, known := p.progress[key]
	if !known {
		return 0
	}
	progress.AvoidUpstream = ""
	switch outcome {
	case Interrupted:
		progress.NotBefore = now.Add(restartDelay)
		progress.AvoidUpstream = progress.Upstream
	case Failed:
		progress.Failures++
		progress.NotBefore = now.Add(min(baseBackoff<<min(progress.Failures, 8), maxBackoff))
		progress.AvoidUpstream = progress.Upstream
		// A failed run is not gone on with.
		progress.Text, progress.EventCount, progress.LastEventID, progress.SavedBytes = nil, 0, "", 0
	case NotRun:
		progress.NotBefore = now.Add(restartDelay)
	}
	progress.Upstream = ""
	return progress.Failures
}

// RestoreProgress gives an item that is not known yet its saved progress.
func (p *Scheduler) RestoreProgress(key ItemKey, saved *pb.PageProgress) {
	if _, known := p.progress[key]; known || len(saved.GetText()) == 0 {
		return
	}
	p.progress[key] = &ItemProgress{
		Text: saved.GetText(), EventCount: int(saved.GetEvents()), LastEventID: saved.GetLastEvent(), SavedBytes: len(saved.GetText()),
	}
}

// TakeUnsaved returns what the items have generated since it was last asked, and
// counts it as saved.
func (p *Scheduler) TakeUnsaved() []*pb.PageProgress {
	var unsaved []*pb.PageProgress
	for key, progress := range p.progress {
		if len(progress.Text) == progress.SavedBytes {
			continue
		}
		unsaved = append(unsaved, &pb.PageProgress{
			JobId: key.JobID, Item: key.Index, Base: uint32(progress.SavedBytes), Text: slices.Clone(progress.Text[progress.SavedBytes:]),
			Events: uint32(progress.EventCount), LastEvent: progress.LastEventID,
		})
		progress.SavedBytes = len(progress.Text)
	}
	slices.SortFunc(unsaved, func(a, b *pb.PageProgress) int {
		return cmp.Or(cmp.Compare(a.GetJobId(), b.GetJobId()), cmp.Compare(a.GetItem(), b.GetItem()))
	})
	return unsaved
}

// Remove drops an item that has its result.
func (p *Scheduler) Remove(key ItemKey) {
	delete(p.progress, key)
}

// PreemptionVictims picks the runs at an upstream that can best wait: those that are late
// already, then those with the most time left, then those with the fewest
// events, which have the least to be read again.
func (p *Scheduler) PreemptionVictims(now time.Time, upstream string, count int, estimator *RunTimeEstimator) []ItemKey {
	type run struct {
		key   ItemKey
		slack time.Duration
	}
	var running []run
	for key, progress := range p.progress {
		if progress.Upstream != upstream {
			continue
		}
		slack := progress.DueAt.Sub(now) - estimator.RemainingTime(progress.EventCount)
		if slack < 0 {
			slack = math.MaxInt64
		}
		running = append(running, run{key, slack})
	}
	slices.SortFunc(running, func(a, b run) int {
		return cmp.Or(
			cmp.Compare(b.slack, a.slack),
			cmp.Compare(p.progress[a.key].EventCount, p.progress[b.key].EventCount),
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

// IsUrgent reports whether items would be late if they ran only in the slots
// that online requests leave even in a burst. It answers batch that comes
// beside bursts: while there is room enough, no run has to give way; when
// there is not, waiting for urgency would waste the slots between the bursts.
func IsUrgent(timeToDue, runTime time.Duration, openItems, batchCapacity int) bool {
	if batchCapacity <= 0 {
		return true
	}
	rounds := (openItems + batchCapacity - 1) / batchCapacity
	return time.Duration(rounds)*runTime > timeToDue
}

// clockSkewMargin is added to the time for which an item is kept. The clocks of VMs
// may differ, and jump, by some seconds.
const clockSkewMargin = 10 * time.Second

// Eligibility tells whether an item may run.
type Eligibility string

// The verdicts on an item.
const (
	Eligible Eligibility = ""
	// RoutingBehind is the verdict while this daemon's routing table is older than
	// the one that the job was accepted under.
	RoutingBehind Eligibility = "routing_behind"
	NoRoute       Eligibility = "no_route"
	KeptTooLong   Eligibility = "kept_too_long"
)

// CheckEligibility decides whether an item of a job may run, given the version of the
// routing table and whether it has a route for the item.
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
