package connpool

import (
	"sync"
	"time"
)

const (
	// minIdleLimit is the lowest limit that is learned; below it a request
	// that breaks off says nothing about the rest before it.
	minIdleLimit = 50 * time.Millisecond
	// recoveryInterval is the time in which a learned limit doubles, so that a
	// limit that was met by chance does not stay.
	recoveryInterval = 5 * time.Second
)

// IdleLimit learns for how long connections may rest before they are used
// again, from those that were lost as soon as they were used. It answers servers
// and middleboxes that drop idle connections without notice: the next request
// there is reset, and nobody knows whether it has run. It is safe for concurrent
// use; the zero value has no limit.
type IdleLimit struct {
	mu        sync.Mutex
	limit     time.Duration
	updatedAt time.Time
}

// RecordLoss takes in a connection that was lost after a rest.
func (l *IdleLimit) RecordLoss(now time.Time, idleTime time.Duration) {
	if idleTime < minIdleLimit {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit, l.updatedAt = max(minIdleLimit, idleTime/2), now
}

// At returns the limit in force.
func (l *IdleLimit) At(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit == 0 {
		return DefaultMaxIdleTime
	}
	for now.Sub(l.updatedAt) >= recoveryInterval && l.limit < DefaultMaxIdleTime {
		l.updatedAt = l.updatedAt.Add(recoveryInterval)
		l.limit *= 2
	}
	return l.limit
}
