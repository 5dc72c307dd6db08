package batch

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

const (
	maxCommitResults   = 512
	maxCommitBytes     = 512 << 10
	maxCommitsInFlight = 8
)

// reporter is a worker to be told that the result it reported is settled.
type reporter struct {
	workerID    string
	incarnation uint64
	ref         LeaseRef
}

// queuedResult is a result that waits for its commit.
type queuedResult struct {
	result    *pb.ItemResult
	reporters []reporter
}

// commitQueue collects results to commit many in one command.
type commitQueue struct {
	queued      []*queuedResult
	queuedBytes int
	queuedSince time.Time
	byItem      map[itemKey]*queuedResult
	inFlight    map[uint64][]*queuedResult
}

func newCommitQueue() commitQueue {
	return commitQueue{
		byItem:   make(map[itemKey]*queuedResult),
		inFlight: make(map[uint64][]*queuedResult),
	}
}

// contains reports whether a result of an item is queued or in flight.
func (q *commitQueue) contains(key itemKey) bool {
	_, ok := q.byItem[key]
	return ok
}

// addReporter adds a worker to the reporters of an item's result that is already
// queued or in flight. It reports whether there is such a result.
func (q *commitQueue) addReporter(w *workerState, result *pb.ItemResult) bool {
	ref := leaseRefOfResult(result)
	queued, ok := q.byItem[ref.itemKey()]
	if !ok {
		return false
	}
	added := reporter{w.id, w.incarnation, ref}
	for _, known := range queued.reporters {
		if known == added {
			return true
		}
	}
	queued.reporters = append(queued.reporters, added)
	return true
}

func (q *commitQueue) add(now time.Time, queued *queuedResult) {
	if len(q.queued) == 0 {
		q.queuedSince = now
	}
	q.queued = append(q.queued, queued)
	q.queuedBytes += len(queued.result.GetBody())
	q.byItem[leaseRefOfResult(queued.result).itemKey()] = queued
}

// isFull reports whether the queued results fill a command.
func (q *commitQueue) isFull() bool {
	return len(q.queued) >= maxCommitResults || q.queuedBytes >= maxCommitBytes
}

// takeNext removes and returns the results of the next command.
func (q *commitQueue) takeNext() []*queuedResult {
	taken := 0
	bytes := 0
	for taken < len(q.queued) && taken < maxCommitResults && bytes < maxCommitBytes {
		bytes += len(q.queued[taken].result.GetBody())
		taken++
	}
	results := append([]*queuedResult(nil), q.queued[:taken]...)
	q.queued = append(q.queued[:0], q.queued[taken:]...)
	q.queuedBytes -= bytes
	return results
}

// queueResult queues a result for commit. An item has at most one queued result.
// If there is one of another lease, the new result is dropped and a sweep is
// scheduled to check the item's claim again.
func (s *Scheduler) queueResult(now time.Time, result *pb.ItemResult, w *workerState) {
	if existing, ok := s.commits.byItem[leaseRefOfResult(result).itemKey()]; ok {
		if leaseRefOfResult(existing.result) != leaseRefOfResult(result) {
			s.scheduleSweep(now)
		}
		return
	}
	queued := &queuedResult{result: result}
	if w != nil {
		queued.reporters = []reporter{{w.id, w.incarnation, leaseRefOfResult(result)}}
	}
	s.commits.add(now, queued)
	if s.commits.isFull() {
		s.proposeCommit()
	}
}

// flushCommits proposes the queued results if they fill a command, have waited
// for CommitDelay, or no open lease can add more.
func (s *Scheduler) flushCommits(now time.Time) {
	if len(s.commits.queued) == 0 {
		return
	}
	if s.commits.isFull() || s.openLeases == 0 || now.Sub(s.commits.queuedSince) >= s.options.CommitDelay {
		s.proposeCommit()
	}
}

// flushIfIdle proposes the queued results at once when no lease is open.
func (s *Scheduler) flushIfIdle(now time.Time) {
	if s.openLeases == 0 {
		s.flushCommits(now)
	}
}

func (s *Scheduler) proposeCommit() {
	if len(s.commits.inFlight) >= maxCommitsInFlight {
		return
	}
	results := s.commits.takeNext()
	commit := &pb.ResultsCommit{Results: make([]*pb.ItemResult, 0, len(results))}
	for _, queued := range results {
		commit.Results = append(commit.Results, queued.result)
	}
	token := s.propose(&pb.Command{Op: &pb.Command_ResultsCommit{ResultsCommit: commit}})
	s.commits.inFlight[token] = results
}

// commitDone notifies the reporters of committed results, or queues the results
// again if the proposal failed. If it was committed after all, the repeated
// results count as duplicates.
func (s *Scheduler) commitDone(now time.Time, results []*queuedResult, proposal ProposalResult) {
	if proposal.Err != nil {
		for _, queued := range results {
			s.commits.add(now, queued)
		}
		return
	}
	for _, queued := range results {
		delete(s.commits.byItem, leaseRefOfResult(queued.result).itemKey())
		s.notifyReporters(queued.reporters)
	}
	s.recordNewWork()
}

func (s *Scheduler) notifyReporters(reporters []reporter) {
	for _, r := range reporters {
		w, ok := s.workers.byID[r.workerID]
		if ok && w.incarnation == r.incarnation {
			w.queueSettled(r.ref)
			s.responsesDue = true
		}
	}
}

// claimReleased makes a non-idempotent item available after its claim was
// released.
func (s *Scheduler) claimReleased(job *scheduledJob, ref LeaseRef) {
	if l, ok := job.findLease(ref); ok {
		s.dropLease(l)
	}
	if !job.live.claimed.get(ref.Index) {
		s.makeAvailable(job, ref.Index)
	}
}
