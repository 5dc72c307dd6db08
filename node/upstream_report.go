package node

import (
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/pb"
)

// upstreamReport is what one control replica reports of upstreams. A replica says nothing of those
// that it does not know, also because it refused their heartbeats.
type upstreamReport struct {
	// known holds the IDs of the upstreams that it knows and that have not left.
	known map[string]bool
	// silent holds the IDs of the upstreams that it lists as silent. It is nil before the first
	// list. Control replicas get none.
	silent map[string]bool
}

func (v *View) reportOf(replica string) *upstreamReport {
	r, known := v.reports[replica]
	if !known {
		r = &upstreamReport{known: make(map[string]bool)}
		v.reports[replica] = r
	}
	return r
}

// isToldOfSilence reports whether a replica lists the silent upstreams.
func (v *View) isToldOfSilence() bool {
	for _, r := range v.reports {
		if r.silent != nil {
			return true
		}
	}
	return false
}

// merge applies the upstreams and the list of silent ones of an update. The list is nil if it has
// not changed. It reports whether anything may have changed.
//
// A replica sends the record of an upstream that it hears again with the list that leaves it out.
// Without a record, it has dropped the upstream.
func (r *upstreamReport) merge(upstreams []fleet.Upstream, silent *pb.SilentUpstreams) bool {
	for _, u := range upstreams {
		if u.Phase == fleet.Ready || u.Phase == fleet.Draining {
			r.known[u.ID] = true
		} else {
			delete(r.known, u.ID)
		}
	}
	if silent == nil {
		return len(upstreams) > 0
	}
	dropped := r.silent
	r.silent = make(map[string]bool, len(silent.GetIds()))
	for _, id := range silent.GetIds() {
		r.known[id], r.silent[id] = true, true
		delete(dropped, id)
	}
	for _, u := range upstreams {
		delete(dropped, u.ID)
	}
	for id := range dropped {
		delete(r.known, id)
	}
	return true
}

// hears reports whether the replica gets heartbeats of an upstream, misses whether it knows the
// upstream and gets none.
func (r *upstreamReport) hears(id string) bool {
	return r.silent != nil && r.known[id] && !r.silent[id]
}

func (r *upstreamReport) misses(id string) bool {
	return r.silent[id]
}
