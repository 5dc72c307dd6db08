package batch

import (
	"encoding/binary"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// claimItems claims items of a non-idempotent job before they run. It claims
// either all named items or none.
func (s *State) claimItems(b kv.Batch, c *pb.ItemsStart) (pb.JobError, *pb.Job) {
	live, ok := s.runningJob(c.GetJobId())
	if !ok {
		return pb.JobError_JOB_NOT_FOUND, nil
	}
	if live.job.GetIdempotent() || !claimable(b, live, c) {
		return pb.JobError_JOB_WRONG_STATE, live.job
	}
	value := binary.BigEndian.AppendUint64(nil, c.GetFencingNumber())
	for _, index := range c.GetIndexes() {
		b.Set(jobRecordKey(kindClaim, c.GetJobId(), index), value)
		live.claimed.set(index)
	}
	return pb.JobError_JOB_OK, live.job
}

// claimable reports whether each named item is unsettled and either not claimed
// or already claimed under the command's fencing number.
func claimable(b kv.Batch, live *liveJob, c *pb.ItemsStart) bool {
	for _, index := range c.GetIndexes() {
		if index >= live.job.GetItems() || live.settled.get(index) {
			return false
		}
		if !live.claimed.get(index) {
			continue
		}
		if claimedBy, ok := claimHolder(b, c.GetJobId(), index); !ok || claimedBy != c.GetFencingNumber() {
			return false
		}
	}
	return true
}

// claimHolder returns the fencing number under which an item was claimed.
func claimHolder(r kv.Reader, jobID string, index uint32) (uint64, bool) {
	value, ok := r.Get(jobRecordKey(kindClaim, jobID, index))
	if !ok {
		return 0, false
	}
	return binary.BigEndian.Uint64(value), true
}

// commitOutcome is the effect of committing one result.
type commitOutcome int

const (
	outcomeCommitted commitOutcome = iota
	outcomeDuplicate
	outcomeRefused
	// outcomeReleased means that the item did not run and can be leased again.
	outcomeReleased
	// outcomeCounted means that the attempts of the item were recorded.
	outcomeCounted
)

// changedJob lists the pages of the settled bitmap that a command changes in a
// job.
type changedJob struct {
	live  *liveJob
	pages []uint32
}

// commitResults stores results. The first committed result of an item is kept;
// later ones are counted as duplicates.
func (s *State) commitResults(b kv.Batch, now uint64, c *pb.ResultsCommit) *pb.ResultsCommitted {
	counts := &pb.ResultsCommitted{}
	var changed []*changedJob
	for _, result := range c.GetResults() {
		switch s.commitResult(b, result) {
		case outcomeCommitted:
			counts.Committed++
			changed = addChangedPage(changed, s.live[result.GetJobId()], result.GetIndex())
		case outcomeDuplicate:
			counts.Duplicates++
		case outcomeRefused:
			counts.Refused++
		case outcomeReleased, outcomeCounted:
		}
	}
	for _, job := range changed {
		s.storeProgress(b, now, job)
	}
	return counts
}

func (s *State) commitResult(b kv.Batch, result *pb.ItemResult) commitOutcome {
	live, ok := s.runningJob(result.GetJobId())
	if !ok || result.GetIndex() >= live.job.GetItems() {
		return outcomeRefused
	}
	if live.settled.get(result.GetIndex()) {
		return outcomeDuplicate
	}
	if !live.job.GetIdempotent() {
		claimedBy, ok := claimHolder(b, result.GetJobId(), result.GetIndex())
		if !ok || claimedBy != result.GetFencingNumber() {
			return outcomeRefused
		}
	}
	switch result.GetOutcome() {
	case pb.ItemOutcome_ITEM_DONE:
		live.job.Done++
	case pb.ItemOutcome_ITEM_FAILED:
		live.job.Failed++
	case pb.ItemOutcome_ITEM_NOT_RUN:
		live.releaseClaim(b, result)
		return outcomeReleased
	case pb.ItemOutcome_ITEM_RETRY:
		if !live.job.GetIdempotent() || result.GetSoFar() == nil {
			return outcomeRefused
		}
		b.Set(jobRecordKey(kindAttempts, result.GetJobId(), result.GetIndex()), encode(result.GetSoFar()))
		return outcomeCounted
	default:
		return outcomeRefused
	}
	b.Delete(jobRecordKey(kindAttempts, result.GetJobId(), result.GetIndex()))
	storeResult(b, result)
	live.settled.set(result.GetIndex())
	return outcomeCommitted
}

// releaseClaim removes the claim of an item that no engine has received.
func (live *liveJob) releaseClaim(b kv.Batch, result *pb.ItemResult) {
	if live.job.GetIdempotent() {
		return
	}
	b.Delete(jobRecordKey(kindClaim, result.GetJobId(), result.GetIndex()))
	live.claimed.clear(result.GetIndex())
}

// recordedAttempts calls visit for each item of a job with recorded attempts.
func recordedAttempts(r kv.Reader, jobID string, visit func(index uint32, attempts *pb.ItemAttempts)) {
	prefix := jobRecordPrefix(kindAttempts, jobID)
	r.Scan(prefix, kv.PrefixEnd(prefix), func(key, value []byte) bool {
		attempts := &pb.ItemAttempts{}
		decode(value, attempts)
		visit(recordIndex(key), attempts)
		return true
	})
}

// storeResult writes a result without its job ID and index, which its key holds.
func storeResult(b kv.Batch, result *pb.ItemResult) {
	stored := &pb.ItemResult{
		CustomId:      result.GetCustomId(),
		Outcome:       result.GetOutcome(),
		Status:        result.GetStatus(),
		Body:          result.GetBody(),
		Error:         result.GetError(),
		Attempts:      result.GetAttempts(),
		FencingNumber: result.GetFencingNumber(),
	}
	if stored.GetCustomId() == "" {
		if item, ok := readItem(b, result.GetJobId(), result.GetIndex()); ok {
			stored.CustomId = item.GetCustomId()
		}
	}
	b.Set(jobRecordKey(kindResult, result.GetJobId(), result.GetIndex()), encode(stored))
}

func readItem(r kv.Reader, jobID string, index uint32) (*pb.Item, bool) {
	stored, ok := r.Get(jobRecordKey(kindItem, jobID, index))
	if !ok {
		return nil, false
	}
	item := &pb.Item{}
	decode(stored, item)
	return item, true
}

// addChangedPage records that the bitmap page of an item has to be stored.
func addChangedPage(changed []*changedJob, live *liveJob, index uint32) []*changedJob {
	page := index / pageBits
	for _, job := range changed {
		if job.live != live {
			continue
		}
		for _, known := range job.pages {
			if known == page {
				return changed
			}
		}
		job.pages = append(job.pages, page)
		return changed
	}
	return append(changed, &changedJob{live: live, pages: []uint32{page}})
}

// storeProgress writes the counters and changed bitmap pages of a job, or
// completes the job when all its items are settled.
func (s *State) storeProgress(b kv.Batch, now uint64, changed *changedJob) {
	job := changed.live.job
	if job.GetDone()+job.GetFailed() == job.GetItems() {
		s.finishJob(b, now, job, pb.JobState_JOB_COMPLETED)
		return
	}
	for _, page := range changed.pages {
		b.Set(jobRecordKey(kindSettledPage, job.GetJobId(), page), changed.live.settled.encodePage(page))
	}
	writeJob(b, job)
}
