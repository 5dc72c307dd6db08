package sidecar

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// drainRetryAfter is the RetryAfter of a refusal by a draining sidecar. It is
// short because another upstream can serve the request at once.
const drainRetryAfter = 100 * time.Millisecond

// submit queues work or refuses it.
func (s *Sidecar) submit(now time.Time, w Work) {
	reason, retryAfter := s.checkAdmission(now, w)
	outcome := refusalOutcome(reason)
	if w.Class == Online && outcome == pb.Outcome_OUTCOME_NOT_RUN {
		// Refused requests are remembered as well: a delayed copy of a request
		// that was refused as not run must not run.
		s.recentAttempts.add(now, w.ID)
	}
	if reason != pb.Reason_REASON_NONE {
		s.refuse(w.ID, outcome, reason, retryAfter)
		return
	}
	if w.Class == Online {
		s.interference.setBound(w.HarmPermille)
	}
	e := &entry{work: w, submittedAt: now}
	s.entries[w.ID] = e
	s.enqueue(now, e)
}

// refusalOutcome returns the outcome to report when work is refused on
// submission. For a duplicate or a message to an earlier incarnation the outcome
// is unknown, because the engine may have received an earlier copy.
func refusalOutcome(reason pb.Reason) pb.Outcome {
	switch reason {
	case pb.Reason_REASON_DUPLICATE, pb.Reason_REASON_WRONG_INCARNATION:
		return pb.Outcome_OUTCOME_UNKNOWN
	}
	return pb.Outcome_OUTCOME_NOT_RUN
}

// checkAdmission returns the reason to refuse the work, or REASON_NONE, and the
// time after which to retry.
func (s *Sidecar) checkAdmission(now time.Time, w Work) (pb.Reason, time.Duration) {
	if w.Incarnation != 0 && w.Incarnation != s.options.Incarnation {
		return pb.Reason_REASON_WRONG_INCARNATION, 0
	}
	if s.isDuplicate(w) {
		return pb.Reason_REASON_DUPLICATE, 0
	}
	if s.draining {
		return pb.Reason_REASON_DRAINING, drainRetryAfter
	}
	if !slices.Contains(s.services, w.Service) {
		return pb.Reason_REASON_UNKNOWN_SERVICE, 0
	}
	if !w.Deadline.IsZero() && !w.Deadline.After(now) {
		return pb.Reason_REASON_DEADLINE, 0
	}
	if w.Class == Batch {
		return pb.Reason_REASON_NONE, 0
	}
	return s.checkOverload(now, w)
}

func (s *Sidecar) isDuplicate(w Work) bool {
	if _, ok := s.entries[w.ID]; ok {
		return true
	}
	return w.Class == Online && s.recentAttempts.seen(w.ID)
}

// enqueue puts an entry into the queue of its class.
func (s *Sidecar) enqueue(now time.Time, e *entry) {
	s.lastSequence++
	e.queueSequence = s.lastSequence
	e.state = queued
	if at, ok := e.queueDeadline(); ok {
		s.deadlines.Set(e.work.ID, at)
	}
	if e.work.Class == Online {
		e.queueDue = e.firstTokenDue()
		s.onlineQueue.push(e)
		return
	}
	e.queueDue = e.work.Deadline
	s.batchQueue.push(e)
	if !e.paused {
		s.batchWaits.Set(e.work.ID, now.Add(s.options.MaxBatchWait))
	}
}

func (s *Sidecar) dequeue(e *entry) {
	if e.work.Class == Online {
		s.onlineQueue.remove(e)
		return
	}
	s.batchQueue.remove(e)
	s.batchWaits.Remove(e.work.ID)
}

func (s *Sidecar) removeEntry(e *entry) {
	delete(s.entries, e.work.ID)
	s.deadlines.Remove(e.work.ID)
}

// cancel aborts work whose result is no longer wanted.
func (s *Sidecar) cancel(id AttemptID) {
	e, ok := s.entries[id]
	if !ok {
		return
	}
	s.abort(e, pb.Reason_REASON_CANCELLED)
}

// abort refuses an entry, queued or running, and stops it at the engine.
func (s *Sidecar) abort(e *entry, reason pb.Reason) {
	switch e.state {
	case queued:
		s.abortQueued(e, reason)
	case running:
		e.state = aborting
		s.streams.stoppingCount++
		s.out.Put(Stop{ID: e.work.ID})
		s.refuse(e.work.ID, pb.Outcome_OUTCOME_UNKNOWN, reason, 0)
	case preempting:
		e.state = aborting
		s.refuse(e.work.ID, pb.Outcome_OUTCOME_UNKNOWN, reason, 0)
	case aborting:
	}
}

// abortQueued removes a queued entry and refuses it. The outcome of an item that
// was preempted is unknown, because the engine has run a part of it.
func (s *Sidecar) abortQueued(e *entry, reason pb.Reason) {
	s.dequeue(e)
	s.removeEntry(e)
	if e.preemptions > 0 {
		s.refuse(e.work.ID, pb.Outcome_OUTCOME_UNKNOWN, reason, 0)
		return
	}
	s.refuseNotRun(e.work.ID, reason, s.queueWait(e.work.Priority))
}

// expireEntries aborts entries whose deadline or start deadline has passed.
func (s *Sidecar) expireEntries(now time.Time) {
	for {
		id, ok := s.deadlines.PopExpired(now)
		if !ok {
			return
		}
		e := s.entries[id]
		s.abort(e, abortReason(now, e))
	}
}

// releaseWaitingItems releases batch items that have waited for MaxBatchWait.
func (s *Sidecar) releaseWaitingItems(now time.Time) {
	for {
		id, ok := s.batchWaits.PopExpired(now)
		if !ok {
			return
		}
		s.releaseItem(s.entries[id])
	}
}

// abortReason returns the reason for an expired entry: its deadline has passed,
// or it could not start in time because of overload.
func abortReason(now time.Time, e *entry) pb.Reason {
	if !e.work.Deadline.IsZero() && !e.work.Deadline.After(now) {
		return pb.Reason_REASON_DEADLINE
	}
	return pb.Reason_REASON_OVERLOADED
}

// drain refuses new work and releases queued batch items to their jobs.
func (s *Sidecar) drain() {
	s.draining = true
	for e := s.batchQueue.first(); e != nil; e = s.batchQueue.first() {
		s.releaseItem(e)
	}
}

// releaseItem returns a queued batch item to its job.
func (s *Sidecar) releaseItem(e *entry) {
	s.dequeue(e)
	s.removeEntry(e)
	s.out.Put(ReleaseItem{ID: e.work.ID, Ran: e.preemptions > 0})
}

// runEnded frees the slot of an entry, and queues the entry again if it was
// preempted before it was done.
func (s *Sidecar) runEnded(now time.Time, in RunEnded) {
	e, ok := s.entries[in.ID]
	if !ok || e.state == queued {
		return
	}
	s.streams.remove(e)
	if e.state != running {
		s.streams.stoppingCount--
	}
	if e.state == preempting && in.Outcome != pb.Outcome_OUTCOME_DONE {
		s.requeue(now, e, in.Paused)
		return
	}
	if e.work.Class == Online && in.Outcome == pb.Outcome_OUTCOME_DONE {
		s.onlineLatency.runTime.add(now.Sub(e.startedAt))
	}
	s.removeEntry(e)
}

// requeue queues a preempted batch item again, or releases it while the sidecar
// drains.
func (s *Sidecar) requeue(now time.Time, e *entry, paused bool) {
	e.paused = paused
	if !paused {
		e.producedTokens = 0
	}
	s.enqueue(now, e)
	if s.draining {
		s.releaseItem(e)
		return
	}
	s.out.Put(Requeued{ID: e.work.ID})
}

// recordTokens updates the latency statistics with the tokens of a running
// stream.
func (s *Sidecar) recordTokens(now time.Time, in TokensProduced) {
	e, ok := s.entries[in.ID]
	if !ok || e.state != running || in.Count <= 0 {
		return
	}
	if e.lastTokenAt.IsZero() {
		s.recordFirstToken(now, e)
	} else {
		s.recordTokenInterval(now, e, in.Count)
	}
	e.producedTokens += in.Count
	e.lastTokenAt = now
}

func (s *Sidecar) recordFirstToken(now time.Time, e *entry) {
	s.streams.stopAwaitingFirstToken(e)
	if e.work.Class != Online {
		return
	}
	took := now.Sub(e.startedAt)
	s.onlineLatency.firstToken.add(took)
	s.window.addFirstToken(took, e.work.FirstTokenTarget)
}

func (s *Sidecar) recordTokenInterval(now time.Time, e *entry, count int) {
	interval := now.Sub(e.lastTokenAt) / time.Duration(count)
	s.interference.addStepTime(interval, s.streams.total())
	if e.work.Class != Online {
		return
	}
	s.onlineLatency.betweenTokens.add(interval)
	s.window.addTokenInterval(interval, e.work.BetweenTokensTarget)
}
