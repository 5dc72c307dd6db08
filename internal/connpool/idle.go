package connpool

import (
	"sync"
	"time"
)

const (
	// minIdleLimit is the lowest idle limit. A connection lost after a shorter
	// idle time is not taken as closed for idleness.
	minIdleLimit = 50 * time.Millisecond
	// recoveryInterval is the interval at which a lowered limit doubles, so that
	// a limit lowered by an unrelated failure does not persist.
	recoveryInterval = 5 * time.Second
)

// IdleLimit bounds how long a connection may be idle before it is reused. It
// adapts to servers and middleboxes that drop idle connections silently: the next
// request on such a connection is reset, and it is unknown whether it has run.
// Each connection that fails on reuse lowers the limit. It is safe for concurrent
// use; the zero value starts at DefaultMaxIdleTime.
type IdleLimit struct {
	mu        sync.Mutex
	limit     time.Duration
	updatedAt time.Time
}

// RecordLoss lowers the limit to half the time that a connection was idle before
// it failed on reuse.
func (l *IdleLimit) RecordLoss(now time.Time, idleTime time.Duration) {
	if idleTime < minIdleLimit {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit, l.updatedAt = max(minIdleLimit, idleTime/2), now
}

// At returns the limit in force at a time.
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
