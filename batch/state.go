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
	// DigestWindow is the time after the acceptance of a job without an
	// idempotency key in which a submission of the same content returns that
	// job.
	DigestWindow = 24 * time.Hour
	// DefaultRetention is the time for which a finished job is kept when the
	// job sets no retention.
	DefaultRetention = 30 * 24 * time.Hour
	// ReceiveTimeout is the default time without a command after which a job
	// that is being received may be aborted.
	ReceiveTimeout = 30 * time.Second
	// DefaultMaxAttempts is the number of failed runs after which an item fails
	// when its job sets no limit.
	DefaultMaxAttempts = 3

	// maxNameBytes bounds a job ID, a caller and an idempotency key.
	maxNameBytes = 512
)

// State is the replicated state machine of batch jobs. Jobs, items and results
// are kept in the store; memory holds the job record and two bitmaps for each
// live job.
type State struct {
	// live holds the jobs that are being received or run, by ID.
	live map[string]*liveJob

	// mu guards estimates, which queries read from other goroutines.
	mu sync.Mutex
	// estimates holds the estimates of running jobs, by job ID. They are not
	// replicated.
	estimates map[string]Estimate
}

// liveJob is a job that is being received or runs.
type liveJob struct {
	job *pb.Job
	// settled marks the items that have a committed result.
	settled bitmap
	// claimed marks the items of a non-idempotent job whose run a committed
	// ItemsStart has announced. It is empty for idempotent jobs.
	claimed bitmap
}

// Estimate is the expected completion of a running job.
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

// Apply executes a committed command. The second result is false when the
// command does not belong to this package.
func (s *State) Apply(b kv.Batch, _ uint64, c *pb.Command) (*pb.CommandResult, bool) {
	now := c.GetUnixMs()
	switch op := c.GetOp().(type) {
	case *pb.Command_JobBegin:
		return jobCommandResult(s.beginJob(b, now, op.JobBegin)), true
	case *pb.Command_JobChunk:
		return jobCommandResult(s.storeChunk(b, now, op.JobChunk)), true
	case *pb.Command_JobAccept:
		return jobCommandResult(s.acceptJob(b, now, op.JobAccept)), true
	case *pb.Command_JobAbort:
		return jobCommandResult(s.abortJob(b, op.JobAbort)), true
	case *pb.Command_JobCancel:
		return jobCommandResult(s.cancelJob(b, now, op.JobCancel)), true
	case *pb.Command_ItemsStart:
		return jobCommandResult(s.claimItems(b, op.ItemsStart)), true
	case *pb.Command_ResultsCommit:
		return resultsCommandResult(s.commitResults(b, now, op.ResultsCommit)), true
	case *pb.Command_RetentionExpire:
		return jobCommandResult(s.expireJobs(b, now, op.RetentionExpire)), true
	}
	return nil, false
}

// Restore rebuilds the in-memory state from the store.
func (s *State) Restore(r kv.Reader) {
	clear(s.live)
	prefix := []byte{storePrefix, kindJob}
	var jobs []*pb.Job
	r.Scan(prefix, kv.PrefixEnd(prefix), func(_, value []byte) bool {
		job := decodeJob(value)
		if !isFinished(job.GetState()) {
			jobs = append(jobs, job)
		}
		return true
	})
	for _, job := range jobs {
		s.live[job.GetJobId()] = restoreLiveJob(r, job)
	}
}

func restoreLiveJob(r kv.Reader, job *pb.Job) *liveJob {
	live := &liveJob{job: job}
	if job.GetState() != pb.JobState_JOB_RUNNING {
		return live
	}
	live.allocateBitmaps()
	pages := jobRecordPrefix(kindSettledPage, job.GetJobId())
	r.Scan(pages, kv.PrefixEnd(pages), func(key, value []byte) bool {
		live.settled.loadPage(recordIndex(key), value)
		return true
	})
	starts := jobRecordPrefix(kindClaim, job.GetJobId())
	r.Scan(starts, kv.PrefixEnd(starts), func(key, _ []byte) bool {
		live.claimed.set(recordIndex(key))
		return true
	})
	return live
}

// allocateBitmaps allocates the bitmaps once the number of items is known.
func (live *liveJob) allocateBitmaps() {
	live.settled = newBitmap(live.job.GetItems())
	if !live.job.GetIdempotent() {
		live.claimed = newBitmap(live.job.GetItems())
	}
}

// runningJob returns a job that has been accepted and has not finished.
func (s *State) runningJob(jobID string) (*liveJob, bool) {
	live, ok := s.live[jobID]
	if !ok || live.job.GetState() != pb.JobState_JOB_RUNNING {
		return nil, false
	}
	return live, true
}

// liveJobIDs returns the IDs of the live jobs in ascending order.
func (s *State) liveJobIDs() []string {
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

func isFinished(state pb.JobState) bool {
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

// encode returns the stored form of a message. It panics if the message cannot
// be encoded, which never happens for the messages of this package.
func encode(m proto.Message) []byte {
	stored, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(kv.StorageError{Err: err})
	}
	return stored
}

// decode decodes a stored message. It panics with kv.StorageError if the
// stored bytes are corrupt, since the store must return what was written.
func decode(stored []byte, m proto.Message) {
	if err := proto.Unmarshal(stored, m); err != nil {
		panic(kv.StorageError{Err: err})
	}
}

func jobCommandResult(code pb.JobError, job *pb.Job) *pb.CommandResult {
	result := &pb.JobResult{Error: code}
	if job != nil {
		result.Job = proto.Clone(job).(*pb.Job)
	}
	return &pb.CommandResult{Result: &pb.CommandResult_Job{Job: result}}
}

func resultsCommandResult(counts *pb.ResultsCommitted) *pb.CommandResult {
	return &pb.CommandResult{Result: &pb.CommandResult_Results{Results: counts}}
}
