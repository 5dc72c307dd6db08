package entrynode

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/origins"
)

// unknownOriginRetryAfter is the time after which a caller may ask again for a stream
// whose origin no daemon in reach knows.
const unknownOriginRetryAfter = 500 * time.Millisecond

// findOrigin finds where a stream that the caller takes up began. It returns a refusal
// if the stream cannot go on.
func (x *exchange) findOrigin() *refusal {
	// The route may have been resumable when the stream began.
	if x.headers.ResumeAfter == "" {
		return nil
	}
	services := x.route.Services()
	origin, known := x.node.StreamOrigins.Find(x.ctx, x.headers.ResumedID, services)
	refused := refusal{
		reason: "origin_unknown", retryAfter: unknownOriginRetryAfter, route: x.route.Name, routingVersion: x.table.Version,
		elapsed: x.elapsed(), timeToDeadline: x.timeout - x.elapsed(),
	}
	switch {
	case !known:
		return &refused
	case !slices.Contains(services, origin.Service):
		refused.reason = "origin_not_routed"
		return &refused
	}
	x.origin, x.service = &origin, origin.Service
	return nil
}

// recordOrigin records where the stream began, at its first event.
func (x *exchange) recordOrigin() {
	if !x.route.Resumable {
		return
	}
	if x.origin == nil {
		x.origin = &origins.Origin{Service: x.service, SoftwareVersion: x.upstreamVersion}
	}
	id := x.headers.ID
	if x.headers.ResumeAfter != "" {
		id = x.headers.ResumedID
	}
	x.node.StreamOrigins.Record(id, *x.origin, x.route.Services())
}
