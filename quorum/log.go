package quorum

import (
	"slices"

	"github.com/briarcross/briarcross/pb"
	"github.com/rotisserie/eris"
)

// entryOverheadBytes is added to the size of the data of each entry.
const entryOverheadBytes = 32

// entryLog holds the log entries after a base position.
type entryLog struct {
	base    *pb.SnapshotMeta
	entries []*pb.LogEntry
	// cumulativeBytes holds, for each entry, the total size of the log up to and
	// including it; baseBytes is the total at the base.
	cumulativeBytes []uint64
	baseBytes       uint64
}

func newEntryLog(base *pb.SnapshotMeta, entries []*pb.LogEntry) entryLog {
	if base == nil {
		base = &pb.SnapshotMeta{}
	}
	l := entryLog{base: base}
	for _, e := range entries {
		l.append(e)
	}
	return l
}

func (l *entryLog) firstIndex() uint64 { return l.base.Index + 1 }

func (l *entryLog) lastIndex() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

func (l *entryLog) lastUnixMs() uint64 {
	if len(l.entries) == 0 {
		return l.base.UnixMs
	}
	return l.entries[len(l.entries)-1].UnixMs
}

// term returns the term of the entry at an index. It returns false if the index
// is before the base or after the last entry.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.get(index).Term, true
}

func (l *entryLog) get(index uint64) *pb.LogEntry {
	return l.entries[index-l.firstIndex()]
}

// bytesThrough returns the total size of the log up to and including an index.
func (l *entryLog) bytesThrough(index uint64) uint64 {
	if index <= l.base.Index || len(l.cumulativeBytes) == 0 {
		return l.baseBytes
	}
	return l.cumulativeBytes[min(index, l.lastIndex())-l.firstIndex()]
}

// bytes returns the size of the entries in (after, upTo].
func (l *entryLog) bytes(after, upTo uint64) uint64 {
	if upTo <= after {
		return 0
	}
	return l.bytesThrough(upTo) - l.bytesThrough(after)
}

func (l *entryLog) append(e *pb.LogEntry) {
	if e.Index != l.lastIndex()+1 {
		panic(eris.Errorf("append to log: entry index %d does not follow last index %d", e.Index, l.lastIndex()))
	}
	total := l.bytesThrough(l.lastIndex()) + uint64(len(e.Data)) + entryOverheadBytes
	l.entries = append(l.entries, e)
	l.cumulativeBytes = append(l.cumulativeBytes, total)
}

// slice returns the entries in [from, to].
func (l *entryLog) slice(from, to uint64) []*pb.LogEntry {
	if to < from {
		return nil
	}
	return slices.Clone(l.entries[from-l.firstIndex() : to-l.firstIndex()+1])
}

// entriesFrom returns entries from an index on, up to a total of maxBytes. It
// returns the first one even if that is larger.
func (l *entryLog) entriesFrom(from, maxBytes uint64) []*pb.LogEntry {
	to := from
	for to < l.lastIndex() && l.bytes(from-1, to+1) <= maxBytes {
		to++
	}
	return l.slice(from, min(to, l.lastIndex()))
}

// truncateFrom removes the entries from an index to the end of the log.
func (l *entryLog) truncateFrom(from uint64) {
	n := from - l.firstIndex()
	clear(l.entries[n:])
	l.entries = l.entries[:n]
	l.cumulativeBytes = l.cumulativeBytes[:n]
}

// compact removes the entries up to and including an index, which becomes the
// base.
func (l *entryLog) compact(upTo uint64) {
	e := l.get(upTo)
	baseBytes := l.bytesThrough(upTo)
	n := upTo - l.base.Index
	l.base = &pb.SnapshotMeta{Term: e.Term, Index: e.Index, UnixMs: e.UnixMs}
	l.entries = slices.Clone(l.entries[n:])
	l.cumulativeBytes = slices.Clone(l.cumulativeBytes[n:])
	l.baseBytes = baseBytes
}

// rejectHint returns the last index at or before the given one whose term is at
// most the given term; the leader continues probing from it.
func (l *entryLog) rejectHint(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	for index > l.base.Index {
		if l.get(index).Term <= term {
			break
		}
		index--
	}
	return index
}
