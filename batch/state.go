package batch

import (
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

const (
	// DigestWindow is the time after its creation in which a job without an
	// idempotency key is found by its content.
	DigestWindow = 24 * time.Hour
	// DefaultRetention is the time for which a finished job stays readable
	// when the job names none.
	DefaultRetention = 30 * 24 * time.Hour
	// ReceiveTimeout is the time without a command after which a job that is
	// being received may be aborted.
	ReceiveTimeout = 30 * time.Second
	// DefaultMaxAttempts bounds the runs of an item when its job does not.
	DefaultMaxAttempts = 3

	maxNameBytes = 512
)

// State is the replicated part of batch work. Jobs, items and results live in
// the store; memory holds a summary and two bitmaps for each live job.
type State struct {
	live map[string]*liveJob

	mu        sync.Mutex
	estimates map[string]Estimate
}

// liveJob is a job that is being received or runs.
type liveJob struct {
	job     *pb.Job
	settled bitmap
	// started marks the claimed items of a non-idempotent job.
	started bitmap
}

// Estimate tells when a running job is expected to finish.
type Estimate struct {
	// FinishUnixMs is zero when the rate of completion is not known.
	FinishUnixMs uint64
	// AtRisk is set when the job is expected to miss its due time.
	AtRisk bool
}

// NewState returns a state without jobs.
func NewState() *State {
	return &State{
		live:      make(map[string]*liveJob),
		estimates: make(map[string]Estimate),
	}
}

// Apply carries out a committed command. The second value is false when the
// command is not one of this package.
func (s *State) Apply(b kv.Batch, _ uint64, c *pb.Command) (*pb.CommandResult, bool) {
	now := c.GetUnixMs()
	switch op := c.GetOp().(type) {
	case *pb.Command_JobBegin:
		return jobResult(s.begin(b, now, op.JobBegin)), true
	case *pb.Command_JobChunk:
		return jobResult(s.chunk(b, now, op.JobChunk)), true
	case *pb.Command_JobAccept:
		return jobResult(s.accept(b, now, op.JobAccept)), true
	case *pb.Command_JobAbort:
		return jobResult(s.abort(b, op.JobAbort)), true
	case *pb.Command_JobCancel:
		return jobResult(s.cancel(b, now, op.JobCancel)), true
	case *pb.Command_ItemsStart:
		return jobResult(s.start(b, op.ItemsStart)), true
	case *pb.Command_ResultsCommit:
		return resultsResult(s.commit(b, now, op.ResultsCommit)), true
	case *pb.Command_RetentionExpire:
		return jobResult(s.expire(b, now, op.RetentionExpire)), true
	}
	return nil, false
}

// Restore replaces the memory by what the store holds.
func (s *State) Restore(r kv.Reader) {
	clear(s.live)
	prefix := []byte{keyPrefix, kindJob}
	var jobs []*pb.Job
	r.Scan(prefix, kv.PrefixEnd(prefix), func(_, value []byte) bool {
		job := decodeJob(value)
		if !finished(job.GetState()) {
			jobs = append(jobs, job)
		}
		return true
	})
	for _, job := range jobs {
		s.live[job.GetJobId()] = restoreLive(r, job)
	}
}

func restoreLive(r kv.Reader, job *pb.Job) *liveJob {
	l := &liveJob{job: job}
	if job.GetState() != pb.JobState_JOB_RUNNING {
		return l
	}
	l.allocate()
	pages := partPrefix(kindPage, job.GetJobId())
	r.Scan(pages, kv.PrefixEnd(pages), func(key, value []byte) bool {
		l.settled.loadPage(partIndex(key), value)
		return true
	})
	starts := partPrefix(kindStart, job.GetJobId())
	r.Scan(starts, kv.PrefixEnd(starts), func(key, _ []byte) bool {
		l.started.set(partIndex(key))
		return true
	})
	return l
}

func (l *liveJob) allocate() {
	l.settled = newBitmap(l.job.GetItems())
	if !l.job.GetIdempotent() {
		l.started = newBitmap(l.job.GetItems())
	}
}

// running returns a live job that runs.
func (s *State) running(jobID string) (*liveJob, bool) {
	l, ok := s.live[jobID]
	if !ok || l.job.GetState() != pb.JobState_JOB_RUNNING {
		return nil, false
	}
	return l, true
}

// liveIDs returns the IDs of the live jobs in ascending order.
func (s *State) liveIDs() []string {
	ids := make([]string, 0, len(s.live))
	for id := range s.live {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (s *State) setEstimate(jobID string, estimate Estimate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimates[jobID] = estimate
}

func (s *State) removeEstimate(jobID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.estimates, jobID)
}

func (s *State) estimate(jobID string) Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimates[jobID]
}

func finished(state pb.JobState) bool {
	return state != pb.JobState_JOB_RECEIVING && state != pb.JobState_JOB_RUNNING
}

func readJob(r kv.Reader, jobID string) (*pb.Job, bool) {
	stored, ok := r.Get(jobKey(jobID))
	if !ok {
		return nil, false
	}
	return decodeJob(stored), true
}

func writeJob(b kv.Batch, job *pb.Job) {
	b.Set(jobKey(job.GetJobId()), encode(job))
}

func decodeJob(stored []byte) *pb.Job {
	job := &pb.Job{}
	decode(stored, job)
	return job
}

// encode returns the stored form of a message. A message of this package
// always has one.
func encode(m proto.Message) []byte {
	stored, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(kv.StorageError{Err: err})
	}
	return stored
}

// decode reads a stored message. Damage breaks an invariant of the store.
func decode(stored []byte, m proto.Message) {
	if err := proto.Unmarshal(stored, m); err != nil {
		panic(kv.StorageError{Err: err})
	}
}

func jobResult(code pb.JobError, job *pb.Job) *pb.CommandResult {
	result := &pb.JobResult{Error: code}
	if job != nil {
		result.Job = proto.Clone(job).(*pb.Job)
	}
	return &pb.CommandResult{Result: &pb.CommandResult_Job{Job: result}}
}

func resultsResult(counts *pb.ResultsCommitted) *pb.CommandResult {
	return &pb.CommandResult{Result: &pb.CommandResult_Results{Results: counts}}
}
