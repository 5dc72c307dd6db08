package admit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

const (
	// idleTimeout is the time for which the rate limiter of an idle caller is kept.
	idleTimeout = time.Minute
	// inFlightRetryAfter is the RetryAfter for a caller at its in-flight limit.
	inFlightRetryAfter = 200 * time.Millisecond
	// overloadRetryAfter is the RetryAfter for a caller at its fair share of an
	// overloaded service.
	overloadRetryAfter = time.Second
)

// CallerKey identifies a caller of a service.
type CallerKey struct {
	Service string
	Caller  string
}

// Limits holds the limits of one caller of a service. Zero means no limit.
type Limits struct {
	MaxInFlight int
	// MaxPerSecond is the request rate, and also the largest burst.
	MaxPerSecond int
	// ServiceCapacity is the number of requests in flight at which the service is
	// overloaded. Each caller is then limited to an equal share of it.
	ServiceCapacity int
}

// Refusal states why a request was not admitted and when the caller may retry.
type Refusal struct {
	Reason     pb.Reason
	RetryAfter time.Duration
}

// CallerLimiter enforces the limits of all callers of an entry.
type CallerLimiter struct {
	callers      map[CallerKey]*callerState
	serviceUsage map[string]*serviceUsage
	// idleCallers holds the expiry times of callers without requests in flight.
	idleCallers core.Deadlines[CallerKey]
}

type callerState struct {
	inFlight int
	// rateLimiter is nil until the caller's first request under a rate limit.
	rateLimiter *rate.Limiter
}

// serviceUsage counts the requests of all callers of a service.
type serviceUsage struct {
	inFlight int
	// activeCallers counts the callers with requests in flight.
	activeCallers int
}

// NewCallerLimiter returns a limiter that knows no callers.
func NewCallerLimiter() *CallerLimiter {
	return &CallerLimiter{callers: make(map[CallerKey]*callerState), serviceUsage: make(map[string]*serviceUsage)}
}

// Admit counts a request as in flight and returns true, or returns the reason
// for refusing it and false. Call Release when an admitted request has ended.
func (c *CallerLimiter) Admit(now time.Time, key CallerKey, limits Limits) (Refusal, bool) {
	state, usage := c.callerStateOf(key), c.serviceUsageOf(key.Service)
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

// Release records the end of an admitted request.
func (c *CallerLimiter) Release(now time.Time, key CallerKey) {
	state, usage := c.callerStateOf(key), c.serviceUsageOf(key.Service)
	state.inFlight--
	usage.inFlight--
	if state.inFlight == 0 {
		usage.activeCallers--
		c.markIdle(now, key, state)
	}
}

// Expire drops the callers that have been idle for idleTimeout.
func (c *CallerLimiter) Expire(now time.Time) {
	for {
		key, ok := c.idleCallers.PopExpired(now)
		if !ok {
			return
		}
		delete(c.callers, key)
	}
}

// markIdle starts the idle timeout of a caller without requests in flight.
func (c *CallerLimiter) markIdle(now time.Time, key CallerKey, state *callerState) {
	if state.inFlight == 0 {
		c.idleCallers.Set(key, now.Add(idleTimeout))
	}
}

func (c *CallerLimiter) callerStateOf(key CallerKey) *callerState {
	state, ok := c.callers[key]
	if !ok {
		state = &callerState{}
		c.callers[key] = state
	}
	return state
}

func (c *CallerLimiter) serviceUsageOf(name string) *serviceUsage {
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

// belowFairShare reports whether a caller may send another request: always while
// the service is below capacity, otherwise if the caller is below its equal
// share.
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

// reserve takes one request from the rate limiter and returns zero, or takes
// none and returns the time until a request is allowed.
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
