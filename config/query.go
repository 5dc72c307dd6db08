package config

import (
	"slices"

	"github.com/briarcross/briarcross/internal/record"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

const (
	defaultQueryRecords = 20
	maxQueryRecords     = MaxHistoryRevisions

	// maxDeltaKeys is the maximum number of documents in a delta. A daemon
	// that lacks more gets a snapshot.
	maxDeltaKeys = 16_384
)

// Query returns the document with the key that is queried, or without a key all
// documents in the order of their keys.
func (State) Query(r kv.Reader, q *pb.ConfigQuery) *pb.ConfigAnswer {
	answer := &pb.ConfigAnswer{Revision: currentRevision.Get(r)}
	if q.GetName() == "" {
		answer.Documents = readAllDocuments(r)
		return answer
	}
	if doc := readDocument(r, q.GetName()); doc != nil {
		answer.Documents = []*pb.Document{doc}
	}
	return answer
}

func readAllDocuments(r kv.Reader) []*pb.Document {
	var docs []*pb.Document
	prefix := []byte(documentPrefix)
	r.Scan(prefix, kv.PrefixEnd(prefix), func(_, value []byte) bool {
		doc := &pb.Document{}
		record.Decode(value, doc)
		docs = append(docs, doc)
		return true
	})
	return docs
}

// History returns the accepted changes before a revision, latest first.
func (State) History(r kv.Reader, q *pb.ConfigHistoryQuery) *pb.ConfigHistoryAnswer {
	revision := currentRevision.Get(r)
	if q.GetBefore() > 0 && q.GetBefore() <= revision {
		revision = q.GetBefore() - 1
	}
	limit := int(q.GetLimit())
	if limit == 0 {
		limit = defaultQueryRecords
	}
	limit = min(limit, maxQueryRecords)
	answer := &pb.ConfigHistoryAnswer{}
	for ; revision > 0 && len(answer.Records) < limit; revision-- {
		historyRecord := &pb.ConfigRecord{}
		if !record.Get(r, historyKey(revision), historyRecord) {
			break
		}
		answer.Records = append(answer.Records, historyRecord)
	}
	return answer
}

// UpdateSince returns the documents that changed after a revision, or a snapshot
// if the history doesn't reach back to that revision or more than maxDeltaKeys
// documents changed. If the state has no later revision, it returns an empty
// update at the revision of the state. The cost of a delta depends on the number
// of changes since the revision, not on the size of the configuration.
func (State) UpdateSince(r kv.Reader, fromRevision uint64) *pb.ConfigUpdate {
	revision := currentRevision.Get(r)
	if fromRevision >= revision {
		return &pb.ConfigUpdate{Base: revision, Revision: revision}
	}
	update := &pb.ConfigUpdate{Base: fromRevision, Revision: revision}
	if revision-fromRevision <= MaxHistoryRevisions && collectDelta(r, update) {
		return update
	}
	return &pb.ConfigUpdate{Revision: revision, Snapshot: true, Documents: readAllDocuments(r)}
}

// collectDelta adds to an update the last write to each key with a revision in
// (base, revision]. It returns false if there are more than maxDeltaKeys keys.
func collectDelta(r kv.Reader, update *pb.ConfigUpdate) bool {
	seen := make(map[string]bool)
	for revision := update.GetRevision(); revision > update.GetBase(); revision-- {
		historyRecord := &pb.ConfigRecord{}
		if !record.Get(r, historyKey(revision), historyRecord) {
			panic("config: a revision is missing from the history")
		}
		for _, doc := range historyRecord.GetDocuments() {
			if key := Key(doc); !seen[key] {
				seen[key] = true
				update.Documents = append(update.Documents, doc)
			}
		}
		for _, key := range historyRecord.GetDeleted() {
			if !seen[key] {
				seen[key] = true
				update.Deleted = append(update.Deleted, key)
			}
		}
		if len(seen) > maxDeltaKeys {
			return false
		}
	}
	slices.Reverse(update.Documents)
	slices.Reverse(update.Deleted)
	return true
}
