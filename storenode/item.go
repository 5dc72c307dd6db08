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
	// eventTimeout is the silence of an engine after which an item goes on at
	// another one. It is far above the pauses of a loaded engine.
	eventTimeout = 2500 * time.Millisecond
	// itemBufferBytes holds several events.
	itemBufferBytes = 8 << 10
)

// itemRun is one run of an item at one upstream.
type itemRun struct {
	runner   *runner
	plan     *jobpages.Scheduler
	key      jobpages.ItemKey
	job      *pb.PageJob
	item     *pb.PageItem
	grant    dispatch.Grant
	progress *jobpages.ItemProgress
	yielded  *atomic.Bool
}

func (x *itemRun) run(ctx context.Context) {
	n := x.runner.node
	n.logger.Info(eventlog.ItemPlaced, "request", x.item.GetId(), "job", x.key.JobID, "item", x.key.Index,
		"upstream", x.grant.Upstream, "after", x.progress.LastEventID)
	began, before := time.Now(), x.progress.EventCount
	end, status, reason := x.exchange(ctx)
	switch {
	case reason == "" && status == http.StatusOK:
		x.runner.noteRun(x.progress.EventCount, x.progress.EventCount-before, time.Since(began))
		x.runner.settleText(x.key, x.progress)
		x.leave()
		return
	case status == http.StatusUnprocessableEntity:
		x.runner.settle(x.key, &pb.PageResult{Failed: true, Reason: "cannot_be_done", Status: uint32(status)})
		x.leave()
		return
	}
	if failures := x.pause(end); end == jobpages.Failed && failures >= int(x.job.GetAttempts()) {
		x.runner.settle(x.key, &pb.PageResult{Failed: true, Reason: "attempts_exhausted", Status: uint32(status)})
		x.leave()
		return
	}
	n.metrics.stopped.WithLabelValues(reason).Inc()
	event := eventlog.ItemRetried
	if end == jobpages.Preempted {
		event = eventlog.ItemYielded
	}
	n.logger.Info(event, "request", x.item.GetId(), "job", x.key.JobID, "item", x.key.Index, "upstream", x.grant.Upstream,
		"reason", reason, "status", status, "events", x.progress.EventCount, "last_event", x.progress.LastEventID)
	x.runner.wake()
}

// leave forgets an item that has its result.
func (x *itemRun) leave() {
	x.runner.mu.Lock()
	defer x.runner.mu.Unlock()
	x.plan.Remove(x.key)
	if x.runner.plan == x.plan {
		delete(x.runner.stops, x.key)
	}
}

// pause has the item wait for another run.
func (x *itemRun) pause(end jobpages.RunOutcome) int {
	x.runner.mu.Lock()
	defer x.runner.mu.Unlock()
	if x.runner.plan == x.plan {
		delete(x.runner.stops, x.key)
	}
	return x.plan.RecordEnd(time.Now(), x.key, end)
}

// exchange runs the item. An empty reason and the status 200 mean that its
// output is complete.
func (x *itemRun) exchange(parent context.Context) (end jobpages.RunOutcome, status int, reason string) {
	outcome := dispatch.Inconclusive
	defer func() {
		if parent.Err() != nil {
			// A run that was stopped from here says nothing about the upstream.
			outcome = dispatch.Inconclusive
		}
		x.runner.node.Slots.Release(x.grant, outcome)
	}()
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	silent := time.AfterFunc(eventTimeout, cancel)
	defer silent.Stop()
	answer, err := x.runner.engines.Do(ctx, x.call())
	if err != nil {
		if x.yielded.Load() {
			return jobpages.Preempted, 0, "yielded"
		}
		outcome = dispatch.Failed
		if upstream.ExecutionStateOf(err) == upstream.NotSent {
			return jobpages.NotRun, 0, "unreachable"
		}
		return jobpages.Interrupted, 0, "no_answer"
	}
	defer answer.Close()
	switch {
	case answer.OtherInstance:
		outcome = dispatch.OtherInstance
		return jobpages.NotRun, answer.Status, "other_instance"
	case answer.NotRun:
		outcome = dispatch.Rejected
		return jobpages.NotRun, answer.Status, "refused"
	case !answer.Genuine:
		outcome = dispatch.Failed
		return jobpages.Interrupted, 0, "not_genuine"
	case answer.Status == http.StatusUnprocessableEntity || answer.Status == http.StatusInternalServerError:
		outcome = dispatch.Served
		if answer.Status == http.StatusInternalServerError {
			outcome = dispatch.Failed
		}
		// The body of a failure does not matter; reading it keeps the connection.
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, itemBufferBytes))
		return jobpages.Failed, answer.Status, "engine_failed"
	case answer.Status != http.StatusOK:
		outcome = dispatch.Failed
		return jobpages.Interrupted, 0, "unexpected_status"
	}
	reason = x.read(answer, silent)
	switch {
	case reason == "":
		outcome = dispatch.Served
		return 0, http.StatusOK, ""
	case x.yielded.Load():
		return jobpages.Preempted, 0, "yielded"
	}
	outcome = dispatch.Failed
	return jobpages.Interrupted, 0, reason
}

func (x *itemRun) call() *upstream.Request {
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

// read collects the whole events of an answer. It returns why the output is
// not complete, or nothing.
func (x *itemRun) read(answer *upstream.Response, silent *time.Timer) string {
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
		size, err := answer.Body.Read(buffer)
		if size > 0 {
			silent.Reset(eventTimeout)
			if _, malformed := events.Push(buffer[:size]); malformed != nil {
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
