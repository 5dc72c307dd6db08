package labengine

import (
	"time"

	"github.com/briarcross/briarcross/engine"
)

// loadSample is a load report before it is published.
type loadSample struct {
	at   time.Time
	load engine.Load
}

// loadReports publishes samples with a lag.
type loadReports struct {
	lag       time.Duration
	pending   []loadSample
	published engine.Load
}

func (r *loadReports) add(now time.Time, load engine.Load) {
	r.publish(now)
	r.pending = append(r.pending, loadSample{at: now, load: load})
}

func (r *loadReports) publish(now time.Time) engine.Load {
	due := 0
	for due < len(r.pending) && !r.pending[due].at.Add(r.lag).After(now) {
		r.published = r.pending[due].load
		due++
	}
	r.pending = append(r.pending[:0], r.pending[due:]...)
	return r.published
}

// maxCacheEvents bounds the cache events that are kept for readers.
const maxCacheEvents = 8192

type cacheEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// cacheReports publishes cache events with a lag and with gaps.
type cacheReports struct {
	lag      time.Duration
	sequence uint64
	events   []cacheEvent
}

func (r *cacheReports) add(now time.Time, kind engine.CacheEventKind, hashes []uint64, lost bool) {
	r.sequence++
	if lost {
		return
	}
	event := engine.CacheEvent{Sequence: r.sequence, Kind: kind, Hashes: hashes}
	r.events = append(r.events, cacheEvent{at: now, event: event})
	if len(r.events) > 2*maxCacheEvents {
		r.events = append(r.events[:0], r.events[len(r.events)-maxCacheEvents:]...)
	}
}

func (r *cacheReports) after(now time.Time, sequence uint64) engine.CacheEventsResponse {
	reply := engine.CacheEventsResponse{Events: []engine.CacheEvent{}, Next: sequence}
	for _, entry := range r.events {
		if entry.event.Sequence <= sequence || entry.at.Add(r.lag).After(now) {
			continue
		}
		reply.Events = append(reply.Events, entry.event)
		reply.Next = entry.event.Sequence
	}
	return reply
}
