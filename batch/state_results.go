package batch

import (
	"encoding/binary"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// claimItems claims items of a non-idempotent job. It claims all of them or none.
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

// claimable reports whether each item is free or claimed by this very command.
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

// commitOutcome is what became of one result.
type commitOutcome int

const (
	outcomeCommitted commitOutcome = iota
	outcomeDuplicate
	outcomeRefused
	outcomeReleased
)

// changedJob collects the pages that a command changes in a job.
type changedJob struct {
	live  *liveJob
	pages []uint32
}

// commitResults stores results. The first result of an item wins.
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
		case outcomeReleased:
		}
	}
	for _, t := range changed {
		s.storeProgress(b, now, t)
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
	default:
		return outcomeRefused
	}
	storeResult(b, result)
	live.settled.set(result.GetIndex())
	return outcomeCommitted
}

// releaseClaim gives up the claim on an item that no engine has seen.
func (live *liveJob) releaseClaim(b kv.Batch, result *pb.ItemResult) {
	if live.job.GetIdempotent() {
		return
	}
	b.Delete(jobRecordKey(kindClaim, result.GetJobId(), result.GetIndex()))
	live.claimed.clear(result.GetIndex())
}

// storeResult writes a result. The job ID and the index are in its key.
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

func addChangedPage(changed []*changedJob, live *liveJob, index uint32) []*changedJob {
	page := index / pageBits
	for _, t := range changed {
		if t.live != live {
			continue
		}
		for _, known := range t.pages {
			if known == page {
				return changed
			}
		}
		t.pages = append(t.pages, page)
		return changed
	}
	return append(changed, &changedJob{live: live, pages: []uint32{page}})
}

// storeProgress writes the counters and bitmaps of a job, and ends the job
// when no item remains.
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
