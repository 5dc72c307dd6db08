package admit

import "time"

const (
	// budgetBurst bounds the retries that a budget saves up.
	budgetBurst = 20.0
	// budgetFloor is the retries that a second adds also without requests.
	budgetFloor = 0.5
)

// RetryBudget limits retries to a share of the requests.
type RetryBudget struct {
	tokens float64
	filled time.Time
}

// Deposit counts one request, which allows permille thousandths of a retry.
func (b *RetryBudget) Deposit(now time.Time, permille uint32) {
	b.fill(now)
	b.tokens = min(b.tokens+float64(permille)/1000, budgetBurst)
}

// TryWithdraw reports whether one retry is allowed, and counts it.
func (b *RetryBudget) TryWithdraw(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) fill(now time.Time) {
	if b.filled.IsZero() {
		b.tokens, b.filled = budgetBurst, now
		return
	}
	b.tokens = min(b.tokens+now.Sub(b.filled).Seconds()*budgetFloor, budgetBurst)
	b.filled = now
}
