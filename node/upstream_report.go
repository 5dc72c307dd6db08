package node

import (
	"time"

	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/pb"
)

const (
	// silentForgottenAfter is the time for which a control replica must have listed an upstream
	// as silent for the end of that to mean that it has dropped the upstream. Replicas drop it
	// after two minutes; one that is heard again before they list no more either.
	silentForgottenAfter = time.Minute
	// heardAgainGrace is the time between the record of an upstream that is heard again and the
	// next list of silent ones, at most.
	heardAgainGrace = 5 * time.Second
)

// upstreamReport is what one control replica reports of upstreams. A replica says nothing of those
// that it does not know, also because it refused their heartbeats.
type upstreamReport struct {
	// recordAt holds the times of the latest records of the upstreams that it knows and that have
	// not left, by ID.
	recordAt map[string]time.Time
	// silentSince holds by ID since when it has listed an upstream as silent. It is nil before
	// the first list. Control replicas get none.
	silentSince map[string]time.Time
}

func (v *View) reportOf(replica string) *upstreamReport {
	r, known := v.reports[replica]
	if !known {
		r = &upstreamReport{recordAt: make(map[string]time.Time)}
		v.reports[replica] = r
	}
	return r
}

// isToldOfSilence reports whether a replica lists the silent upstreams.
func (v *View) isToldOfSilence() bool {
	for _, r := range v.reports {
		if r.silentSince != nil {
			return true
		}
	}
	return false
}

// merge applies the upstreams and the list of silent ones of an update. The list is nil if it has
// not changed. It reports whether anything may have changed.
func (r *upstreamReport) merge(now time.Time, upstreams []fleet.Upstream, silent *pb.SilentUpstreams) bool {
	for _, u := range upstreams {
		if u.Phase == fleet.Ready || u.Phase == fleet.Draining {
			r.recordAt[u.ID] = now
		} else {
			delete(r.recordAt, u.ID)
		}
	}
	if silent == nil {
		return len(upstreams) > 0
	}
	before := r.silentSince
	r.silentSince = make(map[string]time.Time, len(silent.GetIds()))
	for _, id := range silent.GetIds() {
		since, listed := before[id]
		if !listed {
			since = now
		}
		r.silentSince[id] = since
		if _, known := r.recordAt[id]; !known {
			r.recordAt[id] = now
		}
		delete(before, id)
	}
	for id, since := range before {
		if now.Sub(since) >= silentForgottenAfter && now.Sub(r.recordAt[id]) >= heardAgainGrace {
			delete(r.recordAt, id)
		}
	}
	return true
}

// hears reports whether the replica gets heartbeats of an upstream, misses whether it knows the
// upstream and gets none.
func (r *upstreamReport) hears(id string) bool {
	_, known := r.recordAt[id]
	_, silent := r.silentSince[id]
	return r.silentSince != nil && known && !silent
}

func (r *upstreamReport) misses(id string) bool {
	_, silent := r.silentSince[id]
	return silent
}
