package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// attemptsQueue holds the items whose attempts have changed and are not recorded yet. None of them
// is leased meanwhile. A worker keeps a failure until its record is committed, so that it reports it
// to a new leader otherwise.
type attemptsQueue struct {
	// changed holds the workers to be told by item; inFlight the same for the commands that have
	// been proposed, by token.
	changed  map[itemKey][]reporter
	inFlight map[uint64]map[itemKey][]reporter
}

func newAttemptsQueue() attemptsQueue {
	return attemptsQueue{changed: make(map[itemKey][]reporter), inFlight: make(map[uint64]map[itemKey][]reporter)}
}

// contains reports whether the attempts of an item are not recorded yet.
func (q *attemptsQueue) contains(key itemKey) bool {
	_, found := q.changed[key]
	for _, items := range q.inFlight {
		if found {
			break
		}
		_, found = items[key]
	}
	return found
}

// add adds an item, and workers to be told once its attempts are recorded.
func (q *attemptsQueue) add(key itemKey, reporters ...reporter) {
	q.changed[key] = append(q.changed[key], reporters...)
}

// recordAttempts records the attempts of an item, which may run again from availableAt on. w is the
// worker that reported the failure of ref, nil if none did.
func (s *Scheduler) recordAttempts(retry *retryState, ref LeaseRef, w *workerState, availableAt time.Time) {
	retry.availableAt = availableAt
	if w == nil {
		s.attempts.add(ref.itemKey())
		return
	}
	s.attempts.add(ref.itemKey(), reporter{w.id, w.incarnation, ref})
}

// proposeAttempts proposes the attempts that have changed, as many as one command may hold.
func (s *Scheduler) proposeAttempts() {
	if len(s.attempts.changed) == 0 || len(s.attempts.inFlight) >= maxCommitsInFlight {
		return
	}
	proposed := make(map[itemKey][]reporter)
	commit := &pb.ResultsCommit{}
	for _, key := range sortedItemKeys(s.attempts.changed) {
		if len(commit.Results) == maxCommitResults {
			break
		}
		reporters := s.attempts.changed[key]
		delete(s.attempts.changed, key)
		job, ok := s.jobs.byID[key.jobID]
		if !ok {
			continue
		}
		proposed[key] = reporters
		commit.Results = append(commit.Results, &pb.ItemResult{
			JobId: key.jobID, Index: key.index, Outcome: pb.ItemOutcome_ITEM_RETRY, SoFar: job.retryStateOf(key.index).toProto(),
		})
	}
	if len(commit.Results) == 0 {
		return
	}
	token := s.propose(&pb.Command{Op: &pb.Command_ResultsCommit{ResultsCommit: commit}})
	s.attempts.inFlight[token] = proposed
}

// attemptsProposed makes items whose attempts have been recorded available again and notifies their
// reporters. If the proposal failed, the attempts are proposed again.
func (s *Scheduler) attemptsProposed(now time.Time, items map[itemKey][]reporter, proposal ProposalResult) {
	for _, key := range sortedItemKeys(items) {
		if proposal.Err != nil {
			s.attempts.add(key, items[key]...)
			continue
		}
		s.notifyReporters(items[key])
		if job, ok := s.jobs.byID[key.jobID]; ok && !s.attempts.contains(key) {
			s.makeAvailableAt(now, job, key)
		}
	}
}

// makeAvailableAt makes an item available at the time that its retry state says.
func (s *Scheduler) makeAvailableAt(now time.Time, job *scheduledJob, key itemKey) {
	retry, ok := job.retries[key.index]
	if !ok || job.isSettled(key.index) || s.commits.contains(key) {
		return
	}
	if retry.availableAt.After(now) {
		s.retryDeadlines.Set(key, retry.availableAt)
		return
	}
	s.makeAvailable(job, key.index)
}

// restoreAttempts loads the recorded attempts of the items of a job.
func (s *Scheduler) restoreAttempts(job *scheduledJob) {
	s.options.ReadStore(func(r kv.Reader) {
		recordedAttempts(r, job.record.GetJobId(), func(index uint32, attempts *pb.ItemAttempts) {
			job.retries[index] = retryStateFromProto(attempts)
		})
	})
}

// isFromEarlierLeadership reports whether a lease was granted before this leadership began.
func (s *Scheduler) isFromEarlierLeadership(ref LeaseRef) bool {
	return ref.FencingNumber <= s.firstFencingNumber
}

func sortedItemKeys[V any](items map[itemKey]V) []itemKey {
	keys := make([]itemKey, 0, len(items))
	for key := range items {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b itemKey) int {
		return cmp.Or(cmp.Compare(a.jobID, b.jobID), cmp.Compare(a.index, b.index))
	})
	return keys
}
