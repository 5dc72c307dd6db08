package jobpages

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/core"
)

// sizesLoad is a load of items of several sizes between bursts of online requests, which take all
// slots and preempt every run.
type sizesLoad struct {
	seed uint64
	// overload is the rate of items in multiples of what the slots between the bursts allow.
	overload float64
}

const (
	sizesSlots         = 60
	sizesEventTime     = 67 * time.Millisecond
	sizesMeanEvents    = 82.3
	sizesSpread        = 0.25
	sizesMaxEvents     = 132
	sizesStartTime     = 150 * time.Millisecond
	sizesPeriod        = 6 * time.Second
	sizesBetweenBursts = 3600 * time.Millisecond
	sizesDueAfter      = 18 * time.Second
	sizesAbandonAfter  = time.Minute
	sizesDuration      = 90 * time.Second
	sizesStep          = 50 * time.Millisecond
)

// sizedItem is an item of the load. It is completed once its progress has all its events.
type sizedItem struct {
	events              int
	arrivedAt           time.Time
	startedAt           time.Time
	eventsAtStart, cuts int
	running             bool
	completedAt         time.Time
}

// sizesRun plays a load on a scheduler.
type sizesRun struct {
	scheduler *Scheduler
	estimator *RunTimeEstimator
	random    *rand.Rand
	items     []*sizedItem
}

func playSizes(load sizesLoad) []*sizedItem {
	r := &sizesRun{scheduler: NewScheduler(), estimator: NewRunTimeEstimator(), random: core.NewRand(load.seed)}
	runTime := time.Duration(sizesMeanEvents * float64(sizesEventTime))
	perSecond := load.overload * sizesSlots * (sizesBetweenBursts.Seconds() / sizesPeriod.Seconds()) / runTime.Seconds()
	for elapsed := time.Duration(0); elapsed < sizesDuration; elapsed += sizesStep {
		now := time.UnixMilli(0).Add(elapsed)
		for float64(len(r.items)) < elapsed.Seconds()*perSecond {
			r.items = append(r.items, &sizedItem{events: r.drawEvents(), arrivedAt: now})
		}
		r.advance(now)
		if elapsed%sizesPeriod >= sizesBetweenBursts {
			r.preemptAll(now)
		} else {
			r.start(now)
		}
	}
	return r.items
}

func (r *sizesRun) drawEvents() int {
	return int(min(sizesMaxEvents, max(1, math.Round(sizesMeanEvents*(1+sizesSpread*r.random.NormFloat64())))))
}

// advance adds the output of the runs, and completes items.
func (r *sizesRun) advance(now time.Time) {
	for i, item := range r.items {
		if !item.running {
			continue
		}
		progress := r.scheduler.Progress(sizedKey(i))
		ran := max(0, now.Sub(item.startedAt)-sizesStartTime)
		progress.EventCount = min(item.events, item.eventsAtStart+int(ran/sizesEventTime))
		if progress.EventCount < item.events {
			continue
		}
		r.estimator.Observe(progress.EventCount, progress.EventCount-item.eventsAtStart, now.Sub(item.startedAt))
		r.estimator.ObserveCompletion(now, progress)
		r.scheduler.Remove(sizedKey(i))
		item.running, item.completedAt = false, now
	}
}

func (r *sizesRun) preemptAll(now time.Time) {
	for i, item := range r.items {
		if item.running {
			r.scheduler.RecordEnd(now, sizedKey(i), Preempted)
			item.running = false
			item.cuts++
		}
	}
}

func (r *sizesRun) start(now time.Time) {
	running := 0
	var open []OpenItem
	for i, item := range r.items {
		if item.running {
			running++
		}
		abandonAt := item.arrivedAt.Add(sizesAbandonAfter)
		if item.completedAt.IsZero() && now.Before(abandonAt.Add(clockSkewMargin)) {
			open = append(open, OpenItem{JobID: "j", Index: uint32(i), DueUnixMs: uint64(item.arrivedAt.Add(sizesDueAfter).UnixMilli()), AbandonUnixMs: uint64(abandonAt.UnixMilli())})
		}
	}
	for _, key := range r.scheduler.RunnableItems(now, open, r.estimator) {
		if running == sizesSlots {
			return
		}
		item := r.items[key.Index]
		progress := r.scheduler.RecordStart(now, key, "u", item.arrivedAt.Add(sizesDueAfter))
		item.running, item.startedAt, item.eventsAtStart = true, now, progress.EventCount
		running++
	}
}

func sizedKey(index int) ItemKey { return ItemKey{"j", uint32(index)} }

// sizeShares are the shares of the items of one size that were completed, and that were on time.
type sizeShares struct{ served, onTime float64 }

// sharesOf returns the shares of the items that arrived early enough to be completed.
func sharesOf(items []*sizedItem, from, to float64) sizeShares {
	owed := slices.DeleteFunc(slices.Clone(items), func(item *sizedItem) bool {
		return item.arrivedAt.After(time.UnixMilli(0).Add(sizesDuration - sizesDueAfter))
	})
	slices.SortStableFunc(owed, func(a, b *sizedItem) int { return a.events - b.events })
	owed = owed[int(from*float64(len(owed))):int(to*float64(len(owed)))]
	var shares sizeShares
	for _, item := range owed {
		if item.completedAt.IsZero() {
			continue
		}
		shares.served += 1 / float64(len(owed))
		if !item.completedAt.After(item.arrivedAt.Add(sizesDueAfter)) {
			shares.onTime += 1 / float64(len(owed))
		}
	}
	return shares
}

// Each item started just in time for one of the average size. The largest tenth of the items was late
// then, and waited for all that could still be on time. It must be served, and be on time, at least
// half as often as all items. The shares are means over seeds.
func TestLargeItemsAreLateUnderOverload(t *testing.T) {
	for _, overload := range []float64{1.1, 1.3, 1.6, 2} {
		t.Run(fmt.Sprint(overload), func(t *testing.T) {
			all, largest := meanShares(overload, 0, 1), meanShares(overload, 0.9, 1)
			t.Logf("served %.2f, on time %.2f; largest tenth: served %.2f, on time %.2f", all.served, all.onTime, largest.served, largest.onTime)
			expect := NewWithT(t)
			expect.Expect(largest.onTime).To(BeNumerically(">=", all.onTime/2))
			expect.Expect(largest.served).To(BeNumerically(">=", all.served/2))
		})
	}
}

// meanShares returns the mean over seeds of the shares of the items from one quantile of size to another.
func meanShares(overload, from, to float64) sizeShares {
	const seeds = 5
	var mean sizeShares
	for seed := range uint64(seeds) {
		shares := sharesOf(playSizes(sizesLoad{seed, overload}), from, to)
		mean.served += shares.served / seeds
		mean.onTime += shares.onTime / seeds
	}
	return mean
}
