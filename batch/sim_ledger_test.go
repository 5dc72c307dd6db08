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

// simLedger notes what happened in a run, and finds what must not.
type simLedger struct {
	requests  map[uint64]simRequest
	nextToken uint64
	answered  map[uint64]bool
	jobs      map[string]simJob
	starts    map[itemKey][]time.Time
	cancelled map[string]time.Time
	// atCancel is how many results a job had when it was cancelled.
	atCancel map[string]uint32
	faults   []string
	// largest is the size of the largest answer's bodies.
	largest int
}

func newSimLedger() *simLedger {
	return &simLedger{
		requests:  make(map[uint64]simRequest),
		answered:  make(map[uint64]bool),
		jobs:      make(map[string]simJob),
		starts:    make(map[itemKey][]time.Time),
		cancelled: make(map[string]time.Time),
		atCancel:  make(map[string]uint32),
	}
}

func (l *simLedger) fault(format string, args ...any) {
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

func (l *simLedger) request(c *simSidecar, incarnation uint64) uint64 {
	l.nextToken++
	l.requests[l.nextToken] = simRequest{c, incarnation}
	return l.nextToken
}

// replied checks that a request is answered once, and that a leader hands out
// nothing of a job after it has applied the cancel.
func (l *simLedger) replied(s *sim, from *simLeader, out SendResponse) {
	if l.answered[out.Token] {
		l.fault("request %d was answered twice", out.Token)
	}
	l.answered[out.Token] = true
	size := 0
	for _, item := range out.Message.GetItems() {
		size += len(item.GetBody())
		l.largest = max(l.largest, size)
		if at, ok := l.cancelled[item.GetJobId()]; ok && from.current {
			l.fault("item %s/%d was handed out at %v, cancelled at %v", item.GetJobId(), item.GetIndex(), s.now, at)
		}
	}
}

func (l *simLedger) started(now time.Time, item *pb.LeasedItem) {
	key := RefOf(item).key()
	l.starts[key] = append(l.starts[key], now)
	if !item.GetIdempotent() && len(l.starts[key]) > 1 {
		l.fault("non-idempotent item %s/%d ran %d times", key.jobID, key.index, len(l.starts[key]))
	}
}

func (l *simLedger) committed(now time.Time, c *pb.Command, result *pb.CommandResult) {
	cancel := c.GetJobCancel()
	if cancel == nil || result.GetJob().GetError() != pb.JobError_JOB_OK {
		return
	}
	if _, known := l.cancelled[cancel.GetJobId()]; !known {
		job := result.GetJob().GetJob()
		l.cancelled[cancel.GetJobId()] = now
		l.atCancel[cancel.GetJobId()] = job.GetDone() + job.GetFailed()
	}
}

// check compares the accepted jobs with what can be read at the end.
func (l *simLedger) check(s *sim) []string {
	for id, described := range l.jobs {
		job := s.job(id)
		if job == nil {
			l.fault("job %s is missing", id)
			continue
		}
		results := s.results(id)
		if uint32(len(results)) != job.GetDone()+job.GetFailed() {
			l.fault("job %s has %d results, counted %d", id, len(results), job.GetDone()+job.GetFailed())
		}
		l.checkState(s, job, len(results))
		for i, result := range results {
			if i > 0 && results[i-1].GetIndex() >= result.GetIndex() {
				l.fault("job %s has item %d out of order", id, result.GetIndex())
			}
			l.checkResult(described, result)
		}
	}
	return l.faults
}

func (l *simLedger) checkState(s *sim, job *pb.Job, results int) {
	id := job.GetJobId()
	at, cancelled := l.cancelled[id]
	switch {
	case cancelled && job.GetState() != pb.JobState_JOB_CANCELLED:
		l.fault("job %s was cancelled and is %v", id, job.GetState())
	case cancelled && uint32(results) != l.atCancel[id]:
		l.fault("job %s had %d results at its cancel and has %d", id, l.atCancel[id], results)
	case cancelled:
		l.checkStopped(s, id, at)
	case job.GetState() != pb.JobState_JOB_COMPLETED:
		l.fault("job %s is %v with %d of %d results", id, job.GetState(), results, job.GetItems())
	case results != int(job.GetItems()) || results != l.jobs[id].items:
		l.fault("job %s completed with %d of %d results", id, results, l.jobs[id].items)
	}
}

// checkStopped finds items that started after their lease must have ended.
func (l *simLedger) checkStopped(s *sim, id string, cancelled time.Time) {
	const slack = time.Second
	for index := range l.jobs[id].items {
		for _, at := range l.starts[itemKey{id, uint32(index)}] {
			if at.After(cancelled.Add(s.options.LeaseTime + slack)) {
				l.fault("item %s/%d started %v after its cancel", id, index, at.Sub(cancelled))
			}
		}
	}
}

// lostEachTime reports whether an item that can never be done was started as
// often as it may be lost, so that no engine's refusal is known. Any other item
// that ends like that is a fault.
func (l *simLedger) lostEachTime(described simJob, result *pb.ItemResult) bool {
	index := int(result.GetIndex())
	losses := DefaultMaxAttempts + extraLosses
	return described.poison[index] && result.GetError() == ErrorLost &&
		result.GetAttempts() >= uint32(losses) && len(l.starts[itemKey{described.id, uint32(index)}]) >= losses
}

func (l *simLedger) checkResult(described simJob, result *pb.ItemResult) {
	index := int(result.GetIndex())
	if result.GetCustomId() != fmt.Sprintf("item-%d", index) {
		l.fault("job %s item %d has custom ID %q", described.id, index, result.GetCustomId())
	}
	switch result.GetOutcome() {
	case pb.ItemOutcome_ITEM_DONE:
		want := string(bodyOf(&pb.LeasedItem{Body: []byte(described.body(index))}))
		if described.poison[index] || string(result.GetBody()) != want {
			l.fault("job %s item %d has body %q", described.id, index, result.GetBody())
		}
	case pb.ItemOutcome_ITEM_FAILED:
		poisoned := described.poison[index] && result.GetStatus() >= 400
		unknown := !described.idempotent && result.GetStatus() != 200
		if !poisoned && !unknown && !l.lostEachTime(described, result) {
			l.fault("job %s item %d failed: %s", described.id, index, result.GetError())
		}
	default:
		l.fault("job %s item %d has outcome %v", described.id, index, result.GetOutcome())
	}
}
