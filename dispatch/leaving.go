package dispatch

import (
	"time"

	"github.com/briarcross/briarcross/fleet"
)

// leavingShareTime is the time for which load reports carry a notice that an upstream
// leaves. It spans several reports, as each may be lost.
const leavingShareTime = 10 * time.Second

// LeavingNotice says that an upstream leaves, as it stated in an answer. It concerns
// one start of the upstream only.
type LeavingNotice struct {
	Upstream    string
	StartUnixMs uint64
	// Request is the ID of the answered request; empty in a notice from a load report.
	Request string
	Source  NoticeSource
}

// LeavingChange reports that a pool has learned that an upstream leaves.
type LeavingChange struct {
	LeavingNotice
	// Latest is the latest heartbeat of the upstream; zero if it is unknown.
	Latest fleet.Upstream
}

// leavingMark is the stored notice about the latest start of an upstream.
type leavingMark struct {
	startUnixMs uint64
	// shareUntil is the time until which load reports carry the notice. It is zero for
	// one that came from a load report, which its sender repeats.
	shareUntil time.Time
}

// MarkLeaving stops the granting of slots of an upstream that leaves, whatever later
// heartbeats of the same start say. Queued requests that no other upstream can serve
// are refused.
func (p *Pool) MarkLeaving(now time.Time, notice LeavingNotice) {
	u, known := p.upstreams[notice.Upstream]
	if known && u.StartUnixMs > notice.StartUnixMs {
		return
	}
	if mark, marked := p.leaving[notice.Upstream]; marked && mark.startUnixMs >= notice.StartUnixMs {
		return
	}
	mark := leavingMark{startUnixMs: notice.StartUnixMs}
	if notice.Source != SourceReport {
		mark.shareUntil = now.Add(leavingShareTime)
	}
	p.leaving[notice.Upstream] = mark
	change := LeavingChange{LeavingNotice: notice}
	if known {
		change.Latest = u.Upstream
		u.leaving = p.IsLeaving(u.ID, u.StartUnixMs)
		p.refuseUnservable(now)
	}
	p.leavingChanges = append(p.leavingChanges, change)
}

// IsLeaving reports whether a start of an upstream has been marked as leaving.
func (p *Pool) IsLeaving(id string, startUnixMs uint64) bool {
	mark, marked := p.leaving[id]
	return marked && mark.startUnixMs == startUnixMs
}

// LeavingChanges returns the upstreams that were marked as leaving since the last call.
func (p *Pool) LeavingChanges() []LeavingChange {
	changes := p.leavingChanges
	p.leavingChanges = nil
	return changes
}

// applyLeavingNotices applies the notices in a load report. One about an unknown
// upstream is ignored: the report is repeated.
func (p *Pool) applyLeavingNotices(now time.Time, report LoadReport) {
	for _, load := range report.Loads {
		if _, known := p.upstreams[load.Upstream]; known && load.Leaving {
			p.MarkLeaving(now, LeavingNotice{Upstream: load.Upstream, StartUnixMs: load.LeavingStartUnixMs, Source: SourceReport})
		}
	}
}

// sharesLeaving reports whether load reports tell other daemons that an upstream leaves.
func (p *Pool) sharesLeaving(now time.Time, u *upstreamState) bool {
	return u.leaving && now.Before(p.leaving[u.ID].shareUntil)
}
