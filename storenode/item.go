package storenode

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/upstream"
)

const (
	// idleTimeout is the time without output after which a run is cancelled and
	// its item continues at another engine. It is far above the pauses of a
	// loaded engine.
	idleTimeout = 2500 * time.Millisecond
	// itemBufferBytes is the size of the read buffer; it holds several events.
	itemBufferBytes = 8 << 10
)

// itemRun is one run of an item at one upstream.
type itemRun struct {
	runner *runner
	// scheduler is that of the runner when the run started; the runner replaces
	// its scheduler when leadership changes.
	scheduler *jobpages.Scheduler
	key       jobpages.ItemKey
	job       *pb.PageJob
	item      *pb.PageItem
	grant     dispatch.Grant
	progress  *jobpages.ItemProgress
	preempted *atomic.Bool
}

func (x *itemRun) run(ctx context.Context) {
	n := x.runner.node
	n.logger.Info(eventlog.ItemPlaced, "request", x.item.GetId(), "job", x.key.JobID, "item", x.key.Index,
		"upstream", x.grant.Upstream, "after", x.progress.LastEventID)
	startedAt, eventsBefore := time.Now(), x.progress.EventCount
	outcome, status, reason := x.execute(ctx)
	switch {
	case reason == "" && status == http.StatusOK:
		x.runner.observeRun(x.progress.EventCount, x.progress.EventCount-eventsBefore, time.Since(startedAt))
		x.runner.settleOutput(x.key, x.progress)
		x.removeItem()
		return
	case status == http.StatusUnprocessableEntity:
		x.runner.settle(x.key, &pb.PageResult{Failed: true, Reason: "cannot_be_done", Status: uint32(status)})
		x.removeItem()
		return
	}
	if failures := x.recordEnd(outcome); outcome == jobpages.Failed && failures >= int(x.job.GetAttempts()) {
		x.runner.settle(x.key, &pb.PageResult{Failed: true, Reason: "attempts_exhausted", Status: uint32(status)})
		x.removeItem()
		return
	}
	n.metrics.stopped.WithLabelValues(reason).Inc()
	event := eventlog.ItemRetried
	if outcome == jobpages.Preempted {
		event = eventlog.ItemYielded
	}
	n.logger.Info(event, "request", x.item.GetId(), "job", x.key.JobID, "item", x.key.Index, "upstream", x.grant.Upstream,
		"reason", reason, "status", status, "events", x.progress.EventCount, "last_event", x.progress.LastEventID)
	x.runner.wake()
}

// removeItem removes an item that has its result from the scheduler.
func (x *itemRun) removeItem() {
	x.runner.mu.Lock()
	defer x.runner.mu.Unlock()
	x.scheduler.Remove(x.key)
	if x.runner.scheduler == x.scheduler {
		delete(x.runner.runs, x.key)
	}
}

// recordEnd marks the item as waiting for another run. It returns the item's
// number of failures.
func (x *itemRun) recordEnd(outcome jobpages.RunOutcome) int {
	x.runner.mu.Lock()
	defer x.runner.mu.Unlock()
	if x.runner.scheduler == x.scheduler {
		delete(x.runner.runs, x.key)
	}
	return x.scheduler.RecordEnd(time.Now(), x.key, outcome)
}

// execute sends the item to the upstream and reads its output. An empty reason
// and the status 200 mean that the output is complete.
func (x *itemRun) execute(parent context.Context) (outcome jobpages.RunOutcome, status int, reason string) {
	slotOutcome := dispatch.Inconclusive
	defer func() {
		if parent.Err() != nil {
			// The runner cancelled this run; that is no evidence about the upstream.
			slotOutcome = dispatch.Inconclusive
		}
		x.runner.node.Slots.Release(x.grant, slotOutcome)
	}()
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	defer idleTimer.Stop()
	response, err := x.runner.engines.Do(ctx, x.request())
	if err != nil {
		if x.preempted.Load() {
			return jobpages.Preempted, 0, "yielded"
		}
		slotOutcome = dispatch.Failed
		if upstream.ExecutionStateOf(err) == upstream.NotSent {
			return jobpages.NotRun, 0, "unreachable"
		}
		return jobpages.Interrupted, 0, "no_answer"
	}
	defer response.Close()
	switch {
	case response.OtherInstance:
		slotOutcome = dispatch.OtherInstance
		return jobpages.NotRun, response.Status, "other_instance"
	case response.NotRun:
		slotOutcome = dispatch.Rejected
		return jobpages.NotRun, response.Status, "refused"
	case !response.Genuine:
		slotOutcome = dispatch.Failed
		return jobpages.Interrupted, 0, "not_genuine"
	case response.Status == http.StatusUnprocessableEntity || response.Status == http.StatusInternalServerError:
		slotOutcome = dispatch.Served
		if response.Status == http.StatusInternalServerError {
			slotOutcome = dispatch.Failed
		}
		// The body of an error response is discarded; reading it keeps the
		// connection reusable.
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, itemBufferBytes))
		return jobpages.Failed, response.Status, "engine_failed"
	case response.Status != http.StatusOK:
		slotOutcome = dispatch.Failed
		return jobpages.Interrupted, 0, "unexpected_status"
	}
	reason = x.readEvents(response, idleTimer)
	switch {
	case reason == "":
		slotOutcome = dispatch.Served
		return 0, http.StatusOK, ""
	case x.preempted.Load():
		return jobpages.Preempted, 0, "yielded"
	}
	slotOutcome = dispatch.Failed
	return jobpages.Interrupted, 0, reason
}

func (x *itemRun) request() *upstream.Request {
	header := make(http.Header)
	for _, field := range x.item.GetHeaders() {
		header.Set(field.GetName(), field.GetValue())
	}
	return &upstream.Request{
		Address:          x.grant.Address,
		ExpectedInstance: x.grant.Upstream,
		ID:               x.item.GetId(),
		Method:           http.MethodPost,
		Target:           x.item.GetPath(),
		Host:             x.job.GetHost(),
		Header:           header,
		Body:             x.item.GetBody(),
		ResumeAfter:      x.progress.LastEventID,
	}
}

// readEvents adds the complete events of a response to the item's progress. It
// returns why the output is incomplete, or "" if it is complete.
func (x *itemRun) readEvents(response *upstream.Response, idleTimer *time.Timer) string {
	events := upstream.EventSplitter{LastID: x.progress.LastEventID}
	events.OnData = func(data []byte) {
		x.runner.mu.Lock()
		defer x.runner.mu.Unlock()
		if x.progress.EventCount > 0 {
			x.progress.Text = append(x.progress.Text, '\n')
		}
		x.progress.Text = append(x.progress.Text, data...)
		x.progress.EventCount++
		x.progress.LastEventID = events.LastID
	}
	buffer := make([]byte, itemBufferBytes)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			idleTimer.Reset(idleTimeout)
			if _, pushErr := events.Push(buffer[:count]); pushErr != nil {
				return "malformed"
			}
		}
		switch {
		case errors.Is(err, io.EOF) && events.PendingBytes() == 0:
			return ""
		case errors.Is(err, io.EOF):
			return "event_cut"
		case err != nil:
			return "broke_off"
		}
	}
}
