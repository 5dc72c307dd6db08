package storenode

import (
	"context"
	"net/http"
	"time"

	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/pb"
)

const (
	// minRecordPause is the pause after a first proposal about an item that is not known to be
	// recorded; it doubles with each further one up to maxRecordPause.
	minRecordPause = 50 * time.Millisecond
	maxRecordPause = 2 * time.Second
)

// saveProgress saves the output that running items have generated since the last
// call. If the proposal is lost, a new leader repeats that part of the output,
// and the result has to contain the whole output instead of the unsaved part.
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
		if _, controlErr := r.propose(ctx, command); controlErr != nil {
			r.node.logger.Warn(eventlog.ProgressNotSaved, "items", len(unsaved), "reason", controlErr.GetReason())
		}
	})
}

// settleOutput records the output of a completed item: the part that is not saved
// yet, or the whole output if the saved part is missing. It reports whether the output is
// known to have been recorded.
func (r *runner) settleOutput(key jobpages.ItemKey, progress *jobpages.ItemProgress) bool {
	r.mu.Lock()
	base, text := progress.UnsavedPart()
	r.mu.Unlock()
	unsavedPart := &pb.PageResult{Base: uint32(base), Text: text, Status: http.StatusOK, Service: progress.Service, SoftwareVersion: progress.SoftwareVersion}
	if r.settle(key, unsavedPart) || !r.node.state.IsItemOpen(key.JobID, key.Index) {
		return true
	}
	return r.settle(key, &pb.PageResult{Text: progress.Text, Status: http.StatusOK})
}

// proposeUntilRecorded calls propose, with a growing pause, until it reports that what it proposes
// is recorded or the item is not open any more. It returns false if the leadership ends before.
func (r *runner) proposeUntilRecorded(leadership context.Context, key jobpages.ItemKey, propose func() bool) bool {
	pause := minRecordPause
	for !propose() && r.node.state.IsItemOpen(key.JobID, key.Index) {
		select {
		case <-leadership.Done():
			return false
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRecordPause)
	}
	return true
}

// settle records the result of an item; only the first result of an item takes
// effect. It reports whether this result is known to have been recorded.
func (r *runner) settle(key jobpages.ItemKey, result *pb.PageResult) bool {
	result.JobId, result.Item = key.JobID, key.Index
	return r.settleAll([]*pb.PageResult{result}) > 0
}

// settleAll records the results of items. It returns how many are known to have been recorded.
func (r *runner) settleAll(results []*pb.PageResult) int {
	if len(results) == 0 {
		return 0
	}
	command := &pb.Command{Op: &pb.Command_PageSettle{PageSettle: &pb.PageSettle{Results: results}}}
	ctx, cancel := context.WithTimeout(r.node.ctx, proposeTimeout)
	defer cancel()
	commandResult, controlErr := r.propose(ctx, command)
	for _, result := range results {
		outcome := "completed"
		if result.GetFailed() {
			outcome = result.GetReason()
		}
		if controlErr == nil {
			r.node.metrics.settled.WithLabelValues(outcome).Inc()
		} else {
			r.node.metrics.notRecorded.WithLabelValues(outcome, controlErr.GetReason()).Inc()
		}
		r.node.logger.Info(eventlog.ItemSettled, withJob(result.GetJobId(), "item", result.GetItem(), "failed", result.GetFailed(),
			"reason", result.GetReason(), "status", result.GetStatus(), "base", result.GetBase(), "bytes", len(result.GetText()), "error", controlErr.GetReason())...)
	}
	return int(commandResult.GetPage().GetSettled())
}

// proposeAttempts records the attempts of an item. It reports whether they are known to be recorded.
func (r *runner) proposeAttempts(parent context.Context, attempts *pb.PageAttempts) bool {
	ctx, cancel := context.WithTimeout(parent, proposeTimeout)
	defer cancel()
	command := &pb.Command{Op: &pb.Command_PageRecordAttempts{PageRecordAttempts: &pb.PageRecordAttempts{Attempts: []*pb.PageAttempts{attempts}}}}
	_, controlErr := r.propose(ctx, command)
	if controlErr != nil {
		r.node.metrics.notRecorded.WithLabelValues("attempts", controlErr.GetReason()).Inc()
		r.node.logger.Warn(eventlog.AttemptsNotRecorded, withJob(attempts.GetJobId(), "item", attempts.GetItem(),
			"failures", attempts.GetFailures(), "fruitless", attempts.GetFruitlessRuns(), "reason", controlErr.GetReason())...)
	}
	return controlErr == nil
}
