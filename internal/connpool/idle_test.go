package connpool

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestLostConnectionLowersIdleLimitTemporarily(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	var l IdleLimit
	expect.Expect(l.At(now)).To(Equal(DefaultMaxIdleTime))
	l.RecordLoss(now, 800*time.Millisecond)
	expect.Expect(l.At(now)).To(Equal(400 * time.Millisecond))
	l.RecordLoss(now, 300*time.Millisecond)
	expect.Expect(l.At(now)).To(Equal(150 * time.Millisecond))
	expect.Expect(l.At(now.Add(recoveryInterval))).To(Equal(300 * time.Millisecond))
	expect.Expect(l.At(now.Add(time.Minute))).To(BeNumerically(">=", DefaultMaxIdleTime))
}

// An engine that crashes closes the connections in use. Their loss says nothing
// about idle timeouts and must not lower the limit.
func TestLossAfterShortIdleTimeKeepsIdleLimit(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	var l IdleLimit
	l.RecordLoss(now, time.Millisecond)
	expect.Expect(l.At(now)).To(Equal(DefaultMaxIdleTime))
}

func TestIdleLimitHasMinimum(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	var l IdleLimit
	l.RecordLoss(now, minIdleLimit)
	expect.Expect(l.At(now)).To(Equal(minIdleLimit))
}
