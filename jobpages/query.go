package jobpages

import (
	"github.com/briarcross/briarcross/internal/record"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// ReadPage returns the results of a job from a position on, as many as fit into
// the maximum size of the query, but at least one if there is any.
func ReadPage(r kv.Reader, query *pb.PageQuery) *pb.PageAnswer {
	job, known := readJob(r, query.GetJobId())
	if !known {
		return &pb.PageAnswer{}
	}
	response := &pb.PageAnswer{Known: true, Items: job.GetItems(), Next: query.GetFrom()}
	size := 0
	for response.GetNext() < job.GetSettled() {
		stored, ok := r.Get(recordKey(kindResult, query.GetJobId(), response.GetNext()))
		if !ok {
			break
		}
		size += len(stored)
		if len(response.GetEntries()) > 0 && size > int(query.GetMaxBytes()) {
			break
		}
		entry := &pb.PageEntry{}
		record.Decode(stored, entry)
		response.Entries = append(response.Entries, entry)
		response.Next++
	}
	return response
}

// IsKnown reports whether a job has been accepted and is still kept.
func IsKnown(r kv.Reader, jobID string) bool {
	_, known := readJob(r, jobID)
	return known
}

// IsFinished reports whether a job can get no further result: it has ended, has
// all its results, or is unknown.
func IsFinished(r kv.Reader, jobID string) bool {
	job, known := readJob(r, jobID)
	return !known || job.GetEnded() || job.GetSettled() == job.GetItems()
}

// ReadItemBody returns the body of an item that has no result yet.
func ReadItemBody(r kv.Reader, query *pb.PageBodyQuery) *pb.PageBodyAnswer {
	response := &pb.PageBodyAnswer{}
	prefix := recordPrefix(kindItem, query.GetJobId())
	r.Scan(prefix, kv.PrefixEnd(prefix), func(_, value []byte) bool {
		item := &pb.PageItem{}
		record.Decode(value, item)
		if item.GetId() == query.GetItemId() {
			response.Known = true
			response.Body = item.GetBody()
		}
		return !response.GetKnown()
	})
	return response
}

// FindItem returns an item and its job.
func FindItem(r kv.Reader, jobID string, index uint32) (*pb.PageJob, *pb.PageItem, bool) {
	job, known := readJob(r, jobID)
	if !known {
		return nil, nil, false
	}
	item, ok := readItem(r, jobID, index)
	return job, item, ok
}

// SavedProgress returns the saved progress of an item, with all parts of its text
// joined. The text is empty if no progress is saved; service and software version are
// empty if those of a part are unknown.
func SavedProgress(r kv.Reader, jobID string, index uint32) *pb.PageProgress {
	saved := &pb.PageProgress{JobId: jobID, Item: index}
	prefix := recordPrefix(kindProgress, progressOwnerID(jobID, index))
	r.Scan(prefix, kv.PrefixEnd(prefix), func(_, value []byte) bool {
		part := &pb.PageProgress{}
		record.Decode(value, part)
		switch {
		case part.GetBase() == 0:
			saved.Service, saved.SoftwareVersion = part.GetService(), part.GetSoftwareVersion()
		case part.GetService() != saved.GetService() || part.GetSoftwareVersion() != saved.GetSoftwareVersion():
			saved.Service, saved.SoftwareVersion = "", ""
		}
		saved.Text = append(saved.Text, part.GetText()...)
		saved.Events, saved.LastEvent = part.GetEvents(), part.GetLastEvent()
		return true
	})
	return saved
}

// RecordedAttempts returns what is recorded about the runs of an item.
func RecordedAttempts(r kv.Reader, jobID string, index uint32) *pb.PageAttempts {
	attempts := &pb.PageAttempts{}
	if stored, ok := r.Get(recordKey(kindAttempts, jobID, index)); ok {
		record.Decode(stored, attempts)
	}
	return attempts
}
