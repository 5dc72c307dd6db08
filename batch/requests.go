package batch

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// stepWorkerRequest handles a lease request, in which a worker renews leases,
// reports results and pulls items.
func (s *Scheduler) stepWorkerRequest(now time.Time, in WorkerRequest) {
	m := in.Message
	if !s.leading || m.GetTerm() > s.term {
		s.stats.RequestsRefusedNotLeader++
		s.respondNotLeader(in.Token, m.GetSequence())
		return
	}
	w, ok := s.admitWorker(now, m)
	if !ok {
		s.outputs.Put(SendResponse{in.Token, s.newResponse(m.GetSequence())})
		return
	}
	s.respondToPending(w)
	w.sequence = m.GetSequence()
	w.draining = m.GetDraining()
	s.updateServices(w, m)
	s.workerDeadlines.Set(w.id, now.Add(s.options.LeaseTime))
	s.reconcile(now, w, m)
	w.pending = &pendingRequest{token: in.Token, sequence: m.GetSequence(), freeCapacity: int(m.GetRoom())}
	s.grant(now, w)
	s.flushIfIdle(now)
	if s.mustRespond(w) {
		s.respondToPending(w)
		return
	}
	s.longPollDeadlines.Set(w.id, now.Add(s.options.LongPollTimeout))
}

func (s *Scheduler) respondNotLeader(token, sequence uint64) {
	s.outputs.Put(SendResponse{token, &pb.LeaseResponse{
		Sequence: sequence,
		Error:    pb.ControlErrorCode_CONTROL_NOT_LEADER,
	}})
}

func (s *Scheduler) newResponse(sequence uint64) *pb.LeaseResponse {
	return &pb.LeaseResponse{
		Sequence: sequence,
		Term:     s.term,
		LeaseMs:  uint32(s.options.LeaseTime.Milliseconds()),
		PollMs:   uint32(s.options.PollInterval.Milliseconds()),
	}
}

// admitWorker returns the state of the worker that sent a request, new for an
// unknown worker or incarnation. It reports false for a request of an earlier
// incarnation or that is not newer than the last one handled.
func (s *Scheduler) admitWorker(now time.Time, m *pb.LeaseRequest) (*workerState, bool) {
	w, ok := s.workers.byID[m.GetWorker()]
	if ok && m.GetIncarnation() > w.incarnation {
		s.removeWorker(now, w)
		ok = false
	}
	if !ok {
		return s.workers.add(m.GetWorker(), m.GetIncarnation()), true
	}
	if m.GetIncarnation() < w.incarnation || m.GetSequence() <= w.sequence {
		return nil, false
	}
	return w, true
}

// updateServices records the services that a worker serves. A draining worker
// serves none.
func (s *Scheduler) updateServices(w *workerState, m *pb.LeaseRequest) {
	services := m.GetServices()
	if m.GetDraining() {
		services = nil
	}
	s.workers.setServices(w, services)
}

// reconcile processes the reported results, renews the leases that the worker
// lists as held, and reclaims those that it does not list.
func (s *Scheduler) reconcile(now time.Time, w *workerState, m *pb.LeaseRequest) {
	for _, result := range m.GetResults() {
		s.handleResult(now, w, result)
	}
	for _, held := range m.GetHeld() {
		s.renewLease(now, w, leaseRefFromProto(held))
	}
	for _, l := range append([]*lease(nil), w.leases...) {
		if l.ended || l.lastListed == w.sequence || l.claiming || l.reported {
			continue
		}
		s.reclaimUnlisted(now, l)
	}
}

// renewLease renews a lease that a worker holds, adopts one that an earlier leader
// granted, or revokes it.
func (s *Scheduler) renewLease(now time.Time, w *workerState, ref LeaseRef) {
	job, ok := s.jobs.byID[ref.JobID]
	if !ok || ref.Index >= job.record.GetItems() || job.isSettled(ref.Index) {
		w.queueRevoked(ref)
		s.stats.LeasesRevoked++
		return
	}
	if l, ok := job.findLease(ref); ok && l.worker == w {
		l.lastListed = w.sequence
		l.acknowledged = true
		return
	}
	if !s.adoptLease(now, w, job, ref) {
		w.queueRevoked(ref)
		s.stats.LeasesRevoked++
	}
}

// adoptLease takes over a lease that an earlier leader granted, if the item has no
// other lease and nothing of it waits for its commit, if the run is not counted as failed
// and, for a non-idempotent item, if the committed claim is this lease's.
func (s *Scheduler) adoptLease(now time.Time, w *workerState, job *scheduledJob, ref LeaseRef) bool {
	if len(job.leasesByIndex[ref.Index]) > 0 || s.isBeingRecorded(job, ref.Index) {
		return false
	}
	if retry, ok := job.retries[ref.Index]; ok && slices.Contains(retry.countedRuns, ref.FencingNumber) {
		return false
	}
	if !job.record.GetIdempotent() && !s.claimMatches(ref) {
		return false
	}
	l := s.addLease(now, w, job, ref)
	l.acknowledged = true
	s.stats.LeasesAdopted++
	return true
}

func (s *Scheduler) addLease(now time.Time, w *workerState, job *scheduledJob, ref LeaseRef) *lease {
	l := &lease{
		job:           job,
		ref:           ref,
		worker:        w,
		grantedAt:     now,
		grantSequence: w.sequence,
		lastListed:    w.sequence,
	}
	job.leasesByIndex[ref.Index] = append(job.leasesByIndex[ref.Index], l)
	w.leases = append(w.leases, l)
	s.runDeadlines.Set(ref, now.Add(s.options.RunTimeout))
	s.openLeases++
	return l
}

// dropLease removes a lease. The caller decides what happens to its item.
func (s *Scheduler) dropLease(l *lease) {
	if l.ended {
		return
	}
	l.ended = true
	if !l.reported {
		s.openLeases--
	}
	l.worker.removeLease(l)
	s.runDeadlines.Remove(l.ref)
	leases := l.job.leasesByIndex[l.ref.Index]
	for i, other := range leases {
		if other == l {
			leases = append(leases[:i], leases[i+1:]...)
			break
		}
	}
	if len(leases) == 0 {
		delete(l.job.leasesByIndex, l.ref.Index)
		return
	}
	l.job.leasesByIndex[l.ref.Index] = leases
}

// reclaimUnlisted ends a lease that its worker does not list. A worker ignores the
// response to a request once it has sent the next one, so an item that it never
// listed was never received; an item that it listed before is lost.
func (s *Scheduler) reclaimUnlisted(now time.Time, l *lease) {
	if l.acknowledged {
		s.handleLostLease(now, l)
		return
	}
	s.dropLease(l)
	s.stats.ItemsRequeued++
	if l.job.record.GetIdempotent() {
		s.makeAvailable(l.job, l.ref.Index)
		return
	}
	s.queueResult(now, notRunResult(l.ref), nil)
}

// notRunResult returns the result that releases the claim on an item that
// certainly did not run.
func notRunResult(ref LeaseRef) *pb.ItemResult {
	return &pb.ItemResult{
		JobId:         ref.JobID,
		Index:         ref.Index,
		FencingNumber: ref.FencingNumber,
		Outcome:       pb.ItemOutcome_ITEM_NOT_RUN,
	}
}

// handleLostLease ends the lease of an item that may have run and whose worker was
// lost or no longer holds it. A non-idempotent item fails with an unknown
// outcome, an idempotent one is requeued until it was lost too often.
func (s *Scheduler) handleLostLease(now time.Time, l *lease) {
	s.dropLease(l)
	job := l.job
	if job.isSettled(l.ref.Index) || l.reported || l.claiming {
		return
	}
	if !job.record.GetIdempotent() {
		s.stats.ItemsOutcomeUnknown++
		s.queueResult(now, unknownOutcomeResult(l.ref), nil)
		return
	}
	if len(job.leasesByIndex[l.ref.Index]) > 0 {
		return
	}
	retry := job.retryStateOf(l.ref.Index)
	retry.losses++
	if retry.losses >= job.record.GetMaxAttempts()+extraLosses {
		s.recordFinalFailure(now, job, l.ref, retry, nil)
		return
	}
	s.stats.ItemsRequeued++
	s.recordAttempts(retry, l.ref, nil, now)
}

// extraLosses is added to the job's MaxAttempts: an item counts as failed once it
// was lost with its worker that many times.
const extraLosses = 2

// unknownOutcomeResult returns the failure that is recorded for a non-idempotent
// item that may have run.
func unknownOutcomeResult(ref LeaseRef) *pb.ItemResult {
	return &pb.ItemResult{
		JobId:         ref.JobID,
		Index:         ref.Index,
		FencingNumber: ref.FencingNumber,
		Outcome:       pb.ItemOutcome_ITEM_FAILED,
		Error:         ErrorOutcomeUnknown,
		Attempts:      1,
	}
}

// ErrorOutcomeUnknown is the recorded error of a non-idempotent item whose worker
// was lost after the item had been claimed.
const ErrorOutcomeUnknown = "unknown: the item may have run and is not repeated"

// recordNewWork makes the next step grant items to pending requests.
func (s *Scheduler) recordNewWork() {
	s.workAdded = true
	s.workVersion++
}

func (s *Scheduler) makeAvailable(job *scheduledJob, index uint32) {
	job.requeue(index)
	s.recordNewWork()
}

// removeWorker responds to a worker's pending request, ends all its leases as
// lost and forgets the worker.
func (s *Scheduler) removeWorker(now time.Time, w *workerState) {
	s.respondToPending(w)
	for _, l := range append([]*lease(nil), w.leases...) {
		s.handleLostLease(now, l)
	}
	s.workers.remove(w)
	s.workerDeadlines.Remove(w.id)
	s.longPollDeadlines.Remove(w.id)
	s.pauseDeadlines.Remove(w.id)
}

// idlePollInterval is the poll interval of a worker without leases. It is short
// because the leader holds such a worker's request open.
const idlePollInterval = 50 * time.Millisecond

// mustRespond reports whether a pending request must be responded to now. Only
// the request of a worker without leases waits for work.
func (s *Scheduler) mustRespond(w *workerState) bool {
	p := w.pending
	if p.claims > 0 {
		return false
	}
	return len(p.items) > 0 || len(w.revoked) > 0 || len(w.settled) > 0 ||
		len(w.leases) > 0 || w.draining || p.freeCapacity == 0
}

// respondToPending responds to the pending request of a worker, if any.
func (s *Scheduler) respondToPending(w *workerState) {
	p := w.pending
	if p == nil {
		return
	}
	w.pending = nil
	s.longPollDeadlines.Remove(w.id)
	response := s.newResponse(p.sequence)
	if len(w.leases) == 0 {
		response.PollMs = uint32(idlePollInterval.Milliseconds())
	}
	response.Items = p.items
	for _, ref := range w.revoked {
		response.Revoked = append(response.Revoked, ref.toProto())
	}
	for _, ref := range w.settled {
		response.Settled = append(response.Settled, ref.toProto())
	}
	w.revoked = nil
	w.settled = nil
	s.outputs.Put(SendResponse{p.token, response})
}
