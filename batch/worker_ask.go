package batch

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

// mustAsk reports whether a request is due.
func (w *Worker) mustAsk(now time.Time) bool {
	if w.outstanding || now.Before(w.retryAt) || now.Sub(w.askedAt) < w.options.AskInterval {
		return false
	}
	return w.changed || w.pullDue(now) || w.renewalDue(now) || w.resultsDue(now)
}

func (w *Worker) pullDue(now time.Time) bool {
	return w.pullRoom() > 0 && !now.Before(w.nextPull)
}

// pullRoom returns the room that the next request offers.
func (w *Worker) pullRoom() int {
	if w.draining || w.unsettled.len() >= maxUnsettled {
		return 0
	}
	return max(0, w.room)
}

func (w *Worker) renewalDue(now time.Time) bool {
	return w.held.len() > 0 && now.Sub(w.askedAt) >= w.leaseTime/renewalsPerLease
}

// resultsDue reports whether results have waited for others long enough.
func (w *Worker) resultsDue(now time.Time) bool {
	idle := w.held.len() == 0
	due := false
	w.unsettled.scan(func(u *unsettledResult) bool {
		due = w.toSend(now, u) && (idle || u.sent || now.Sub(u.at) >= w.options.ResultDelay)
		return !due
	})
	return due
}

// toSend reports whether a result has to go into the next request.
func (w *Worker) toSend(now time.Time, u *unsettledResult) bool {
	return !u.sent || now.Sub(u.sentAt) >= w.options.ResendAfter
}

func (w *Worker) ask(now time.Time) {
	w.sequence++
	w.outstanding = true
	w.askedAt = now
	w.changed = false
	w.stats.Asks++
	m := &pb.LeaseRequest{
		Worker:      w.options.ID,
		Incarnation: w.options.Incarnation,
		Sequence:    w.sequence,
		Services:    w.services,
		Room:        uint32(w.pullRoom()),
		Draining:    w.draining,
		DataCentre:  w.options.DataCentre,
		Term:        w.term,
	}
	for _, item := range w.held.values() {
		m.Held = append(m.Held, item.ref.message())
	}
	w.attachResults(now, m)
	w.out.Put(Ask{m})
}

// attachResults adds results up to the size of a request. Those that are not
// sent now count as held.
func (w *Worker) attachResults(now time.Time, m *pb.LeaseRequest) {
	size := 0
	for _, u := range w.unsettled.values() {
		if !w.toSend(now, u) || size >= maxAskBytes {
			m.Held = append(m.Held, u.ref.message())
			continue
		}
		size += len(u.result.GetBody())
		if u.sent {
			w.stats.ResultsResent++
		}
		w.stats.ResultsSent++
		u.sent = true
		u.sentAt = now
		m.Results = append(m.Results, u.result)
	}
}

// askFailed backs off and marks all results to be sent again, since the next
// request may reach another leader.
func (w *Worker) askFailed(now time.Time) {
	if !w.outstanding {
		return
	}
	w.outstanding = false
	w.stats.AsksFailed++
	for _, u := range w.unsettled.values() {
		u.sent = false
	}
	delay := askRetryBase << min(w.failures, 8)
	delay = min(delay, askRetryMax)
	w.failures++
	w.retryAt = now.Add(delay/2 + time.Duration(w.rand.Int64N(int64(delay/2)+1)))
	w.changed = true
}

// stepResponse takes the answer to the outstanding request. Any other answer
// is dropped: the leader takes what it gave with that as not received. An
// answer of a replaced leader is dropped too, since that does not know what
// the present one has given.
func (w *Worker) stepResponse(now time.Time, m *pb.LeaseResponse) {
	if !w.outstanding || m.GetSequence() != w.sequence {
		return
	}
	if m.GetError() != pb.ControlErrorCode_CONTROL_OK || m.GetTerm() < w.term {
		w.askFailed(now)
		return
	}
	w.term = m.GetTerm()
	w.outstanding = false
	w.failures = 0
	w.renewLease(m)
	for _, revoked := range m.GetRevoked() {
		w.stop(refOf(revoked))
	}
	for _, settled := range m.GetSettled() {
		w.settle(refOf(settled))
	}
	w.takeItems(now, m)
	w.expireLeases(now)
}

// renewLease counts the lease from when the request was sent.
func (w *Worker) renewLease(m *pb.LeaseResponse) {
	if m.GetLeaseMs() > 0 {
		w.leaseTime = time.Duration(m.GetLeaseMs()) * time.Millisecond
	}
	w.leaseUntil = w.askedAt.Add(w.leaseTime)
}

func (w *Worker) stop(ref ItemRef) {
	w.settle(ref)
	if _, ok := w.held.get(ref); !ok {
		return
	}
	w.held.remove(ref)
	w.stats.ItemsStopped++
	w.out.Put(Stop{ref})
}

func (w *Worker) settle(ref ItemRef) {
	if _, ok := w.unsettled.get(ref); !ok {
		return
	}
	w.unsettled.remove(ref)
	w.stats.ResultsSettled++
}

// takeItems runs what the leader gave, unless the answer came after the end
// of the lease.
func (w *Worker) takeItems(now time.Time, m *pb.LeaseResponse) {
	if len(m.GetItems()) == 0 {
		w.nextPull = now.Add(time.Duration(m.GetPollMs()) * time.Millisecond)
		return
	}
	w.nextPull = now
	for _, item := range m.GetItems() {
		held := &heldItem{ref: RefOf(item), idempotent: item.GetIdempotent(), customID: item.GetCustomId()}
		if !now.Before(w.leaseUntil) {
			w.addResult(now, held, notRunResult(held.ref))
			continue
		}
		w.room--
		w.stats.ItemsRun++
		w.held.set(held.ref, held)
		w.out.Put(Run{item})
	}
}
