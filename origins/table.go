package origins

import (
	"time"
)

const (
	// Retention is the time for which an origin is kept. It is above the deadlines of
	// callers, including their retries.
	Retention = 30 * time.Second
	// maxRecords bounds the memory of a table to some megabytes. Beyond it, the oldest
	// records are dropped.
	maxRecords = 1 << 15
)

// Origin is where a stream began.
type Origin struct {
	Service string
	// SoftwareVersion is the version of the engine that sent the first event.
	SoftwareVersion string
}

// Record is the origin of one stream.
type Record struct {
	// RequestID is the ID of the caller's request that began the stream.
	RequestID string
	Origin    Origin
}

// Table holds the origins of recent streams. It is not safe for concurrent use.
type Table struct {
	origins map[string]Origin
	// recent lists the records by the time at which they expire.
	recent []expiringRecord
}

type expiringRecord struct {
	requestID string
	expiresAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{origins: make(map[string]Origin)}
}

// Add records an origin, unless one is known for the request.
func (t *Table) Add(now time.Time, record Record) {
	t.expire(now)
	if _, known := t.origins[record.RequestID]; known || record.RequestID == "" {
		return
	}
	if len(t.recent) >= maxRecords {
		t.dropOldest()
	}
	t.origins[record.RequestID] = record.Origin
	t.recent = append(t.recent, expiringRecord{record.RequestID, now.Add(Retention)})
}

// Find returns the origin of the stream that a request began.
func (t *Table) Find(now time.Time, requestID string) (Origin, bool) {
	t.expire(now)
	origin, known := t.origins[requestID]
	return origin, known
}

// OfService lists the records of a service, the oldest first.
func (t *Table) OfService(now time.Time, service string) []Record {
	t.expire(now)
	var found []Record
	for _, r := range t.recent {
		if origin := t.origins[r.requestID]; origin.Service == service {
			found = append(found, Record{r.requestID, origin})
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
	delete(t.origins, t.recent[0].requestID)
	t.recent = t.recent[1:]
}
