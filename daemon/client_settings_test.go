package daemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestLimitsOfClientsFollowFromThoseOfTheProcess(t *testing.T) {
	expect := NewWithT(t)
	limits, err := (&ClientSettings{}).Limits(184<<20, 4100)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(limits.MemoryBytes).To(Equal(int64(46 << 20)))
	expect.Expect(limits.ReservedBytes).To(Equal(limits.MemoryBytes / 4))
	expect.Expect(limits.Connections).To(BeNumerically("~", 1177, 1))
	few, err := (&ClientSettings{}).Limits(184<<20, 500)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(few.Connections).To(Equal(168), "a quarter is for the process, and a request needs another for its upstream")
	unknown, err := (&ClientSettings{}).Limits(0, 0)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(unknown.MemoryBytes).To(Equal(int64(256 << 20)))
	stated, err := (&ClientSettings{MemoryBytes: 1 << 20, MaxConnections: 7, MinBodyRate: 9, MaxBodyLag: time.Minute}).Limits(184<<20, 4100)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect([]int64{stated.MemoryBytes, int64(stated.Connections), stated.MinBytesPerSecond, int64(stated.MaxLag)}).
		To(Equal([]int64{1 << 20, 7, 9, int64(time.Minute)}))
}

func TestInvalidLimitsOfClientsAreRejected(t *testing.T) {
	expect := NewWithT(t)
	expect.Expect((&ClientSettings{}).Check()).To(Succeed())
	for _, invalid := range []ClientSettings{{MemoryBytes: -1}, {MaxConnections: -1}, {MinBodyRate: -1}, {MaxBodyLag: evictableLag - 1}} {
		expect.Expect(invalid.Check()).NotTo(Succeed())
	}
	_, err := (&ClientSettings{MemoryBytes: 100}).Limits(184<<20, 4100)
	expect.Expect(err).To(HaveOccurred())
}
