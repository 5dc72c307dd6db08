package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/fleet"
)

// Class separates work that people wait for from work that is due later.
type Class int

// The numClasses of work.
const (
	Online Class = iota
	Batch
	numClasses
)

// Options configures a Pool.
type Options struct {
	// DataCentre is where the pool's requests come from.
	DataCentre string
	// Seed must differ between daemons.
	Seed uint64
	// BatchReserve is the number of slots of each upstream that batch leaves
	// free for online requests.
	BatchReserve int
	// PeerTimeout is the age at which another daemon's load report is dropped.
	PeerTimeout time.Duration
	// HeartbeatTimeout is the time without a heartbeat after which an upstream is used
	// only when no other is left.
	HeartbeatTimeout time.Duration
}

// SlotRequest is a request for a slot.
type SlotRequest struct {
	// ID names the ask; the caller chooses it.
	ID      uint64
	Service string
	Class   Class
	// Priority orders the asks of a class; zero comes first.
	Priority int
	// Avoid names upstreams that have already failed the request.
	Avoid []string
	// Urgent lets batch use slots that the next burst of online requests will
	// need again; it is for items that would be late otherwise.
	Urgent bool
	// MaxWait bounds the time for which the ask may wait for a slot.
	MaxWait time.Duration
	// Route names requests that start with the same time until their deadline.
	Route string
	// TimeToDeadline is the time until the caller's deadline; zero if it has none. An ask
	// that has less than others of its kind comes from a caller that returns.
	TimeToDeadline time.Duration
	// RetryMaxWait replaces Wait for a caller that returns.
	RetryMaxWait time.Duration
}

// Grant assigns a slot of an upstream to an ask. It is held until Done.
type Grant struct {
	SlotRequestID uint64
	Service       string
	Upstream      string
	Address       string
	Class         Class
	// GrantedAt is the time of the grant.
	GrantedAt time.Time
	// Waited is the time between the ask and the grant.
	Waited time.Duration
	// Retrying is set for a caller that was sent away or failed before.
	Retrying bool
	// FreeSlots is the number of slots that the pool believes to be free after the
	// grant; below zero, batch has to give way first.
	FreeSlots int
}

// Refusal ends an ask without a slot.
type Refusal struct {
	SlotRequestID uint64
	Reason        Reason
	// RetryAfter is the time after which a slot is likely to be free.
	RetryAfter time.Duration
	// Retrying is set for a caller that was sent away or failed before.
	Retrying bool
}

// Reason tells why an ask was refused.
type Reason string

// The reasons of refusals.
const (
	// NoUpstream means that no upstream of the service is known.
	NoUpstream Reason = "no_upstream"
	// QueueFull means that the wait would be longer than the ask allows.
	QueueFull Reason = "queue_full"
	// WaitTimeout means that no slot became free within the allowed wait.
	WaitTimeout Reason = "wait_over"
)

type queuedRequest struct {
	slotRequest SlotRequest
	queuedAt    time.Time
	// retrying is set for a caller that was sent away or failed before.
	retrying bool
}

// getOrCreate returns the record getOrCreate a service or kind, which it makes if there is none.
func getOrCreate[V any](values map[string]*V, name string) *V {
	value, known := values[name]
	if !known {
		value = new(V)
		values[name] = value
	}
	return value
}

// upstreamState is what the pool knows of one upstreamState.
type upstreamState struct {
	fleet.Upstream
	// ownGrants counts the grants of this pool, peers those of other daemons.
	ownGrants  [numClasses]int
	peerGrants [numClasses]int
	health
	// tieBreak is the upstream's place in this pool's order.
	tieBreak uint64
}

func (u *upstreamState) online() int { return u.ownGrants[Online] + u.peerGrants[Online] }

func (u *upstreamState) batch() int { return u.ownGrants[Batch] + u.peerGrants[Batch] }

func (u *upstreamState) free() int { return u.Slots - u.online() - u.batch() }

// Pool assigns slots.
type Pool struct {
	options   Options
	rand      *rand.Rand
	upstreams map[string]*upstreamState
	// sortedUpstreams lists the upstreams by ascending ID.
	sortedUpstreams []*upstreamState
	peerReports     map[string]peerReport
	queue           []queuedRequest
	serviceStats    map[string]*serviceStats
	onlinePeaks     map[string]*slidingMax
	expectedRetries map[string]*expectedRetries
	// maxTimeToDeadline holds the most milliseconds that asks of a kind had left, and
	// forgotten is when kinds without asks were dropped last.
	maxTimeToDeadline map[string]*slidingMax
	routesExpiredAt   time.Time
	grants            []Grant
	refusals          []Refusal
	healthChanges     []HealthChange
}

// New returns a pool without upstreams.
func New(options Options) *Pool {
	return &Pool{
		options:           options,
		rand:              core.NewRand(options.Seed),
		upstreams:         make(map[string]*upstreamState),
		peerReports:       make(map[string]peerReport),
		serviceStats:      make(map[string]*serviceStats),
		onlinePeaks:       make(map[string]*slidingMax),
		expectedRetries:   make(map[string]*expectedRetries),
		maxTimeToDeadline: make(map[string]*slidingMax),
	}
}

// UpdateUpstream stores the latest heartbeat of an upstream.
func (p *Pool) UpdateUpstream(u fleet.Upstream) {
	state, known := p.upstreams[u.ID]
	if !known {
		state = &upstreamState{Upstream: u, tieBreak: p.rand.Uint64()}
		p.upstreams[u.ID] = state
		index, _ := slices.BinarySearchFunc(p.sortedUpstreams, u.ID, byID)
		p.sortedUpstreams = slices.Insert(p.sortedUpstreams, index, state)
	}
	if u.BornUnixMs != state.BornUnixMs {
		state.health = health{}
	}
	state.Upstream = u
	if !known {
		p.applyPeerReports()
	}
}

func byID(u *upstreamState, id string) int { return cmp.Compare(u.ID, id) }

// RemoveUpstream drops an upstream. Grants that are still held end without effect.
func (p *Pool) RemoveUpstream(id string) {
	if _, known := p.upstreams[id]; !known {
		return
	}
	delete(p.upstreams, id)
	index, _ := slices.BinarySearchFunc(p.sortedUpstreams, id, byID)
	p.sortedUpstreams = slices.Delete(p.sortedUpstreams, index, index+1)
}

// Request handles an ask: the answer comes with the next Drain.
func (p *Pool) Request(now time.Time, request SlotRequest) {
	queued := queuedRequest{slotRequest: request, queuedAt: now, retrying: p.isRetrying(now, request)}
	if queued.retrying && p.retriesFit(now, request.Service) {
		queued.slotRequest.MaxWait = max(request.MaxWait, request.RetryMaxWait)
	}
	if request.Class == Online {
		p.getServiceStats(request.Service).recordArrival(now)
	}
	index, ahead := p.queuePosition(now, queued)
	if ahead == 0 && p.tryGrant(now, queued) {
		return
	}
	p.enqueue(now, queued, index, ahead)
}

// queuePosition returns where an ask belongs in the queue, and the number of asks of
// its service that come first.
func (p *Pool) queuePosition(now time.Time, queued queuedRequest) (index, ahead int) {
	index = len(p.queue)
	retriesFirst := p.retriesFit(now, queued.slotRequest.Service)
	for i, other := range p.queue {
		if before(queued, other, retriesFirst) {
			index = min(index, i)
			continue
		}
		if other.slotRequest.Service == queued.slotRequest.Service {
			ahead++
		}
	}
	return index, ahead
}

// before orders asks by class and priority, and then puts callers that return
// first where that is asked for.
func before(a, b queuedRequest, retriesFirst bool) bool {
	order := cmp.Or(cmp.Compare(a.slotRequest.Class, b.slotRequest.Class), cmp.Compare(a.slotRequest.Priority, b.slotRequest.Priority))
	return order < 0 || order == 0 && retriesFirst && a.retrying && !b.retrying
}

// enqueue queues an ask, or refuses it when the queue moves too slowly for it.
func (p *Pool) enqueue(now time.Time, queued queuedRequest, index, ahead int) {
	if !p.hasReadyUpstream(queued.slotRequest.Service) {
		p.refuse(now, queued, NoUpstream)
		return
	}
	expectedWait := p.timeUntilFree(now, queued.slotRequest.Service, ahead+1)
	if expectedWait > queued.slotRequest.MaxWait || queued.slotRequest.MaxWait <= 0 {
		p.refuse(now, queued, QueueFull)
		return
	}
	p.queue = slices.Insert(p.queue, index, queued)
}

func (p *Pool) hasReadyUpstream(service string) bool {
	for _, u := range p.sortedUpstreams {
		if u.Service == service && u.Phase == fleet.Ready {
			return true
		}
	}
	return false
}

func (p *Pool) refuse(now time.Time, queued queuedRequest, reason Reason) {
	retryAfter := p.retryAfter(now, queued.slotRequest, reason)
	if queued.slotRequest.Class == Online {
		p.getExpectedRetries(queued.slotRequest.Service).add(now, retryAfter)
	}
	p.refusals = append(p.refusals, Refusal{queued.slotRequest.ID, reason, retryAfter, queued.retrying})
}

// Cancel withdraws an ask that waits.
func (p *Pool) Cancel(id uint64) {
	p.queue = slices.DeleteFunc(p.queue, func(queued queuedRequest) bool { return queued.slotRequest.ID == id })
}

// Outcome tells how a request ended at its upstream.
type Outcome int

// The outcomes of a grant.
const (
	// Served requests were answered by the upstream.
	Served Outcome = iota
	// Inconclusive grants say nothing about the upstream.
	Inconclusive
	// Rejected upstreams refused the request without running it.
	Rejected
	// Failed upstreams could not be reached, failed the request or broke the
	// answer off.
	Failed
	// OtherInstance upstreams said that they are not the one that was meant.
	OtherInstance
)

// Release ends a grant.
func (p *Pool) Release(now time.Time, grant Grant, outcome Outcome) {
	if grant.Class == Online {
		stats := p.getServiceStats(grant.Service)
		stats.inFlight = max(0, stats.inFlight-1)
	}
	u, known := p.upstreams[grant.Upstream]
	if !known {
		return
	}
	u.ownGrants[grant.Class] = max(0, u.ownGrants[grant.Class]-1)
	p.recordOutcome(now, u, grant, outcome)
	switch outcome {
	case Served:
		p.getServiceStats(u.Service).recordCompletion(now, grant)
	case OtherInstance:
		u.Phase = fleet.Gone
	case Inconclusive, Rejected, Failed:
	}
	p.grantQueued(now)
}

// Tick grants what can be granted and refuses what has waited too long.
func (p *Pool) Tick(now time.Time) {
	p.expirePeers(now)
	p.recordOnlinePeaks(now)
	p.grantQueued(now)
	p.queue = slices.DeleteFunc(p.queue, func(queued queuedRequest) bool {
		if now.Sub(queued.queuedAt) < queued.slotRequest.MaxWait {
			return false
		}
		p.refuse(now, queued, WaitTimeout)
		return true
	})
}

// grantQueued grants the asks that wait, in order, as far as slots are free.
func (p *Pool) grantQueued(now time.Time) {
	remaining := p.queue[:0]
	for _, queued := range p.queue {
		if !p.tryGrant(now, queued) {
			remaining = append(remaining, queued)
		}
	}
	clear(p.queue[len(remaining):])
	p.queue = remaining
}

func (p *Pool) tryGrant(now time.Time, queued queuedRequest) bool {
	u := p.pick(now, queued.slotRequest)
	if u == nil {
		return false
	}
	u.ownGrants[queued.slotRequest.Class]++
	if queued.slotRequest.Class == Online {
		p.getServiceStats(queued.slotRequest.Service).inFlight++
	}
	p.grants = append(p.grants, Grant{
		SlotRequestID: queued.slotRequest.ID,
		Service:       queued.slotRequest.Service,
		Upstream:      u.ID,
		Address:       u.Address,
		Class:         queued.slotRequest.Class,
		GrantedAt:     now,
		Waited:        now.Sub(queued.queuedAt),
		Retrying:      queued.retrying,
		FreeSlots:     u.free(),
	})
	return true
}

// Drain returns the grants and refusals since the last call.
func (p *Pool) Drain() ([]Grant, []Refusal) {
	granted, refused := p.grants, p.refusals
	p.grants, p.refusals = nil, nil
	return granted, refused
}

// QueueLength returns the number of asks that wait.
func (p *Pool) QueueLength() int {
	return len(p.queue)
}
