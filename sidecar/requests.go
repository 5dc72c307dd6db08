package sidecar

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// drainRetryAfter is what callers are told while the sidecar drains; another
// upstream can serve them at once.
const drainRetryAfter = 100 * time.Millisecond

// submit refuses work or queues it.
func (s *Sidecar) submit(now time.Time, w Work) {
	reason, after := s.refusal(now, w)
	outcome := refusalOutcome(reason)
	if w.Class == Online && outcome == pb.Outcome_OUTCOME_NOT_RUN {
		// Also after a refusal: a delayed copy must not make it untrue.
		s.recent.add(now, w.ID)
	}
	if reason != pb.Reason_REASON_NONE {
		s.refuse(w.ID, outcome, reason, after)
		return
	}
	if w.Class == Online {
		s.harm.note(w.HarmPermille)
	}
	e := &entry{work: w, submitted: now}
	s.work[w.ID] = e
	s.enqueue(now, e)
}

// refusalOutcome tells what is known of a submitted request before it starts. A
// duplicate and a message for an earlier incarnation may follow a copy that an
// engine has seen.
func refusalOutcome(reason pb.Reason) pb.Outcome {
	switch reason {
	case pb.Reason_REASON_DUPLICATE, pb.Reason_REASON_WRONG_INCARNATION:
		return pb.Outcome_OUTCOME_UNKNOWN
	}
	return pb.Outcome_OUTCOME_NOT_RUN
}

func (s *Sidecar) refusal(now time.Time, w Work) (pb.Reason, time.Duration) {
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
	return s.overload(now, w)
}

func (s *Sidecar) isDuplicate(w Work) bool {
	if _, ok := s.work[w.ID]; ok {
		return true
	}
	return w.Class == Online && s.recent.seen(w.ID)
}

// enqueue puts an entry into the queue of its class.
func (s *Sidecar) enqueue(now time.Time, e *entry) {
	s.sequence++
	e.sequence = s.sequence
	e.state = queued
	if at, ok := e.expiry(); ok {
		s.expiry.Set(e.work.ID, at)
	}
	if e.work.Class == Online {
		e.due = e.firstDue()
		s.online.push(e)
		return
	}
	e.due = e.work.Deadline
	s.batch.push(e)
	if !e.paused {
		s.held.Set(e.work.ID, now.Add(s.options.BatchWait))
	}
}

func (s *Sidecar) dequeue(e *entry) {
	if e.work.Class == Online {
		s.online.remove(e)
		return
	}
	s.batch.remove(e)
	s.held.Remove(e.work.ID)
}

func (s *Sidecar) forget(e *entry) {
	delete(s.work, e.work.ID)
	s.expiry.Remove(e.work.ID)
}

// cancel answers work that nobody waits for and frees its place.
func (s *Sidecar) cancel(id ID) {
	e, ok := s.work[id]
	if !ok {
		return
	}
	s.end(e, pb.Reason_REASON_CANCELLED)
}

// end gives up an entry wherever it stands.
func (s *Sidecar) end(e *entry, reason pb.Reason) {
	switch e.state {
	case queued:
		s.endQueued(e, reason)
	case running:
		e.state = ending
		s.streams.stopping++
		s.out.Put(Stop{ID: e.work.ID})
		s.refuse(e.work.ID, pb.Outcome_OUTCOME_UNKNOWN, reason, 0)
	case yielding:
		e.state = ending
		s.refuse(e.work.ID, pb.Outcome_OUTCOME_UNKNOWN, reason, 0)
	case ending:
	}
}

// endQueued answers queued work. An item that yielded has been seen by the
// engine.
func (s *Sidecar) endQueued(e *entry, reason pb.Reason) {
	s.dequeue(e)
	s.forget(e)
	if e.yields > 0 {
		s.refuse(e.work.ID, pb.Outcome_OUTCOME_UNKNOWN, reason, 0)
		return
	}
	s.notRun(e.work.ID, reason, s.queueWait(e.work.Priority))
}

// expire gives up entries whose time has passed.
func (s *Sidecar) expire(now time.Time) {
	for {
		id, ok := s.expiry.PopExpired(now)
		if !ok {
			return
		}
		e := s.work[id]
		s.end(e, expiryReason(now, e))
	}
}

// returnHeld gives back batch items that have waited too long for a place.
func (s *Sidecar) returnHeld(now time.Time) {
	for {
		id, ok := s.held.PopExpired(now)
		if !ok {
			return
		}
		s.giveBack(s.work[id])
	}
}

// expiryReason tells a passed deadline from a queue that is too long.
func expiryReason(now time.Time, e *entry) pb.Reason {
	if !e.work.Deadline.IsZero() && !e.work.Deadline.After(now) {
		return pb.Reason_REASON_DEADLINE
	}
	return pb.Reason_REASON_OVERLOADED
}

// drain stops taking work and returns queued batch items to their jobs.
func (s *Sidecar) drain() {
	s.draining = true
	for e := s.batch.first(); e != nil; e = s.batch.first() {
		s.giveBack(e)
	}
}

func (s *Sidecar) giveBack(e *entry) {
	s.dequeue(e)
	s.forget(e)
	s.out.Put(GiveBack{ID: e.work.ID, Ran: e.yields > 0})
}

// ended frees the place of an entry.
func (s *Sidecar) ended(now time.Time, in Ended) {
	e, ok := s.work[in.ID]
	if !ok || e.state == queued {
		return
	}
	s.streams.remove(e)
	if e.state != running {
		s.streams.stopping--
	}
	if e.state == yielding && in.Outcome != pb.Outcome_OUTCOME_DONE {
		s.requeue(now, e, in.Paused)
		return
	}
	if e.work.Class == Online && in.Outcome == pb.Outcome_OUTCOME_DONE {
		s.latency.hold.add(now.Sub(e.started))
	}
	s.forget(e)
}

// requeue keeps a stopped batch item for later.
func (s *Sidecar) requeue(now time.Time, e *entry, paused bool) {
	e.paused = paused
	if !paused {
		e.tokens = 0
	}
	s.enqueue(now, e)
	if s.draining {
		s.giveBack(e)
		return
	}
	s.out.Put(Requeued{ID: e.work.ID})
}

// tokens measures the engine by what it produces.
func (s *Sidecar) tokens(now time.Time, in Tokens) {
	e, ok := s.work[in.ID]
	if !ok || e.state != running || in.Count <= 0 {
		return
	}
	if e.lastToken.IsZero() {
		s.firstToken(now, e)
	} else {
		s.nextTokens(now, e, in.Count)
	}
	e.tokens += in.Count
	e.lastToken = now
}

func (s *Sidecar) firstToken(now time.Time, e *entry) {
	s.streams.spoke(e)
	if e.work.Class != Online {
		return
	}
	took := now.Sub(e.started)
	s.latency.firstToken.add(took)
	s.window.firstToken(took, e.work.FirstToken)
}

func (s *Sidecar) nextTokens(now time.Time, e *entry, count int) {
	interval := now.Sub(e.lastToken) / time.Duration(count)
	s.harm.interval(interval, s.streams.count())
	if e.work.Class != Online {
		return
	}
	s.latency.between.add(interval)
	s.window.interval(interval, e.work.BetweenTokens)
}
