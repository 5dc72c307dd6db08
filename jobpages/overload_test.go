package jobpages

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Jobs come at one and a half times what the fleet can do, for more than twice
// the time in which they are due. The fleet does as many in time as it can do,
// and completes all of them.
func TestOverloadDoesNotMakeAllItemsLate(t *testing.T) {
	const (
		slots     = 20
		runTime   = 5 * time.Second
		events    = 250
		due       = 18 * time.Second
		keep      = time.Minute
		interval  = time.Second / 6
		lasting   = 40 * time.Second
		step      = 50 * time.Millisecond
		perSecond = float64(slots) / float64(runTime/time.Second)
	)
	expect := NewWithT(t)
	began := time.UnixMilli(0)
	p, pace := NewScheduler(), NewRunTimeEstimator()
	pace.meanEvents, pace.meanEventTime = events, runTime/events
	ends := map[ItemKey]time.Time{}
	var open []OpenItem
	arrived, completed, inTime := 0, 0, 0
	for elapsed := time.Duration(0); elapsed < 3*lasting; elapsed += step {
		now := began.Add(elapsed)
		for ; elapsed < lasting && time.Duration(arrived)*interval <= elapsed; arrived++ {
			open = append(open, OpenItem{JobID: "j", Index: uint32(arrived), DueUnixMs: uint64(now.Add(due).UnixMilli()), AbandonUnixMs: uint64(now.Add(keep).UnixMilli())})
		}
		kept := open[:0]
		for _, item := range open {
			key := ItemKey{item.JobID, item.Index}
			if end, running := ends[key]; !running || now.Before(end) {
				kept = append(kept, item)
				continue
			}
			delete(ends, key)
			p.Remove(key)
			completed++
			expect.Expect(now.UnixMilli()).To(BeNumerically("<=", int64(item.AbandonUnixMs)), "an item was given up")
			if now.UnixMilli() <= int64(item.DueUnixMs) {
				inTime++
			}
		}
		open = kept
		for _, key := range p.RunnableItems(now, open, pace) {
			if len(ends) == slots {
				break
			}
			p.RecordStart(key, "u", began)
			ends[key] = now.Add(runTime)
		}
	}
	expect.Expect(completed).To(Equal(arrived))
	expect.Expect(float64(inTime)).To(BeNumerically(">=", 0.9*perSecond*(lasting+due).Seconds()))
}

// At an upstream that has to be relieved, runs that can wait stop first: what
// is late already, then what has the most time left.
func TestPreemptsRunsNearTheirDueTimeLast(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(0)
	pace := NewRunTimeEstimator()
	p := NewScheduler()
	for i, left := range []time.Duration{7 * time.Second, 15 * time.Second, time.Second, 9 * time.Second} {
		p.RecordStart(ItemKey{"a", uint32(i)}, "u", now.Add(left))
	}
	expect.Expect(p.PreemptionVictims(now, "u", 4, pace)).To(Equal([]ItemKey{{"a", 2}, {"a", 1}, {"a", 3}, {"a", 0}}))
}

// The time that remains follows the items that have been done.
func TestRemainingTimeFollowsCompletedItems(t *testing.T) {
	expect := NewWithT(t)
	pace := NewRunTimeEstimator()
	for range 100 {
		pace.Observe(100, 50, 500*time.Millisecond)
	}
	expect.Expect(pace.RemainingTime(0)).To(BeNumerically("~", time.Second, 10*time.Millisecond))
	expect.Expect(pace.RemainingTime(50)).To(BeNumerically("~", 500*time.Millisecond, 10*time.Millisecond))
	expect.Expect(pace.RemainingTime(100)).To(BeNumerically(">", 0))
}

// Batch comes for so long that late items would never have their turn: they
// get it before they are given up.
func TestLateItemRunsBeforeItIsAbandoned(t *testing.T) {
	expect := NewWithT(t)
	pace := NewRunTimeEstimator()
	now := time.UnixMilli(100_000)
	item := func(index uint32, due, keep time.Duration) OpenItem {
		return OpenItem{JobID: "j", Index: index, DueUnixMs: uint64(now.Add(due).UnixMilli()), AbandonUnixMs: uint64(now.Add(keep).UnixMilli())}
	}
	waiting := []OpenItem{
		item(0, -time.Second, time.Minute),
		item(1, 2*time.Second, time.Minute),
		item(2, -10*time.Second, 10*time.Second),
		item(3, time.Minute, 2*time.Minute),
	}
	expect.Expect(NewScheduler().RunnableItems(now, waiting, pace)).To(Equal([]ItemKey{{"j", 2}, {"j", 3}, {"j", 0}, {"j", 1}}))
}
