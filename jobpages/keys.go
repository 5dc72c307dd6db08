package jobpages

import (
	"encoding/binary"

	"github.com/briarcross/briarcross/internal/record"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// keyPrefix is the first byte of every key of this package.
const keyPrefix = 'p'

// Kinds of records: the second byte of a key.
const (
	kindJob     = 'j'
	kindItem    = 'i'
	kindResult  = 'r'
	kindSettled = 's'
	// The progress of an item is stored in parts, each under the byte offset of
	// its text.
	kindProgress = 'g'
	// What is recorded about the runs of an item.
	kindAttempts = 'a'
)

func jobKey(jobID string) []byte {
	return append([]byte{keyPrefix, kindJob}, jobID...)
}

// recordPrefix returns the prefix of the keys of one kind that belong to ownerID:
// a job ID, or for progress the ID that progressOwnerID returns.
func recordPrefix(kind byte, ownerID string) []byte {
	key := binary.BigEndian.AppendUint16([]byte{keyPrefix, kind}, uint16(len(ownerID)))
	return append(key, ownerID...)
}

func recordKey(kind byte, ownerID string, index uint32) []byte {
	return binary.BigEndian.AppendUint32(recordPrefix(kind, ownerID), index)
}

// progressOwnerID identifies an item in the keys of progress records.
func progressOwnerID(jobID string, index uint32) string {
	return string(binary.BigEndian.AppendUint32([]byte(jobID), index))
}

func deleteRecords(batch kv.Batch, kind byte, ownerID string) {
	prefix := recordPrefix(kind, ownerID)
	batch.DeleteRange(prefix, kv.PrefixEnd(prefix))
}

func readJob(r kv.Reader, jobID string) (*pb.PageJob, bool) {
	stored, ok := r.Get(jobKey(jobID))
	if !ok {
		return nil, false
	}
	job := &pb.PageJob{}
	record.Decode(stored, job)
	return job, true
}

func writeJob(batch kv.Batch, job *pb.PageJob) {
	record.Set(batch, jobKey(job.GetJobId()), job)
}

func readItem(r kv.Reader, jobID string, index uint32) (*pb.PageItem, bool) {
	stored, ok := r.Get(recordKey(kindItem, jobID, index))
	if !ok {
		return nil, false
	}
	item := &pb.PageItem{}
	record.Decode(stored, item)
	return item, true
}
