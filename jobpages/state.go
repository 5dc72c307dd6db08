package jobpages

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/briarcross/briarcross/internal/record"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// State is the replicated state machine of the storage group. All of its data is
// in the store; memory holds only an index of the open jobs.
type State struct {
	mu       sync.Mutex
	openJobs map[string]*openJob
}

// openJob is a job that has not ended and has items without a result.
type openJob struct {
	record  *pb.PageJob
	settled []bool // by item index: whether the item has its result
}

// NewState returns an empty state.
func NewState() *State {
	return &State{openJobs: make(map[string]*openJob)}
}

// Apply executes the command of one log entry.
func (s *State) Apply(batch kv.Batch, _ uint64, command *pb.Command) *pb.CommandResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := &pb.PageCommandResult{}
	switch op := command.GetOp().(type) {
	case *pb.Command_PageSubmit:
		result.Known = s.submitJob(batch, command.GetUnixMs(), op.PageSubmit)
	case *pb.Command_PageEnd:
		result.Known = s.endJob(batch, op.PageEnd.GetJobId())
	case *pb.Command_PageSettle:
		for _, r := range op.PageSettle.GetResults() {
			if s.settleItem(batch, r) {
				result.Settled++
			}
		}
	case *pb.Command_PageSave:
		for _, progress := range op.PageSave.GetProgress() {
			s.saveProgress(batch, progress)
		}
	case *pb.Command_PageRecordAttempts:
		for _, attempts := range op.PageRecordAttempts.GetAttempts() {
			s.recordAttempts(batch, attempts)
		}
	case *pb.Command_PageExpire:
		for _, id := range op.PageExpire.GetJobIds() {
			s.expireJob(batch, command.GetUnixMs(), id)
		}
	}
	return &pb.CommandResult{Result: &pb.CommandResult_Page{Page: result}}
}

// submitJob stores a job, unless it is already stored. It reports whether the
// job is stored afterwards.
func (s *State) submitJob(batch kv.Batch, nowMs uint64, submit *pb.PageSubmit) bool {
	if submit.GetJobId() == "" {
		return false
	}
	if _, known := readJob(batch, submit.GetJobId()); known {
		return true
	}
	job := &pb.PageJob{
		JobId:          submit.GetJobId(),
		Host:           submit.GetHost(),
		Path:           submit.GetPath(),
		Items:          uint32(len(submit.GetItems())),
		AcceptedUnixMs: nowMs,
		DueUnixMs:      nowMs + submit.GetDueMs(),
		KeepUnixMs:     nowMs + submit.GetKeepMs(),
		RetainUnixMs:   nowMs + submit.GetRetainMs(),
		Attempts:       submit.GetAttempts(),
		RoutingVersion: submit.GetRoutingVersion(),
		Customer:       submit.GetCustomer(),
	}
	for i, item := range submit.GetItems() {
		encoded := record.Encode(item)
		job.ItemBytes += uint64(len(encoded))
		batch.Set(recordKey(kindItem, job.GetJobId(), uint32(i)), encoded)
	}
	writeJob(batch, job)
	s.openJobs[job.GetJobId()] = &openJob{record: job, settled: make([]bool, job.GetItems())}
	return true
}

// endJob ends a job, so that it gets no more results; the existing ones stay
// readable. It reports whether the job is known.
func (s *State) endJob(batch kv.Batch, jobID string) bool {
	job, known := readJob(batch, jobID)
	if !known {
		return false
	}
	if !job.GetEnded() {
		job.Ended = true
		writeJob(batch, job)
		delete(s.openJobs, jobID)
		deleteRecords(batch, kindItem, jobID)
		deleteRecords(batch, kindAttempts, jobID)
		for i := range job.GetItems() {
			deleteRecords(batch, kindProgress, progressOwnerID(jobID, i))
		}
	}
	return true
}

// settleItem appends the result of an item at the next position of its job. It
// returns false, and changes nothing, if the item already has a result, is not
// open, or lacks the saved progress that the result continues, or that is of another
// software version.
func (s *State) settleItem(batch kv.Batch, result *pb.PageResult) bool {
	job, ok := s.openJobs[result.GetJobId()]
	if !ok || result.GetItem() >= job.record.GetItems() || job.settled[result.GetItem()] {
		return false
	}
	item, ok := readItem(batch, result.GetJobId(), result.GetItem())
	if !ok {
		return false
	}
	text := result.GetText()
	if result.GetBase() > 0 {
		saved := SavedProgress(batch, result.GetJobId(), result.GetItem())
		if len(saved.GetText()) < int(result.GetBase()) || !fitsSaved(saved, result) {
			return false
		}
		text = append(saved.GetText()[:result.GetBase():result.GetBase()], text...)
	}
	deleteRecords(batch, kindProgress, progressOwnerID(result.GetJobId(), result.GetItem()))
	batch.Delete(recordKey(kindAttempts, result.GetJobId(), result.GetItem()))
	entry := &pb.PageEntry{ItemId: item.GetId(), Failed: result.GetFailed(), Text: text}
	batch.Set(recordKey(kindResult, result.GetJobId(), job.record.GetSettled()), record.Encode(entry))
	batch.Set(recordKey(kindSettled, result.GetJobId(), result.GetItem()), nil)
	job.settled[result.GetItem()] = true
	job.record.Settled++
	writeJob(batch, job.record)
	if job.record.GetSettled() == job.record.GetItems() {
		delete(s.openJobs, result.GetJobId())
		deleteRecords(batch, kindItem, result.GetJobId())
	}
	return true
}

// saveProgress stores output that an item has generated. Output that continues
// the saved part at the same software version is added to it, output of a run from the
// beginning replaces it, and any other belongs to a different run and is ignored.
func (s *State) saveProgress(batch kv.Batch, progress *pb.PageProgress) {
	if !s.isOpen(progress.GetJobId(), progress.GetItem()) {
		return
	}
	ownerID := progressOwnerID(progress.GetJobId(), progress.GetItem())
	if progress.GetBase() == 0 {
		deleteRecords(batch, kindProgress, ownerID)
	} else if saved := SavedProgress(batch, progress.GetJobId(), progress.GetItem()); len(saved.GetText()) != int(progress.GetBase()) || !fitsSaved(saved, progress) {
		return
	}
	record.Set(batch, recordKey(kindProgress, ownerID, progress.GetBase()), progress)
	if recorded := RecordedAttempts(batch, progress.GetJobId(), progress.GetItem()); recorded.GetFruitlessRuns() > 0 {
		recorded.FruitlessRuns = 0
		record.Set(batch, recordKey(kindAttempts, progress.GetJobId(), progress.GetItem()), recorded)
	}
}

// recordAttempts stores what is known of the runs of an open item. A record that is applied late
// or twice does not lower the number of failures.
func (s *State) recordAttempts(batch kv.Batch, attempts *pb.PageAttempts) {
	if !s.isOpen(attempts.GetJobId(), attempts.GetItem()) {
		return
	}
	recorded := RecordedAttempts(batch, attempts.GetJobId(), attempts.GetItem())
	record.Set(batch, recordKey(kindAttempts, attempts.GetJobId(), attempts.GetItem()), &pb.PageAttempts{
		Failures: max(recorded.GetFailures(), attempts.GetFailures()), FruitlessRuns: attempts.GetFruitlessRuns(),
	})
	if attempts.GetDiscardOutput() {
		deleteRecords(batch, kindProgress, progressOwnerID(attempts.GetJobId(), attempts.GetItem()))
	}
}

// output is a part of the output of an item.
type output interface {
	GetService() string
	GetSoftwareVersion() string
}

// fitsSaved reports whether a part of an item's output may continue the saved part.
// Leaders of older builds send no origin. Their output always fits, as it does at
// replicas of those builds: replicas of both must apply it alike.
func fitsSaved(saved *pb.PageProgress, part output) bool {
	unknown := part.GetService() == "" && part.GetSoftwareVersion() == ""
	return unknown || part.GetService() == saved.GetService() && part.GetSoftwareVersion() == saved.GetSoftwareVersion()
}

// expireJob deletes a closed job whose retention has ended.
func (s *State) expireJob(batch kv.Batch, nowMs uint64, jobID string) {
	job, known := readJob(batch, jobID)
	if !known || s.openJobs[jobID] != nil || nowMs < job.GetRetainUnixMs() {
		return
	}
	batch.Delete(jobKey(jobID))
	deleteRecords(batch, kindItem, jobID)
	deleteRecords(batch, kindResult, jobID)
	deleteRecords(batch, kindSettled, jobID)
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
	for id, job := range s.openJobs {
		settledPrefix := recordPrefix(kindSettled, id)
		r.Scan(settledPrefix, kv.PrefixEnd(settledPrefix), func(key, _ []byte) bool {
			job.settled[binary.BigEndian.Uint32(key[len(key)-4:])] = true
			return true
		})
	}
}

// OpenSize returns the number of items of the open jobs, and their size as stored. It includes
// items that have their result.
func (s *State) OpenSize() (items int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, job := range s.openJobs {
		items += len(job.settled)
		bytes += int64(job.record.GetItemBytes())
	}
	return items, bytes
}

// OpenItem is an item without a result. Its times are those of its job.
type OpenItem struct {
	JobID     string
	Index     uint32
	DueUnixMs uint64
	// AbandonUnixMs is the keep_unix_ms of the job. An item that still waits
	// clockSkewMargin after this time fails without another run.
	AbandonUnixMs uint64
}

// OpenItems lists the items without a result, ordered by the due times of their
// jobs.
func (s *State) OpenItems() []OpenItem {
	s.mu.Lock()
	defer s.mu.Unlock()
	jobs := make([]*openJob, 0, len(s.openJobs))
	for _, job := range s.openJobs {
		jobs = append(jobs, job)
	}
	slices.SortFunc(jobs, func(a, b *openJob) int {
		if a.record.GetDueUnixMs() != b.record.GetDueUnixMs() {
			return cmp.Compare(a.record.GetDueUnixMs(), b.record.GetDueUnixMs())
		}
		return cmp.Compare(a.record.GetJobId(), b.record.GetJobId())
	})
	count := 0
	for _, job := range jobs {
		count += len(job.settled)
	}
	items := make([]OpenItem, 0, count)
	for _, job := range jobs {
		for i, settled := range job.settled {
			if !settled {
				items = append(items, OpenItem{
					job.record.GetJobId(), uint32(i), job.record.GetDueUnixMs(), job.record.GetKeepUnixMs(),
				})
			}
		}
	}
	return items
}

// OpenCount returns the number of items without a result.
func (s *State) OpenCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, job := range s.openJobs {
		count += int(job.record.GetItems() - job.record.GetSettled())
	}
	return count
}

// IsItemOpen reports whether a job is open and the item has no result.
func (s *State) IsItemOpen(jobID string, index uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isOpen(jobID, index)
}

// isOpen is IsItemOpen for callers that hold mu.
func (s *State) isOpen(jobID string, index uint32) bool {
	job, ok := s.openJobs[jobID]
	return ok && int(index) < len(job.settled) && !job.settled[index]
}

// OpenJobs returns the IDs of the open jobs.
func (s *State) OpenJobs() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make(map[string]bool, len(s.openJobs))
	for id := range s.openJobs {
		open[id] = true
	}
	return open
}

// ExpiredJobs lists up to maxJobs closed jobs (ended, or with all their results)
// whose retention has ended at the log time nowMs.
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
