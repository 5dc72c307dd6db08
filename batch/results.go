package batch

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

const (
	retryBase     = 2 * time.Second
	retryMax      = time.Minute
	notRunDelay   = 500 * time.Millisecond
	distinctFails = 2
)

// takeResult handles one reported result.
func (s *Scheduler) takeResult(now time.Time, w *workerEntry, result *pb.ItemResult) {
	ref := refOfResult(result)
	run, ok := s.jobs.byID[ref.JobID]
	if !ok || ref.Index >= run.job.GetItems() || run.settled(ref.Index) {
		w.settle(ref)
		return
	}
	l, leased := run.findLease(ref)
	if leased {
		l.seen = w.sequence
		l.acked = true
	}
	if s.commits.addReporter(w, result) {
		s.markReported(l)
		return
	}
	if !run.job.GetIdempotent() {
		s.takeSingle(now, w, l, result)
		return
	}
	switch result.GetOutcome() {
	case pb.ItemOutcome_ITEM_DONE:
		s.succeed(now, w, run, l, result)
	case pb.ItemOutcome_ITEM_NOT_RUN, pb.ItemOutcome_ITEM_YIELDED:
		s.takeNotRun(now, w, run, l, ref)
	default:
		w.settle(ref)
		if leased {
			s.fail(now, w, l, result)
		}
	}
}

func (s *Scheduler) markReported(l *lease) {
	if l == nil || l.reported {
		return
	}
	l.reported = true
	s.open--
}

// takeSingle handles a result of a non-idempotent item, which ran at most
// once and is not repeated unless it did not run.
func (s *Scheduler) takeSingle(now time.Time, w *workerEntry, l *lease, result *pb.ItemResult) {
	final := withAttempts(result, 1)
	if final.GetOutcome() == pb.ItemOutcome_ITEM_RETRY {
		final.Outcome = pb.ItemOutcome_ITEM_FAILED
	}
	s.queueResult(now, final, w)
	s.markReported(l)
}

func (s *Scheduler) succeed(now time.Time, w *workerEntry, run *jobRun, l *lease, result *pb.ItemResult) {
	w.clearOldest()
	w.observe(true)
	s.trust(w)
	attempts := uint32(1)
	if entry, ok := run.retries[result.GetIndex()]; ok {
		attempts += entry.failures
	}
	if l != nil {
		s.jobs.rate(run.job.GetService()).observe(now.Sub(l.grantedAt))
	}
	s.queueResult(now, withAttempts(result, attempts), w)
	s.markReported(l)
}

// withAttempts returns a copy of a result, which shares its body.
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

// takeNotRun puts back an item that no engine has seen, or that was stopped to
// make room.
func (s *Scheduler) takeNotRun(now time.Time, w *workerEntry, run *jobRun, l *lease, ref ItemRef) {
	w.settle(ref)
	if l == nil {
		return
	}
	s.dropLease(l)
	s.stats.ItemsRequeued++
	if w.draining {
		s.makeAvailable(run, ref.Index)
		return
	}
	s.itemDeadlines.Set(ref.key(), now.Add(notRunDelay))
	w.restUntil = now.Add(notRunDelay)
}

// fail handles a failed run of an idempotent item.
func (s *Scheduler) fail(now time.Time, w *workerEntry, l *lease, result *pb.ItemResult) {
	run := l.run
	s.dropLease(l)
	entry := run.retry(l.ref.Index)
	entry.failures++
	entry.addFailedBy(w.id)
	entry.lastAt = now
	entry.lastError = result
	w.observe(false)
	s.blame(now, w, run, l.ref, entry)
	if len(run.leased[l.ref.Index]) > 0 {
		return
	}
	if s.hopeless(run, entry) {
		s.exhaust(now, run, l.ref, entry)
		return
	}
	s.stats.ItemsRetried++
	if result.GetOutcome() == pb.ItemOutcome_ITEM_FAILED {
		s.makeAvailable(run, l.ref.Index)
		return
	}
	s.itemDeadlines.Set(l.ref.key(), now.Add(s.backoff(entry.failures)))
}

// hopeless reports whether an item is not worth another run: its attempts are
// used up, or it is refused for good by two workers, or by the only one.
func (s *Scheduler) hopeless(run *jobRun, entry *retryEntry) bool {
	if entry.failures >= run.job.GetMaxAttempts() {
		return true
	}
	if entry.lastError.GetOutcome() != pb.ItemOutcome_ITEM_FAILED {
		return false
	}
	return len(entry.failedBy) >= distinctFails || s.workers.serving[run.job.GetService()] <= 1
}

// backoff returns the delay before the next run after a number of failures.
func (s *Scheduler) backoff(failures uint32) time.Duration {
	delay := retryBase
	for i := uint32(1); i < failures && delay < retryMax; i++ {
		delay *= 2
	}
	delay = min(delay, retryMax)
	return delay/2 + time.Duration(s.rand.Int64N(int64(delay/2)+1))
}

// exhaust records the final failure of an item.
func (s *Scheduler) exhaust(now time.Time, run *jobRun, ref ItemRef, entry *retryEntry) {
	s.stats.ItemsExhausted++
	result := &pb.ItemResult{
		JobId:         ref.JobID,
		Index:         ref.Index,
		FencingNumber: ref.FencingNumber,
		Outcome:       pb.ItemOutcome_ITEM_FAILED,
		Error:         ErrorLost,
		Attempts:      entry.failures + entry.losses,
	}
	if entry.lastError != nil {
		result.CustomId = entry.lastError.GetCustomId()
		result.Status = entry.lastError.GetStatus()
		result.Body = entry.lastError.GetBody()
		result.Error = entry.lastError.GetError()
	}
	s.queueResult(now, result, nil)
}

// ErrorLost is the recorded error of an item whose workers were lost each time
// that it ran.
const ErrorLost = "attempts exhausted: the worker was lost each time the item ran"

// releaseDelayed makes items available whose backoff has ended.
func (s *Scheduler) releaseDelayed(now time.Time) {
	for {
		key, ok := s.itemDeadlines.PopExpired(now)
		if !ok {
			return
		}
		if run, ok := s.jobs.byID[key.jobID]; ok {
			s.makeAvailable(run, key.index)
		}
	}
}

// expireRuns ends runs that take too long.
func (s *Scheduler) expireRuns(now time.Time) {
	for {
		ref, ok := s.runDeadlines.PopExpired(now)
		if !ok {
			return
		}
		run, ok := s.jobs.byID[ref.JobID]
		if !ok {
			continue
		}
		l, ok := run.findLease(ref)
		if !ok || l.reported || l.starting {
			continue
		}
		s.revoke(l.worker, ref)
		if !run.job.GetIdempotent() {
			s.lose(now, l)
			continue
		}
		s.fail(now, l.worker, l, &pb.ItemResult{
			Outcome: pb.ItemOutcome_ITEM_RETRY,
			Error:   ErrorRunTime,
		})
	}
}

// ErrorRunTime is the recorded error of an item that ran too long.
const ErrorRunTime = "timeout: the item ran longer than allowed"

func (s *Scheduler) revoke(w *workerEntry, ref ItemRef) {
	w.revoke(ref)
	s.stats.ItemsRevoked++
	s.answersDue = true
}
