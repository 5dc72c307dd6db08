package clientlimit

import (
	"time"

	"github.com/rotisserie/eris"
)

// Limits bound what clients may hold.
type Limits struct {
	// MemoryBytes bounds the memory of all requests together.
	MemoryBytes int64
	// ReservedBytes is the part of MemoryBytes that only requests of up to SmallBytes may use.
	ReservedBytes int64
	SmallBytes    int64
	// Connections bounds the open connections.
	Connections int
	// MinBytesPerSecond is the rate at which a body must arrive at least. A body that is behind
	// it by EvictableLag may be given up for others, one that is behind it by MaxLag is overdue.
	MinBytesPerSecond int64
	EvictableLag      time.Duration
	MaxLag            time.Duration
}

// Check returns an error for limits under which no request could be served.
func (l Limits) Check() error {
	switch {
	case l.SmallBytes <= 0 || l.ReservedBytes < l.SmallBytes:
		return eris.Errorf("%d bytes reserved for small requests hold none of %d bytes", l.ReservedBytes, l.SmallBytes)
	case l.MemoryBytes <= l.ReservedBytes:
		return eris.Errorf("%d bytes of memory are no more than the %d reserved", l.MemoryBytes, l.ReservedBytes)
	case l.Connections <= 0:
		return eris.Errorf("limit of connections must be positive, not %d", l.Connections)
	case l.MinBytesPerSecond <= 0:
		return eris.Errorf("minimum rate must be positive, not %d", l.MinBytesPerSecond)
	case l.EvictableLag <= 0 || l.MaxLag < l.EvictableLag:
		return eris.Errorf("a body must be evictable (%v) before it is overdue (%v)", l.EvictableLag, l.MaxLag)
	}
	return nil
}

// connectionMargin is the number of connections below the limit from which on others are closed
// for a new one. It is room for those that are being closed.
func (l Limits) connectionMargin() int {
	const share = 16
	return max(1, l.Connections/share)
}
