package storenode

import (
	"time"

	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/pb"
)

const (
	// quarantineRecheck is the time after which an item with a part in quarantine is
	// looked at again.
	quarantineRecheck = 500 * time.Millisecond
	// trialInterval is the time between two starts of items with a part in quarantine.
	trialInterval = 15 * time.Second
	// tooLargeRecheck is the time after which an item that no engine of its route holds is
	// looked at again: the routing table may have changed.
	tooLargeRecheck = time.Second
	// routingRecheck is the time after which an item is looked at again that this daemon's
	// routing table is too old for.
	routingRecheck = 200 * time.Millisecond
)

// mayTry reports whether an item with a part in quarantine may start. Each item is owed its
// result, and its answer releases the part; if engines do crash on it, they are lost one at
// a time.
func (r *runner) mayTry(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.triedAt) >= trialInterval
}

func (r *runner) setTried(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.triedAt = now
}

// postpone keeps back an item for some time.
func (r *runner) postpone(round *startRound, key jobpages.ItemKey, item *pb.PageItem, reason string, delay time.Duration) {
	r.mu.Lock()
	r.scheduler.Postpone(key, time.Now().Add(delay))
	r.mu.Unlock()
	round.refuse(reason)
	r.recordPostponed(key, item, reason, delay)
}

// recordPostponed records that an item waits longer for its next run.
func (r *runner) recordPostponed(key jobpages.ItemKey, item *pb.PageItem, reason string, delay time.Duration) {
	r.node.metrics.postponed.Inc()
	r.node.logger.Info(eventlog.ItemPostponed, withJob(key.JobID, "request", item.GetId(), "item", key.Index,
		"reason", reason, "delay_ms", delay.Milliseconds())...)
}
