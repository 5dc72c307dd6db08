package node

import (
	"time"

	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/pb"
)

// silentForgottenAfter is the time for which a control replica must have listed an upstream as
// silent for the end of that to mean that it has dropped the upstream. Replicas drop it after two
// minutes; one that is heard again before they list no more either.
const silentForgottenAfter = time.Minute

// upstreamReport is what one control replica reports of upstreams. A replica says nothing of those
// that it does not know, also because it refused their heartbeats.
type upstreamReport struct {
	// present holds the IDs of the upstreams that it knows and that have not left.
	present map[string]bool
	// silentSince holds by ID since when it has listed an upstream as silent. It is nil before
	// the first list. Control replicas get none.
	silentSince map[string]time.Time
}

func (v *View) reportOf(replica string) *upstreamReport {
	r, known := v.reports[replica]
	if !known {
		r = &upstreamReport{present: make(map[string]bool)}
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
			r.present[u.ID] = true
		} else {
			delete(r.present, u.ID)
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
		r.present[id] = true
		delete(before, id)
	}
	for id, since := range before {
		if now.Sub(since) >= silentForgottenAfter {
			delete(r.present, id)
		}
	}
	return true
}

// hears reports whether the replica gets heartbeats of an upstream, misses whether it knows the
// upstream and gets none.
func (r *upstreamReport) hears(id string) bool {
	_, silent := r.silentSince[id]
	return r.silentSince != nil && r.present[id] && !silent
}

func (r *upstreamReport) misses(id string) bool {
	_, silent := r.silentSince[id]
	return silent
}
