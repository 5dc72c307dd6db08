package sidecar

import (
	"time"

	"github.com/briarcross/briarcross/core"
)

// recent remembers the highest attempt of each request that was accepted or
// refused, so that delayed duplicates are refused.
type recent struct {
	memory   time.Duration
	attempts map[string]uint32
	expiry   core.Deadlines[string]
}

func newRecent(memory time.Duration) recent {
	return recent{memory: memory, attempts: make(map[string]uint32)}
}

func (r *recent) add(now time.Time, id ID) {
	r.attempts[id.Request] = id.Attempt
	r.expiry.Set(id.Request, now.Add(r.memory))
}

// seen reports whether this attempt or a later one came before.
func (r *recent) seen(id ID) bool {
	attempt, ok := r.attempts[id.Request]
	return ok && attempt >= id.Attempt
}

func (r *recent) expire(now time.Time) {
	for {
		request, ok := r.expiry.PopExpired(now)
		if !ok {
			return
		}
		delete(r.attempts, request)
	}
}
