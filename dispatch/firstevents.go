package dispatch

import (
	"math"
	"time"
)

const (
	// firstEventWindow is the window of firstEventTimes. An entry that gets ten requests a
	// second has some hundred observations then, enough to see what one request in
	// fifty takes.
	firstEventWindow = 10 * time.Second
	// shortestFirstEvent is the upper edge of the first bucket; each further bucket is
	// wider by one bucketsPerDoubling-th of a doubling. The last one begins at 13 s.
	shortestFirstEvent = time.Millisecond
	bucketsPerDoubling = 4
	firstEventBuckets  = 56
)

// firstEventCounts is a histogram of times to the first event.
type firstEventCounts [firstEventBuckets]float64

// bucketEdge returns the upper edge of a bucket.
func bucketEdge(bucket int) time.Duration {
	return time.Duration(float64(shortestFirstEvent) * math.Exp2(float64(bucket)/bucketsPerDoubling))
}

// bucketMiddle returns the time that stands for the observations in a bucket.
func bucketMiddle(bucket int) time.Duration {
	return time.Duration(float64(bucketEdge(bucket)) * math.Exp2(-0.5/bucketsPerDoubling))
}

func bucketOf(d time.Duration) int {
	if d <= shortestFirstEvent {
		return 0
	}
	doublings := math.Log2(float64(d) / float64(shortestFirstEvent))
	return min(int(math.Ceil(bucketsPerDoubling*doublings)), firstEventBuckets-1)
}

// firstEventTimes counts the times to the first event of the current and the previous
// firstEventWindow.
type firstEventTimes struct {
	start             time.Time
	current, previous firstEventCounts
	lastAt            time.Time
}

func (t *firstEventTimes) advance(now time.Time) {
	switch elapsed := now.Sub(t.start); {
	case elapsed < firstEventWindow:
	case elapsed < 2*firstEventWindow:
		t.previous, t.current = t.current, firstEventCounts{}
		t.start = t.start.Add(firstEventWindow)
	default:
		t.previous, t.current = firstEventCounts{}, firstEventCounts{}
		t.start = now
	}
}

// counts returns the histogram as of a time, with the number of observations.
func (t *firstEventTimes) counts(now time.Time) (counts firstEventCounts, total float64) {
	t.advance(now)
	for bucket := range counts {
		counts[bucket] = t.current[bucket] + t.previous[bucket]
		total += counts[bucket]
	}
	return counts, total
}

// add counts a first event that came after a time.
func (t *firstEventTimes) add(now time.Time, took time.Duration) {
	t.advance(now)
	t.current[bucketOf(took)]++
	t.lastAt = now
}

// addUnfinished counts an attempt that was cancelled without a first event. The event
// would have come later, as late as those of the attempts that did take longer. Without
// this, the attempts that hedges replace would be missing from the distribution, and the
// next hedges would come later.
func (t *firstEventTimes) addUnfinished(now time.Time, elapsed time.Duration) {
	counts, _ := t.counts(now)
	t.lastAt = now
	from, longer := bucketOf(elapsed), 0.0
	for _, count := range counts[from:] {
		longer += count
	}
	if longer == 0 {
		t.current[bucketOf(2*elapsed)]++
		return
	}
	for bucket := from; bucket < firstEventBuckets; bucket++ {
		t.current[bucket] += counts[bucket] / longer
	}
}

// quantile returns the time within which a share of the first events came.
func (c *firstEventCounts) quantile(total, share float64) time.Duration {
	sum := 0.0
	for bucket, count := range c {
		sum += count
		if sum >= share*total && sum > 0 {
			return bucketEdge(bucket)
		}
	}
	return bucketEdge(firstEventBuckets - 1)
}

// shifted returns the histogram with all times longer by a number of buckets.
func (c *firstEventCounts) shifted(buckets int) firstEventCounts {
	var shifted firstEventCounts
	for bucket, count := range c {
		shifted[min(max(0, bucket+buckets), firstEventBuckets-1)] += count
	}
	return shifted
}
