package labengine

import (
	"time"

	"github.com/briarcross/briarcross/engine"
)

// loadSample is a load report that is not yet published.
type loadSample struct {
	takenAt time.Time
	load    engine.Load
}

// laggedLoad publishes load samples once they are lag old.
type laggedLoad struct {
	lag       time.Duration
	pending   []loadSample
	published engine.Load
}

func (r *laggedLoad) add(now time.Time, load engine.Load) {
	r.publish(now)
	r.pending = append(r.pending, loadSample{takenAt: now, load: load})
}

func (r *laggedLoad) publish(now time.Time) engine.Load {
	publishedCount := 0
	for publishedCount < len(r.pending) && !r.pending[publishedCount].takenAt.Add(r.lag).After(now) {
		r.published = r.pending[publishedCount].load
		publishedCount++
	}
	r.pending = append(r.pending[:0], r.pending[publishedCount:]...)
	return r.published
}

// maxCacheEvents is the number of cache events kept for readers. Older ones are
// dropped once twice as many are held.
const maxCacheEvents = 8192

type cacheEvent struct {
	createdAt time.Time
	event     engine.CacheEvent
}

// laggedCacheEvents publishes cache events once they are lag old. Dropped events
// leave gaps in the sequence numbers.
type laggedCacheEvents struct {
	lag          time.Duration
	lastSequence uint64
	events       []cacheEvent
}

func (r *laggedCacheEvents) add(now time.Time, kind engine.CacheEventKind, hashes []uint64, drop bool) {
	r.lastSequence++
	if drop {
		return
	}
	event := engine.CacheEvent{Sequence: r.lastSequence, Kind: kind, Hashes: hashes}
	r.events = append(r.events, cacheEvent{createdAt: now, event: event})
	if len(r.events) > 2*maxCacheEvents {
		r.events = append(r.events[:0], r.events[len(r.events)-maxCacheEvents:]...)
	}
}

func (r *laggedCacheEvents) after(now time.Time, sequence uint64) engine.CacheEventsResponse {
	response := engine.CacheEventsResponse{Events: []engine.CacheEvent{}, Next: sequence}
	for _, entry := range r.events {
		if entry.event.Sequence <= sequence || entry.createdAt.Add(r.lag).After(now) {
			continue
		}
		response.Events = append(response.Events, entry.event)
		response.Next = entry.event.Sequence
	}
	return response
}
