package batch

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

const (
	maxCommitResults  = 512
	maxCommitBytes    = 512 << 10
	maxCommitsPending = 8
)

// reporter is a worker that waits to hear that its result is settled.
type reporter struct {
	worker      string
	incarnation uint64
	ref         ItemRef
}

// commitEntry is a result on its way into the log.
type commitEntry struct {
	result    *pb.ItemResult
	reporters []reporter
}

// commitQueue gathers results for shared commands.
type commitQueue struct {
	waiting []*commitEntry
	bytes   int
	since   time.Time
	byKey   map[itemKey]*commitEntry
	sent    map[uint64][]*commitEntry
}

func newCommitQueue() commitQueue {
	return commitQueue{
		byKey: make(map[itemKey]*commitEntry),
		sent:  make(map[uint64][]*commitEntry),
	}
}

// holds reports whether a result of an item is on its way.
func (q *commitQueue) holds(key itemKey) bool {
	_, ok := q.byKey[key]
	return ok
}

// addReporter notes that another worker reported an item whose result is on
// its way already. It reports whether there is one.
func (q *commitQueue) addReporter(w *workerEntry, result *pb.ItemResult) bool {
	ref := refOfResult(result)
	entry, ok := q.byKey[ref.key()]
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

func (q *commitQueue) add(now time.Time, entry *commitEntry) {
	if len(q.waiting) == 0 {
		q.since = now
	}
	q.waiting = append(q.waiting, entry)
	q.bytes += len(entry.result.GetBody())
	q.byKey[refOfResult(entry.result).key()] = entry
}

// full reports whether the waiting results make up a command.
func (q *commitQueue) full() bool {
	return len(q.waiting) >= maxCommitResults || q.bytes >= maxCommitBytes
}

// next removes and returns the results of the next command.
func (q *commitQueue) next() []*commitEntry {
	taken := 0
	size := 0
	for taken < len(q.waiting) && taken < maxCommitResults && size < maxCommitBytes {
		size += len(q.waiting[taken].result.GetBody())
		taken++
	}
	entries := append([]*commitEntry(nil), q.waiting[:taken]...)
	q.waiting = append(q.waiting[:0], q.waiting[taken:]...)
	q.bytes -= size
	return entries
}

// queueResult puts a result on its way into the log. An item has at most one
// result there; a claim whose result finds another lease's in its place is
// looked at again by the sweep.
func (s *Scheduler) queueResult(now time.Time, result *pb.ItemResult, w *workerEntry) {
	if known, ok := s.commits.byKey[refOfResult(result).key()]; ok {
		if refOfResult(known.result) != refOfResult(result) {
			s.sweepLater(now)
		}
		return
	}
	entry := &commitEntry{result: result}
	if w != nil {
		entry.reporters = []reporter{{w.id, w.incarnation, refOfResult(result)}}
	}
	s.commits.add(now, entry)
	if s.commits.full() {
		s.sendCommit()
	}
}

// flushCommits sends results that have waited long enough.
func (s *Scheduler) flushCommits(now time.Time) {
	if len(s.commits.waiting) == 0 {
		return
	}
	if s.commits.full() || s.open == 0 || now.Sub(s.commits.since) >= s.options.CommitDelay {
		s.sendCommit()
	}
}

// flushWhenIdle sends results at once when no further one is expected.
func (s *Scheduler) flushWhenIdle(now time.Time) {
	if s.open == 0 {
		s.flushCommits(now)
	}
}

func (s *Scheduler) sendCommit() {
	if len(s.commits.sent) >= maxCommitsPending {
		return
	}
	entries := s.commits.next()
	commit := &pb.ResultsCommit{Results: make([]*pb.ItemResult, 0, len(entries))}
	for _, entry := range entries {
		commit.Results = append(commit.Results, entry.result)
	}
	token := s.propose(&pb.Command{Op: &pb.Command_ResultsCommit{ResultsCommit: commit}})
	s.commits.sent[token] = entries
}

// commitDone tells the reporters of committed results, or sends results again
// whose command failed. A command that did take effect makes the second one a
// duplicate.
func (s *Scheduler) commitDone(now time.Time, entries []*commitEntry, done ProposalResult) {
	if done.Err != nil {
		for _, entry := range entries {
			s.commits.add(now, entry)
		}
		return
	}
	for _, entry := range entries {
		delete(s.commits.byKey, refOfResult(entry.result).key())
		s.settleReporters(entry)
	}
	s.addWork()
}

func (s *Scheduler) settleReporters(entry *commitEntry) {
	for _, r := range entry.reporters {
		w, ok := s.workers.byID[r.worker]
		if ok && w.incarnation == r.incarnation {
			w.settle(r.ref)
			s.answersDue = true
		}
	}
}

// released makes a non-idempotent item available whose claim was given up.
func (s *Scheduler) released(run *jobRun, ref ItemRef) {
	if l, ok := run.findLease(ref); ok {
		s.dropLease(l)
	}
	if !run.live.started.get(ref.Index) {
		s.makeAvailable(run, ref.Index)
	}
}
