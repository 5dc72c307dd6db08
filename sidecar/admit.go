package sidecar

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

const (
	// minQueueTimeDivisor is the part of its first-token target that a request
	// may always wait in the queue, as a divisor of the target.
	minQueueTimeDivisor = 4
	// onlineReserveDivisor is the part of the window that batch work leaves free
	// for online work, as a divisor of the window.
	onlineReserveDivisor = 16
	// rampPeriod is the time between two increases of the batch streams after a
	// preemption.
	rampPeriod = 20 * time.Millisecond
	// batchExcessDivisor is the excess of batch streams over the limit of the
	// interference model up to which none is preempted, as a divisor of the limit;
	// the estimated limit is noisy.
	batchExcessDivisor = 4
	// batchPrefetch is the number of batch items to hold in the queue beyond those
	// that may run.
	batchPrefetch = 2
)

// checkOverload returns the reason to refuse an online request because the queue
// is full or the request would start too late, or REASON_NONE. The duration is
// the estimated wait in the queue.
func (s *Sidecar) checkOverload(now time.Time, w Work) (pb.Reason, time.Duration) {
	if s.onlineQueue.len() >= s.options.MaxQueue {
		return pb.Reason_REASON_QUEUE_FULL, s.queueWait(w.Priority)
	}
	wait := s.queueWait(w.Priority)
	if wait == 0 {
		return pb.Reason_REASON_NONE, 0
	}
	if !w.StartDeadline.IsZero() && now.Add(wait).After(w.StartDeadline) {
		return pb.Reason_REASON_OVERLOADED, wait
	}
	if w.FirstTokenTarget > 0 && wait > s.maxQueueTime(now, w.FirstTokenTarget) {
		return pb.Reason_REASON_OVERLOADED, wait
	}
	return pb.Reason_REASON_NONE, 0
}

// queueWait estimates how long a new online request of a priority waits in the
// queue.
func (s *Sidecar) queueWait(priority uint32) time.Duration {
	ahead := s.onlineQueue.countAhead(priority)
	free := s.window.size - s.streams.onlineCount
	if ahead < free {
		return 0
	}
	slots := time.Duration(s.window.attainableSize())
	return s.onlineLatency.runTime.value * time.Duration(ahead-max(free, 0)+1) / slots
}

// maxQueueTime returns the part of a first-token target that may be spent in the
// queue. When the queue has not been empty for longer than the target, requests
// that wait the full time would all miss their targets, so the queue is kept
// short.
func (s *Sidecar) maxQueueTime(now time.Time, target time.Duration) time.Duration {
	if s.onlineQueue.len() > 0 && now.Sub(s.onlineQueueEmptyAt) > target {
		return target / minQueueTimeDivisor
	}
	return max(target-s.onlineLatency.firstToken.value, target/minQueueTimeDivisor)
}

// admitOnline starts queued online requests while online streams use less than
// the window. Batch streams are preempted for them.
func (s *Sidecar) admitOnline(now time.Time) {
	for e := s.onlineQueue.first(); e != nil; e = s.onlineQueue.first() {
		if s.waitedTooLong(now, e) {
			s.abortQueued(e, pb.Reason_REASON_OVERLOADED)
			continue
		}
		if s.streams.onlineCount >= s.window.size {
			return
		}
		if !s.ensureOnlineSlot(now) {
			return
		}
		s.start(now, e)
	}
}

// waitedTooLong reports whether a request has waited so long that it would miss
// its first-token target.
func (s *Sidecar) waitedTooLong(now time.Time, e *entry) bool {
	return e.work.FirstTokenTarget > 0 && now.Sub(e.submittedAt) > s.maxQueueTime(now, e.work.FirstTokenTarget)
}

// ensureOnlineSlot reports whether an online stream may start now, and preempts
// batch streams when no slot is free.
func (s *Sidecar) ensureOnlineSlot(now time.Time) bool {
	excess := s.streams.total() - s.streams.stoppingCount + 1 - s.window.size
	if excess <= 0 && (!s.options.WaitForStop || s.streams.total() < s.window.size) {
		return true
	}
	if s.options.DisablePreemption {
		return false
	}
	// The slots of streams that are already stopping go to the requests at the
	// head of the queue, so the whole queue is counted.
	wantedOnline := min(s.onlineQueue.len(), s.window.size-s.streams.onlineCount)
	for s.streams.total()-s.streams.stoppingCount+wantedOnline > s.window.size {
		e := s.streams.cheapestToPreempt(s.preemptionCost)
		if e == nil {
			// Online work does not wait for batch streams that cannot be preempted.
			return !s.options.WaitForStop || s.streams.stoppingCount == 0
		}
		s.preempt(now, e)
		if !s.options.WaitForStop {
			return true
		}
	}
	return false
}

// preempt stops a batch stream for online work and restarts the ramp of batch
// streams.
func (s *Sidecar) preempt(now time.Time, e *entry) {
	e.state = preempting
	e.preemptions++
	s.streams.stoppingCount++
	s.batchRamp.restart(now, s.streams.batchCount()-s.streams.stoppingCount)
	s.out.Put(Stop{ID: e.work.ID, Pause: s.options.CanPause})
}

func (s *Sidecar) start(now time.Time, e *entry) {
	s.dequeue(e)
	s.deadlines.Remove(e.work.ID)
	if !e.work.Deadline.IsZero() {
		s.deadlines.Set(e.work.ID, e.work.Deadline)
	}
	e.state = running
	e.startedAt = now
	e.lastTokenAt = time.Time{}
	resume := e.paused
	e.paused = false
	s.streams.add(e)
	s.prefixCache.add(e.work.PrefixHashes)
	s.interference.observeOnline(now, s.streams.onlineCount)
	s.out.Put(Start{ID: e.work.ID, Resume: resume})
}

// onlineReserve returns the number of slots that are kept free for online work.
func (s *Sidecar) onlineReserve() int {
	return max(1, s.window.size/onlineReserveDivisor)
}

// batchReserve returns the number of slots that batch work leaves free for online work: none of
// a single slot, if online work preempts it or is not active.
func (s *Sidecar) batchReserve(now time.Time) int {
	if s.window.size == 1 && (!s.options.DisablePreemption || !s.interference.onlineActive(now)) {
		return 0
	}
	return s.onlineReserve()
}

// batchLimit returns the number of batch streams that may run now.
func (s *Sidecar) batchLimit(now time.Time) int {
	limit := s.window.size - s.streams.onlineCount - s.onlineQueue.len() - s.batchReserve(now)
	if !s.options.DisablePreemption && s.interference.onlineActive(now) {
		limit = min(limit, s.interference.batchLimit(s.streams.onlineCount, s.window.size))
	}
	return max(limit, 0)
}

// preemptExcess preempts batch streams when they exceed the limit of the
// interference model by more than its noise. A stream whose remaining tokens cost
// less than its preemption continues.
func (s *Sidecar) preemptExcess(now time.Time) {
	if s.options.DisablePreemption || !s.interference.onlineActive(now) {
		return
	}
	limit := s.interference.batchLimit(s.streams.onlineCount, s.window.size)
	excess := s.streams.batchCount() - s.streams.stoppingCount - limit
	if excess <= limit/batchExcessDivisor {
		return
	}
	for range excess {
		e := s.streams.cheapestToPreempt(s.preemptionCost)
		if e == nil || s.preemptionCost(e) > (e.work.MaxTokens-e.producedTokens)*decodeCostFactor {
			return
		}
		s.preempt(now, e)
	}
}

// admitBatch starts batch items in the slots that online work leaves free. While
// online work is active, the starts are spaced out, because each adds a prompt to
// a step of the engine.
func (s *Sidecar) admitBatch(now time.Time) {
	if s.draining || s.window.kvNearlyFull {
		return
	}
	limit := min(s.batchLimit(now), s.batchRamp.limit(now))
	for s.streams.batchCount() < limit {
		e := s.batchQueue.first()
		if e == nil || !s.tryAddBatchPrompt(now, e) {
			return
		}
		s.start(now, e)
	}
}

// tryAddBatchPrompt reports whether a batch item may start now without its prompt
// delaying online work beyond the bound, and records the prompt if so.
func (s *Sidecar) tryAddBatchPrompt(now time.Time, e *entry) bool {
	if !s.interference.onlineActive(now) || e.paused || s.options.DisablePreemption {
		return true
	}
	if s.streams.onlineAwaitingFirstToken > 0 || now.Before(s.interference.nextBatchPrompt) {
		return false
	}
	s.interference.recordBatchPrompt(now)
	return true
}

// freeCapacity returns the number of batch items that can be taken in addition to
// those that are queued or running.
func (s *Sidecar) freeCapacity(now time.Time) int {
	limit := s.batchLimit(now)
	if s.draining || limit == 0 {
		return 0
	}
	return max(limit+batchPrefetch-s.streams.batchCount()-s.batchQueue.len(), 0)
}
