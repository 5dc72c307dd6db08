package admit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

const (
	// idleMemory is the time for which an idle caller's rate is remembered.
	idleMemory = time.Minute
	// inFlightRetryAfter is what a caller beyond its in-flight limit is told.
	inFlightRetryAfter = 200 * time.Millisecond
	// overloadRetryAfter is what a caller beyond its fair share is told.
	overloadRetryAfter = time.Second
)

// Key names a caller of a service.
type Key struct {
	Service string
	Caller  string
}

// Limits of one caller of a service; zero means none.
type Limits struct {
	InFlight  int
	PerSecond int
	// Capacity is the number of requests that the service can hold. Beyond it
	// callers share equally.
	Capacity int
}

// Refusal tells why a request was not admitted and when to come back.
type Refusal struct {
	Reason     pb.Reason
	RetryAfter time.Duration
}

// Callers keeps the limits of all callers of an entry.
type Callers struct {
	callers  map[Key]*caller
	services map[string]*usage
	idle     core.Deadlines[Key]
}

type caller struct {
	inFlight int
	limiter  *rate.Limiter
}

// usage is what all callers of a service hold together.
type usage struct {
	inFlight int
	callers  int
}

// NewCallers returns an empty table.
func NewCallers() *Callers {
	return &Callers{callers: make(map[Key]*caller), services: make(map[string]*usage)}
}

// Admit counts a request in, or tells why not.
func (c *Callers) Admit(now time.Time, key Key, limits Limits) (Refusal, bool) {
	who, use := c.caller(key), c.service(key.Service)
	if refusal, ok := check(now, who, use, limits); !ok {
		c.rest(now, key, who)
		return refusal, false
	}
	if who.inFlight == 0 {
		use.callers++
		c.idle.Remove(key)
	}
	who.inFlight++
	use.inFlight++
	return Refusal{}, true
}

// Release counts an admitted request out.
func (c *Callers) Release(now time.Time, key Key) {
	who, use := c.caller(key), c.service(key.Service)
	who.inFlight--
	use.inFlight--
	if who.inFlight == 0 {
		use.callers--
		c.rest(now, key, who)
	}
}

// Expire forgets callers that have been idle.
func (c *Callers) Expire(now time.Time) {
	for {
		key, ok := c.idle.PopExpired(now)
		if !ok {
			return
		}
		delete(c.callers, key)
	}
}

func (c *Callers) rest(now time.Time, key Key, who *caller) {
	if who.inFlight == 0 {
		c.idle.Set(key, now.Add(idleMemory))
	}
}

func (c *Callers) caller(key Key) *caller {
	who, ok := c.callers[key]
	if !ok {
		who = &caller{}
		c.callers[key] = who
	}
	return who
}

func (c *Callers) service(name string) *usage {
	use, ok := c.services[name]
	if !ok {
		use = &usage{}
		c.services[name] = use
	}
	return use
}

func check(now time.Time, who *caller, use *usage, limits Limits) (Refusal, bool) {
	if limits.InFlight > 0 && who.inFlight >= limits.InFlight {
		return Refusal{pb.Reason_REASON_CALLER_LIMIT, inFlightRetryAfter}, false
	}
	if !withinShare(who, use, limits.Capacity) {
		return Refusal{pb.Reason_REASON_OVERLOADED, overloadRetryAfter}, false
	}
	if after := who.delay(now, limits.PerSecond); after > 0 {
		return Refusal{pb.Reason_REASON_RATE_LIMIT, after}, false
	}
	return Refusal{}, true
}

// withinShare reports whether a caller of an overloaded service is below its
// equal share.
func withinShare(who *caller, use *usage, capacity int) bool {
	if capacity <= 0 || use.inFlight < capacity {
		return true
	}
	callers := use.callers
	if who.inFlight == 0 {
		callers++
	}
	return who.inFlight < max(1, capacity/callers)
}

// delay takes one request from the caller's rate, or returns the time until
// there is one.
func (c *caller) delay(now time.Time, perSecond int) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	if c.limiter == nil {
		c.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}
	if c.limiter.Limit() != rate.Limit(perSecond) {
		c.limiter.SetLimitAt(now, rate.Limit(perSecond))
		c.limiter.SetBurstAt(now, perSecond)
	}
	reservation := c.limiter.ReserveN(now, 1)
	after := reservation.DelayFrom(now)
	if after > 0 {
		reservation.CancelAt(now)
	}
	return after
}
