package batch

import (
	"encoding/binary"
	"time"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

const (
	retentionInterval = time.Minute
	maxExpiredJobs    = 64
	// gracePeriodDivisor sets the grace period to half the lease time. Live
	// workers report to a new leader within it, as they renew more often.
	gracePeriodDivisor = 2
)

// stepLeadershipChange resets the scheduler and, if the replica now leads,
// starts the grace period.
func (s *Scheduler) stepLeadershipChange(now time.Time, in LeadershipChange) {
	if in.Leading == s.leading && in.Term == s.term {
		return
	}
	for _, w := range s.workers.sorted {
		s.refusePending(w)
	}
	s.reset()
	s.leading = in.Leading
	if in.Term != s.term {
		s.term = in.Term
		s.fenceCounter = 0
	}
	s.firstFencingNumber = s.term<<fencingTermShift | s.fenceCounter
	s.loadJobs(now)
	if !in.Leading {
		return
	}
	s.recordNewWork()
	s.inGracePeriod = true
	s.gracePeriodEnd = now.Add(s.options.LeaseTime / gracePeriodDivisor)
	s.scheduleSweep(now)
	s.nextRetentionCheck = now
}

// refusePending refuses a worker's pending request after a leadership change, so
// that the worker looks for the leader.
func (s *Scheduler) refusePending(w *workerState) {
	if w.pending == nil {
		return
	}
	s.respondNotLeader(w.pending.token, w.pending.sequence)
	w.pending = nil
}

// loadJobs fills the job table and the submission deadlines from the replicated
// state.
func (s *Scheduler) loadJobs(now time.Time) {
	for _, id := range s.state.liveJobIDs() {
		l := s.state.live[id]
		if l.job.GetState() == pb.JobState_JOB_RUNNING {
			job := s.jobs.add(l)
			job.estimateFirstGraceIndex()
			s.restoreAttempts(job)
			continue
		}
		s.submissionDeadlines.Set(id, now.Add(receiveTimeout(l.job)))
	}
}

// stepCommandApplied updates the scheduler after an applied command.
func (s *Scheduler) stepCommandApplied(now time.Time, in CommandApplied) {
	jobError := in.Result.GetJob().GetError()
	switch op := in.Command.GetOp().(type) {
	case *pb.Command_JobBegin:
		if jobError == pb.JobError_JOB_OK {
			s.submissionDeadlines.Set(op.JobBegin.GetJobId(), now.Add(receiveTimeout(in.Result.GetJob().GetJob())))
		}
	case *pb.Command_JobChunk:
		if jobError == pb.JobError_JOB_OK {
			s.submissionDeadlines.Set(op.JobChunk.GetJobId(), now.Add(receiveTimeout(in.Result.GetJob().GetJob())))
		}
	case *pb.Command_JobAccept:
		s.submissionDeadlines.Remove(op.JobAccept.GetJobId())
		s.jobAccepted(op.JobAccept.GetJobId())
	case *pb.Command_JobAbort:
		s.submissionDeadlines.Remove(op.JobAbort.GetJobId())
	case *pb.Command_JobCancel:
		s.submissionDeadlines.Remove(op.JobCancel.GetJobId())
		s.removeIfNotRunning(op.JobCancel.GetJobId())
	case *pb.Command_ItemsStart:
		s.claimApplied(now, op.ItemsStart)
	case *pb.Command_ResultsCommit:
		s.resultsApplied(op.ResultsCommit, in.Result.GetResults())
	}
}

func (s *Scheduler) jobAccepted(jobID string) {
	l, ok := s.state.runningJob(jobID)
	if !ok {
		return
	}
	if _, known := s.jobs.byID[jobID]; known {
		return
	}
	s.jobs.add(l).acceptedWhileLeading = true
	s.recordNewWork()
}

// claimApplied schedules a sweep for a claim without a known lease: it was
// proposed before this replica became leader, or before it regained leadership.
func (s *Scheduler) claimApplied(now time.Time, claim *pb.ItemsStart) {
	job, ok := s.jobs.byID[claim.GetJobId()]
	if !ok || !s.leading {
		return
	}
	for _, index := range claim.GetIndexes() {
		ref := LeaseRef{claim.GetJobId(), index, claim.GetFencingNumber()}
		if _, found := job.findLease(ref); !found {
			s.scheduleSweep(now)
			return
		}
	}
}

// resultsApplied ends the leases of items whose results were committed.
func (s *Scheduler) resultsApplied(commit *pb.ResultsCommit, counts *pb.ResultsCommitted) {
	s.stats.ResultsCommitted += uint64(counts.GetCommitted())
	s.stats.ResultsDuplicate += uint64(counts.GetDuplicates())
	s.stats.ResultsRefused += uint64(counts.GetRefused())
	for _, result := range commit.GetResults() {
		job, ok := s.jobs.byID[result.GetJobId()]
		if !ok {
			continue
		}
		switch result.GetOutcome() {
		case pb.ItemOutcome_ITEM_NOT_RUN:
			s.claimReleased(job, leaseRefOfResult(result))
			continue
		case pb.ItemOutcome_ITEM_RETRY:
			continue
		}
		s.jobs.rate(job.record.GetService()).addCompletion()
		s.endItemLeases(job, leaseRefOfResult(result))
	}
	for _, result := range commit.GetResults() {
		s.removeIfNotRunning(result.GetJobId())
	}
}

// endItemLeases ends all leases of a settled item and revokes every lease but
// that of the committed result.
func (s *Scheduler) endItemLeases(job *scheduledJob, winner LeaseRef) {
	if !job.isSettled(winner.Index) {
		return
	}
	delete(job.retries, winner.Index)
	s.retryDeadlines.Remove(winner.itemKey())
	for _, l := range append([]*lease(nil), job.leasesByIndex[winner.Index]...) {
		s.dropLease(l)
		if l.ref != winner {
			s.revokeLease(l.worker, l.ref)
		}
	}
}

// removeIfNotRunning removes a job that no longer runs and revokes its leases.
func (s *Scheduler) removeIfNotRunning(jobID string) {
	job, ok := s.jobs.byID[jobID]
	if !ok {
		return
	}
	if _, running := s.state.runningJob(jobID); running {
		return
	}
	for _, w := range s.workers.sorted {
		for _, l := range append([]*lease(nil), w.leases...) {
			if l.job != job {
				continue
			}
			s.dropLease(l)
			s.revokeLease(w, l.ref)
		}
	}
	s.removeFromPending(job)
	s.jobs.remove(job)
	s.state.removeEstimate(jobID)
}

// removeFromPending removes a job's items from responses that have not been
// sent.
func (s *Scheduler) removeFromPending(job *scheduledJob) {
	for _, w := range s.workers.sorted {
		if w.pending == nil {
			continue
		}
		kept := w.pending.items[:0]
		for _, item := range w.pending.items {
			if item.GetJobId() != job.record.GetJobId() {
				kept = append(kept, item)
			}
		}
		w.pending.items = kept
	}
}

// stepProposalResult handles the outcome of a commit of results, of a record of attempts or of a
// claim.
func (s *Scheduler) stepProposalResult(now time.Time, in ProposalResult) {
	if results, ok := s.commits.inFlight[in.Token]; ok {
		delete(s.commits.inFlight, in.Token)
		s.commitDone(now, results, in)
		return
	}
	if items, ok := s.attempts.inFlight[in.Token]; ok {
		delete(s.attempts.inFlight, in.Token)
		s.attemptsProposed(now, items, in)
		return
	}
	if claim, ok := s.pendingClaims[in.Token]; ok {
		delete(s.pendingClaims, in.Token)
		s.claimDone(now, claim, in)
	}
}

func (s *Scheduler) expireWorkers(now time.Time) {
	for {
		id, ok := s.workerDeadlines.PopExpired(now)
		if !ok {
			return
		}
		if w, ok := s.workers.byID[id]; ok {
			s.stats.WorkersExpired++
			s.removeWorker(now, w)
		}
	}
}

func (s *Scheduler) scheduleSweep(now time.Time) {
	s.sweepScheduled = true
	s.sweepAt = now.Add(s.options.LeaseTime)
}

// sweepClaims ends the grace period and, at sweepAt, records claimed items that
// no worker holds as failed with an unknown outcome. Workers have had a lease
// time to report them.
func (s *Scheduler) sweepClaims(now time.Time) {
	if s.inGracePeriod && !now.Before(s.gracePeriodEnd) {
		s.inGracePeriod = false
		s.recordNewWork()
	}
	if !s.sweepScheduled || now.Before(s.sweepAt) {
		return
	}
	s.sweepScheduled = false
	for _, job := range s.jobs.sorted {
		if !job.record.GetIdempotent() {
			s.sweepJobClaims(now, job)
		}
	}
}

func (s *Scheduler) sweepJobClaims(now time.Time, job *scheduledJob) {
	var lost []uint32
	for index := range job.record.GetItems() {
		if job.live.claimed.get(index) && !job.isSettled(index) && len(job.leasesByIndex[index]) == 0 {
			lost = append(lost, index)
		}
	}
	s.options.ReadStore(func(r kv.Reader) {
		for _, index := range lost {
			fencingNumber, ok := claimHolder(r, job.record.GetJobId(), index)
			if !ok {
				continue
			}
			s.stats.ItemsOutcomeUnknown++
			s.queueResult(now, unknownOutcomeResult(LeaseRef{job.record.GetJobId(), index, fencingNumber}), nil)
		}
	})
}

// claimMatches reports whether an item's committed claim has the fencing number
// of ref.
func (s *Scheduler) claimMatches(ref LeaseRef) bool {
	matches := false
	s.options.ReadStore(func(r kv.Reader) {
		fencingNumber, ok := claimHolder(r, ref.JobID, ref.Index)
		matches = ok && fencingNumber == ref.FencingNumber
	})
	return matches
}

// abortStalledSubmissions aborts jobs whose submission received no command
// within its timeout.
func (s *Scheduler) abortStalledSubmissions(now time.Time) {
	for {
		jobID, ok := s.submissionDeadlines.PopExpired(now)
		if !ok {
			return
		}
		if l, ok := s.state.live[jobID]; !ok || l.job.GetState() != pb.JobState_JOB_RECEIVING {
			continue
		}
		s.stats.SubmissionsAborted++
		s.submissionDeadlines.Set(jobID, now.Add(ReceiveTimeout))
		abort := &pb.JobAbort{JobId: jobID, Reason: "no item arrived within the timeout"}
		s.propose(&pb.Command{Op: &pb.Command_JobAbort{JobAbort: abort}})
	}
}

// expireFinishedJobs proposes to remove finished jobs whose retention has ended.
func (s *Scheduler) expireFinishedJobs(now time.Time) {
	if now.Before(s.nextRetentionCheck) {
		return
	}
	s.nextRetentionCheck = now.Add(retentionInterval)
	var jobIDs []string
	s.options.ReadStore(func(r kv.Reader) {
		from := []byte{storePrefix, kindRetention}
		to := binary.BigEndian.AppendUint64(append([]byte(nil), from...), uint64(now.UnixMilli())+1)
		r.Scan(from, to, func(key, _ []byte) bool {
			jobIDs = append(jobIDs, retentionKeyJobID(key))
			return len(jobIDs) < maxExpiredJobs
		})
	})
	if len(jobIDs) == 0 {
		return
	}
	if len(jobIDs) == maxExpiredJobs {
		s.nextRetentionCheck = now
	}
	s.propose(&pb.Command{Op: &pb.Command_RetentionExpire{RetentionExpire: &pb.RetentionExpire{JobIds: jobIDs}}})
}

// servePending grants new work to pending requests and responds to those that
// need not wait any longer.
func (s *Scheduler) servePending(now time.Time) {
	if !s.leading || (!s.workAdded && !s.responsesDue) {
		return
	}
	grantItems := s.workAdded
	s.workAdded = false
	s.responsesDue = false
	for _, w := range s.workers.sorted {
		if w.pending == nil {
			continue
		}
		if grantItems {
			s.grant(now, w)
		}
		if s.mustRespond(w) {
			s.respondToPending(w)
		}
	}
}

// expireLongPolls responds to requests for which no work came up within
// LongPollTimeout.
func (s *Scheduler) expireLongPolls(now time.Time) {
	for {
		id, ok := s.longPollDeadlines.PopExpired(now)
		if !ok {
			return
		}
		if w, ok := s.workers.byID[id]; ok {
			s.respondToPending(w)
		}
	}
}
