package controlnode

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestRoutingLagCountsFromTheFirstMissingVersion(t *testing.T) {
	expect := NewWithT(t)
	at := time.UnixMilli(1_000_000)
	var h routingHistory
	expect.Expect(h.lag(0, at)).To(BeZero())
	for i, version := range []uint64{4, 7, 9} {
		expect.Expect(h.record(version, at.Add(time.Duration(i)*time.Second))).To(BeTrue())
	}
	now := at.Add(10 * time.Second)
	expect.Expect(h.lag(3, now)).To(Equal(10 * time.Second))
	expect.Expect(h.lag(4, now)).To(Equal(9 * time.Second))
	expect.Expect(h.lag(8, now)).To(Equal(8 * time.Second))
	expect.Expect(h.lag(9, now)).To(BeZero())
}

// A change that is sent again, or that a later one has overtaken, changes no daemon's lag.
func TestRepeatedVersionIsNoRoutingChange(t *testing.T) {
	expect := NewWithT(t)
	at := time.UnixMilli(1_000_000)
	var h routingHistory
	h.record(7, at)
	for _, version := range []uint64{7, 6} {
		expect.Expect(h.record(version, at.Add(time.Second))).To(BeFalse())
	}
	expect.Expect(h.lag(6, at.Add(2*time.Second))).To(Equal(2 * time.Second))
	expect.Expect(h.lag(7, at.Add(2*time.Second))).To(BeZero())
}

func TestRoutingHistoryIsBounded(t *testing.T) {
	expect := NewWithT(t)
	at := time.UnixMilli(1_000_000)
	var h routingHistory
	for version := range uint64(3 * maxRoutingHistory) {
		h.record(version+1, at.Add(time.Duration(version)*time.Second))
	}
	expect.Expect(h.versions).To(HaveLen(maxRoutingHistory))
	expect.Expect(h.lag(0, at.Add(3*maxRoutingHistory*time.Second))).To(Equal(maxRoutingHistory * time.Second))
}
