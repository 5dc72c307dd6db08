package config

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/internal/outcome"
	"github.com/briarcross/briarcross/internal/record"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

const (
	// OutcomeRetention is the log time for which the result of a change ID is
	// kept.
	OutcomeRetention = 7 * 24 * time.Hour
	// MaxOutcomes is the maximum number of change IDs whose result is kept.
	MaxOutcomes = 65_536
	// MaxHistoryRevisions is the maximum number of revisions in the history. A
	// daemon that is further behind gets a snapshot.
	MaxHistoryRevisions = 1024
	// MaxOps is the maximum number of operations in one change.
	MaxOps = 1024
	// MaxBytes is the maximum encoded size of all documents together, in bytes.
	// It ensures that a snapshot fits into one message.
	MaxBytes = 8 << 20

	maxChangeIDLength = 128
	// maxConflicts is the maximum number of current documents in the result of
	// a conflict.
	maxConflicts = 16
)

const (
	documentPrefix = "config/document/"
	usePrefix      = "config/use/"
	historyPrefix  = "config/history/"
)

var (
	currentRevision = record.Uint64{Key: []byte("config/revision")}
	totalBytes      = record.Uint64{Key: []byte("config/bytes")}
	outcomeLog      = outcome.Log{
		Prefix:     "config/outcome/",
		Retention:  OutcomeRetention,
		MaxResults: MaxOutcomes,
	}
)

// State is the replicated configuration. It has no state in memory, so any
// goroutine may read the configuration through its own reader.
type State struct{}

// ApplyChange validates and applies a change. unixMs is the log time in
// milliseconds of Unix time. A change ID that was applied before returns its
// stored result.
func (State) ApplyChange(b kv.Batch, c *pb.ConfigChange, unixMs uint64) *pb.ChangeResult {
	if reason := checkChange(c); reason != "" {
		return invalidResult(b, reason)
	}
	digest := outcome.DigestOf(c)
	stored := &pb.ChangeResult{}
	switch outcomeLog.Get(b, c.GetChangeId(), digest, stored) {
	case outcome.Found:
		return stored
	case outcome.IDReused:
		return invalidResult(b, "the change ID belongs to another change")
	case outcome.Absent:
	}
	result := validateAndCommit(b, c, unixMs)
	outcomeLog.Put(b, c.GetChangeId(), digest, result, unixMs)
	return result
}

// checkChange returns the reason why no result can be stored for a change, or "".
func checkChange(c *pb.ConfigChange) string {
	if c.GetChangeId() == "" || len(c.GetChangeId()) > maxChangeIDLength {
		return fmt.Sprintf("a change ID of 1 to %d bytes is required", maxChangeIDLength)
	}
	if len(c.GetOps()) == 0 || len(c.GetOps()) > MaxOps {
		return fmt.Sprintf("a change has 1 to %d operations", MaxOps)
	}
	return ""
}

func invalidResult(r kv.Reader, reason string) *pb.ChangeResult {
	return &pb.ChangeResult{
		Outcome:  pb.ChangeOutcome_CHANGE_INVALID,
		Revision: currentRevision.Get(r),
		Reason:   reason,
	}
}

// validateAndCommit validates a change as a whole and writes it if it is valid.
func validateAndCommit(b kv.Batch, c *pb.ConfigChange, unixMs uint64) *pb.ChangeResult {
	d := newDraft(b)
	if reason := d.loadOps(c); reason != "" {
		return invalidResult(b, reason)
	}
	if conflicts := d.conflicts(); len(conflicts) > 0 {
		return conflictResult(b, conflicts)
	}
	if reason := d.validate(); reason != "" {
		return invalidResult(b, reason)
	}
	return d.commit(b, c, unixMs)
}

func conflictResult(r kv.Reader, edits []*documentEdit) *pb.ChangeResult {
	result := &pb.ChangeResult{
		Outcome:  pb.ChangeOutcome_CHANGE_CONFLICT,
		Revision: currentRevision.Get(r),
	}
	for _, e := range edits {
		if e.before != nil && len(result.Current) < maxConflicts {
			result.Current = append(result.Current, e.before)
		}
	}
	firstConflict := edits[0]
	result.Reason = fmt.Sprintf("%s is at revision %d, the change edits revision %d",
		firstConflict.key, firstConflict.before.GetRevision(), firstConflict.expectedRevision)
	return result
}

// commit writes the documents that differ, the index of profile uses, and a record
// in the history. Without a difference the revision stays.
func (d *draft) commit(b kv.Batch, c *pb.ConfigChange, unixMs uint64) *pb.ChangeResult {
	revision := currentRevision.Get(b)
	historyRecord := &pb.ConfigRecord{
		Revision:  revision + 1,
		ChangeId:  c.GetChangeId(),
		Operator:  c.GetOperator(),
		UnixMs:    unixMs,
		Documents: nil,
	}
	newSize := totalBytes.Get(b)
	for _, e := range d.edits {
		if e.unchanged() {
			continue
		}
		e.write(b, historyRecord)
		newSize = newSize - encodedSize(e.before) + encodedSize(e.after)
	}
	if len(historyRecord.Documents)+len(historyRecord.Deleted) == 0 {
		return &pb.ChangeResult{Outcome: pb.ChangeOutcome_CHANGE_ACCEPTED, Revision: revision}
	}
	record.Set(b, historyKey(historyRecord.Revision), historyRecord)
	if historyRecord.Revision > MaxHistoryRevisions {
		b.Delete(historyKey(historyRecord.Revision - MaxHistoryRevisions))
	}
	currentRevision.Set(b, historyRecord.Revision)
	totalBytes.Set(b, newSize)
	return &pb.ChangeResult{Outcome: pb.ChangeOutcome_CHANGE_ACCEPTED, Revision: historyRecord.Revision}
}

// write stores or deletes the document of an edit, updates the index of profile
// uses and adds the edit to the record of the history.
func (e *documentEdit) write(b kv.Batch, historyRecord *pb.ConfigRecord) {
	for _, profile := range profilesOf(e.before) {
		b.Delete(useKey(profile, e.key))
	}
	if e.after == nil {
		b.Delete(documentKey(e.key))
		historyRecord.Deleted = append(historyRecord.Deleted, e.key)
		return
	}
	for _, profile := range profilesOf(e.after) {
		b.Set(useKey(profile, e.key), nil)
	}
	e.after.Revision = historyRecord.Revision
	record.Set(b, documentKey(e.key), e.after)
	historyRecord.Documents = append(historyRecord.Documents, e.after)
}

// unchanged reports whether the edit leaves the document as it is, apart from its
// revision.
func (e *documentEdit) unchanged() bool {
	if e.before == nil || e.after == nil {
		return e.before == e.after
	}
	e.after.Revision = e.before.GetRevision()
	return proto.Equal(e.before, e.after)
}

// encodedSize returns the encoded size of a document in bytes, zero for nil.
func encodedSize(doc *pb.Document) uint64 {
	return uint64(proto.Size(doc))
}

// Revision returns the revision of the configuration.
func (State) Revision(r kv.Reader) uint64 {
	return currentRevision.Get(r)
}

// readDocument returns the document under a key, or nil.
func readDocument(r kv.Reader, key string) *pb.Document {
	doc := &pb.Document{}
	if !record.Get(r, documentKey(key), doc) {
		return nil
	}
	return doc
}

// profilesOf returns the names of the profiles that a service uses; a profile
// document uses none.
func profilesOf(doc *pb.Document) []string {
	s := doc.GetService()
	if s == nil {
		return nil
	}
	if s.GetBatchProfile() == "" || s.GetBatchProfile() == s.GetProfile() {
		return []string{s.GetProfile()}
	}
	return []string{s.GetProfile(), s.GetBatchProfile()}
}

func documentKey(key string) []byte {
	return []byte(documentPrefix + key)
}

// useKey returns the key in the index of the services that use a profile.
func useKey(profile, serviceKey string) []byte {
	return []byte(usePrefix + profile + "/" + serviceKey)
}

func historyKey(revision uint64) []byte {
	return record.OrderedKey(historyPrefix, revision)
}
