package batch

import (
	"fmt"
	"time"

	"github.com/briarcross/briarcross/pb"
)

type simRequest struct {
	sidecar     *simSidecar
	incarnation uint64
}

// simLedger records the events of a run and finds violations of the guarantees.
type simLedger struct {
	requests    map[uint64]simRequest
	nextToken   uint64
	responded   map[uint64]bool
	jobs        map[string]simJob
	startTimes  map[itemKey][]time.Time
	cancelledAt map[string]time.Time
	// resultsAtCancel is the number of results of each job when it was cancelled.
	resultsAtCancel map[string]uint32
	violations      []string
	// largestResponseBytes is the largest total size of the item bodies in a
	// response.
	largestResponseBytes int
}

func newSimLedger() *simLedger {
	return &simLedger{
		requests:        make(map[uint64]simRequest),
		responded:       make(map[uint64]bool),
		jobs:            make(map[string]simJob),
		startTimes:      make(map[itemKey][]time.Time),
		cancelledAt:     make(map[string]time.Time),
		resultsAtCancel: make(map[string]uint32),
	}
}

func (l *simLedger) addViolation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *simLedger) recordRequest(c *simSidecar, incarnation uint64) uint64 {
	l.nextToken++
	l.requests[l.nextToken] = simRequest{c, incarnation}
	return l.nextToken
}

// recordResponse checks that each request gets one response, and that the current
// leader hands out no item of a job whose cancellation it has applied.
func (l *simLedger) recordResponse(s *sim, leader *simLeader, response SendResponse) {
	if l.responded[response.Token] {
		l.addViolation("request %d got two responses", response.Token)
	}
	l.responded[response.Token] = true
	size := 0
	for _, item := range response.Message.GetItems() {
		size += len(item.GetBody())
		l.largestResponseBytes = max(l.largestResponseBytes, size)
		if at, ok := l.cancelledAt[item.GetJobId()]; ok && leader.current {
			l.addViolation("item %s/%d was handed out at %v, but its job was cancelled at %v", item.GetJobId(), item.GetIndex(), s.now, at)
		}
	}
}

func (l *simLedger) recordStart(now time.Time, item *pb.LeasedItem) {
	key := LeaseRefOf(item).itemKey()
	l.startTimes[key] = append(l.startTimes[key], now)
	if !item.GetIdempotent() && len(l.startTimes[key]) > 1 {
		l.addViolation("non-idempotent item %s/%d ran %d times", key.jobID, key.index, len(l.startTimes[key]))
	}
}

func (l *simLedger) recordCommand(now time.Time, c *pb.Command, result *pb.CommandResult) {
	cancel := c.GetJobCancel()
	if cancel == nil || result.GetJob().GetError() != pb.JobError_JOB_OK {
		return
	}
	if _, known := l.cancelledAt[cancel.GetJobId()]; !known {
		job := result.GetJob().GetJob()
		l.cancelledAt[cancel.GetJobId()] = now
		l.resultsAtCancel[cancel.GetJobId()] = job.GetDone() + job.GetFailed()
	}
}

// check compares the accepted jobs with the jobs and results in the store.
func (l *simLedger) check(s *sim) []string {
	for id, submitted := range l.jobs {
		job := s.job(id)
		if job == nil {
			l.addViolation("accepted job %s is missing", id)
			continue
		}
		results := s.results(id)
		if uint32(len(results)) != job.GetDone()+job.GetFailed() {
			l.addViolation("job %s has %d stored results, but its counters say %d", id, len(results), job.GetDone()+job.GetFailed())
		}
		l.checkJobState(s, job, len(results))
		for i, result := range results {
			if i > 0 && results[i-1].GetIndex() >= result.GetIndex() {
				l.addViolation("job %s: the result of item %d is out of order", id, result.GetIndex())
			}
			l.checkResult(submitted, result)
		}
	}
	return l.violations
}

func (l *simLedger) checkJobState(s *sim, job *pb.Job, results int) {
	id := job.GetJobId()
	at, cancelled := l.cancelledAt[id]
	switch {
	case cancelled && job.GetState() != pb.JobState_JOB_CANCELLED:
		l.addViolation("job %s was cancelled but is in state %v", id, job.GetState())
	case cancelled && uint32(results) != l.resultsAtCancel[id]:
		l.addViolation("job %s had %d results when it was cancelled and now has %d", id, l.resultsAtCancel[id], results)
	case cancelled:
		l.checkRunsStopped(s, id, at)
	case job.GetState() != pb.JobState_JOB_COMPLETED:
		l.addViolation("job %s is in state %v with %d of %d results", id, job.GetState(), results, job.GetItems())
	case results != int(job.GetItems()) || results != l.jobs[id].items:
		l.addViolation("job %s completed with %d of %d results", id, results, l.jobs[id].items)
	}
}

// checkRunsStopped checks that no item of a cancelled job started later than a
// lease time after the cancellation.
func (l *simLedger) checkRunsStopped(s *sim, id string, cancelledAt time.Time) {
	const slack = time.Second
	for index := range l.jobs[id].items {
		for _, at := range l.startTimes[itemKey{id, uint32(index)}] {
			if at.After(cancelledAt.Add(s.options.LeaseTime + slack)) {
				l.addViolation("item %s/%d started %v after its job was cancelled", id, index, at.Sub(cancelledAt))
			}
		}
	}
}

// lostOnEachAttempt reports whether a poison item was started as often as it may be
// lost and lost each time, so that no engine could reject it. For any other item
// ErrorWorkerLost is a violation.
func (l *simLedger) lostOnEachAttempt(submitted simJob, result *pb.ItemResult) bool {
	index := int(result.GetIndex())
	losses := DefaultMaxAttempts + extraLosses
	return submitted.poison[index] && result.GetError() == ErrorWorkerLost &&
		result.GetAttempts() >= uint32(losses) && len(l.startTimes[itemKey{submitted.id, uint32(index)}]) >= losses
}

func (l *simLedger) checkResult(submitted simJob, result *pb.ItemResult) {
	index := int(result.GetIndex())
	if result.GetCustomId() != fmt.Sprintf("item-%d", index) {
		l.addViolation("job %s item %d has custom ID %q", submitted.id, index, result.GetCustomId())
	}
	switch result.GetOutcome() {
	case pb.ItemOutcome_ITEM_DONE:
		want := string(responseBody(&pb.LeasedItem{Body: []byte(submitted.itemBody(index))}))
		if submitted.poison[index] || string(result.GetBody()) != want {
			l.addViolation("job %s item %d has body %q", submitted.id, index, result.GetBody())
		}
	case pb.ItemOutcome_ITEM_FAILED:
		poisoned := submitted.poison[index] && result.GetStatus() >= 400
		unknown := !submitted.idempotent && result.GetStatus() != 200
		if !poisoned && !unknown && !l.lostOnEachAttempt(submitted, result) {
			l.addViolation("job %s item %d failed: %s", submitted.id, index, result.GetError())
		}
	default:
		l.addViolation("job %s item %d has outcome %v", submitted.id, index, result.GetOutcome())
	}
}
