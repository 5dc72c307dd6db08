package entrynode

import (
	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/upstream"
)

// recordStatements records what the upstream of an attempt states about itself in its
// response.
func (x *exchange) recordStatements(grant dispatch.Grant, response *upstream.Response) {
	if response.EngineLeaves() {
		x.node.Slots.MarkLeaving(dispatch.LeavingNotice{
			Upstream: grant.Upstream, StartUnixMs: grant.StartUnixMs, Request: x.headers.ID, Source: dispatch.SourceAnswer,
		})
	}
	if perSecond, stated := response.EngineRate(); stated {
		x.node.Slots.RecordRate(dispatch.RateNotice{
			Upstream: grant.Upstream, StartUnixMs: grant.StartUnixMs, PerSecond: perSecond, Request: x.headers.ID, Source: dispatch.SourceAnswer,
		})
	}
}
