package batch

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

const (
	// failuresBeforePause is how many items must fail at a worker, without their
	// failures being attributed to the items, before it is paused.
	failuresBeforePause = 4
	pauseBase           = 2 * time.Second
	pauseMax            = 2 * time.Minute

	// credibleSuccessRate is the success rate from which a worker's failure is
	// evidence against the item.
	credibleSuccessRate  = 0.5
	initialSuccessRate   = 0.5
	successRateSmoothing = 0.2
)

// attributeFailure attributes a failed run to the item or to the worker. An item
// that failed at two workers is at fault if the last one refused it for good or
// if one of them has a credible success rate; its failures then no longer count
// against the workers. Any other failure counts against the worker.
func (s *Scheduler) attributeFailure(now time.Time, w *workerState, job *scheduledJob, ref LeaseRef, retry *retryState) {
	if s.isItemAtFault(retry) {
		for _, id := range retry.failedBy {
			if other, ok := s.workers.byID[id]; ok {
				s.clearFailure(other, ref.itemKey())
			}
		}
		return
	}
	w.countFailure(ref.itemKey())
	switch {
	case now.Before(w.pausedUntil):
		retry.refundAttempt(job, w)
	case w.pauseLevel > 0 || len(w.countedFailures) >= failuresBeforePause:
		s.pauseWorker(now, w)
	}
}

func (s *Scheduler) isItemAtFault(retry *retryState) bool {
	if len(retry.failedBy) < minFailedWorkers {
		return false
	}
	if retry.lastError.GetOutcome() == pb.ItemOutcome_ITEM_FAILED {
		return true
	}
	for _, id := range retry.failedBy {
		if w, ok := s.workers.byID[id]; ok && w.successRate >= credibleSuccessRate {
			return true
		}
	}
	return false
}

// observeOutcome adds the outcome of a run to a worker's success rate.
func (w *workerState) observeOutcome(success bool) {
	outcome := 0.0
	if success {
		outcome = 1
	}
	w.successRate += successRateSmoothing * (outcome - w.successRate)
}

// clearFailure stops counting an item's failure against a worker and ends the
// worker's pause if too few failures remain.
func (s *Scheduler) clearFailure(w *workerState, key itemKey) {
	w.dropFailure(key)
	if len(w.countedFailures) < failuresBeforePause && w.pauseLevel > 0 {
		s.endPause(w)
	}
}

// refundAttempt gives an item back the attempt that it used at a failing worker.
// Refunds are limited to the job's MaxAttempts, and to one in a row for a worker.
func (r *retryState) refundAttempt(job *scheduledJob, w *workerState) {
	if r.failures == 0 || r.refunds >= job.record.GetMaxAttempts() || r.refundedBy == w.id {
		return
	}
	r.failures--
	r.refunds++
	r.refundedBy = w.id
}

// refundAttempts refunds the attempts of all items whose failures count against
// a worker.
func (s *Scheduler) refundAttempts(w *workerState) {
	for _, key := range w.countedFailures {
		job, ok := s.jobs.byID[key.jobID]
		if !ok {
			continue
		}
		if retry, ok := job.retries[key.index]; ok {
			retry.refundAttempt(job, w)
		}
	}
}

// pauseWorker stops granting items to a worker for a time that doubles with each
// pause.
func (s *Scheduler) pauseWorker(now time.Time, w *workerState) {
	duration := pauseBase
	for i := 0; i < w.pauseLevel && duration < pauseMax; i++ {
		duration *= 2
	}
	w.pauseLevel++
	s.refundAttempts(w)
	w.pausedUntil = now.Add(min(duration, pauseMax))
	s.stats.WorkersPaused++
	s.pauseDeadlines.Set(w.id, w.pausedUntil)
}

// resumeWorkers lets workers whose pause time is over receive items again, one at
// a time until one succeeds.
func (s *Scheduler) resumeWorkers(now time.Time) {
	for {
		id, ok := s.pauseDeadlines.PopExpired(now)
		if !ok {
			return
		}
		if _, ok := s.workers.byID[id]; ok {
			s.recordNewWork()
		}
	}
}

// endPause clears a worker's pause and counted failures.
func (s *Scheduler) endPause(w *workerState) {
	if w.pauseLevel == 0 {
		return
	}
	w.pauseLevel = 0
	w.pausedUntil = time.Time{}
	w.countedFailures = nil
	s.pauseDeadlines.Remove(w.id)
	s.recordNewWork()
}
