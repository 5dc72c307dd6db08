package sidecar

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

const (
	// slackDivisor is the share of a first-token target that a request may
	// always wait in the queue, as a reciprocal.
	slackDivisor = 4
	// reserveDivisor is the share of the window that batch work leaves free for
	// online work, as a reciprocal.
	reserveDivisor = 16
	// rampPeriod is the time between two steps by which batch work returns
	// after a yield.
	rampPeriod = 20 * time.Millisecond
	// harmNoiseDivisor is the share of the limit of harm that batch streams may
	// exceed before some are stopped, as a reciprocal.
	harmNoiseDivisor = 4
	// batchAhead is the number of batch items that are held in the queue.
	batchAhead = 2
)

// overload refuses an online request that cannot be served in time.
func (s *Sidecar) overload(now time.Time, w Work) (pb.Reason, time.Duration) {
	if s.online.len() >= s.options.MaxQueue {
		return pb.Reason_REASON_QUEUE_FULL, s.queueWait(w.Priority)
	}
	wait := s.queueWait(w.Priority)
	if wait == 0 {
		return pb.Reason_REASON_NONE, 0
	}
	if !w.StartDeadline.IsZero() && now.Add(wait).After(w.StartDeadline) {
		return pb.Reason_REASON_OVERLOADED, wait
	}
	if w.FirstTokenTarget > 0 && wait > s.slack(now, w.FirstTokenTarget) {
		return pb.Reason_REASON_OVERLOADED, wait
	}
	return pb.Reason_REASON_NONE, 0
}

// queueWait estimates how long new online work of a priority waits.
func (s *Sidecar) queueWait(priority uint32) time.Duration {
	ahead := s.online.ahead(priority)
	free := s.window.size - s.streams.online
	if ahead < free {
		return 0
	}
	places := time.Duration(s.window.attainable())
	return s.latency.hold.value * time.Duration(ahead-max(free, 0)+1) / places
}

// slack returns the part of a first-token target that may be spent in the queue.
// A queue that has stood for longer than the target serves nobody, so it is kept
// short.
func (s *Sidecar) slack(now time.Time, target time.Duration) time.Duration {
	if s.online.len() > 0 && now.Sub(s.queueSince) > target {
		return target / slackDivisor
	}
	return max(target-s.latency.firstToken.value, target/slackDivisor)
}

// admitOnline starts queued online work while the window has places that online
// work does not use. Batch streams give theirs up.
func (s *Sidecar) admitOnline(now time.Time) {
	for e := s.online.first(); e != nil; e = s.online.first() {
		if s.tooLate(now, e) {
			s.endQueued(e, pb.Reason_REASON_OVERLOADED)
			continue
		}
		if s.streams.online >= s.window.size {
			return
		}
		if !s.makePlace(now) {
			return
		}
		s.start(now, e)
	}
}

// tooLate tells that a request has waited so long that it would miss its target.
func (s *Sidecar) tooLate(now time.Time, e *entry) bool {
	return e.work.FirstTokenTarget > 0 && now.Sub(e.submitted) > s.slack(now, e.work.FirstTokenTarget)
}

// makePlace reports whether an online stream may start now, and stops a batch
// stream when there is no place.
func (s *Sidecar) makePlace(now time.Time) bool {
	needed := s.streams.count() - s.streams.stopping + 1 - s.window.size
	if needed <= 0 && (!s.options.WaitForStop || s.streams.count() < s.window.size) {
		return true
	}
	if s.options.DisablePreemption {
		return false
	}
	// Streams that already stop make place for the requests ahead of this one.
	wanted := min(s.online.len(), s.window.size-s.streams.online)
	for s.streams.count()-s.streams.stopping+wanted > s.window.size {
		e := s.streams.cheapest(s.stopLoss)
		if e == nil {
			// Online work does not wait for batch streams that cannot stop.
			return !s.options.WaitForStop || s.streams.stopping == 0
		}
		s.stopForRoom(now, e)
		if !s.options.WaitForStop {
			return true
		}
	}
	return false
}

// stopForRoom stops a batch stream and holds batch work back for a while.
func (s *Sidecar) stopForRoom(now time.Time, e *entry) {
	e.state = yielding
	e.yields++
	s.streams.stopping++
	s.ramp.hold(now, s.streams.batch()-s.streams.stopping)
	s.out.Put(Stop{ID: e.work.ID, Pause: s.options.CanPause})
}

func (s *Sidecar) start(now time.Time, e *entry) {
	s.dequeue(e)
	s.expiry.Remove(e.work.ID)
	if !e.work.Deadline.IsZero() {
		s.expiry.Set(e.work.ID, e.work.Deadline)
	}
	e.state = running
	e.started = now
	e.lastToken = time.Time{}
	resume := e.paused
	e.paused = false
	s.streams.add(e)
	s.prefixes.add(e.work.PrefixHashes)
	s.harm.adapt(now, s.streams.online)
	s.out.Put(Start{ID: e.work.ID, Resume: resume})
}

// reserve returns the places that batch work leaves free for online work.
func (s *Sidecar) reserve() int {
	return max(1, s.window.size/reserveDivisor)
}

// batchLimit returns the number of batch streams that may run now.
func (s *Sidecar) batchLimit(now time.Time) int {
	limit := s.window.size - s.streams.online - s.online.len() - s.reserve()
	if !s.options.DisablePreemption && s.harm.active(now) {
		limit = min(limit, s.harm.limit(s.streams.online, s.window.size))
	}
	return max(limit, 0)
}

// yield stops batch streams that exceed the limit of harm by more than its
// noise. A stream that has less to do than it would lose goes on.
func (s *Sidecar) yield(now time.Time) {
	if s.options.DisablePreemption || !s.harm.active(now) {
		return
	}
	limit := s.harm.limit(s.streams.online, s.window.size)
	excess := s.streams.batch() - s.streams.stopping - limit
	if excess <= limit/harmNoiseDivisor {
		return
	}
	for range excess {
		e := s.streams.cheapest(s.stopLoss)
		if e == nil || s.stopLoss(e) > (e.work.MaxTokens-e.tokens)*decodeCost {
			return
		}
		s.stopForRoom(now, e)
	}
}

// admitBatch fills the places that online work leaves. Beside online work the
// starts are spaced out, because each puts a prompt into a step of the engine.
func (s *Sidecar) admitBatch(now time.Time) {
	if s.draining || s.window.kvFull {
		return
	}
	limit := min(s.batchLimit(now), s.ramp.limit(now))
	for s.streams.batch() < limit {
		e := s.batch.first()
		if e == nil || !s.mayAddPrompt(now, e) {
			return
		}
		s.start(now, e)
	}
}

// mayAddPrompt tells that the prompt of a batch item harms no online work beyond
// the bound.
func (s *Sidecar) mayAddPrompt(now time.Time, e *entry) bool {
	if !s.harm.active(now) || e.paused || s.options.DisablePreemption {
		return true
	}
	if s.streams.onlineSilent > 0 || now.Before(s.harm.nextPrompt) {
		return false
	}
	s.harm.addPrompt(now)
	return true
}

// batchRoom returns the number of batch items that can be taken.
func (s *Sidecar) batchRoom(now time.Time) int {
	limit := s.batchLimit(now)
	if s.draining || limit == 0 {
		return 0
	}
	return max(limit+batchAhead-s.streams.batch()-s.batch.len(), 0)
}
