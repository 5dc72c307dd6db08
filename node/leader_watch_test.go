package node

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/eventlog"
)

func TestMissingLeaderIsReportedOnce(t *testing.T) {
	expect := NewWithT(t)
	var out bytes.Buffer
	logger := eventlog.New(&out, "store-1", "store")
	var watch LeaderWatch
	at := time.UnixMilli(1_000_000)
	observe := func(known bool, duration time.Duration) int {
		for end := at.Add(duration); at.Before(end); at = at.Add(100 * time.Millisecond) {
			watch.Observe(logger, "storage", known, at)
		}
		return strings.Count(out.String(), eventlog.LeaderMissing)
	}
	expect.Expect(observe(false, leaderTimeout)).To(BeZero())
	expect.Expect(observe(false, 3*leaderTimeout)).To(Equal(1))
	expect.Expect(observe(true, leaderTimeout)).To(Equal(1))
	expect.Expect(observe(false, 2*leaderTimeout)).To(Equal(2))
}
