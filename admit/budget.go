package admit

import "time"

const (
	// maxSavedRetries caps the retries that a budget accumulates.
	maxSavedRetries = 20.0
	// minRetriesPerSecond is added to a budget each second, even without requests.
	minRetriesPerSecond = 0.5
)

// RetryBudget limits the retries of a service to a share of its requests. The
// zero value is a full budget.
type RetryBudget struct {
	savedRetries float64
	refilledAt   time.Time
}

// Deposit records one request, which adds permille thousandths of a retry.
func (b *RetryBudget) Deposit(now time.Time, permille uint32) {
	b.refill(now)
	b.savedRetries = min(b.savedRetries+float64(permille)/1000, maxSavedRetries)
}

// TryWithdraw reports whether a retry is allowed and, if so, deducts it.
func (b *RetryBudget) TryWithdraw(now time.Time) bool {
	b.refill(now)
	if b.savedRetries < 1 {
		return false
	}
	b.savedRetries--
	return true
}

// refill adds minRetriesPerSecond for the time since the last refill. The first
// call fills the budget.
func (b *RetryBudget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.savedRetries, b.refilledAt = maxSavedRetries, now
		return
	}
	b.savedRetries = min(b.savedRetries+now.Sub(b.refilledAt).Seconds()*minRetriesPerSecond, maxSavedRetries)
	b.refilledAt = now
}
