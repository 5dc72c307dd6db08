package origins

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

const (
	// Retention is the time for which an origin is kept. It is above the deadlines of
	// callers, including their retries.
	Retention = 30 * time.Second
	// maxRecords bounds the memory of a table to some megabytes. Beyond it, the oldest
	// records are dropped.
	maxRecords = 1 << 15
	// maxKeyBytes is the length of the longest key.
	maxKeyBytes = 2 * sha256.Size
)

// Key returns what stands for a request ID in records and messages: the ID itself, or a digest
// of a long one. Callers choose the IDs, and 32,768 records of 16 KiB each exceed the memory
// of a daemon. The key of a key is the key itself.
func Key(requestID string) string {
	if len(requestID) <= maxKeyBytes {
		return requestID
	}
	digest := sha256.Sum256([]byte(requestID))
	return hex.EncodeToString(digest[:])
}

// Origin is where a stream began.
type Origin struct {
	Service string
	// SoftwareVersion is the version of the engine that sent the first event.
	SoftwareVersion string
}

// Record is the origin of one stream.
type Record struct {
	// RequestID is the ID of the caller's request that began the stream, or its Key.
	RequestID string
	Origin    Origin
}

// Table holds the origins of recent streams by the keys of their requests. It is not safe for concurrent use.
type Table struct {
	origins map[string]Origin
	// recent lists the records by the time at which they expire.
	recent []expiringRecord
}

type expiringRecord struct {
	key       string
	expiresAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{origins: make(map[string]Origin)}
}

// Add records an origin, unless one is known for the request.
func (t *Table) Add(now time.Time, record Record) {
	t.expire(now)
	key := Key(record.RequestID)
	if _, known := t.origins[key]; known || key == "" {
		return
	}
	if len(t.recent) >= maxRecords {
		t.dropOldest()
	}
	t.origins[key] = record.Origin
	t.recent = append(t.recent, expiringRecord{key, now.Add(Retention)})
}

// Find returns the origin of the stream that a request began.
func (t *Table) Find(now time.Time, requestID string) (Origin, bool) {
	t.expire(now)
	origin, known := t.origins[Key(requestID)]
	return origin, known
}

// OfService lists the records of a service, the oldest first.
func (t *Table) OfService(now time.Time, service string) []Record {
	t.expire(now)
	var found []Record
	for _, r := range t.recent {
		if origin := t.origins[r.key]; origin.Service == service {
			found = append(found, Record{r.key, origin})
		}
	}
	return found
}

func (t *Table) expire(now time.Time) {
	for len(t.recent) > 0 && !now.Before(t.recent[0].expiresAt) {
		t.dropOldest()
	}
}

func (t *Table) dropOldest() {
	delete(t.origins, t.recent[0].key)
	t.recent = t.recent[1:]
}
