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
	mu   sync.Mutex
	open map[string]*openJob
}

// openJob is a job with items that have no result.
type openJob struct {
	job     *pb.PageJob
	settled []bool
}

// NewState returns an empty state.
func NewState() *State {
	return &State{open: make(map[string]*openJob)}
}

// Apply carries out the command of one log entry.
func (s *State) Apply(b kv.Batch, _ uint64, c *pb.Command) *pb.CommandResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := &pb.PageCommandResult{}
	switch op := c.GetOp().(type) {
	case *pb.Command_PageSubmit:
		result.Known = s.submit(b, c.GetUnixMs(), op.PageSubmit)
	case *pb.Command_PageEnd:
		result.Known = s.end(b, op.PageEnd.GetJobId())
	case *pb.Command_PageSettle:
		for _, r := range op.PageSettle.GetResults() {
			if s.settle(b, r) {
				result.Settled++
			}
		}
	case *pb.Command_PageSave:
		for _, progress := range op.PageSave.GetProgress() {
			s.save(b, progress)
		}
	case *pb.Command_PageExpire:
		for _, id := range op.PageExpire.GetJobIds() {
			s.expire(b, c.GetUnixMs(), id)
		}
	}
	return &pb.CommandResult{Result: &pb.CommandResult_Page{Page: result}}
}

// submit stores a job, unless it is known already.
func (s *State) submit(b kv.Batch, now uint64, c *pb.PageSubmit) bool {
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
		AcceptedUnixMs: now,
		DueUnixMs:      now + c.GetDueMs(),
		KeepUnixMs:     now + c.GetKeepMs(),
		RetainUnixMs:   now + c.GetRetainMs(),
		Attempts:       c.GetAttempts(),
		RoutingVersion: c.GetRoutingVersion(),
	}
	writeJob(b, job)
	for i, item := range c.GetItems() {
		b.Set(partKey(kindItem, job.GetJobId(), uint32(i)), record.Encode(item))
	}
	s.open[job.GetJobId()] = &openJob{job: job, settled: make([]bool, job.GetItems())}
	return true
}

// end closes a job; what is listed stays listed.
func (s *State) end(b kv.Batch, id string) bool {
	job, known := readJob(b, id)
	if !known {
		return false
	}
	if !job.GetEnded() {
		job.Ended = true
		writeJob(b, job)
		delete(s.open, id)
		deletePart(b, kindItem, id)
		for i := range job.GetItems() {
			deletePart(b, kindProgress, progressID(id, i))
		}
	}
	return true
}

// settle appends the first result of an item.
func (s *State) settle(b kv.Batch, r *pb.PageResult) bool {
	open, ok := s.open[r.GetJobId()]
	if !ok || r.GetItem() >= open.job.GetItems() || open.settled[r.GetItem()] {
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
	deletePart(b, kindProgress, progressID(r.GetJobId(), r.GetItem()))
	entry := &pb.PageEntry{ItemId: item.GetId(), Failed: r.GetFailed(), Text: text}
	b.Set(partKey(kindResult, r.GetJobId(), open.job.GetSettled()), record.Encode(entry))
	b.Set(partKey(kindSettled, r.GetJobId(), r.GetItem()), nil)
	open.settled[r.GetItem()] = true
	open.job.Settled++
	writeJob(b, open.job)
	if open.job.GetSettled() == open.job.GetItems() {
		delete(s.open, r.GetJobId())
		deletePart(b, kindItem, r.GetJobId())
	}
	return true
}

// save stores what an item has generated. What does not begin where the saved
// part ends belongs to another run and replaces it, if it begins anew.
func (s *State) save(b kv.Batch, c *pb.PageProgress) {
	open, ok := s.open[c.GetJobId()]
	if !ok || int(c.GetItem()) >= len(open.settled) || open.settled[c.GetItem()] {
		return
	}
	id := progressID(c.GetJobId(), c.GetItem())
	if c.GetBase() == 0 {
		deletePart(b, kindProgress, id)
	} else if len(SavedProgress(b, c.GetJobId(), c.GetItem()).GetText()) != int(c.GetBase()) {
		return
	}
	record.Set(b, partKey(kindProgress, id, c.GetBase()), c)
}

// expire removes a closed job whose retention has ended.
func (s *State) expire(b kv.Batch, now uint64, id string) {
	job, known := readJob(b, id)
	if !known || s.open[id] != nil || now < job.GetRetainUnixMs() {
		return
	}
	b.Delete(jobKey(id))
	deletePart(b, kindItem, id)
	deletePart(b, kindResult, id)
	deletePart(b, kindSettled, id)
}

// Restore rebuilds the index of open jobs from the store.
func (s *State) Restore(r kv.Reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.open)
	prefix := []byte{keyPrefix, kindJob}
	r.Scan(prefix, kv.PrefixEnd(prefix), func(_, value []byte) bool {
		job := &pb.PageJob{}
		record.Decode(value, job)
		if !job.GetEnded() && job.GetSettled() < job.GetItems() {
			s.open[job.GetJobId()] = &openJob{job: job, settled: make([]bool, job.GetItems())}
		}
		return true
	})
	for id, open := range s.open {
		settled := partPrefix(kindSettled, id)
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
	jobs := make([]*openJob, 0, len(s.open))
	for _, open := range s.open {
		jobs = append(jobs, open)
	}
	slices.SortFunc(jobs, func(a, b *openJob) int {
		if a.job.GetDueUnixMs() != b.job.GetDueUnixMs() {
			return int(int64(a.job.GetDueUnixMs()) - int64(b.job.GetDueUnixMs()))
		}
		return slices.Compare([]byte(a.job.GetJobId()), []byte(b.job.GetJobId()))
	})
	var items []OpenItem
	for _, open := range jobs {
		for i, settled := range open.settled {
			if !settled {
				items = append(items, OpenItem{
					open.job.GetJobId(), uint32(i), open.job.GetDueUnixMs(), open.job.GetKeepUnixMs(),
				})
			}
		}
	}
	return items
}

// IsItemOpen reports whether an item of a job still needs a result.
func (s *State) IsItemOpen(id string, item uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	open, ok := s.open[id]
	return ok && int(item) < len(open.settled) && !open.settled[item]
}

// ExpiredJobs lists closed jobs whose retention ended before a log time.
func (s *State) ExpiredJobs(r kv.Reader, nowMs uint64, most int) []string {
	var expired []string
	prefix := []byte{keyPrefix, kindJob}
	r.Scan(prefix, kv.PrefixEnd(prefix), func(_, value []byte) bool {
		job := &pb.PageJob{}
		record.Decode(value, job)
		closed := job.GetEnded() || job.GetSettled() == job.GetItems()
		if closed && nowMs >= job.GetRetainUnixMs() {
			expired = append(expired, job.GetJobId())
		}
		return len(expired) < most
	})
	return expired
}
