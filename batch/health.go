package batch

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

const (
	// sickItems is how many items must fail at a worker, and at no other,
	// before it is paused.
	sickItems = 4
	pauseBase = 2 * time.Second
	pauseMax  = 2 * time.Minute

	// credibleScore is the share of recent successes from which a worker's
	// failure speaks against the item.
	credibleScore = 0.5
	startScore    = 0.5
	scoreStep     = 0.2
)

// blame decides whether a failure speaks against the item or the worker. An
// item that two workers refuse, or that fails at two of which one is credible,
// clears them; any other failure counts against the worker.
func (s *Scheduler) blame(now time.Time, w *workerEntry, run *jobRun, ref ItemRef, entry *retryEntry) {
	if s.itemAtFault(entry) {
		for _, id := range entry.failedBy {
			if other, ok := s.workers.byID[id]; ok {
				s.exonerate(other, ref.key())
			}
		}
		return
	}
	w.suspect(ref.key())
	switch {
	case now.Before(w.pausedUntil):
		entry.refund(run, w)
	case w.pauseLevel > 0 || len(w.suspects) >= sickItems:
		s.pause(now, w)
	}
}

func (s *Scheduler) itemAtFault(entry *retryEntry) bool {
	if len(entry.failedBy) < distinctFails {
		return false
	}
	if entry.lastError.GetOutcome() == pb.ItemOutcome_ITEM_FAILED {
		return true
	}
	for _, id := range entry.failedBy {
		if w, ok := s.workers.byID[id]; ok && w.score >= credibleScore {
			return true
		}
	}
	return false
}

// observe folds an outcome into a worker's share of recent successes.
func (w *workerEntry) observe(success bool) {
	outcome := 0.0
	if success {
		outcome = 1
	}
	w.score += scoreStep * (outcome - w.score)
}

// exonerate drops an item from the suspicions against a worker.
func (s *Scheduler) exonerate(w *workerEntry, key itemKey) {
	w.clearSuspect(key)
	if len(w.suspects) < sickItems && w.pauseLevel > 0 {
		s.trust(w)
	}
}

// refund takes back an attempt that an item has lost to a sick worker. The
// number of refunds of an item is bounded like its attempts.
func (e *retryEntry) refund(run *jobRun, w *workerEntry) {
	if e.failures == 0 || e.refunds >= run.job.GetMaxAttempts() || e.refundedBy == w.id {
		return
	}
	e.failures--
	e.refunds++
	e.refundedBy = w.id
}

func (s *Scheduler) refundSuspects(w *workerEntry) {
	for _, key := range w.suspects {
		run, ok := s.jobs.byID[key.jobID]
		if !ok {
			continue
		}
		if entry, ok := run.retries[key.index]; ok {
			entry.refund(run, w)
		}
	}
}

// pause gives a worker nothing for a time that doubles with each pause.
func (s *Scheduler) pause(now time.Time, w *workerEntry) {
	pause := pauseBase
	for i := 0; i < w.pauseLevel && pause < pauseMax; i++ {
		pause *= 2
	}
	w.pauseLevel++
	s.refundSuspects(w)
	w.pausedUntil = now.Add(min(pause, pauseMax))
	s.stats.WorkersPaused++
	s.pauseDeadlines.Set(w.id, w.pausedUntil)
}

// resumeWorkers looks at the requests of workers whose pause has ended. Such
// a worker gets one item at a time until one succeeds.
func (s *Scheduler) resumeWorkers(now time.Time) {
	for {
		id, ok := s.pauseDeadlines.PopExpired(now)
		if !ok {
			return
		}
		if _, ok := s.workers.byID[id]; ok {
			s.addWork()
		}
	}
}

// trust ends a worker's pause.
func (s *Scheduler) trust(w *workerEntry) {
	if w.pauseLevel == 0 {
		return
	}
	w.pauseLevel = 0
	w.pausedUntil = time.Time{}
	w.suspects = nil
	s.pauseDeadlines.Remove(w.id)
	s.addWork()
}
