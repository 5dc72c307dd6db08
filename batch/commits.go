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

// reporter is a worker that waits to hear that its result is settled.
type reporter struct {
	worker      string
	incarnation uint64
	ref         ItemRef
}

// queuedResult is a result on its way into the log.
type queuedResult struct {
	result    *pb.ItemResult
	reporters []reporter
}

// commitQueue gathers results for shared commands.
type commitQueue struct {
	queued      []*queuedResult
	bytes       int
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

// contains reports whether a result of an item is on its way.
func (q *commitQueue) contains(key itemKey) bool {
	_, ok := q.byItem[key]
	return ok
}

// addReporter notes that another worker reported an item whose result is on
// its way already. It reports whether there is one.
func (q *commitQueue) addReporter(w *workerState, result *pb.ItemResult) bool {
	ref := refOfResult(result)
	entry, ok := q.byItem[ref.key()]
	if !ok {
		return false
	}
	added := reporter{w.id, w.incarnation, ref}
	for _, known := range entry.reporters {
		if known == added {
			return true
		}
	}
	entry.reporters = append(entry.reporters, added)
	return true
}

func (q *commitQueue) add(now time.Time, entry *queuedResult) {
	if len(q.queued) == 0 {
		q.queuedSince = now
	}
	q.queued = append(q.queued, entry)
	q.bytes += len(entry.result.GetBody())
	q.byItem[refOfResult(entry.result).key()] = entry
}

// full reports whether the waiting results make up a command.
func (q *commitQueue) full() bool {
	return len(q.queued) >= maxCommitResults || q.bytes >= maxCommitBytes
}

// takeNext removes and returns the results of the takeNext command.
func (q *commitQueue) takeNext() []*queuedResult {
	taken := 0
	size := 0
	for taken < len(q.queued) && taken < maxCommitResults && size < maxCommitBytes {
		size += len(q.queued[taken].result.GetBody())
		taken++
	}
	entries := append([]*queuedResult(nil), q.queued[:taken]...)
	q.queued = append(q.queued[:0], q.queued[taken:]...)
	q.bytes -= size
	return entries
}

// queueResult puts a result on its way into the log. An item has at most one
// result there; a claim whose result finds another lease's in its place is
// looked at again by the sweep.
func (s *Scheduler) queueResult(now time.Time, result *pb.ItemResult, w *workerState) {
	if known, ok := s.commits.byItem[refOfResult(result).key()]; ok {
		if refOfResult(known.result) != refOfResult(result) {
			s.scheduleSweep(now)
		}
		return
	}
	entry := &queuedResult{result: result}
	if w != nil {
		entry.reporters = []reporter{{w.id, w.incarnation, refOfResult(result)}}
	}
	s.commits.add(now, entry)
	if s.commits.full() {
		s.proposeCommit()
	}
}

// flushCommits sends results that have waited long enough.
func (s *Scheduler) flushCommits(now time.Time) {
	if len(s.commits.queued) == 0 {
		return
	}
	if s.commits.full() || s.openLeases == 0 || now.Sub(s.commits.queuedSince) >= s.options.CommitDelay {
		s.proposeCommit()
	}
}

// flushWhenIdle sends results at once when no further one is expected.
func (s *Scheduler) flushWhenIdle(now time.Time) {
	if s.openLeases == 0 {
		s.flushCommits(now)
	}
}

func (s *Scheduler) proposeCommit() {
	if len(s.commits.inFlight) >= maxCommitsInFlight {
		return
	}
	entries := s.commits.takeNext()
	commit := &pb.ResultsCommit{Results: make([]*pb.ItemResult, 0, len(entries))}
	for _, entry := range entries {
		commit.Results = append(commit.Results, entry.result)
	}
	token := s.propose(&pb.Command{Op: &pb.Command_ResultsCommit{ResultsCommit: commit}})
	s.commits.inFlight[token] = entries
}

// commitDone tells the reporters of committed results, or sends results again
// whose command failed. A command that did take effect makes the second one a
// duplicate.
func (s *Scheduler) commitDone(now time.Time, entries []*queuedResult, done ProposalResult) {
	if done.Err != nil {
		for _, entry := range entries {
			s.commits.add(now, entry)
		}
		return
	}
	for _, entry := range entries {
		delete(s.commits.byItem, refOfResult(entry.result).key())
		s.notifyReporters(entry)
	}
	s.recordNewWork()
}

func (s *Scheduler) notifyReporters(entry *queuedResult) {
	for _, r := range entry.reporters {
		w, ok := s.workers.byID[r.worker]
		if ok && w.incarnation == r.incarnation {
			w.settle(r.ref)
			s.repliesDue = true
		}
	}
}

// claimReleased makes a non-idempotent item available whose claim was given up.
func (s *Scheduler) claimReleased(run *scheduledJob, ref ItemRef) {
	if l, ok := run.findLease(ref); ok {
		s.dropLease(l)
	}
	if !run.live.started.get(ref.Index) {
		s.makeAvailable(run, ref.Index)
	}
}
