package storenode

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
)

func TestStallIsReportedOnceUntilItEnds(t *testing.T) {
	expect := NewWithT(t)
	var watch stallWatch
	start := time.UnixMilli(1_000_000)
	reports := func(from, to time.Duration, waiting bool) int {
		count := 0
		for at := from; at < to; at += stallInterval {
			if _, report := watch.observe(start.Add(at), waiting); report {
				count++
			}
		}
		return count
	}
	expect.Expect(reports(0, stallTimeout, true)).To(BeZero())
	expect.Expect(reports(stallTimeout, 10*stallTimeout, true)).To(Equal(1))
	expect.Expect(reports(10*stallTimeout, 11*stallTimeout, false)).To(BeZero())
	expect.Expect(reports(11*stallTimeout, 20*stallTimeout, true)).To(Equal(1))
}

func TestReasonOfAStall(t *testing.T) {
	expect := NewWithT(t)
	since := time.UnixMilli(1_000_000)
	after := since.Add(time.Millisecond)
	for want, s := range map[string]searchResult{
		stallNoSearch:  {endedAt: since, refused: map[string]int{"queue_full": 1}},
		stallPostponed: {endedAt: after},
		"no_upstream":  {endedAt: after, refused: map[string]int{"queue_full": 1, "no_upstream": 2}},
	} {
		expect.Expect(s.stallReason(since, true)).To(Equal(want))
		expect.Expect(s.stallReason(since, false)).To(Equal(stallNoRoutingTable))
	}
}

// A leader that started no item for 33 s wrote no line.
func TestLeaderThatStartsNothingSaysWhy(t *testing.T) {
	expect := NewWithT(t)
	e := startVersionEngine(t, "e", "1", 8)
	e.upstream.Silent = true
	l := startTestLeader(t, e)
	var out bytes.Buffer
	l.node.logger = eventlog.New(&out, "store-1", "store")
	l.submit("j", 2)
	l.mu.Lock()
	l.leading = true
	l.mu.Unlock()
	var watch stallWatch
	l.observeStall(time.Now().Add(-stallTimeout), &watch, true)
	l.tick()
	l.observeStall(time.Now(), &watch, true)
	var fields map[string]any
	expect.Expect(json.Unmarshal(out.Bytes(), &fields)).To(Succeed())
	for name, value := range map[string]any{"msg": eventlog.ItemsStalled, "reason": string(dispatch.QueueFull), "open": 2.0, "runnable": 2.0, "silent": 1.0, "free": 0.0} {
		expect.Expect(fields).To(HaveKeyWithValue(name, value))
	}
}
