package jobpages

import (
	"encoding/binary"

	"github.com/briarcross/briarcross/internal/record"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// keyPrefix is the first byte of every key of this package.
const keyPrefix = 'p'

// Kinds of keys, the second byte.
const (
	kindJob     = 'j'
	kindItem    = 'i'
	kindResult  = 'r'
	kindSettled = 's'
	// The progress of an item lies in parts, by the bytes before each.
	kindProgress = 'g'
)

func jobKey(id string) []byte {
	return append([]byte{keyPrefix, kindJob}, id...)
}

func partPrefix(kind byte, id string) []byte {
	key := binary.BigEndian.AppendUint16([]byte{keyPrefix, kind}, uint16(len(id)))
	return append(key, id...)
}

func partKey(kind byte, id string, index uint32) []byte {
	return binary.BigEndian.AppendUint32(partPrefix(kind, id), index)
}

// progressID names an item among the keys of progress.
func progressID(id string, index uint32) string {
	return string(binary.BigEndian.AppendUint32([]byte(id), index))
}

func deletePart(b kv.Batch, kind byte, id string) {
	prefix := partPrefix(kind, id)
	b.DeleteRange(prefix, kv.PrefixEnd(prefix))
}

func readJob(r kv.Reader, id string) (*pb.PageJob, bool) {
	stored, ok := r.Get(jobKey(id))
	if !ok {
		return nil, false
	}
	job := &pb.PageJob{}
	record.Decode(stored, job)
	return job, true
}

func writeJob(b kv.Batch, job *pb.PageJob) {
	record.Set(b, jobKey(job.GetJobId()), job)
}

func readItem(r kv.Reader, id string, index uint32) (*pb.PageItem, bool) {
	stored, ok := r.Get(partKey(kindItem, id, index))
	if !ok {
		return nil, false
	}
	item := &pb.PageItem{}
	record.Decode(stored, item)
	return item, true
}
