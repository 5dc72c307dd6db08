package storenode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/routing"
	"github.com/briarcross/briarcross/upstream"
)

const (
	// tickInterval is the interval at which the runner starts runnable items and
	// preempts runs.
	tickInterval = 20 * time.Millisecond
	// standbyInterval is the interval while this replica does not run items.
	standbyInterval = 100 * time.Millisecond
	// takeoverDelay is the time between an election and the first run that a new
	// leader starts; by then the previous leader has stopped its runs.
	takeoverDelay = 600 * time.Millisecond
	// expireInterval is the interval at which expired jobs are deleted.
	expireInterval = 5 * time.Second
	maxExpiredJobs = 32
	// saveInterval is the interval at which the output of running items is
	// saved; a new leader repeats at most that much of it.
	saveInterval = time.Second
	// maxQueuedPreemptions bounds the preemption requests that wait to be handled.
	maxQueuedPreemptions = 1024
	// maxStartsPerTick bounds the number of items that start in one tick, maxReadsPerTick
	// the number of items that are read from the store.
	maxStartsPerTick = 16
	maxReadsPerTick  = 128
	// searchPauseFactor is the pause after a search for items in durations of the search.
	searchPauseFactor = 4
	// dueMargin is how long before its due time an item should be completed. It
	// leaves time for a change of leader and another run.
	dueMargin = 6 * time.Second
)

// runner runs the items of the open jobs while this replica leads.
type runner struct {
	node    *Node
	engines *upstream.Client
	codec   upstream.HeaderCodec
	workers *workers
	// propose replicates a command in the storage group.
	propose func(context.Context, *pb.Command) (*pb.CommandResult, *pb.ControlError)
	// runAtEngine runs an item at the upstream of its grant.
	runAtEngine func(context.Context, *itemRun) runEnd
	// wakeup requests a tick before the next regular one.
	wakeup chan struct{}
	// preemptions queues the preemption requests of other daemons.
	preemptions chan dispatch.PreemptionRequest

	mu                  sync.Mutex
	leading             bool
	leadershipChangedAt time.Time
	// inheritedJobs are the jobs that were open when this replica became leader. Earlier leaders
	// may have run their items.
	inheritedJobs map[string]bool
	scheduler     *jobpages.Scheduler
	// runs holds the runs in progress.
	runs      map[jobpages.ItemKey]runHandle
	estimator *jobpages.RunTimeEstimator
	// targets is used by the goroutine of loop alone.
	targets *itemTargets
	// triedAt is the time of the last start of an item with a part in quarantine.
	triedAt time.Time
	// lastSearch is the result of the last search for items that can start.
	lastSearch searchResult
	// ctx is the parent of all runs; it is cancelled when leadership changes.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// runHandle cancels one run.
type runHandle struct {
	cancel context.CancelFunc
	// preempted is set before a run is cancelled to free its slot.
	preempted *atomic.Bool
}

func newRunner(n *Node, codec upstream.HeaderCodec) *runner {
	r := &runner{
		node:        n,
		engines:     upstream.NewClient(codec, nil),
		codec:       codec,
		wakeup:      make(chan struct{}, 1),
		preemptions: make(chan dispatch.PreemptionRequest, maxQueuedPreemptions),
		scheduler:   jobpages.NewScheduler(),
		runs:        make(map[jobpages.ItemKey]runHandle),
		estimator:   jobpages.NewRunTimeEstimator(),
		targets:     newItemTargets(),
		propose: func(ctx context.Context, command *pb.Command) (*pb.CommandResult, *pb.ControlError) {
			return n.replica.Load().Propose(ctx, command)
		},
		runAtEngine: func(ctx context.Context, x *itemRun) runEnd { return x.runOnAnyDaemon(ctx) },
	}
	r.ctx, r.cancel = context.WithCancel(n.ctx)
	return r
}

// start starts the runner once the node is complete.
func (r *runner) start() {
	r.workers = newWorkers(r.node.Transport, r.node.logger, r.node.workersIn)
	r.tasks.Go(func() { r.loop(r.node.ctx) })
}

// setLeading records whether this replica leads, and in which term. It cancels all
// runs and resets the scheduler.
func (r *runner) setLeading(term uint64, leading bool) {
	if leading {
		r.workers.setTerm(term)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading = leading
	r.leadershipChangedAt = time.Now()
	r.cancel()
	r.ctx, r.cancel = context.WithCancel(r.node.ctx)
	r.scheduler = jobpages.NewScheduler()
	r.runs = make(map[jobpages.ItemKey]runHandle)
	r.inheritedJobs = nil
	if leading {
		r.inheritedJobs = r.node.state.OpenJobs()
	}
}

// wake makes the runner look for runnable items without waiting for the next
// tick. It never blocks.
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
	r.workers.close()
}

// cancelRuns cancels the runs of a job.
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
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	expireAt := time.Now().Add(expireInterval)
	saveAt := time.Now().Add(saveInterval)
	// searchAt is the time of the next search for items that can start.
	searchAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-r.preemptions:
			r.preempt(request.Upstream, r.node.Slots.RequestedPreemptions(request))
			continue
		case <-timer.C:
		case <-r.wakeup:
		}
		if !r.mayRunItems() {
			timer.Reset(standbyInterval)
			continue
		}
		r.preemptRuns()
		if wait := time.Until(searchAt); wait > 0 {
			timer.Reset(wait)
			continue
		}
		timer.Reset(tickInterval)
		searchedAt := time.Now()
		r.startItems()
		searchAt = time.Now().Add(searchPause(time.Since(searchedAt)))
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

// searchPause returns the pause after a search for items that took a time. Each run that ends asks
// for a search, whose cost grows with the open items; together they must leave most of the
// processor to the runs.
func searchPause(took time.Duration) time.Duration {
	return min(searchPauseFactor*took, tickInterval)
}

// mayRunItems reports whether this replica leads, the previous leader has
// stopped its runs, and a routing table is known.
func (r *runner) mayRunItems() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leading && time.Since(r.leadershipChangedAt) > takeoverDelay && r.node.Table() != nil
}

// preemptRuns cancels runs at upstreams where online requests and batch runs
// together exceed the slots.
func (r *runner) preemptRuns() {
	for upstreamID, count := range r.node.Slots.BatchPreemptions() {
		r.preempt(upstreamID, count)
	}
}

// requestPreemption queues a preemption request of another daemon. It never blocks:
// load reports tell the same, only later.
func (r *runner) requestPreemption(request dispatch.PreemptionRequest) {
	select {
	case r.preemptions <- request:
	default:
	}
}

// preempt cancels a number of runs at an upstream. Runs that are being cancelled
// count.
func (r *runner) preempt(upstreamID string, count int) {
	if count <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range r.scheduler.PreemptionVictims(time.Now(), upstreamID, count, r.estimator) {
		if run, running := r.runs[key]; running && run.preempted.CompareAndSwap(false, true) {
			run.cancel()
		}
	}
}

// startItems starts runnable items while slots are free, up to maxStartsPerTick.
func (r *runner) startItems() {
	open := r.node.state.OpenItems()
	r.mu.Lock()
	runnable := r.scheduler.RunnableItems(time.Now(), open, r.estimator)
	openCount := len(r.runs) + len(runnable)
	r.mu.Unlock()
	r.targets.prune(open)
	r.startAll(runnable, r.node.Table(), openCount)
}

// startAll starts items in order until no service has a free slot or maxStartsPerTick have
// started. Items that cannot start do not hold up others, whatever they wait for. openCount is
// the number of running and runnable items.
func (r *runner) startAll(runnable []jobpages.ItemKey, table *routing.Table, openCount int) {
	r.mu.Lock()
	round := newStartRound(r.scheduler.NewStartRound(time.Now()), table)
	r.mu.Unlock()
	startedCount, readCount := 0, 0
	for _, key := range runnable {
		if startedCount == maxStartsPerTick || readCount == maxReadsPerTick || round.isOver() {
			break
		}
		if r.mustWait(key, round) {
			round.refuse(waitsForSlot)
			continue
		}
		readCount++
		if r.startItem(key, openCount, round) == started {
			startedCount++
		}
	}
	r.settleAll(round.failed)
	r.mu.Lock()
	defer r.mu.Unlock()
	round.End(func(service string) bool { return r.node.Slots.HasSlot(round.unbound[service]) })
	r.lastSearch = searchResult{time.Now(), len(runnable), round.refused}
}

// mustWait reports whether an item certainly gets no slot in a round. Items that have not been
// read yet may.
func (r *runner) mustWait(key jobpages.ItemKey, round *startRound) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if round.MustWait(key) {
		return true
	}
	target, known := r.targets.find(key, round.table)
	return known && !round.mayStart(target, r.scheduler.Progress(key).AvoidedUpstream())
}

// startItem starts a run of an item, or adds the item to those of the round that have failed
// if it is not eligible any more. openCount is the number of running and runnable items.
func (r *runner) startItem(key jobpages.ItemKey, openCount int, round *startRound) startResult {
	replica := r.node.replica.Load()
	var job *pb.PageJob
	var item *pb.PageItem
	var saved *pb.PageProgress
	var recorded *pb.PageAttempts
	found := false
	replica.View(func(reader kv.Reader) {
		job, item, found = jobpages.FindItem(reader, key.JobID, key.Index)
		saved = jobpages.SavedProgress(reader, key.JobID, key.Index)
		recorded = jobpages.RecordedAttempts(reader, key.JobID, key.Index)
	})
	// The item may have got its result since the open items were listed.
	if !found || !r.node.state.IsItemOpen(key.JobID, key.Index) {
		return notEligible
	}
	target := r.targets.add(key, job, item, r.codec.TokenCount(itemHeader(item)), round.table)
	r.mu.Lock()
	r.scheduler.RestoreProgress(time.Now(), key, saved, recorded)
	runnable := r.scheduler.IsRunnable(time.Now(), key)
	parent := r.ctx
	r.mu.Unlock()
	switch {
	case !runnable:
		round.refuse("fruitless_runs")
		return notEligible
	case recorded.GetFailures() > 0 && recorded.GetFailures() >= job.GetAttempts():
		round.fail(key, "attempts_exhausted")
		return notEligible
	}
	switch eligibility := jobpages.CheckEligibility(job, time.Now(), round.table.Version, target.route != nil); eligibility {
	case jobpages.Eligible:
	case jobpages.RoutingBehind:
		r.postpone(round, key, item, string(eligibility), routingRecheck)
		return notEligible
	default:
		round.fail(key, string(eligibility))
		return notEligible
	}
	_, quarantined := r.node.Quarantine.Check(r.promptParts(item))
	if quarantined && !r.mayTry(time.Now()) {
		r.postpone(round, key, item, "prompt_quarantined", quarantineRecheck)
		return notEligible
	}
	attempt := startAttempt{key: key, job: job, target: target, openCount: openCount}
	grant, reason, result := r.acquireSlot(parent, attempt, round)
	switch result {
	case tooLarge:
		r.postpone(round, key, item, string(dispatch.TooLarge), tooLargeRecheck)
	case started:
		r.startRun(parent, key, job, item, grant, reason)
		if quarantined {
			r.setTried(time.Now())
		}
	}
	return result
}

// promptParts returns the IDs of the parts of an item's prompt that other requests may
// share.
func (r *runner) promptParts(item *pb.PageItem) []string {
	return r.codec.SharedPromptParts(itemHeader(item))
}

// discardOtherOutput discards the output of an item if the upstream of its next run
// cannot go on with it.
func (r *runner) discardOtherOutput(key jobpages.ItemKey, item *pb.PageItem, grant dispatch.Grant, reason jobpages.RestartReason) {
	began := ""
	r.mu.Lock()
	if progress := r.scheduler.Progress(key); progress != nil {
		began = progress.SoftwareVersion
	}
	events := r.scheduler.DiscardOtherOutput(key, originOf(grant))
	r.mu.Unlock()
	if events == 0 {
		return
	}
	r.node.metrics.restarted.WithLabelValues(string(reason)).Inc()
	r.node.logger.Info(eventlog.ItemRestarted, withJob(key.JobID, "request", item.GetId(), "item", key.Index, "upstream", grant.Upstream,
		"version", grant.SoftwareVersion, "reason", string(reason), "began", began, "events", events)...)
}

// startRun starts a run in a slot that acquireSlot returned.
func (r *runner) startRun(parent context.Context, key jobpages.ItemKey, job *pb.PageJob, item *pb.PageItem, grant dispatch.Grant, reason jobpages.RestartReason) {
	ctx, cancel := context.WithCancel(parent)
	preempted := &atomic.Bool{}
	r.discardOtherOutput(key, item, grant, reason)
	r.mu.Lock()
	progress := r.scheduler.RecordStart(time.Now(), key, grant.Upstream, time.UnixMilli(int64(job.GetDueUnixMs())))
	r.runs[key] = runHandle{cancel, preempted}
	scheduler := r.scheduler
	mustRecordStart := progress.MustRecordStart(r.inheritedJobs[key.JobID])
	r.mu.Unlock()
	run := &itemRun{
		runner: r, scheduler: scheduler, leadership: parent, key: key, job: job, item: item, grant: grant, progress: progress, preempted: preempted,
		mustRecordStart: mustRecordStart, promptParts: r.promptParts(item),
	}
	r.tasks.Go(func() {
		defer cancel()
		run.run(ctx)
	})
}

// observeRun records the last run of a completed item in the metrics and the
// estimator: the progress of the item, the number of events in the last run, and the
// duration of the last run.
func (r *runner) observeRun(progress *jobpages.ItemProgress, runEvents int, runTime time.Duration) {
	r.node.metrics.runTime.Observe(runTime.Seconds())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.estimator.Observe(progress.EventCount, runEvents, runTime)
	r.estimator.ObserveCompletion(time.Now(), progress)
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
	if _, controlErr := r.propose(ctx, command); controlErr != nil {
		r.node.logger.Warn(eventlog.JobsNotExpired, "jobs", len(expired), "reason", controlErr.GetReason())
	}
}
