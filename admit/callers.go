package admit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

const (
	// idleTimeout is the time for which an idle caller's rate is remembered.
	idleTimeout = time.Minute
	// inFlightRetryAfter is what a caller beyond its in-flight limit is told.
	inFlightRetryAfter = 200 * time.Millisecond
	// overloadRetryAfter is what a caller beyond its fair share is told.
	overloadRetryAfter = time.Second
)

// CallerKey names a caller of a service.
type CallerKey struct {
	Service string
	Caller  string
}

// Limits of one caller of a service; zero means none.
type Limits struct {
	MaxInFlight  int
	MaxPerSecond int
	// ServiceCapacity is the number of requests that the service can hold. Beyond it
	// callers share equally.
	ServiceCapacity int
}

// Refusal tells why a request was not admitted and when to come back.
type Refusal struct {
	Reason     pb.Reason
	RetryAfter time.Duration
}

// CallerLimiter keeps the limits of all callers of an entry.
type CallerLimiter struct {
	callers      map[CallerKey]*callerState
	serviceUsage map[string]*serviceUsage
	idleCallers  core.Deadlines[CallerKey]
}

type callerState struct {
	inFlight    int
	rateLimiter *rate.Limiter
}

// serviceUsage is what all callers of a service hold together.
type serviceUsage struct {
	inFlight      int
	activeCallers int
}

// NewCallerLimiter returns an empty table.
func NewCallerLimiter() *CallerLimiter {
	return &CallerLimiter{callers: make(map[CallerKey]*callerState), serviceUsage: make(map[string]*serviceUsage)}
}

// Admit counts a request in, or tells why not.
func (c *CallerLimiter) Admit(now time.Time, key CallerKey, limits Limits) (Refusal, bool) {
	state, usage := c.getCaller(key), c.getServiceUsage(key.Service)
	if refusal, ok := checkLimits(now, state, usage, limits); !ok {
		c.markIdle(now, key, state)
		return refusal, false
	}
	if state.inFlight == 0 {
		usage.activeCallers++
		c.idleCallers.Remove(key)
	}
	state.inFlight++
	usage.inFlight++
	return Refusal{}, true
}

// Release counts an admitted request out.
func (c *CallerLimiter) Release(now time.Time, key CallerKey) {
	state, usage := c.getCaller(key), c.getServiceUsage(key.Service)
	state.inFlight--
	usage.inFlight--
	if state.inFlight == 0 {
		usage.activeCallers--
		c.markIdle(now, key, state)
	}
}

// Expire forgets callers that have been idle.
func (c *CallerLimiter) Expire(now time.Time) {
	for {
		key, ok := c.idleCallers.Expire(now)
		if !ok {
			return
		}
		delete(c.callers, key)
	}
}

func (c *CallerLimiter) markIdle(now time.Time, key CallerKey, state *callerState) {
	if state.inFlight == 0 {
		c.idleCallers.Set(key, now.Add(idleTimeout))
	}
}

func (c *CallerLimiter) getCaller(key CallerKey) *callerState {
	state, ok := c.callers[key]
	if !ok {
		state = &callerState{}
		c.callers[key] = state
	}
	return state
}

func (c *CallerLimiter) getServiceUsage(name string) *serviceUsage {
	usage, ok := c.serviceUsage[name]
	if !ok {
		usage = &serviceUsage{}
		c.serviceUsage[name] = usage
	}
	return usage
}

func checkLimits(now time.Time, state *callerState, usage *serviceUsage, limits Limits) (Refusal, bool) {
	if limits.MaxInFlight > 0 && state.inFlight >= limits.MaxInFlight {
		return Refusal{pb.Reason_REASON_CALLER_LIMIT, inFlightRetryAfter}, false
	}
	if !belowFairShare(state, usage, limits.ServiceCapacity) {
		return Refusal{pb.Reason_REASON_OVERLOADED, overloadRetryAfter}, false
	}
	if retryAfter := state.reserve(now, limits.MaxPerSecond); retryAfter > 0 {
		return Refusal{pb.Reason_REASON_RATE_LIMIT, retryAfter}, false
	}
	return Refusal{}, true
}

// belowFairShare reports whether a caller of an overloaded service is below its
// equal share.
func belowFairShare(state *callerState, usage *serviceUsage, capacity int) bool {
	if capacity <= 0 || usage.inFlight < capacity {
		return true
	}
	activeCallers := usage.activeCallers
	if state.inFlight == 0 {
		activeCallers++
	}
	return state.inFlight < max(1, capacity/activeCallers)
}

// reserve takes one request from the caller's rate, or returns the time until
// there is one.
func (c *callerState) reserve(now time.Time, perSecond int) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	if c.rateLimiter == nil {
		c.rateLimiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}
	if c.rateLimiter.Limit() != rate.Limit(perSecond) {
		c.rateLimiter.SetLimitAt(now, rate.Limit(perSecond))
		c.rateLimiter.SetBurstAt(now, perSecond)
	}
	reservation := c.rateLimiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay > 0 {
		reservation.CancelAt(now)
	}
	return delay
}
