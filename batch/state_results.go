package batch

import (
	"encoding/binary"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// start claims items of a non-idempotent job. It claims all of them or none.
func (s *State) start(b kv.Batch, c *pb.ItemsStart) (pb.JobError, *pb.Job) {
	l, ok := s.running(c.GetJobId())
	if !ok {
		return pb.JobError_JOB_NOT_FOUND, nil
	}
	if l.job.GetIdempotent() || !startable(b, l, c) {
		return pb.JobError_JOB_WRONG_STATE, l.job
	}
	value := binary.BigEndian.AppendUint64(nil, c.GetFencingNumber())
	for _, index := range c.GetIndexes() {
		b.Set(partKey(kindStart, c.GetJobId(), index), value)
		l.started.set(index)
	}
	return pb.JobError_JOB_OK, l.job
}

// startable reports whether each item is free or claimed by this very command.
func startable(b kv.Batch, l *liveJob, c *pb.ItemsStart) bool {
	for _, index := range c.GetIndexes() {
		if index >= l.job.GetItems() || l.settled.get(index) {
			return false
		}
		if !l.started.get(index) {
			continue
		}
		if holder, ok := startHolder(b, c.GetJobId(), index); !ok || holder != c.GetFencingNumber() {
			return false
		}
	}
	return true
}

// startHolder returns the fencing number under which an item was claimed.
func startHolder(r kv.Reader, jobID string, index uint32) (uint64, bool) {
	value, ok := r.Get(partKey(kindStart, jobID, index))
	if !ok {
		return 0, false
	}
	return binary.BigEndian.Uint64(value), true
}

// commitVerdict is what became of one result.
type commitVerdict int

const (
	verdictCommitted commitVerdict = iota
	verdictDuplicate
	verdictRefused
	verdictReleased
)

// touchedJob collects the pages that a command changes in a job.
type touchedJob struct {
	live  *liveJob
	pages []uint32
}

// commit stores results. The first result of an item wins.
func (s *State) commit(b kv.Batch, now uint64, c *pb.ResultsCommit) *pb.ResultsCommitted {
	counts := &pb.ResultsCommitted{}
	var touched []*touchedJob
	for _, result := range c.GetResults() {
		switch s.commitOne(b, result) {
		case verdictCommitted:
			counts.Committed++
			touched = touch(touched, s.live[result.GetJobId()], result.GetIndex())
		case verdictDuplicate:
			counts.Duplicates++
		case verdictRefused:
			counts.Refused++
		case verdictReleased:
		}
	}
	for _, t := range touched {
		s.storeProgress(b, now, t)
	}
	return counts
}

func (s *State) commitOne(b kv.Batch, result *pb.ItemResult) commitVerdict {
	l, ok := s.running(result.GetJobId())
	if !ok || result.GetIndex() >= l.job.GetItems() {
		return verdictRefused
	}
	if l.settled.get(result.GetIndex()) {
		return verdictDuplicate
	}
	if !l.job.GetIdempotent() {
		holder, ok := startHolder(b, result.GetJobId(), result.GetIndex())
		if !ok || holder != result.GetFencingNumber() {
			return verdictRefused
		}
	}
	switch result.GetOutcome() {
	case pb.ItemOutcome_ITEM_DONE:
		l.job.Done++
	case pb.ItemOutcome_ITEM_FAILED:
		l.job.Failed++
	case pb.ItemOutcome_ITEM_NOT_RUN:
		l.release(b, result)
		return verdictReleased
	default:
		return verdictRefused
	}
	storeResult(b, result)
	l.settled.set(result.GetIndex())
	return verdictCommitted
}

// release gives up the claim on an item that no engine has seen.
func (l *liveJob) release(b kv.Batch, result *pb.ItemResult) {
	if l.job.GetIdempotent() {
		return
	}
	b.Delete(partKey(kindStart, result.GetJobId(), result.GetIndex()))
	l.started.clear(result.GetIndex())
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
	b.Set(partKey(kindResult, result.GetJobId(), result.GetIndex()), encode(stored))
}

func readItem(r kv.Reader, jobID string, index uint32) (*pb.Item, bool) {
	stored, ok := r.Get(partKey(kindItem, jobID, index))
	if !ok {
		return nil, false
	}
	item := &pb.Item{}
	decode(stored, item)
	return item, true
}

func touch(touched []*touchedJob, l *liveJob, index uint32) []*touchedJob {
	page := index / pageBits
	for _, t := range touched {
		if t.live != l {
			continue
		}
		for _, known := range t.pages {
			if known == page {
				return touched
			}
		}
		t.pages = append(t.pages, page)
		return touched
	}
	return append(touched, &touchedJob{live: l, pages: []uint32{page}})
}

// storeProgress writes the counters and bitmaps of a job, and ends the job
// when no item remains.
func (s *State) storeProgress(b kv.Batch, now uint64, t *touchedJob) {
	job := t.live.job
	if job.GetDone()+job.GetFailed() == job.GetItems() {
		s.finish(b, now, job, pb.JobState_JOB_COMPLETED)
		return
	}
	for _, page := range t.pages {
		b.Set(partKey(kindPage, job.GetJobId(), page), t.live.settled.page(page))
	}
	writeJob(b, job)
}
