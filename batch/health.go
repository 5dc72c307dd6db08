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
	paused := now.Before(w.pausedUntil)
	if w.probing || (len(w.suspects) >= sickItems && !paused) {
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

// refund takes back the attempts that items have lost to a sick worker. The
// number of refunds of an item is bounded like its attempts.
func (s *Scheduler) refund(w *workerEntry) {
	for _, key := range w.suspects {
		run, ok := s.jobs.byID[key.jobID]
		if !ok {
			continue
		}
		entry, ok := run.retries[key.index]
		if ok && entry.failures > 0 && entry.refunds < run.job.GetMaxAttempts() && entry.refundedBy != w.id {
			entry.failures--
			entry.refunds++
			entry.refundedBy = w.id
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
	s.refund(w)
	w.probing = false
	w.pausedUntil = now.Add(min(pause, pauseMax))
	s.stats.WorkersPaused++
	s.pauseDeadlines.Set(w.id, w.pausedUntil)
}

// resumeWorkers lets paused workers try one item.
func (s *Scheduler) resumeWorkers(now time.Time) {
	for {
		id, ok := s.pauseDeadlines.Expire(now)
		if !ok {
			return
		}
		if w, ok := s.workers.byID[id]; ok && w.pauseLevel > 0 {
			w.probing = true
			s.workAdded = true
		}
	}
}

// trust ends a worker's pause.
func (s *Scheduler) trust(w *workerEntry) {
	if w.pauseLevel == 0 {
		return
	}
	w.pauseLevel = 0
	w.probing = false
	w.pausedUntil = time.Time{}
	w.suspects = nil
	s.pauseDeadlines.Remove(w.id)
	s.workAdded = true
}
