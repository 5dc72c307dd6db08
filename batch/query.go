package batch

import (
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

const (
	defaultListLimit    = 100
	maxListLimit        = 1000
	defaultResultsLimit = 1000
	maxResultsLimit     = 10000
	maxResultsBytes     = 1 << 20
)

// Query executes a query on a committed state of the store. The second result is
// false if the query is not one of this package. It may be called from any
// goroutine.
func (s *State) Query(r kv.Reader, q *pb.Query) (*pb.QueryResult, bool) {
	switch query := q.GetQuery().(type) {
	case *pb.Query_Job:
		return &pb.QueryResult{Result: &pb.QueryResult_Job{Job: s.queryJob(r, query.Job)}}, true
	case *pb.Query_JobList:
		return &pb.QueryResult{Result: &pb.QueryResult_JobList{JobList: s.queryList(r, query.JobList)}}, true
	case *pb.Query_Results:
		return &pb.QueryResult{Result: &pb.QueryResult_Results{Results: queryResults(r, query.Results)}}, true
	}
	return nil, false
}

func (s *State) queryJob(r kv.Reader, q *pb.JobQuery) *pb.JobAnswer {
	job, ok := readJob(r, q.GetJobId())
	if !ok || !isVisible(job, q.GetCaller()) {
		return &pb.JobAnswer{Error: pb.JobError_JOB_NOT_FOUND}
	}
	return &pb.JobAnswer{Job: s.withEstimate(job)}
}

func (s *State) withEstimate(job *pb.Job) *pb.Job {
	if job.GetState() == pb.JobState_JOB_RUNNING {
		estimate := s.estimate(job.GetJobId())
		job.AtRisk = estimate.AtRisk
		job.EstimateUnixMs = estimate.FinishUnixMs
	}
	return job
}

// queryList lists jobs by ID. An empty caller is an operator, who sees the jobs
// of all callers.
func (s *State) queryList(r kv.Reader, q *pb.JobListQuery) *pb.JobListAnswer {
	limit := clampLimit(q.GetLimit(), defaultListLimit, maxListLimit)
	prefix := []byte{storePrefix, kindJob}
	if q.GetCaller() != "" {
		prefix = callerJobPrefix(q.GetCaller())
	}
	from := prefix
	if q.GetAfter() != "" {
		from = append(append([]byte(nil), prefix...), q.GetAfter()...)
		from = append(from, 0)
	}
	var jobIDs []string
	r.Scan(from, kv.PrefixEnd(prefix), func(key, _ []byte) bool {
		jobIDs = append(jobIDs, string(key[len(prefix):]))
		return len(jobIDs) < limit
	})
	answer := &pb.JobListAnswer{}
	for _, id := range jobIDs {
		if job, ok := readJob(r, id); ok {
			answer.Jobs = append(answer.Jobs, s.withEstimate(job))
		}
	}
	return answer
}

// queryResults returns results by index. End is set if the job is finished and
// the page holds its last results.
func queryResults(r kv.Reader, q *pb.ResultsQuery) *pb.ResultsAnswer {
	job, ok := readJob(r, q.GetJobId())
	if !ok || !isVisible(job, q.GetCaller()) {
		return &pb.ResultsAnswer{Error: pb.JobError_JOB_NOT_FOUND}
	}
	answer := &pb.ResultsAnswer{Next: q.GetFrom()}
	limit := clampLimit(q.GetLimit(), defaultResultsLimit, maxResultsLimit)
	maxBytes := clampLimit(q.GetMaxBytes(), maxResultsBytes, maxResultsBytes)
	bytes := 0
	full := false
	end := kv.PrefixEnd(jobRecordPrefix(kindResult, q.GetJobId()))
	r.Scan(jobRecordKey(kindResult, q.GetJobId(), q.GetFrom()), end, func(key, value []byte) bool {
		full = len(answer.Results) == limit || (bytes > 0 && bytes+len(value) > maxBytes)
		if full {
			return false
		}
		bytes += len(value)
		result := decodeResult(q.GetJobId(), key, value)
		answer.Results = append(answer.Results, result)
		answer.Next = result.GetIndex() + 1
		return true
	})
	answer.End = !full && isFinished(job.GetState())
	return answer
}

func decodeResult(jobID string, key, value []byte) *pb.ItemResult {
	result := &pb.ItemResult{}
	decode(value, result)
	result.JobId = jobID
	result.Index = recordIndex(key)
	return result
}

func clampLimit(requested uint32, defaultLimit, maxLimit int) int {
	if requested == 0 {
		return defaultLimit
	}
	return min(int(requested), maxLimit)
}
