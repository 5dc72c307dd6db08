package storenode

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/briarcross/briarcross/eventlog"
)

const (
	// stallTimeout is the time without a run, while items are open, after which a stall is
	// reported.
	stallTimeout = 3 * time.Second
	// stallInterval is the interval at which stalls are looked for.
	stallInterval = 500 * time.Millisecond
)

// Reasons of stalls that no refusal explains.
const (
	// stallNoRoutingTable means that this leader has no routing table.
	stallNoRoutingTable = "no_routing_table"
	// stallNoSearch means that no search for items has ended lately.
	stallNoSearch = "no_search"
	// stallPostponed means that all items wait for the time of their next run.
	stallPostponed = "postponed"
)

// stallWatch detects that open items wait while none runs.
type stallWatch struct {
	// since is the time since which items have waited while none ran; zero if that is not so.
	since    time.Time
	reported bool
}

// observe records whether items wait while none runs. It returns for how long, and whether that
// is to be reported: once in each stall.
func (w *stallWatch) observe(now time.Time, waiting bool) (stalled time.Duration, report bool) {
	if !waiting {
		*w = stallWatch{}
		return 0, false
	}
	if w.since.IsZero() {
		w.since = now
	}
	stalled = now.Sub(w.since)
	report = stalled >= stallTimeout && !w.reported
	w.reported = w.reported || report
	return stalled, report
}

// searchResult is the result of a search for items that can start.
type searchResult struct {
	endedAt time.Time
	// runnable is the number of items that were due to start, refused counts those that did not
	// by reason.
	runnable int
	refused  map[string]int
}

// stallReason returns the reason of a stall that began at since.
func (s *searchResult) stallReason(since time.Time, hasTable bool) string {
	switch {
	case !hasTable:
		return stallNoRoutingTable
	case !s.endedAt.After(since):
		return stallNoSearch
	case len(s.refused) > 0:
		return slices.MaxFunc(slices.Sorted(maps.Keys(s.refused)), func(a, b string) int { return cmp.Compare(s.refused[a], s.refused[b]) })
	}
	return stallPostponed
}

// watchStalls reports stalls until the context ends. It is not part of the loop that starts items,
// which may be what stands still.
func (r *runner) watchStalls(ctx context.Context) {
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	var watch stallWatch
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.observeStall(time.Now(), &watch, r.node.Table() != nil)
		}
	}
}

func (r *runner) observeStall(now time.Time, watch *stallWatch, hasTable bool) {
	open := r.node.state.OpenCount()
	r.mu.Lock()
	stalled, report := watch.observe(now, r.leading && open > 0 && len(r.runs) == 0)
	search := r.lastSearch
	r.mu.Unlock()
	r.node.metrics.stalled.Set(stalled.Seconds())
	if !report {
		return
	}
	// The search that found nothing must have ended within the last part of the stall.
	reason := search.stallReason(now.Add(-stallTimeout), hasTable)
	counts := r.node.Slots.Counts()
	r.node.metrics.stalls.WithLabelValues(reason).Inc()
	r.node.logger.Warn(eventlog.ItemsStalled, "reason", reason, "stalled_ms", stalled.Milliseconds(), "open", open, "runnable", search.runnable,
		"refused", search.refused, "free", counts.Free, "full", counts.Full, "suspect", counts.Suspect, "silent", counts.Silent,
		"displaced", counts.Displaced, "leaving", counts.Leaving, "gone", counts.Gone)
}
