package clientlimit

import (
	"slices"
	"time"
)

// RequestID identifies a request of a Limiter.
type RequestID uint64

// request is a request that may hold memory.
type request struct {
	connection ConnectionID
	heldBytes  int64
	// waitingBytes is what the request waits for until evicted requests have ended.
	waitingBytes int64
	// paidUntil is the time up to which the bytes received so far meet the minimum rate. It is
	// never after the time of the last receipt: bytes above the rate earn no pause later.
	paidUntil time.Time
	complete  bool
	evicted   bool
}

// lag returns how far the body of the request is behind the minimum rate.
func (r *request) lag(now time.Time) time.Duration { return now.Sub(r.paidUntil) }

// Grant is the result of a request for memory.
type Grant int

const (
	// Granted means that the memory counts as held.
	Granted Grant = iota
	// Waiting means that requests have been evicted whose memory suffices. The grant follows from
	// End, unless Cancel comes first.
	Waiting
	// Refused means that there is no room.
	Refused
)

// Begin adds a request on a connection, which is zero if it does not count.
func (l *Limiter) Begin(now time.Time, connection ConnectionID) RequestID {
	l.lastRequest++
	l.requests[l.lastRequest] = &request{connection: connection, paidUntil: now}
	return l.lastRequest
}

// Fits reports whether a request may get a number of bytes, at once or by the eviction of others. It
// changes nothing.
func (l *Limiter) Fits(now time.Time, id RequestID, bytes int64) bool {
	r := l.requests[id]
	if r == nil || r.evicted {
		return false
	}
	missing := l.missing(r, bytes) - l.evictedBytes
	return missing <= 0 || l.victims(now, id, missing) != nil
}

// missing returns how many bytes too few are free for a request to get more.
func (l *Limiter) missing(r *request, bytes int64) int64 {
	return l.heldBytes + l.waitingBytes + bytes - l.limitFor(r, bytes)
}

// Grow asks for more memory for a request. It returns the requests that are to be evicted.
func (l *Limiter) Grow(now time.Time, id RequestID, bytes int64) (Grant, []RequestID) {
	r := l.requests[id]
	if r == nil || r.evicted || bytes < 0 {
		return Refused, nil
	}
	if bytes == 0 {
		return Granted, nil
	}
	missing := l.missing(r, bytes)
	if missing <= 0 {
		l.grant(r, bytes)
		return Granted, nil
	}
	missing -= l.evictedBytes
	victims := l.victims(now, id, missing)
	if victims == nil && missing > 0 {
		return Refused, nil
	}
	for _, victim := range victims {
		l.evict(victim)
	}
	r.waitingBytes = bytes
	l.waitingBytes += bytes
	l.waiting = append(l.waiting, id)
	return Waiting, victims
}

// limitFor returns the limit of all memory that applies to a request that grows.
func (l *Limiter) limitFor(r *request, bytes int64) int64 {
	if r.heldBytes+bytes <= l.limits.SmallBytes {
		return l.limits.MemoryBytes
	}
	return l.limits.MemoryBytes - l.limits.ReservedBytes
}

func (l *Limiter) grant(r *request, bytes int64) {
	r.heldBytes += bytes
	l.heldBytes += bytes
}

// victims returns requests that hold a number of bytes together and are behind, those that are
// furthest behind first. It returns nil if there are too few.
func (l *Limiter) victims(now time.Time, except RequestID, bytes int64) []RequestID {
	if bytes <= 0 {
		return nil
	}
	candidates := l.behind(now, l.limits.EvictableLag)
	total := int64(0)
	for i, id := range candidates {
		if id == except {
			continue
		}
		total += l.requests[id].heldBytes
		if total >= bytes {
			chosen := candidates[:i+1]
			return slices.DeleteFunc(chosen, func(id RequestID) bool { return id == except || l.requests[id].heldBytes == 0 })
		}
	}
	return nil
}

// behind returns the requests whose body is behind by at least a lag, the furthest first. A request
// that waits for memory is not read, so that it cannot be behind.
func (l *Limiter) behind(now time.Time, lag time.Duration) []RequestID {
	var found []RequestID
	for id, r := range l.requests {
		if !r.complete && !r.evicted && r.waitingBytes == 0 && r.lag(now) >= lag {
			found = append(found, id)
		}
	}
	slices.SortFunc(found, func(a, b RequestID) int {
		if order := l.requests[a].paidUntil.Compare(l.requests[b].paidUntil); order != 0 {
			return order
		}
		return int(a) - int(b)
	})
	return found
}

func (l *Limiter) evict(id RequestID) {
	r := l.requests[id]
	r.evicted = true
	l.evictedBytes += r.heldBytes
}

// Receive records that bytes of the body of a request have arrived.
func (l *Limiter) Receive(now time.Time, id RequestID, bytes int) {
	r := l.requests[id]
	if r == nil {
		return
	}
	r.paidUntil = r.paidUntil.Add(time.Duration(bytes) * time.Second / time.Duration(l.limits.MinBytesPerSecond))
	if r.paidUntil.After(now) {
		r.paidUntil = now
	}
}

// Complete records that the body of a request has arrived, so that it is not evicted any more. It
// returns false if it has been evicted before.
func (l *Limiter) Complete(id RequestID) bool {
	r := l.requests[id]
	if r == nil || r.evicted {
		return false
	}
	r.complete = true
	return true
}

// Shrink gives a part of the memory of a request back, which must not be more than it holds. It
// returns the requests that are granted what they wait for.
func (l *Limiter) Shrink(id RequestID, bytes int64) []RequestID {
	r := l.requests[id]
	if r == nil {
		return nil
	}
	bytes = min(bytes, r.heldBytes)
	r.heldBytes -= bytes
	l.heldBytes -= bytes
	if r.evicted {
		l.evictedBytes -= bytes
	}
	return l.grantWaiting()
}

// Release gives all memory of a request back. It returns the requests that are granted what they
// wait for.
func (l *Limiter) Release(id RequestID) []RequestID {
	if r := l.requests[id]; r != nil {
		return l.Shrink(id, r.heldBytes)
	}
	return nil
}

// Cancel ends the wait of a request for memory. It returns false if the memory has been granted,
// and the requests that are granted what they wait for.
func (l *Limiter) Cancel(id RequestID) (cancelled bool, granted []RequestID) {
	i := slices.Index(l.waiting, id)
	if i < 0 {
		return false, nil
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	r := l.requests[id]
	l.waitingBytes -= r.waitingBytes
	r.waitingBytes = 0
	return true, l.grantWaiting()
}

// End gives all memory of a request back and forgets it. It returns the requests that are granted
// what they wait for.
func (l *Limiter) End(id RequestID) []RequestID {
	if l.requests[id] == nil {
		return nil
	}
	_, granted := l.Cancel(id)
	granted = append(granted, l.Release(id)...)
	delete(l.requests, id)
	return granted
}

// grantWaiting grants memory in the order of the waits, as far as it suffices.
func (l *Limiter) grantWaiting() []RequestID {
	var granted []RequestID
	for len(l.waiting) > 0 {
		id := l.waiting[0]
		r := l.requests[id]
		if l.heldBytes+r.waitingBytes > l.limitFor(r, r.waitingBytes) {
			break
		}
		l.waiting = l.waiting[1:]
		l.waitingBytes -= r.waitingBytes
		l.grant(r, r.waitingBytes)
		r.waitingBytes = 0
		granted = append(granted, id)
	}
	return granted
}

// EvictOverdue evicts the requests whose body is behind by MaxLag, and returns them.
func (l *Limiter) EvictOverdue(now time.Time) []RequestID { return l.evictBehind(now, l.limits.MaxLag) }

// EvictBehind evicts all requests whose body is behind by EvictableLag, and returns them.
func (l *Limiter) EvictBehind(now time.Time) []RequestID {
	return l.evictBehind(now, l.limits.EvictableLag)
}

func (l *Limiter) evictBehind(now time.Time, lag time.Duration) []RequestID {
	overdue := l.behind(now, lag)
	for _, id := range overdue {
		l.evict(id)
	}
	return overdue
}

// HeldBytes returns the memory that all requests hold.
func (l *Limiter) HeldBytes() int64 { return l.heldBytes }
