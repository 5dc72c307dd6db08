package admit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/pb"
)

var start = time.Unix(1_000_000, 0)

func TestInFlightLimit(t *testing.T) {
	g := NewWithT(t)
	limiter := NewCallerLimiter()
	key := CallerKey{"check", "a"}
	limits := Limits{MaxInFlight: 1}
	_, ok := limiter.Admit(start, key, limits)
	g.Expect(ok).To(BeTrue())
	refusal, ok := limiter.Admit(start, key, limits)
	g.Expect(ok).To(BeFalse())
	g.Expect(refusal.Reason).To(Equal(pb.Reason_REASON_CALLER_LIMIT))
	limiter.Release(start, key)
	_, ok = limiter.Admit(start, key, limits)
	g.Expect(ok).To(BeTrue())
}

func TestRateLimitReturnsRetryAfter(t *testing.T) {
	g := NewWithT(t)
	limiter := NewCallerLimiter()
	key := CallerKey{"check", "a"}
	limits := Limits{MaxPerSecond: 2}
	for range 2 {
		_, ok := limiter.Admit(start, key, limits)
		g.Expect(ok).To(BeTrue())
	}
	refusal, ok := limiter.Admit(start, key, limits)
	g.Expect(ok).To(BeFalse())
	g.Expect(refusal).To(Equal(Refusal{pb.Reason_REASON_RATE_LIMIT, 500 * time.Millisecond}))
	_, ok = limiter.Admit(start.Add(refusal.RetryAfter), key, limits)
	g.Expect(ok).To(BeTrue())
}

func TestOverloadedServiceIsSharedEqually(t *testing.T) {
	g := NewWithT(t)
	limiter := NewCallerLimiter()
	limits := Limits{ServiceCapacity: 10}
	heavyCaller, lightCaller := CallerKey{"check", "greedy"}, CallerKey{"check", "modest"}
	for range 10 {
		_, ok := limiter.Admit(start, heavyCaller, limits)
		g.Expect(ok).To(BeTrue())
	}
	refusal, ok := limiter.Admit(start, heavyCaller, limits)
	g.Expect(ok).To(BeFalse())
	g.Expect(refusal.Reason).To(Equal(pb.Reason_REASON_OVERLOADED))
	for range 5 {
		_, ok = limiter.Admit(start, lightCaller, limits)
		g.Expect(ok).To(BeTrue())
	}
	_, ok = limiter.Admit(start, lightCaller, limits)
	g.Expect(ok).To(BeFalse())
}

func TestIdleCallersAndUsageAreRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := NewCallerLimiter()
		now := start
		admitted := []CallerKey{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			limiter.Expire(now)
			if len(admitted) > 0 && rapid.Bool().Draw(t, "release") {
				limiter.Release(now, admitted[0])
				admitted = admitted[1:]
				continue
			}
			key := CallerKey{"check", rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")}
			if _, ok := limiter.Admit(now, key, Limits{MaxInFlight: 4, MaxPerSecond: 9, ServiceCapacity: 6}); ok {
				admitted = append(admitted, key)
			}
		}
		for _, key := range admitted {
			limiter.Release(now, key)
		}
		limiter.Expire(now.Add(idleTimeout))
		if len(limiter.callers) != 0 || limiter.serviceUsageOf("check").inFlight != 0 || limiter.serviceUsageOf("check").activeCallers != 0 {
			t.Fatalf("state left after all requests ended: %d callers, usage %+v", len(limiter.callers), *limiter.serviceUsageOf("check"))
		}
	})
}

func TestRetryBudgetLimitsRetriesToShareOfRequests(t *testing.T) {
	g := NewWithT(t)
	var budget RetryBudget
	const requests, permille = 1000, 100
	retries := 0
	for range requests {
		budget.Deposit(start, permille)
		if budget.TryWithdraw(start) {
			retries++
		}
	}
	g.Expect(retries).To(BeNumerically("<=", requests*permille/1000+maxSavedRetries))
	g.Expect(retries).To(BeNumerically(">=", requests*permille/1000))
	g.Expect(budget.TryWithdraw(start)).To(BeFalse())
	g.Expect(budget.TryWithdraw(start.Add(2 * time.Second))).To(BeTrue())
}
