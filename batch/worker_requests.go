package batch

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

// requestDue reports whether a lease request should be sent now.
func (w *Worker) requestDue(now time.Time) bool {
	if w.requestOutstanding || now.Before(w.retryAt) || now.Sub(w.requestSentAt) < w.options.MinRequestInterval {
		return false
	}
	return w.requestNow || w.pullDue(now) || w.renewalDue(now) || w.resultsDue(now)
}

func (w *Worker) pullDue(now time.Time) bool {
	return w.offeredCapacity() > 0 && !now.Before(w.nextPullAt)
}

// offeredCapacity returns how many items the next request asks for.
func (w *Worker) offeredCapacity() int {
	if w.draining || w.unsettled.len() >= maxUnsettledResults {
		return 0
	}
	return max(0, w.freeCapacity)
}

func (w *Worker) renewalDue(now time.Time) bool {
	return w.held.len() > 0 && now.Sub(w.requestSentAt) >= w.leaseTime/renewalsPerLease
}

// resultsDue reports whether a result has to be sent without waiting for more.
func (w *Worker) resultsDue(now time.Time) bool {
	idle := w.held.len() == 0
	due := false
	w.unsettled.scan(func(u *unsettledResult) bool {
		due = w.sendDue(now, u) && (idle || u.sent || now.Sub(u.addedAt) >= w.options.ResultDelay)
		return !due
	})
	return due
}

// sendDue reports whether the next request includes a result.
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

// attachResults adds results until maxRequestBytes is reached. Items whose
// results are left out are listed as held, so that their leases are renewed.
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

// handleRequestFailure backs off and marks all results to be sent again, since
// the next request may reach another leader.
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

// stepResponseReceived handles the response to the outstanding request. A
// response to any other request is dropped; the leader treats the items in it
// as not received. A response of an earlier term is treated as a failed request,
// since a replaced leader does not know which leases the current one has
// granted.
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

// extendLeases extends all leases by the lease time, counted from the sending
// of the request.
func (w *Worker) extendLeases(m *pb.LeaseResponse) {
	if m.GetLeaseMs() > 0 {
		w.leaseTime = time.Duration(m.GetLeaseMs()) * time.Millisecond
	}
	w.leasesExpireAt = w.requestSentAt.Add(w.leaseTime)
}

// stopItem drops a revoked item or its result.
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

// runItems starts the items of a response. Items whose lease ended before the
// response arrived are reported as not run.
func (w *Worker) runItems(now time.Time, m *pb.LeaseResponse) {
	if len(m.GetItems()) == 0 {
		w.nextPullAt = now.Add(time.Duration(m.GetPollMs()) * time.Millisecond)
		return
	}
	w.nextPullAt = now
	for _, item := range m.GetItems() {
		held := &heldItem{ref: LeaseRefOf(item), idempotent: item.GetIdempotent(), customID: item.GetCustomId()}
		if !now.Before(w.leasesExpireAt) {
			w.addResult(now, held, notRunResult(held.ref))
			continue
		}
		w.freeCapacity--
		w.stats.ItemsRun++
		w.held.set(held.ref, held)
		w.out.Put(RunItem{item})
	}
}
