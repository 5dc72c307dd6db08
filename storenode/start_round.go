package storenode

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/routing"
)

// startResult is the result of an attempt to start an item.
type startResult int

const (
	// started: the item runs.
	started startResult = iota
	// notEligible: the item has failed, or cannot run yet for reasons of its own.
	notEligible
	// versionBusy: no slot of the software version to which the item is bound is free,
	// versionGone: none can be.
	versionBusy
	versionGone
	// noSlot: no slot of the services is free for the item.
	noSlot
	// noMemory: no upstream with a free slot has memory for the item.
	noMemory
	// tooLarge: no upstream of the route has memory for the item, however empty it is. A
	// later routing table may lead to others.
	tooLarge
)

// startRound is one search for items that can start. It records what items were refused, so
// that others that would be refused too cost no further search.
type startRound struct {
	*jobpages.StartRound
	table *routing.Table
	// unbound holds, by service, a request that was refused, without its version.
	unbound map[string]dispatch.SlotRequest
	// full holds the services without a free slot, noMemory the tokens of the smallest item
	// for which a service had no memory.
	full     map[string]bool
	noMemory map[string]int
	// onlyFreeAt holds services with the only upstream that has free slots, which an item
	// avoided.
	onlyFreeAt map[serviceUpstream]bool
	// failed holds the results of items that are not eligible any more.
	failed []*pb.PageResult
	// refused counts the refusals by reason.
	refused map[string]int
}

// waitsForSlot is the reason of items that need not be looked at, because others were refused.
const waitsForSlot = "waits_for_slot"

type serviceUpstream struct{ service, upstream string }

func newStartRound(round *jobpages.StartRound, table *routing.Table) *startRound {
	return &startRound{
		StartRound: round, table: table,
		unbound: make(map[string]dispatch.SlotRequest), full: make(map[string]bool), noMemory: make(map[string]int),
		onlyFreeAt: make(map[serviceUpstream]bool), refused: make(map[string]int),
	}
}

func (r *startRound) refuse(reason string) { r.refused[reason]++ }

// fail records that an item is not eligible any more.
func (r *startRound) fail(key jobpages.ItemKey, reason string) {
	r.refuse(reason)
	r.failed = append(r.failed, &pb.PageResult{JobId: key.JobID, Item: key.Index, Failed: true, Reason: reason})
}

// isOver reports whether no service has a free slot.
func (r *startRound) isOver() bool { return len(r.full) >= len(r.table.Services) }

func (r *startRound) recordNoMemory(service string, tokens int) {
	smallest, known := r.noMemory[service]
	if !known {
		smallest = math.MaxInt
	}
	r.noMemory[service] = min(smallest, tokens)
}

// mayHaveRoom reports whether a service may have a slot and memory for an item that avoids an
// upstream, if avoid is not empty.
func (r *startRound) mayHaveRoom(service string, tokens int, avoid string) bool {
	smallest, refused := r.noMemory[service]
	return !r.full[service] && (!refused || tokens < smallest) && (avoid == "" || !r.onlyFreeAt[serviceUpstream{service, avoid}])
}

// mayStart reports whether an item must be looked at: a service may have room for it, or
// something else is to be done about it.
func (r *startRound) mayStart(target *itemTarget, avoid string) bool {
	return len(target.services) == 0 ||
		slices.ContainsFunc(target.services, func(service string) bool { return r.mayHaveRoom(service, target.tokens, avoid) })
}

// pickService picks a service for an item that may have room and has not been tried, by the
// weights of the route.
func (r *startRound) pickService(target *itemTarget, avoid string, tried map[string]bool) (service string, found bool) {
	return target.route.PickAmong(rand.Uint64(), func(service string) bool {
		return !tried[service] && slices.Contains(target.services, service) && r.mayHaveRoom(service, target.tokens, avoid)
	})
}

// itemTarget is what decides which services may run an item.
type itemTarget struct {
	host   string
	path   string
	tokens int
	// route is the route of the item in table, nil without one. services are those of the
	// route that hold the item.
	table    *routing.Table
	route    *routing.Route
	services []string
}

// resolve determines the services in a routing table.
func (t *itemTarget) resolve(table *routing.Table) {
	if t.table == table {
		return
	}
	t.table, t.services = table, nil
	if t.route, _ = table.Match(t.host, t.path); t.route != nil {
		t.services = table.ServicesThatHold(t.route, t.tokens)
	}
}

// itemTargets remembers the targets of open items: reading the items of a service without
// slots again and again would delay all others.
type itemTargets struct {
	byJob map[string]map[uint32]*itemTarget
}

func newItemTargets() *itemTargets {
	return &itemTargets{byJob: make(map[string]map[uint32]*itemTarget)}
}

// find returns the target of an item in a routing table, if it is known.
func (t *itemTargets) find(key jobpages.ItemKey, table *routing.Table) (*itemTarget, bool) {
	target, known := t.byJob[key.JobID][key.Index]
	if known {
		target.resolve(table)
	}
	return target, known
}

// add adds the target of an item.
func (t *itemTargets) add(key jobpages.ItemKey, job *pb.PageJob, item *pb.PageItem, tokens int, table *routing.Table) *itemTarget {
	target := &itemTarget{host: job.GetHost(), path: item.GetPath(), tokens: tokens}
	target.resolve(table)
	if t.byJob[key.JobID] == nil {
		t.byJob[key.JobID] = make(map[uint32]*itemTarget)
	}
	t.byJob[key.JobID][key.Index] = target
	return target
}

// prune removes the targets of jobs without open items.
func (t *itemTargets) prune(open []jobpages.OpenItem) {
	openJobs := make(map[string]bool)
	for _, item := range open {
		openJobs[item.JobID] = true
	}
	if len(t.byJob) <= len(openJobs) {
		return
	}
	for jobID := range t.byJob {
		if !openJobs[jobID] {
			delete(t.byJob, jobID)
		}
	}
}
