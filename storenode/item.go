package storenode

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quarantine"
	"github.com/briarcross/briarcross/upstream"
)

const (
	// idleTimeout is the time without output after which a run is cancelled and
	// its item continues at another engine. It is far above the pauses of a
	// loaded engine.
	idleTimeout = 2500 * time.Millisecond
	// itemBufferBytes is the size of the read buffer; it holds several events.
	itemBufferBytes = 8 << 10
	// maxRunBytes limits the response to one run, far above the output of any item.
	maxRunBytes = 8 << 20
)

// itemRun is one run of an item at one upstream.
type itemRun struct {
	runner *runner
	// scheduler is that of the runner when the run started; the runner replaces
	// its scheduler when leadership changes.
	scheduler *jobpages.Scheduler
	// leadership ends with the leadership under which the run started.
	leadership context.Context
	key        jobpages.ItemKey
	job        *pb.PageJob
	item       *pb.PageItem
	grant      dispatch.Grant
	progress   *jobpages.ItemProgress
	preempted  *atomic.Bool
	// mustRecordStart is set if the run must be recorded before it starts.
	mustRecordStart bool
	// promptParts are the IDs of the parts of the prompt that other requests may share.
	promptParts []string
	// eventCount is the number of events of this run. The runner's mu guards it.
	eventCount int
	// meter is used by the goroutine that reads the output.
	meter node.ProgressMeter
}

func (x *itemRun) run(ctx context.Context) {
	n := x.runner.node
	n.logger.Info(eventlog.ItemPlaced, withJob(x.key.JobID, "request", x.item.GetId(), "item", x.key.Index,
		"upstream", x.grant.Upstream, "after", x.progress.LastEventID, "version", x.grant.SoftwareVersion, "failures", x.progress.Failures,
		"max_output", x.runner.codec.MaxOutputTokens(itemHeader(x.item)))...)
	startedAt, eventsBefore := time.Now(), x.progress.EventCount
	outcome, status, reason := x.execute(ctx)
	switch {
	case reason == "" && status == http.StatusOK:
		x.runner.observeRun(x.progress, x.progress.EventCount-eventsBefore, time.Since(startedAt))
		x.finishItem(func() bool { return x.runner.settleOutput(x.key, x.progress) })
		return
	case status == http.StatusUnprocessableEntity:
		x.finishFailed("cannot_be_done", status)
		return
	}
	progress := x.recordEnd(outcome)
	if outcome == jobpages.Failed && progress.Failures >= int(x.job.GetAttempts()) {
		x.finishFailed("attempts_exhausted", status)
		return
	}
	n.metrics.stopped.WithLabelValues(reason).Inc()
	event := eventlog.ItemRetried
	if outcome == jobpages.Preempted {
		event = eventlog.ItemYielded
	}
	n.logger.Info(event, withJob(x.key.JobID, "request", x.item.GetId(), "item", x.key.Index, "upstream", x.grant.Upstream,
		"reason", reason, "status", status, "events", progress.EventCount, "last_event", progress.LastEventID, "failures", progress.Failures)...)
	if (outcome == jobpages.Interrupted || outcome == jobpages.Spoiled) && progress.FruitlessRuns >= jobpages.FruitlessLimit {
		x.runner.recordPostponed(x.key, x.item, "fruitless_runs", time.Until(progress.NotBefore))
	}
	if progress.MustRecordEnd(outcome) {
		x.recordAttempts()
	}
	x.runner.wake()
}

// finishFailed records that the item has failed for good.
func (x *itemRun) finishFailed(reason string, status int) {
	x.finishItem(func() bool {
		return x.runner.settle(x.key, &pb.PageResult{Failed: true, Reason: reason, Status: uint32(status)})
	})
}

// finishItem proposes the result of the item until it is recorded, and removes the item from the
// scheduler then. Until then the item does not run.
func (x *itemRun) finishItem(propose func() bool) {
	x.beginRecording()
	if !x.runner.proposeUntilRecorded(x.leadership, x.key, propose) {
		return
	}
	x.runner.mu.Lock()
	defer x.runner.mu.Unlock()
	x.scheduler.Remove(x.key)
}

// beginRecording keeps the item from running, and from being preempted, while its result is recorded.
func (x *itemRun) beginRecording() {
	x.runner.mu.Lock()
	defer x.runner.mu.Unlock()
	if x.runner.scheduler == x.scheduler {
		delete(x.runner.runs, x.key)
	}
	x.scheduler.BeginRecording(x.key)
}

// recordEnd marks the item as waiting for another run, which may start at once. It
// returns a copy of the item's progress.
func (x *itemRun) recordEnd(outcome jobpages.RunOutcome) jobpages.ItemProgress {
	x.runner.mu.Lock()
	defer x.runner.mu.Unlock()
	if x.runner.scheduler == x.scheduler {
		delete(x.runner.runs, x.key)
	}
	x.scheduler.RecordEnd(time.Now(), x.key, outcome)
	progress := *x.progress
	if progress.MustRecordEnd(outcome) {
		x.scheduler.BeginRecording(x.key)
	}
	return progress
}

// recordAttempts records the attempts of an item whose run has ended, and lets it run again then.
func (x *itemRun) recordAttempts() {
	x.runner.mu.Lock()
	fruitlessRuns := x.progress.FruitlessRuns
	attempts := x.progress.Attempts(x.key, fruitlessRuns)
	x.runner.mu.Unlock()
	recorded := x.runner.proposeUntilRecorded(x.leadership, x.key, func() bool { return x.runner.proposeAttempts(x.runner.node.ctx, attempts) })
	open := x.runner.node.state.IsItemOpen(x.key.JobID, x.key.Index)
	x.runner.mu.Lock()
	defer x.runner.mu.Unlock()
	switch {
	case !open:
		x.scheduler.Remove(x.key)
	case recorded:
		x.scheduler.SetRecorded(x.key, fruitlessRuns)
		x.scheduler.EndRecording(x.key)
	}
}

// recordStart records that the run begins, as one whose end is not known. It reports whether that
// is known to be recorded.
func (x *itemRun) recordStart(ctx context.Context) bool {
	x.runner.mu.Lock()
	fruitlessRuns := x.progress.FruitlessRuns + 1
	attempts := x.progress.Attempts(x.key, fruitlessRuns)
	x.runner.mu.Unlock()
	if !x.runner.proposeAttempts(ctx, attempts) {
		return false
	}
	x.runner.mu.Lock()
	defer x.runner.mu.Unlock()
	x.scheduler.SetRecorded(x.key, fruitlessRuns)
	return true
}

// execute runs the item at the upstream, on this daemon or a worker. An empty reason
// and the status 200 mean that the output is complete.
func (x *itemRun) execute(parent context.Context) (outcome jobpages.RunOutcome, status int, reason string) {
	if x.mustRecordStart && !x.recordStart(parent) {
		x.runner.node.Slots.Release(x.grant, dispatch.Inconclusive)
		if x.preempted.Load() {
			return jobpages.Preempted, 0, "yielded"
		}
		return jobpages.NotRun, 0, "start_not_recorded"
	}
	x.meter = node.MeasureBatch(x.runner.node.Slots, x.grant)
	end := x.runner.runAtEngine(parent, x)
	if x.outputTooLong() {
		end = runEnd{jobpages.Spoiled, dispatch.Failed, 0, outputTooLong}
	}
	complete := end.reason == "" && end.status == http.StatusOK
	switch {
	case parent.Err() != nil:
		// The runner cancelled this run; that is no evidence about the upstream.
		end.slotOutcome = dispatch.Inconclusive
	case complete:
		x.runner.node.Quarantine.RecordServed(x.promptParts)
	case end.interrupted():
		x.recordInterruption(end)
	}
	x.runner.node.Slots.Release(x.grant, end.slotOutcome)
	if x.preempted.Load() && !complete && end.outcome != jobpages.Failed && end.outcome != jobpages.Spoiled {
		return jobpages.Preempted, 0, "yielded"
	}
	return end.outcome, end.status, end.reason
}

// runOnAnyDaemon runs the item on a worker, or on this daemon if no worker takes it.
func (x *itemRun) runOnAnyDaemon(ctx context.Context) runEnd {
	if end, ran := x.runner.workers.run(ctx, x); ran {
		return end
	}
	onStatement := func(s engineStatement) { x.recordStatement(s, dispatch.SourceAnswer) }
	return runAtUpstream(ctx, x.runner.engines, x.request(), idleTimeout, onStatement, x.addOutput)
}

// outputTooLong reports whether the output of all runs is longer than that of the item can be.
func (x *itemRun) outputTooLong() bool {
	limits := x.runner.engines.OutputLimits(itemHeader(x.item))
	x.runner.mu.Lock()
	defer x.runner.mu.Unlock()
	// Line feeds separate the data of events.
	return len(x.progress.Text) > limits.DataBytes+x.progress.EventCount
}

// recordStatement records what the upstream states.
func (x *itemRun) recordStatement(statement engineStatement, source dispatch.NoticeSource) {
	statement.record(x.runner.node.Slots, x.grant.Upstream, x.grant.StartUnixMs, x.item.GetId(), source)
}

// recordInterruption logs that the connection to the upstream broke before the output
// was complete. An engine that had just begun to answer may have crashed on the prompt.
func (x *itemRun) recordInterruption(end runEnd) {
	x.runner.mu.Lock()
	events := x.eventCount
	x.runner.mu.Unlock()
	answering := end.answering()
	x.runner.node.logger.Info(eventlog.AttemptInterrupted, "request", x.item.GetId(), "upstream", x.grant.Upstream, "born", x.grant.StartUnixMs,
		"reason", end.reason, "answering", answering, "events", events, "parts", x.promptParts)
	if answering && events < quarantine.MinServedEvents {
		x.runner.node.Quarantine.RecordCrash(x.grant, x.promptParts, answering)
	}
}

func (x *itemRun) request() *upstream.Request {
	request := itemRequest(x.item, x.job.GetHost(), x.grant.Address, x.grant.Upstream, x.progress.LastEventID)
	return withOwner(request, jobpages.Owner(x.job), x.runner.node.hasCustomers())
}

// addOutput adds the data of events, separated by line feeds, to the item's progress.
func (x *itemRun) addOutput(data []byte, events int, lastEventID string) {
	x.runner.mu.Lock()
	before := x.eventCount
	x.eventCount += events
	after := x.eventCount
	x.progress.AddOutput(originOf(x.grant), data, events, lastEventID)
	x.runner.mu.Unlock()
	x.meter.Record(time.Now(), events)
	if before < quarantine.MinServedEvents && after >= quarantine.MinServedEvents {
		x.runner.node.Quarantine.RecordServed(x.promptParts)
	}
}
