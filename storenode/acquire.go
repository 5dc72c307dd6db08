package storenode

import (
	"context"
	"time"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/origins"
	"github.com/briarcross/briarcross/pb"
)

// startAttempt is an item that is about to start. openCount is the number of running and
// runnable items.
type startAttempt struct {
	key       jobpages.ItemKey
	job       *pb.PageJob
	target    *itemTarget
	openCount int
}

// acquireSlot acquires a slot for an item. An item with output gets one of the software
// version that began it, unless there is a reason to restart the item.
func (r *runner) acquireSlot(ctx context.Context, a startAttempt, round *startRound) (dispatch.Grant, jobpages.RestartReason, startResult) {
	if len(a.target.services) == 0 {
		return dispatch.Grant{}, "", tooLarge
	}
	r.mu.Lock()
	origin, bound, reason := r.scheduler.BoundTo(time.Now(), a.key, a.target.route.Services())
	r.mu.Unlock()
	if bound {
		grant, result := r.acquireAtOrigin(ctx, a, origin, round)
		if result != versionGone {
			return grant, "", result
		}
		reason = jobpages.VersionGone
	}
	tried := make(map[string]bool)
	if reason == jobpages.VersionBusy {
		// Another version of the service has a slot; the item stays at its service.
		for _, service := range a.target.services {
			tried[service] = service != origin.Service
		}
	}
	grant, result := r.acquireAnywhere(ctx, a, tried, round)
	return grant, reason, result
}

// acquireAtOrigin acquires a slot of the origin to which an item is bound.
func (r *runner) acquireAtOrigin(ctx context.Context, a startAttempt, origin origins.Origin, round *startRound) (dispatch.Grant, startResult) {
	request := r.slotRequest(a, origin.Service)
	request.Bound, request.SoftwareVersion = true, origin.SoftwareVersion
	grant, refused := r.node.Slots.Acquire(ctx, request)
	switch {
	case refused == nil:
		return grant, started
	case refused.Reason == dispatch.NoUpstream || refused.Reason == dispatch.TooLarge:
		return dispatch.Grant{}, versionGone
	}
	round.refuse(string(refused.Reason))
	round.RecordBusy(origin, a.key)
	request.Bound = false
	round.unbound[origin.Service] = request
	return dispatch.Grant{}, versionBusy
}

// acquireAnywhere acquires a slot of one of the services of the item's route, other than those
// in tried.
func (r *runner) acquireAnywhere(ctx context.Context, a startAttempt, tried map[string]bool, round *startRound) (dispatch.Grant, startResult) {
	r.mu.Lock()
	avoid := r.scheduler.Progress(a.key).AvoidedUpstream()
	r.mu.Unlock()
	result := noSlot
	for {
		service, found := round.pickService(a.target, avoid, tried)
		if !found {
			return dispatch.Grant{}, result
		}
		tried[service] = true
		request := r.slotRequest(a, service)
		grant, refused := r.node.Slots.Acquire(ctx, request)
		if refused == nil {
			round.RecordStart(originOf(grant))
			return grant, started
		}
		result = r.recordRefusal(round, request, refused.Reason)
	}
}

// recordRefusal records in the round which items a refusal concerns, and returns the result
// for the item that was refused. Smaller items may start while there is no memory for a large one.
func (r *runner) recordRefusal(round *startRound, request dispatch.SlotRequest, reason dispatch.Reason) startResult {
	round.refuse(string(reason))
	switch reason {
	case dispatch.NoMemory:
		// Items that are more urgent or avoid nothing may find memory where this one did not.
		if request.Urgent && len(request.Avoid) == 0 {
			round.recordNoMemory(request.Service, request.Tokens)
		}
		return noMemory
	case dispatch.TooLarge:
		return tooLarge
	}
	if len(request.Avoid) > 0 {
		avoided := request.Avoid[0]
		request.Avoid = nil
		if r.node.Slots.HasSlot(request) {
			round.onlyFreeAt[serviceUpstream{request.Service, avoided}] = true
			return noSlot
		}
	}
	round.full[request.Service] = true
	return noSlot
}

// slotRequest returns a request for a slot of a service, at any software version.
func (r *runner) slotRequest(a startAttempt, service string) dispatch.SlotRequest {
	request := dispatch.SlotRequest{Service: service, Class: dispatch.Batch, Tokens: a.target.tokens}
	timeToDue := time.Until(time.UnixMilli(int64(a.job.GetDueUnixMs()))) - dueMargin
	r.mu.Lock()
	defer r.mu.Unlock()
	request.Urgent = jobpages.IsUrgent(timeToDue, r.estimator.RemainingTime(0), a.openCount, r.node.Slots.BatchCapacity(service))
	eventsDone := 0
	progress := r.scheduler.Progress(a.key)
	if progress != nil {
		eventsDone = progress.EventCount
	}
	if avoid := progress.AvoidedUpstream(); avoid != "" {
		request.Avoid = []string{avoid}
	}
	request.LastChance = jobpages.IsNearAbandon(time.Now().Add(r.estimator.RemainingElapsedTime(eventsDone)), a.job.GetKeepUnixMs())
	request.Events, request.TimeToDue = r.estimator.RemainingEvents(eventsDone), timeToDue
	return request
}

func originOf(grant dispatch.Grant) origins.Origin {
	return origins.Origin{Service: grant.Service, SoftwareVersion: grant.SoftwareVersion}
}
