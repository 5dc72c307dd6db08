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
	// runnerTick is the pause between two looks at the items that may start and
	// at the upstreams that have to be relieved.
	runnerTick = 20 * time.Millisecond
	// leadPause is the time between an election and the first run of a new
	// leader; the one before has stopped its runs by then.
	leadPause = 600 * time.Millisecond
	// expireInterval is the pause between two looks for expired jobs.
	expireInterval = 5 * time.Second
	maxExpire      = 32
	// saveInterval is the pause between two records of what the running items
	// have generated; a new leader repeats that much at the most.
	saveInterval = time.Second
	// maxStarts bounds the items that start in one tick.
	maxStarts = 16
	// dueMargin is the time before an item's due time at which it should be
	// done. It leaves time for a change of leader and another run.
	dueMargin = 6 * time.Second
)

// runner runs the items of the open jobs while this replica leads.
type runner struct {
	node    *Node
	engines *upstream.Client
	woken   chan struct{}

	mu      sync.Mutex
	leading bool
	ledAt   time.Time
	plan    *jobpages.Scheduler
	stops   map[jobpages.ItemKey]stop
	pace    *jobpages.RunTimeEstimator
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

// stop ends one run.
type stop struct {
	cancel context.CancelFunc
	// yielded is set when the run gives way to online requests.
	yielded *atomic.Bool
}

func newRunner(n *Node, dialect upstream.HeaderCodec) *runner {
	r := &runner{
		node:    n,
		engines: upstream.NewClient(dialect, nil),
		woken:   make(chan struct{}, 1),
		plan:    jobpages.NewScheduler(),
		stops:   make(map[jobpages.ItemKey]stop),
		pace:    jobpages.NewRunTimeEstimator(),
	}
	r.ctx, r.cancel = context.WithCancel(n.ctx)
	r.tasks.Go(func() { r.loop(n.ctx) })
	return r
}

// lead starts or ends the runs of this replica.
func (r *runner) lead(leading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading = leading
	r.ledAt = time.Now()
	r.cancel()
	r.ctx, r.cancel = context.WithCancel(r.node.ctx)
	r.plan = jobpages.NewScheduler()
	r.stops = make(map[jobpages.ItemKey]stop)
}

// wake has the runner look for items soon. It never blocks.
func (r *runner) wake() {
	select {
	case r.woken <- struct{}{}:
	default:
	}
}

func (r *runner) close() {
	r.mu.Lock()
	r.cancel()
	r.mu.Unlock()
	r.tasks.Wait()
}

// endJob stops the runs of a job.
func (r *runner) endJob(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, s := range r.stops {
		if key.JobID == id {
			s.cancel()
		}
	}
}

func (r *runner) loop(ctx context.Context) {
	ticker := time.NewTicker(runnerTick)
	defer ticker.Stop()
	expireAt := time.Now().Add(expireInterval)
	saveAt := time.Now().Add(saveInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.woken:
		}
		if !r.ready() {
			continue
		}
		r.relieve()
		r.startItems()
		if time.Now().After(saveAt) {
			saveAt = time.Now().Add(saveInterval)
			r.save()
		}
		if time.Now().After(expireAt) {
			expireAt = time.Now().Add(expireInterval)
			r.expire()
		}
	}
}

func (r *runner) ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leading && time.Since(r.ledAt) > leadPause && r.node.Table() != nil
}

// relieve stops runs at the upstreams that online requests have overfilled, and
// at those that leave.
func (r *runner) relieve() {
	for id, count := range r.node.Slots.BatchPreemptions() {
		r.mu.Lock()
		for _, key := range r.plan.PreemptionVictims(time.Now(), id, count, r.pace) {
			if s, running := r.stops[key]; running && s.yielded.CompareAndSwap(false, true) {
				s.cancel()
			}
		}
		r.mu.Unlock()
	}
}

// startItems starts open items as far as slots are free.
func (r *runner) startItems() {
	open := r.node.state.OpenItems()
	r.mu.Lock()
	next := r.plan.RunnableItems(time.Now(), open, r.pace)
	running := len(r.stops)
	r.mu.Unlock()
	for i, key := range next {
		if i == maxStarts || !r.startItem(key, running+len(next)) {
			return
		}
	}
}

// startItem starts one of the open items. It reports whether another one may
// fit.
func (r *runner) startItem(key jobpages.ItemKey, open int) bool {
	replica := r.node.replica.Load()
	var job *pb.PageJob
	var item *pb.PageItem
	var saved *pb.PageProgress
	known := false
	replica.View(func(reader kv.Reader) {
		job, item, known = jobpages.FindItem(reader, key.JobID, key.Index)
		saved = jobpages.SavedProgress(reader, key.JobID, key.Index)
	})
	if !known {
		return true
	}
	table := r.node.Table()
	route, routed := table.Match(job.GetHost(), item.GetPath())
	switch verdict := jobpages.CheckEligibility(job, time.Now(), table.Version, routed); verdict {
	case jobpages.Eligible:
	case jobpages.RoutingBehind:
		return true
	default:
		r.settle(key, &pb.PageResult{Failed: true, Reason: string(verdict)})
		return true
	}
	ask := dispatch.SlotRequest{Service: route.PickService(rand.Uint64()), Class: dispatch.Batch}
	due := time.UnixMilli(int64(job.GetDueUnixMs()))
	r.mu.Lock()
	r.plan.RestoreProgress(key, saved)
	ask.Urgent = jobpages.IsUrgent(time.Until(due)-dueMargin, r.pace.RemainingTime(0), open, r.node.Slots.BatchCapacity(ask.Service))
	if held := r.plan.Progress(key); held != nil && held.AvoidUpstream != "" {
		ask.Avoid = []string{held.AvoidUpstream}
	}
	parent := r.ctx
	r.mu.Unlock()
	grant, refused := r.node.Slots.Acquire(parent, ask)
	if refused != nil {
		return false
	}
	r.start(parent, key, job, item, grant)
	return true
}

func (r *runner) start(parent context.Context, key jobpages.ItemKey, job *pb.PageJob, item *pb.PageItem, grant dispatch.Grant) {
	ctx, cancel := context.WithCancel(parent)
	yielded := &atomic.Bool{}
	r.mu.Lock()
	progress := r.plan.RecordStart(key, grant.Upstream, time.UnixMilli(int64(job.GetDueUnixMs())))
	r.stops[key] = stop{cancel, yielded}
	plan := r.plan
	r.mu.Unlock()
	run := &itemRun{runner: r, plan: plan, key: key, job: job, item: item, grant: grant, progress: progress, yielded: yielded}
	r.tasks.Go(func() {
		defer cancel()
		run.run(ctx)
	})
}

// noteRun takes in the last run of an item that is complete.
func (r *runner) noteRun(events, lastRun int, took time.Duration) {
	r.node.metrics.runTime.Observe(took.Seconds())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace.Observe(events, lastRun, took)
}

// save records what the running items have generated. A record that is lost
// costs a new leader a repetition, and the result its shorter form.
func (r *runner) save() {
	r.mu.Lock()
	unsaved := r.plan.TakeUnsaved()
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

// settleText records the output of an item: what is not saved yet, or all of
// it when the saved part is not there.
func (r *runner) settleText(key jobpages.ItemKey, progress *jobpages.ItemProgress) {
	rest := &pb.PageResult{Base: uint32(progress.SavedBytes), Text: progress.Text[progress.SavedBytes:], Status: http.StatusOK}
	if r.settle(key, rest) || !r.node.state.IsItemOpen(key.JobID, key.Index) {
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
	answer, controlErr := r.node.replica.Load().Propose(ctx, command)
	outcome := "completed"
	if result.GetFailed() {
		outcome = result.GetReason()
	}
	r.node.metrics.settled.WithLabelValues(outcome).Inc()
	r.node.logger.Info(eventlog.ItemSettled, "job", key.JobID, "item", key.Index, "failed", result.GetFailed(),
		"reason", result.GetReason(), "status", result.GetStatus(), "base", result.GetBase(), "bytes", len(result.GetText()), "error", controlErr.GetReason())
	return answer.GetPage().GetSettled() > 0
}

func (r *runner) expire() {
	replica := r.node.replica.Load()
	var expired []string
	replica.View(func(reader kv.Reader) {
		expired = r.node.state.ExpiredJobs(reader, uint64(time.Now().UnixMilli()), maxExpire)
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
