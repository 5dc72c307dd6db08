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

	// maxDeltaKeys bounds the documents in a delta; a daemon that lacks more
	// gets a snapshot.
	maxDeltaKeys = 16_384
)

// Query returns one document by key, or every document in the order of their
// keys.
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

// History returns accepted changes, latest first.
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

// UpdateSince returns the documents written after a revision, or a snapshot
// when the history does not reach back to it. A revision later than the
// state's gives an empty update at the revision of the state. The cost grows
// with the changes missed, not with the configuration.
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

// collectDelta fills an update with the last write to each key in (base, revision].
// It reports false when there are too many.
func collectDelta(r kv.Reader, update *pb.ConfigUpdate) bool {
	seen := make(map[string]bool)
	for revision := update.GetRevision(); revision > update.GetBase(); revision-- {
		historyRecord := &pb.ConfigRecord{}
		if !record.Get(r, historyKey(revision), historyRecord) {
			panic("the history of the configuration has a gap")
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
