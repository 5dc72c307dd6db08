package batch

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

// requestDue reports whether a request is due.
func (w *Worker) requestDue(now time.Time) bool {
	if w.requestOutstanding || now.Before(w.retryAt) || now.Sub(w.requestSentAt) < w.options.MinRequestInterval {
		return false
	}
	return w.requestNow || w.pullDue(now) || w.renewalDue(now) || w.resultsDue(now)
}

func (w *Worker) pullDue(now time.Time) bool {
	return w.offeredCapacity() > 0 && !now.Before(w.nextPullAt)
}

// offeredCapacity returns the room that the next request offers.
func (w *Worker) offeredCapacity() int {
	if w.draining || w.unsettled.len() >= maxUnsettled {
		return 0
	}
	return max(0, w.freeCapacity)
}

func (w *Worker) renewalDue(now time.Time) bool {
	return w.held.len() > 0 && now.Sub(w.requestSentAt) >= w.leaseTime/renewalsPerLease
}

// resultsDue reports whether results have waited for others long enough.
func (w *Worker) resultsDue(now time.Time) bool {
	idle := w.held.len() == 0
	due := false
	w.unsettled.scan(func(u *unsettledResult) bool {
		due = w.sendDue(now, u) && (idle || u.sent || now.Sub(u.addedAt) >= w.options.ResultDelay)
		return !due
	})
	return due
}

// sendDue reports whether a result has to go into the next request.
func (w *Worker) sendDue(now time.Time, u *unsettledResult) bool {
	return !u.sent || now.Sub(u.sentAt) >= w.options.ResendAfter
}

func (w *Worker) sendRequest(now time.Time) {
	w.requestSequence++
	w.requestOutstanding = true
	w.requestSentAt = now
	w.requestNow = false
	w.stats.Requests++
	m := &pb.LeaseRequest{
		Worker:      w.options.ID,
		Incarnation: w.options.Incarnation,
		Sequence:    w.requestSequence,
		Services:    w.services,
		Room:        uint32(w.offeredCapacity()),
		Draining:    w.draining,
		DataCentre:  w.options.DataCentre,
		Term:        w.term,
	}
	for _, item := range w.held.values() {
		m.Held = append(m.Held, item.ref.toProto())
	}
	w.attachResults(now, m)
	w.out.Put(SendRequest{m})
}

// attachResults adds results up to the size of a request. Those that are not
// sent now count as held.
func (w *Worker) attachResults(now time.Time, m *pb.LeaseRequest) {
	size := 0
	for _, u := range w.unsettled.values() {
		if !w.sendDue(now, u) || size >= maxRequestBytes {
			m.Held = append(m.Held, u.ref.toProto())
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

// handleRequestFailure backs off and marks all results to be sent again, since the next
// request may reach another leader.
func (w *Worker) handleRequestFailure(now time.Time) {
	if !w.requestOutstanding {
		return
	}
	w.requestOutstanding = false
	w.stats.RequestsFailed++
	for _, u := range w.unsettled.values() {
		u.sent = false
	}
	delay := requestRetryBase << min(w.failedRequests, 8)
	delay = min(delay, requestRetryMax)
	w.failedRequests++
	w.retryAt = now.Add(delay/2 + time.Duration(w.random.Int64N(int64(delay/2)+1)))
	w.requestNow = true
}

// stepResponseReceived takes the answer to the outstanding request. Any other answer
// is dropped: the leader takes what it gave with that as not received. An
// answer of a replaced leader is dropped too, since that does not know what
// the present one has given.
func (w *Worker) stepResponseReceived(now time.Time, m *pb.LeaseResponse) {
	if !w.requestOutstanding || m.GetSequence() != w.requestSequence {
		return
	}
	if m.GetError() != pb.ControlErrorCode_CONTROL_OK || m.GetTerm() < w.term {
		w.handleRequestFailure(now)
		return
	}
	w.term = m.GetTerm()
	w.requestOutstanding = false
	w.failedRequests = 0
	w.extendLeases(m)
	for _, revoked := range m.GetRevoked() {
		w.stopItem(leaseRefFromProto(revoked))
	}
	for _, settled := range m.GetSettled() {
		w.removeSettled(leaseRefFromProto(settled))
	}
	w.runItems(now, m)
	w.expireLeases(now)
}

// extendLeases counts the lease from when the request was sent.
func (w *Worker) extendLeases(m *pb.LeaseResponse) {
	if m.GetLeaseMs() > 0 {
		w.leaseTime = time.Duration(m.GetLeaseMs()) * time.Millisecond
	}
	w.leasesExpireAt = w.requestSentAt.Add(w.leaseTime)
}

func (w *Worker) stopItem(ref LeaseRef) {
	w.removeSettled(ref)
	if _, ok := w.held.get(ref); !ok {
		return
	}
	w.held.remove(ref)
	w.stats.ItemsStopped++
	w.out.Put(StopItem{ref})
}

func (w *Worker) removeSettled(ref LeaseRef) {
	if _, ok := w.unsettled.get(ref); !ok {
		return
	}
	w.unsettled.remove(ref)
	w.stats.ResultsSettled++
}

// runItems runs what the leader gave, unless the answer came after the end
// of the lease.
func (w *Worker) runItems(now time.Time, m *pb.LeaseResponse) {
	if len(m.GetItems()) == 0 {
		w.nextPullAt = now.Add(time.Duration(m.GetPollMs()) * time.Millisecond)
		return
	}
	w.nextPullAt = now
	for _, item := range m.GetItems() {
		held := &heldItem{ref: LeaseRefOf(item), idempotent: item.GetIdempotent(), customID: item.GetCustomId()}
		if !now.Before(w.leasesExpireAt) {
			w.addResult(now, held, releaseOf(held.ref))
			continue
		}
		w.freeCapacity--
		w.stats.ItemsRun++
		w.held.set(held.ref, held)
		w.out.Put(RunItem{item})
	}
}
