package admit

import "time"

const (
	// maxSavedRetries bounds the retries that a budget saves up.
	maxSavedRetries = 20.0
	// minRetriesPerSecond is the retries that a second adds also without requests.
	minRetriesPerSecond = 0.5
)

// RetryBudget limits retries to a share of the requests.
type RetryBudget struct {
	savedRetries float64
	refilledAt   time.Time
}

// Deposit counts one request, which allows permille thousandths of a retry.
func (b *RetryBudget) Deposit(now time.Time, permille uint32) {
	b.refill(now)
	b.savedRetries = min(b.savedRetries+float64(permille)/1000, maxSavedRetries)
}

// TryWithdraw reports whether one retry is allowed, and counts it.
func (b *RetryBudget) TryWithdraw(now time.Time) bool {
	b.refill(now)
	if b.savedRetries < 1 {
		return false
	}
	b.savedRetries--
	return true
}

func (b *RetryBudget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.savedRetries, b.refilledAt = maxSavedRetries, now
		return
	}
	b.savedRetries = min(b.savedRetries+now.Sub(b.refilledAt).Seconds()*minRetriesPerSecond, maxSavedRetries)
	b.refilledAt = now
}
