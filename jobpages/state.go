package jobpages

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/briarcross/briarcross/internal/record"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// State is the state machine of the storage group. The store holds all of it;
// memory indexes the open jobs.
type State struct {
	mu       sync.Mutex
	openJobs map[string]*openJob
}

// openJob is a job with items that have no result.
type openJob struct {
	record  *pb.PageJob
	settled []bool
}

// NewState returns an empty state.
func NewState() *State {
	return &State{openJobs: make(map[string]*openJob)}
}

// Apply carries out the command of one log entry.
func (s *State) Apply(b kv.Batch, _ uint64, c *pb.Command) *pb.CommandResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := &pb.PageCommandResult{}
	switch op := c.GetOp().(type) {
	case *pb.Command_PageSubmit:
		result.Known = s.submitJob(b, c.GetUnixMs(), op.PageSubmit)
	case *pb.Command_PageEnd:
		result.Known = s.endJob(b, op.PageEnd.GetJobId())
	case *pb.Command_PageSettle:
		for _, r := range op.PageSettle.GetResults() {
			if s.settleItem(b, r) {
				result.Settled++
			}
		}
	case *pb.Command_PageSave:
		for _, progress := range op.PageSave.GetProgress() {
			s.saveProgress(b, progress)
		}
	case *pb.Command_PageExpire:
		for _, id := range op.PageExpire.GetJobIds() {
			s.expireJob(b, c.GetUnixMs(), id)
		}
	}
	return &pb.CommandResult{Result: &pb.CommandResult_Page{Page: result}}
}

// submitJob stores a job, unless it is known already.
func (s *State) submitJob(b kv.Batch, nowMs uint64, c *pb.PageSubmit) bool {
	if c.GetJobId() == "" {
		return false
	}
	if _, known := readJob(b, c.GetJobId()); known {
		return true
	}
	job := &pb.PageJob{
		JobId:          c.GetJobId(),
		Host:           c.GetHost(),
		Path:           c.GetPath(),
		Items:          uint32(len(c.GetItems())),
		AcceptedUnixMs: nowMs,
		DueUnixMs:      nowMs + c.GetDueMs(),
		KeepUnixMs:     nowMs + c.GetKeepMs(),
		RetainUnixMs:   nowMs + c.GetRetainMs(),
		Attempts:       c.GetAttempts(),
		RoutingVersion: c.GetRoutingVersion(),
	}
	writeJob(b, job)
	for i, item := range c.GetItems() {
		b.Set(recordKey(kindItem, job.GetJobId(), uint32(i)), record.Encode(item))
	}
	s.openJobs[job.GetJobId()] = &openJob{record: job, settled: make([]bool, job.GetItems())}
	return true
}

// endJob closes a job; what is listed stays listed.
func (s *State) endJob(b kv.Batch, jobID string) bool {
	job, known := readJob(b, jobID)
	if !known {
		return false
	}
	if !job.GetEnded() {
		job.Ended = true
		writeJob(b, job)
		delete(s.openJobs, jobID)
		deleteRecords(b, kindItem, jobID)
		for i := range job.GetItems() {
			deleteRecords(b, kindProgress, progressOwnerID(jobID, i))
		}
	}
	return true
}

// settleItem appends the first result of an item.
func (s *State) settleItem(b kv.Batch, r *pb.PageResult) bool {
	open, ok := s.openJobs[r.GetJobId()]
	if !ok || r.GetItem() >= open.record.GetItems() || open.settled[r.GetItem()] {
		return false
	}
	item, ok := readItem(b, r.GetJobId(), r.GetItem())
	if !ok {
		return false
	}
	text := r.GetText()
	if r.GetBase() > 0 {
		saved := SavedProgress(b, r.GetJobId(), r.GetItem())
		if len(saved.GetText()) < int(r.GetBase()) {
			return false
		}
		text = append(saved.GetText()[:r.GetBase():r.GetBase()], text...)
	}
	deleteRecords(b, kindProgress, progressOwnerID(r.GetJobId(), r.GetItem()))
	entry := &pb.PageEntry{ItemId: item.GetId(), Failed: r.GetFailed(), Text: text}
	b.Set(recordKey(kindResult, r.GetJobId(), open.record.GetSettled()), record.Encode(entry))
	b.Set(recordKey(kindSettled, r.GetJobId(), r.GetItem()), nil)
	open.settled[r.GetItem()] = true
	open.record.Settled++
	writeJob(b, open.record)
	if open.record.GetSettled() == open.record.GetItems() {
		delete(s.openJobs, r.GetJobId())
		deleteRecords(b, kindItem, r.GetJobId())
	}
	return true
}

// saveProgress stores what an item has generated. What does not begin where the saved
// part ends belongs to another run and replaces it, if it begins anew.
func (s *State) saveProgress(b kv.Batch, c *pb.PageProgress) {
	open, ok := s.openJobs[c.GetJobId()]
	if !ok || int(c.GetItem()) >= len(open.settled) || open.settled[c.GetItem()] {
		return
	}
	id := progressOwnerID(c.GetJobId(), c.GetItem())
	if c.GetBase() == 0 {
		deleteRecords(b, kindProgress, id)
	} else if len(SavedProgress(b, c.GetJobId(), c.GetItem()).GetText()) != int(c.GetBase()) {
		return
	}
	record.Set(b, recordKey(kindProgress, id, c.GetBase()), c)
}

// expireJob removes a closed job whose retention has ended.
func (s *State) expireJob(b kv.Batch, nowMs uint64, jobID string) {
	job, known := readJob(b, jobID)
	if !known || s.openJobs[jobID] != nil || nowMs < job.GetRetainUnixMs() {
		return
	}
	b.Delete(jobKey(jobID))
	deleteRecords(b, kindItem, jobID)
	deleteRecords(b, kindResult, jobID)
	deleteRecords(b, kindSettled, jobID)
}

// Restore rebuilds the index of open jobs from the store.
func (s *State) Restore(r kv.Reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.openJobs)
	prefix := []byte{keyPrefix, kindJob}
	r.Scan(prefix, kv.PrefixEnd(prefix), func(_, value []byte) bool {
		job := &pb.PageJob{}
		record.Decode(value, job)
		if !job.GetEnded() && job.GetSettled() < job.GetItems() {
			s.openJobs[job.GetJobId()] = &openJob{record: job, settled: make([]bool, job.GetItems())}
		}
		return true
	})
	for id, open := range s.openJobs {
		settled := recordPrefix(kindSettled, id)
		r.Scan(settled, kv.PrefixEnd(settled), func(key, _ []byte) bool {
			open.settled[binary.BigEndian.Uint32(key[len(key)-4:])] = true
			return true
		})
	}
}

// OpenItem is an item without a result.
type OpenItem struct {
	JobID         string
	Index         uint32
	DueUnixMs     uint64
	AbandonUnixMs uint64
}

// OpenItems lists the items without a result, by the due times of their jobs.
func (s *State) OpenItems() []OpenItem {
	s.mu.Lock()
	defer s.mu.Unlock()
	jobs := make([]*openJob, 0, len(s.openJobs))
	for _, open := range s.openJobs {
		jobs = append(jobs, open)
	}
	slices.SortFunc(jobs, func(a, b *openJob) int {
		if a.record.GetDueUnixMs() != b.record.GetDueUnixMs() {
			return int(int64(a.record.GetDueUnixMs()) - int64(b.record.GetDueUnixMs()))
		}
		return slices.Compare([]byte(a.record.GetJobId()), []byte(b.record.GetJobId()))
	})
	var items []OpenItem
	for _, open := range jobs {
		for i, settled := range open.settled {
			if !settled {
				items = append(items, OpenItem{
					open.record.GetJobId(), uint32(i), open.record.GetDueUnixMs(), open.record.GetKeepUnixMs(),
				})
			}
		}
	}
	return items
}

// IsItemOpen reports whether an item of a job still needs a result.
func (s *State) IsItemOpen(jobID string, index uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	open, ok := s.openJobs[jobID]
	return ok && int(index) < len(open.settled) && !open.settled[index]
}

// ExpiredJobs lists closed jobs whose retention ended before a log time.
func (s *State) ExpiredJobs(r kv.Reader, nowMs uint64, maxJobs int) []string {
	var expired []string
	prefix := []byte{keyPrefix, kindJob}
	r.Scan(prefix, kv.PrefixEnd(prefix), func(_, value []byte) bool {
		job := &pb.PageJob{}
		record.Decode(value, job)
		closed := job.GetEnded() || job.GetSettled() == job.GetItems()
		if closed && nowMs >= job.GetRetainUnixMs() {
			expired = append(expired, job.GetJobId())
		}
		return len(expired) < maxJobs
	})
	return expired
}
