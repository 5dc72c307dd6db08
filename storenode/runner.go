package storenode

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/upstream"
)

const (
	// tickInterval is the pause between two looks at the items that may start and
	// at the upstreams that have to be relieved.
	tickInterval = 20 * time.Millisecond
	// takeoverDelay is the time between an election and the first run of a new
	// leader; the one before has stopped its runs by then.
	takeoverDelay = 600 * time.Millisecond
	// expireInterval is the pause between two looks for expired jobs.
	expireInterval = 5 * time.Second
	maxExpiredJobs = 32
	// saveInterval is the pause between two records of what the running items
	// have generated; a new leader repeats that much at the most.
	saveInterval = time.Second
	// maxStartsPerTick bounds the items that start in one tick.
	maxStartsPerTick = 16
	// dueMargin is the time before an item's due time at which it should be
	// done. It leaves time for a change of leader and another run.
	dueMargin = 6 * time.Second
)

// runner runs the items of the open jobs while this replica leads.
type runner struct {
	node    *Node
	engines *upstream.Client
	wakeup  chan struct{}

	mu                  sync.Mutex
	leading             bool
	leadershipChangedAt time.Time
	scheduler           *jobpages.Scheduler
	runs                map[jobpages.ItemKey]runHandle
	estimator           *jobpages.RunTimeEstimator
	ctx                 context.Context
	cancel              context.CancelFunc
	tasks               sync.WaitGroup
}

// runHandle ends one run.
type runHandle struct {
	cancel context.CancelFunc
	// preempted is set when the run gives way to online requests.
	preempted *atomic.Bool
}

func newRunner(n *Node, codec upstream.HeaderCodec) *runner {
	r := &runner{
		node:      n,
		engines:   upstream.NewClient(codec, nil),
		wakeup:    make(chan struct{}, 1),
		scheduler: jobpages.NewScheduler(),
		runs:      make(map[jobpages.ItemKey]runHandle),
		estimator: jobpages.NewRunTimeEstimator(),
	}
	r.ctx, r.cancel = context.WithCancel(n.ctx)
	r.tasks.Go(func() { r.loop(n.ctx) })
	return r
}

// setLeading starts or ends the runs of this replica.
func (r *runner) setLeading(leading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading = leading
	r.leadershipChangedAt = time.Now()
	r.cancel()
	r.ctx, r.cancel = context.WithCancel(r.node.ctx)
	r.scheduler = jobpages.NewScheduler()
	r.runs = make(map[jobpages.ItemKey]runHandle)
}

// wake has the runner look for items soon. It never blocks.
func (r *runner) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

func (r *runner) close() {
	r.mu.Lock()
	r.cancel()
	r.mu.Unlock()
	r.tasks.Wait()
}

// cancelRuns stops the runs of a job.
func (r *runner) cancelRuns(jobID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, run := range r.runs {
		if key.JobID == jobID {
			run.cancel()
		}
	}
}

func (r *runner) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	expireAt := time.Now().Add(expireInterval)
	saveAt := time.Now().Add(saveInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wakeup:
		}
		if !r.mayRunItems() {
			continue
		}
		r.preemptRuns()
		r.startItems()
		if time.Now().After(saveAt) {
			saveAt = time.Now().Add(saveInterval)
			r.saveProgress()
		}
		if time.Now().After(expireAt) {
			expireAt = time.Now().Add(expireInterval)
			r.expireJobs()
		}
	}
}

func (r *runner) mayRunItems() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leading && time.Since(r.leadershipChangedAt) > takeoverDelay && r.node.Table() != nil
}

// preemptRuns stops runs at the upstreams that online requests have overfilled, and
// at those that leave.
func (r *runner) preemptRuns() {
	for upstreamID, count := range r.node.Slots.Overload() {
		r.mu.Lock()
		for _, key := range r.scheduler.PreemptionVictims(time.Now(), upstreamID, count, r.estimator) {
			if run, running := r.runs[key]; running && run.preempted.CompareAndSwap(false, true) {
				run.cancel()
			}
		}
		r.mu.Unlock()
	}
}

// startItems starts open items as far as slots are free.
func (r *runner) startItems() {
	open := r.node.state.OpenItems()
	r.mu.Lock()
	runnable := r.scheduler.RunnableItems(time.Now(), open, r.estimator)
	running := len(r.runs)
	r.mu.Unlock()
	for i, key := range runnable {
		if i == maxStartsPerTick || !r.startItem(key, running+len(runnable)) {
			return
		}
	}
}

// startItem starts one of the open items. It reports whether another one may
// fit.
func (r *runner) startItem(key jobpages.ItemKey, openCount int) bool {
	replica := r.node.replica.Load()
	var job *pb.PageJob
	var item *pb.PageItem
	var saved *pb.PageProgress
	found := false
	replica.View(func(reader kv.Reader) {
		job, item, found = jobpages.FindItem(reader, key.JobID, key.Index)
		saved = jobpages.SavedProgress(reader, key.JobID, key.Index)
	})
	if !found {
		return true
	}
	table := r.node.Table()
	route, matched := table.Match(job.GetHost(), item.GetPath())
	switch eligibility := jobpages.CheckEligibility(job, time.Now(), table.Version, matched); eligibility {
	case jobpages.Eligible:
	case jobpages.RoutingBehind:
		return true
	default:
		r.settle(key, &pb.PageResult{Failed: true, Reason: string(eligibility)})
		return true
	}
	slotRequest := dispatch.SlotRequest{Service: route.PickService(rand.Uint64()), Class: dispatch.Batch}
	due := time.UnixMilli(int64(job.GetDueUnixMs()))
	r.mu.Lock()
	r.scheduler.RestoreProgress(key, saved)
	slotRequest.Urgent = jobpages.IsUrgent(time.Until(due)-dueMargin, r.estimator.RemainingTime(0), openCount, r.node.Slots.Room(slotRequest.Service))
	if progress := r.scheduler.Progress(key); progress != nil && progress.AvoidUpstream != "" {
		slotRequest.Avoid = []string{progress.AvoidUpstream}
	}
	parent := r.ctx
	r.mu.Unlock()
	grant, refused := r.node.Slots.Acquire(parent, slotRequest)
	if refused != nil {
		return false
	}
	r.startRun(parent, key, job, item, grant)
	return true
}

func (r *runner) startRun(parent context.Context, key jobpages.ItemKey, job *pb.PageJob, item *pb.PageItem, grant dispatch.Grant) {
	ctx, cancel := context.WithCancel(parent)
	preempted := &atomic.Bool{}
	r.mu.Lock()
	progress := r.scheduler.RecordStart(key, grant.Upstream, time.UnixMilli(int64(job.GetDueUnixMs())))
	r.runs[key] = runHandle{cancel, preempted}
	scheduler := r.scheduler
	r.mu.Unlock()
	run := &itemRun{runner: r, scheduler: scheduler, key: key, job: job, item: item, grant: grant, progress: progress, preempted: preempted}
	r.tasks.Go(func() {
		defer cancel()
		run.run(ctx)
	})
}

// observeRun takes in the last run of an item that is complete.
func (r *runner) observeRun(events, eventsInLastRun int, duration time.Duration) {
	r.node.metrics.runTime.Observe(duration.Seconds())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.estimator.Observe(events, eventsInLastRun, duration)
}

// saveProgress records what the running items have generated. A record that is lost
// costs a new leader a repetition, and the result its shorter form.
func (r *runner) saveProgress() {
	r.mu.Lock()
	unsaved := r.scheduler.TakeUnsaved()
	r.mu.Unlock()
	if len(unsaved) == 0 {
		return
	}
	command := &pb.Command{Op: &pb.Command_PageSave{PageSave: &pb.PageSave{Progress: unsaved}}}
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(r.node.ctx, proposeTimeout)
		defer cancel()
		if _, controlErr := r.node.replica.Load().Propose(ctx, command); controlErr != nil {
			r.node.logger.Warn(eventlog.ProgressNotSaved, "items", len(unsaved), "reason", controlErr.GetReason())
		}
	})
}

// settleOutput records the output of an item: what is not saved yet, or all of
// it when the saved part is not there.
func (r *runner) settleOutput(key jobpages.ItemKey, progress *jobpages.ItemProgress) {
	unsavedPart := &pb.PageResult{Base: uint32(progress.SavedBytes), Text: progress.Text[progress.SavedBytes:], Status: http.StatusOK}
	if r.settle(key, unsavedPart) || !r.node.state.IsItemOpen(key.JobID, key.Index) {
		return
	}
	r.settle(key, &pb.PageResult{Text: progress.Text, Status: http.StatusOK})
}

// settle records a result. The first result of an item wins. It reports
// whether this one is known to have been recorded.
func (r *runner) settle(key jobpages.ItemKey, result *pb.PageResult) bool {
	result.JobId, result.Item = key.JobID, key.Index
	command := &pb.Command{Op: &pb.Command_PageSettle{PageSettle: &pb.PageSettle{Results: []*pb.PageResult{result}}}}
	ctx, cancel := context.WithTimeout(r.node.ctx, proposeTimeout)
	defer cancel()
	commandResult, controlErr := r.node.replica.Load().Propose(ctx, command)
	outcome := "completed"
	if result.GetFailed() {
		outcome = result.GetReason()
	}
	r.node.metrics.settled.WithLabelValues(outcome).Inc()
	r.node.logger.Info(eventlog.ItemSettled, "job", key.JobID, "item", key.Index, "failed", result.GetFailed(),
		"reason", result.GetReason(), "status", result.GetStatus(), "base", result.GetBase(), "bytes", len(result.GetText()), "error", controlErr.GetReason())
	return commandResult.GetPage().GetSettled() > 0
}

func (r *runner) expireJobs() {
	replica := r.node.replica.Load()
	var expired []string
	replica.View(func(reader kv.Reader) {
		expired = r.node.state.ExpiredJobs(reader, uint64(time.Now().UnixMilli()), maxExpiredJobs)
	})
	if len(expired) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(r.node.ctx, proposeTimeout)
	defer cancel()
	command := &pb.Command{Op: &pb.Command_PageExpire{PageExpire: &pb.PageExpire{JobIds: expired}}}
	if _, controlErr := replica.Propose(ctx, command); controlErr != nil {
		r.node.logger.Warn(eventlog.JobsNotExpired, "jobs", len(expired), "reason", controlErr.GetReason())
	}
}
