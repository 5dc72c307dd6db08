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
	// graceShare is the part of the lease time within which live workers
	// report to a new leader: they renew more often than that.
	graceShare = 2
)

// stepLead starts or stops leading.
func (s *Scheduler) stepLead(now time.Time, in Lead) {
	if in.On == s.leading && in.Term == s.term {
		return
	}
	for _, w := range s.workers.order {
		s.refuseParked(w)
	}
	s.reset()
	s.leading = in.On
	if in.Term != s.term {
		s.term = in.Term
		s.nextFence = 0
	}
	s.followAll(now)
	if !in.On {
		return
	}
	s.addWork()
	s.inGrace = true
	s.graceEnd = now.Add(s.options.LeaseTime / graceShare)
	s.sweepLater(now)
	s.nextRetention = now
}

// refuseParked tells a worker to look for the new leader.
func (s *Scheduler) refuseParked(w *workerEntry) {
	if w.parked == nil {
		return
	}
	s.replyNotLeader(w.parked.token, w.parked.sequence)
	w.parked = nil
}

// followAll fills the job table from the replicated state.
func (s *Scheduler) followAll(now time.Time) {
	for _, id := range s.state.liveIDs() {
		l := s.state.live[id]
		if l.job.GetState() == pb.JobState_JOB_RUNNING {
			s.jobs.add(l).guessFloor()
			continue
		}
		s.receiveDeadlines.Set(id, now.Add(receiveTimeout(l.job)))
	}
}

// stepApplied follows a committed command.
func (s *Scheduler) stepApplied(now time.Time, in Applied) {
	code := in.Result.GetJob().GetError()
	switch op := in.Command.GetOp().(type) {
	case *pb.Command_JobBegin:
		if code == pb.JobError_JOB_OK {
			s.receiveDeadlines.Set(op.JobBegin.GetJobId(), now.Add(receiveTimeout(in.Result.GetJob().GetJob())))
		}
	case *pb.Command_JobChunk:
		if code == pb.JobError_JOB_OK {
			s.receiveDeadlines.Set(op.JobChunk.GetJobId(), now.Add(receiveTimeout(in.Result.GetJob().GetJob())))
		}
	case *pb.Command_JobAccept:
		s.receiveDeadlines.Remove(op.JobAccept.GetJobId())
		s.jobAccepted(op.JobAccept.GetJobId())
	case *pb.Command_JobAbort:
		s.receiveDeadlines.Remove(op.JobAbort.GetJobId())
	case *pb.Command_JobCancel:
		s.receiveDeadlines.Remove(op.JobCancel.GetJobId())
		s.endIfFinished(op.JobCancel.GetJobId())
	case *pb.Command_ItemsStart:
		s.startApplied(now, op.ItemsStart)
	case *pb.Command_ResultsCommit:
		s.resultsApplied(op.ResultsCommit, in.Result.GetResults())
	}
}

func (s *Scheduler) jobAccepted(jobID string) {
	l, ok := s.state.running(jobID)
	if !ok {
		return
	}
	if _, known := s.jobs.byID[jobID]; known {
		return
	}
	s.jobs.add(l).recent = true
	s.addWork()
}

// startApplied notices a claim that was proposed before this replica led, or
// before it led again, so that its holder is not known here.
func (s *Scheduler) startApplied(now time.Time, start *pb.ItemsStart) {
	run, ok := s.jobs.byID[start.GetJobId()]
	if !ok || !s.leading {
		return
	}
	for _, index := range start.GetIndexes() {
		ref := ItemRef{start.GetJobId(), index, start.GetFencingNumber()}
		if _, known := run.findLease(ref); !known {
			s.sweepLater(now)
			return
		}
	}
}

// resultsApplied ends the leases of committed items.
func (s *Scheduler) resultsApplied(commit *pb.ResultsCommit, counts *pb.ResultsCommitted) {
	s.stats.ResultsCommitted += uint64(counts.GetCommitted())
	s.stats.ResultsDuplicate += uint64(counts.GetDuplicates())
	s.stats.ResultsRefused += uint64(counts.GetRefused())
	for _, result := range commit.GetResults() {
		run, ok := s.jobs.byID[result.GetJobId()]
		if !ok {
			continue
		}
		if result.GetOutcome() == pb.ItemOutcome_ITEM_NOT_RUN {
			s.released(run, refOfResult(result))
			continue
		}
		s.jobs.rate(run.job.GetService()).count()
		s.endItem(run, refOfResult(result))
	}
	for _, result := range commit.GetResults() {
		s.endIfFinished(result.GetJobId())
	}
}

// endItem ends the leases of a settled item. Second runs are stopped.
func (s *Scheduler) endItem(run *jobRun, winner ItemRef) {
	if !run.settled(winner.Index) {
		return
	}
	delete(run.retries, winner.Index)
	s.itemDeadlines.Remove(winner.key())
	for _, l := range append([]*lease(nil), run.leased[winner.Index]...) {
		s.dropLease(l)
		if l.ref != winner {
			s.revoke(l.worker, l.ref)
		}
	}
}

// endIfFinished stops everything that runs for a job that is not running any
// more.
func (s *Scheduler) endIfFinished(jobID string) {
	run, ok := s.jobs.byID[jobID]
	if !ok {
		return
	}
	if _, running := s.state.running(jobID); running {
		return
	}
	for _, w := range s.workers.order {
		for _, l := range append([]*lease(nil), w.leases...) {
			if l.run != run {
				continue
			}
			s.dropLease(l)
			s.revoke(w, l.ref)
		}
	}
	s.withdraw(run)
	s.jobs.remove(run)
	s.state.removeEstimate(jobID)
}

// withdraw removes a job's items from answers that have not been sent.
func (s *Scheduler) withdraw(run *jobRun) {
	for _, w := range s.workers.order {
		if w.parked == nil {
			continue
		}
		kept := w.parked.items[:0]
		for _, item := range w.parked.items {
			if item.GetJobId() != run.job.GetJobId() {
				kept = append(kept, item)
			}
		}
		w.parked.items = kept
	}
}

// stepProposeDone handles the outcome of a proposal of this leader.
func (s *Scheduler) stepProposeDone(now time.Time, in ProposeDone) {
	if entries, ok := s.commits.sent[in.Token]; ok {
		delete(s.commits.sent, in.Token)
		s.commitDone(now, entries, in)
		return
	}
	if start, ok := s.starts[in.Token]; ok {
		delete(s.starts, in.Token)
		s.startDone(now, start, in)
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
			s.loseWorker(now, w)
		}
	}
}

func (s *Scheduler) sweepLater(now time.Time) {
	s.sweeping = true
	s.sweepAt = now.Add(s.options.LeaseTime)
}

// sweepLost records the claimed items that no worker has reported within a
// lease time of the change of leader.
func (s *Scheduler) sweepLost(now time.Time) {
	if s.inGrace && !now.Before(s.graceEnd) {
		s.inGrace = false
		s.addWork()
	}
	if !s.sweeping || now.Before(s.sweepAt) {
		return
	}
	s.sweeping = false
	for _, run := range s.jobs.order {
		if !run.job.GetIdempotent() {
			s.sweepJob(now, run)
		}
	}
}

func (s *Scheduler) sweepJob(now time.Time, run *jobRun) {
	var lost []uint32
	for index := range run.job.GetItems() {
		if run.live.started.get(index) && !run.settled(index) && len(run.leased[index]) == 0 {
			lost = append(lost, index)
		}
	}
	s.options.Reader(func(r kv.Reader) {
		for _, index := range lost {
			fence, ok := startHolder(r, run.job.GetJobId(), index)
			if !ok {
				continue
			}
			s.stats.ItemsUnknown++
			s.queueResult(now, unknownOf(ItemRef{run.job.GetJobId(), index, fence}), nil)
		}
	})
}

// claimedBy reports whether an item is claimed under a reference's number.
func (s *Scheduler) claimedBy(ref ItemRef) bool {
	claimed := false
	s.options.Reader(func(r kv.Reader) {
		fence, ok := startHolder(r, ref.JobID, ref.Index)
		claimed = ok && fence == ref.FencingNumber
	})
	return claimed
}

// expireReceiving aborts jobs whose sender has gone.
func (s *Scheduler) expireReceiving(now time.Time) {
	for {
		jobID, ok := s.receiveDeadlines.PopExpired(now)
		if !ok {
			return
		}
		if l, ok := s.state.live[jobID]; !ok || l.job.GetState() != pb.JobState_JOB_RECEIVING {
			continue
		}
		s.stats.ReceivingAborted++
		s.receiveDeadlines.Set(jobID, now.Add(ReceiveTimeout))
		abort := &pb.JobAbort{JobId: jobID, Reason: "no item arrived within the timeout"}
		s.propose(&pb.Command{Op: &pb.Command_JobAbort{JobAbort: abort}})
	}
}

// expireRetention removes jobs that have been kept long enough.
func (s *Scheduler) expireRetention(now time.Time) {
	if now.Before(s.nextRetention) {
		return
	}
	s.nextRetention = now.Add(retentionInterval)
	var ids []string
	s.options.Reader(func(r kv.Reader) {
		from := []byte{keyPrefix, kindRetention}
		to := binary.BigEndian.AppendUint64(append([]byte(nil), from...), uint64(now.UnixMilli())+1)
		r.Scan(from, to, func(key, _ []byte) bool {
			ids = append(ids, retentionJob(key))
			return len(ids) < maxExpiredJobs
		})
	})
	if len(ids) == 0 {
		return
	}
	if len(ids) == maxExpiredJobs {
		s.nextRetention = now
	}
	s.propose(&pb.Command{Op: &pb.Command_RetentionExpire{RetentionExpire: &pb.RetentionExpire{JobIds: ids}}})
}

// serveParked answers requests for which something has turned up.
func (s *Scheduler) serveParked(now time.Time) {
	if !s.leading || (!s.workAdded && !s.answersDue) {
		return
	}
	grant := s.workAdded
	s.workAdded = false
	s.answersDue = false
	for _, w := range s.workers.order {
		if w.parked == nil {
			continue
		}
		if grant {
			s.grant(now, w)
		}
		if s.mustAnswer(w) {
			s.answerParked(w)
		}
	}
}

// expireParked answers requests for which nothing has turned up.
func (s *Scheduler) expireParked(now time.Time) {
	for {
		id, ok := s.parkDeadlines.PopExpired(now)
		if !ok {
			return
		}
		if w, ok := s.workers.byID[id]; ok {
			s.answerParked(w)
		}
	}
}
