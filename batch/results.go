package batch

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/pb"
)

const (
	retryBackoffBase = 2 * time.Second
	retryBackoffMax  = time.Minute
	// notRunRetryDelay is how long an item that did not run, and its worker, wait
	// before the next lease.
	notRunRetryDelay = 500 * time.Millisecond
	// minFailedWorkers is the number of workers at which an item must fail before
	// the failure is attributed to the item.
	minFailedWorkers = 2
)

// handleResult handles one result that a worker has reported.
func (s *Scheduler) handleResult(now time.Time, w *workerState, result *pb.ItemResult) {
	ref := leaseRefOfResult(result)
	job, ok := s.jobs.byID[ref.JobID]
	if !ok || ref.Index >= job.record.GetItems() || job.isSettled(ref.Index) {
		w.queueSettled(ref)
		return
	}
	l, leased := job.findLease(ref)
	if leased {
		l.lastListed = w.sequence
		l.acknowledged = true
	}
	if s.commits.addReporter(w, result) {
		s.markReported(l)
		return
	}
	if !job.record.GetIdempotent() {
		s.handleNonIdempotentResult(now, w, l, result)
		return
	}
	switch result.GetOutcome() {
	case pb.ItemOutcome_ITEM_DONE:
		s.handleSuccess(now, w, job, l, result)
	case pb.ItemOutcome_ITEM_NOT_RUN, pb.ItemOutcome_ITEM_YIELDED:
		s.requeueNotRun(now, w, job, l, ref)
	default:
		s.handleReportedFailure(now, w, job, l, result)
	}
}

// handleReportedFailure handles a failed run of an idempotent item that a worker reports. The worker
// keeps the failure until it is recorded. One of a lease that has ended counts if an earlier leader
// granted the lease and did not count it.
func (s *Scheduler) handleReportedFailure(now time.Time, w *workerState, job *scheduledJob, l *lease, result *pb.ItemResult) {
	ref := leaseRefOfResult(result)
	counted := slices.Contains(job.retryStateOf(ref.Index).countedRuns, ref.FencingNumber)
	if counted && s.attempts.contains(ref.itemKey()) {
		s.attempts.add(ref.itemKey(), reporter{w.id, w.incarnation, ref})
		return
	}
	if counted || l == nil && !s.isFromEarlierLeadership(ref) {
		w.queueSettled(ref)
		return
	}
	if l != nil {
		s.dropLease(l)
	}
	s.handleFailure(now, w, job, ref, result, w)
}

// markReported records that a lease's final result is queued for commit.
func (s *Scheduler) markReported(l *lease) {
	if l == nil || l.reported {
		return
	}
	l.reported = true
	s.openLeases--
}

// handleNonIdempotentResult handles a result of a non-idempotent item. It is
// committed even if it asks for a retry: only an item that did not run is leased
// again.
func (s *Scheduler) handleNonIdempotentResult(now time.Time, w *workerState, l *lease, result *pb.ItemResult) {
	final := withAttempts(result, 1)
	if final.GetOutcome() == pb.ItemOutcome_ITEM_RETRY {
		final.Outcome = pb.ItemOutcome_ITEM_FAILED
	}
	s.queueResult(now, final, w)
	s.markReported(l)
}

// handleSuccess queues the result of an idempotent item that is done.
func (s *Scheduler) handleSuccess(now time.Time, w *workerState, job *scheduledJob, l *lease, result *pb.ItemResult) {
	w.dropOldestFailure()
	w.observeOutcome(true)
	s.endPause(w)
	attempts := uint32(1)
	if retry, ok := job.retries[result.GetIndex()]; ok {
		attempts += retry.failures
	}
	if l != nil {
		s.jobs.rate(job.record.GetService()).observeRunTime(now.Sub(l.grantedAt))
	}
	s.queueResult(now, withAttempts(result, attempts), w)
	s.markReported(l)
}

// withAttempts returns a copy of a result with a number of attempts. The copy
// shares the body.
func withAttempts(result *pb.ItemResult, attempts uint32) *pb.ItemResult {
	return &pb.ItemResult{
		JobId:         result.GetJobId(),
		Index:         result.GetIndex(),
		CustomId:      result.GetCustomId(),
		Outcome:       result.GetOutcome(),
		Status:        result.GetStatus(),
		Body:          result.GetBody(),
		Error:         result.GetError(),
		Attempts:      attempts,
		FencingNumber: result.GetFencingNumber(),
	}
}

// requeueNotRun makes an idempotent item available again that no engine has
// received or that was preempted. Unless its worker is draining, the item and the
// worker wait for notRunRetryDelay.
func (s *Scheduler) requeueNotRun(now time.Time, w *workerState, job *scheduledJob, l *lease, ref LeaseRef) {
	w.queueSettled(ref)
	if l == nil {
		return
	}
	s.dropLease(l)
	s.stats.ItemsRequeued++
	if w.draining {
		s.makeAvailable(job, ref.Index)
		return
	}
	s.retryDeadlines.Set(ref.itemKey(), now.Add(notRunRetryDelay))
	w.cooldownUntil = now.Add(notRunRetryDelay)
}

// handleFailure handles a failed run of an idempotent item at a worker. reportedBy is the worker to
// be told once the failure is recorded, nil if it did not report the failure.
func (s *Scheduler) handleFailure(now time.Time, w *workerState, job *scheduledJob, ref LeaseRef, result *pb.ItemResult, reportedBy *workerState) {
	retry := job.retryStateOf(ref.Index)
	retry.failures++
	retry.countedRuns = append(retry.countedRuns, ref.FencingNumber)
	retry.addFailedBy(w.id)
	retry.lastFailedAt = now
	retry.lastError = result
	w.observeOutcome(false)
	s.attributeFailure(now, w, job, ref, retry)
	if len(job.leasesByIndex[ref.Index]) == 0 && s.isFinalFailure(job, retry) {
		s.recordFinalFailure(now, job, ref, retry, reportedBy)
		return
	}
	s.stats.ItemsRetried++
	availableAt := now
	if result.GetOutcome() != pb.ItemOutcome_ITEM_FAILED {
		availableAt = now.Add(s.backoff(retry.failures))
	}
	s.recordAttempts(retry, ref, reportedBy, availableAt)
}

// isFinalFailure reports whether an item is not run again: it has reached the
// limit of failed runs, or it last failed with ITEM_FAILED and has failed at two
// workers or the service has only one.
func (s *Scheduler) isFinalFailure(job *scheduledJob, retry *retryState) bool {
	if retry.failures >= job.record.GetMaxAttempts() {
		return true
	}
	if retry.lastError.GetOutcome() != pb.ItemOutcome_ITEM_FAILED {
		return false
	}
	return len(retry.failedBy) >= minFailedWorkers || s.workers.countByService[job.record.GetService()] <= 1
}

// backoff returns the delay before the next run of an item: exponential in its
// failed runs, with jitter.
func (s *Scheduler) backoff(failures uint32) time.Duration {
	delay := retryBackoffBase
	for i := uint32(1); i < failures && delay < retryBackoffMax; i++ {
		delay *= 2
	}
	delay = min(delay, retryBackoffMax)
	return delay/2 + time.Duration(s.rand.Int64N(int64(delay/2)+1))
}

// recordFinalFailure queues the final failure of an item for commit. reportedBy is the worker that
// reported it, nil if none did.
func (s *Scheduler) recordFinalFailure(now time.Time, job *scheduledJob, ref LeaseRef, retry *retryState, reportedBy *workerState) {
	s.stats.ItemsOutOfAttempts++
	result := &pb.ItemResult{
		JobId:         ref.JobID,
		Index:         ref.Index,
		FencingNumber: ref.FencingNumber,
		Outcome:       pb.ItemOutcome_ITEM_FAILED,
		Error:         ErrorWorkerLost,
		Attempts:      retry.failures + retry.losses,
	}
	if retry.lastError != nil {
		result.CustomId = retry.lastError.GetCustomId()
		result.Status = retry.lastError.GetStatus()
		result.Body = retry.lastError.GetBody()
		result.Error = retry.lastError.GetError()
	}
	s.queueResult(now, result, reportedBy)
}

// ErrorWorkerLost is the recorded error of an item whose worker was lost in each
// of its runs.
const ErrorWorkerLost = "attempts exhausted: the worker was lost each time the item ran"

// requeueDelayed makes items available whose retry delay has ended.
func (s *Scheduler) requeueDelayed(now time.Time) {
	for {
		key, ok := s.retryDeadlines.PopExpired(now)
		if !ok {
			return
		}
		if job, ok := s.jobs.byID[key.jobID]; ok {
			s.makeAvailable(job, key.index)
		}
	}
}

// endOverdueRuns revokes leases whose items exceed the run timeout. Idempotent
// items count as failed, others as lost.
func (s *Scheduler) endOverdueRuns(now time.Time) {
	for {
		ref, ok := s.runDeadlines.PopExpired(now)
		if !ok {
			return
		}
		job, ok := s.jobs.byID[ref.JobID]
		if !ok {
			continue
		}
		l, ok := job.findLease(ref)
		if !ok || l.reported || l.claiming {
			continue
		}
		s.revokeLease(l.worker, ref)
		if !job.record.GetIdempotent() {
			s.handleLostLease(now, l)
			continue
		}
		s.dropLease(l)
		timedOut := &pb.ItemResult{Outcome: pb.ItemOutcome_ITEM_RETRY, Error: ErrorRunTimeout}
		s.handleFailure(now, l.worker, job, ref, timedOut, nil)
	}
}

// ErrorRunTimeout is the recorded error of an item that exceeded the run timeout.
const ErrorRunTimeout = "timeout: the item ran longer than allowed"

// revokeLease tells a worker in its next response to stop an item.
func (s *Scheduler) revokeLease(w *workerState, ref LeaseRef) {
	w.queueRevoked(ref)
	s.stats.LeasesRevoked++
	s.responsesDue = true
}
