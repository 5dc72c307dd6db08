package node

import (
	"context"
	"sync"
	"time"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/fleet"
)

const (
	// tickInterval is the interval at which queued requests are checked for timeout.
	// It bounds how late a wait ends.
	tickInterval = 10 * time.Millisecond
	// idleTickInterval is the interval without queued requests.
	idleTickInterval = 100 * time.Millisecond
)

// SlotPool is a dispatch.Pool for concurrent use. Each request for a slot waits on
// a channel of its own.
type SlotPool struct {
	mu      sync.Mutex
	pool    *dispatch.Pool
	lastID  uint64
	pending map[uint64]chan slotResponse
	// queued is signalled when a request is queued.
	queued chan struct{}
	hooks  SlotHooks
}

// SlotHooks are called with the pool locked and must not block.
type SlotHooks struct {
	// LoadChanged is called after each grant and release, and when there is something new
	// to tell other daemons.
	LoadChanged func()
	// HealthChanged is called when the pool's view of an upstream's health changes.
	HealthChanged func(dispatch.HealthChange)
	// Leaving is called when an upstream has been marked as leaving.
	Leaving func(dispatch.LeavingChange)
	// RateChanged is called when an upstream has stated another rate limit.
	RateChanged func(dispatch.RateChange)
	// PreemptionRequested is called when another daemon should preempt a batch item.
	PreemptionRequested func(dispatch.PreemptionRequest)
}

type slotResponse struct {
	grant   dispatch.Grant
	refusal *dispatch.Refusal
}

// NewSlotPool returns a pool without upstreams. All hooks must be set.
func NewSlotPool(options dispatch.Options, hooks SlotHooks) *SlotPool {
	return &SlotPool{
		pool:    dispatch.New(options),
		pending: make(map[uint64]chan slotResponse),
		queued:  make(chan struct{}, 1),
		hooks:   hooks,
	}
}

// Acquire waits for a slot. It returns a refusal if no slot is granted; the
// reason of the refusal is empty if the context ended.
func (s *SlotPool) Acquire(ctx context.Context, request dispatch.SlotRequest) (dispatch.Grant, *dispatch.Refusal) {
	responses := make(chan slotResponse, 1)
	s.mu.Lock()
	s.lastID++
	request.ID = s.lastID
	s.pending[request.ID] = responses
	s.pool.Request(time.Now(), request)
	s.deliverResponses()
	waiting := s.pool.QueueLength() > 0
	s.mu.Unlock()
	if waiting {
		select {
		case s.queued <- struct{}{}:
		default:
		}
	}
	select {
	case response := <-responses:
		return response.grant, response.refusal
	case <-ctx.Done():
		return s.cancel(request.ID, responses)
	}
}

// cancel withdraws a request, and releases its slot if it has been granted in the
// meantime.
func (s *SlotPool) cancel(id uint64, responses chan slotResponse) (dispatch.Grant, *dispatch.Refusal) {
	s.mu.Lock()
	s.pool.Cancel(id)
	delete(s.pending, id)
	s.mu.Unlock()
	select {
	case response := <-responses:
		if response.refusal == nil {
			s.Release(response.grant, dispatch.Inconclusive)
		}
	default:
	}
	return dispatch.Grant{}, &dispatch.Refusal{}
}

// HasSlot reports whether an upstream has a slot for a request.
func (s *SlotPool) HasSlot(request dispatch.SlotRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.HasSlot(time.Now(), request)
}

// HasUpstream reports whether a service has a ready upstream.
func (s *SlotPool) HasUpstream(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.HasUpstream(service)
}

// Release returns a granted slot and records the outcome of its use.
func (s *SlotPool) Release(grant dispatch.Grant, outcome dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Release(time.Now(), grant, outcome)
	s.deliverResponses()
	s.hooks.LoadChanged()
}

// UpdateUpstreams applies heartbeats of upstreams.
func (s *SlotPool) UpdateUpstreams(upstreams []fleet.Upstream) {
	if len(upstreams) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range upstreams {
		s.pool.UpdateUpstream(u)
	}
	s.pool.Tick(time.Now())
	s.deliverResponses()
}

// RemoveUpstream removes an upstream from the pool.
func (s *SlotPool) RemoveUpstream(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RemoveUpstream(id)
}

// MarkLeaving stops the granting of slots of an upstream that leaves.
func (s *SlotPool) MarkLeaving(notice dispatch.LeavingNotice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.MarkLeaving(time.Now(), notice)
	s.deliverResponses()
}

// IsLeaving reports whether a start of an upstream has been marked as leaving.
func (s *SlotPool) IsLeaving(id string, startUnixMs uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.IsLeaving(id, startUnixMs)
}

// RecordRate records the rate of requests that an upstream accepts.
func (s *SlotPool) RecordRate(notice dispatch.RateNotice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RecordRate(time.Now(), notice)
	s.deliverResponses()
}

// RecordProgress records what a stream has delivered; see dispatch.Pool.
func (s *SlotPool) RecordProgress(grant dispatch.Grant, firstEvent time.Duration, events int, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.RecordProgress(time.Now(), grant, firstEvent, events, duration) {
		s.hooks.LoadChanged()
	}
}

// SpeedRange returns how much longer events take at the fastest and the slowest upstream
// than at an average one.
func (s *SlotPool) SpeedRange() (fastest, slowest float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.SpeedRange()
}

// SpellCount returns the number of upstreams that are much slower than usual.
func (s *SlotPool) SpellCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.SpellCount(time.Now())
}

// SetTokenCapacity sets the memory of the upstreams of a service, in tokens.
func (s *SlotPool) SetTokenCapacity(service string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetTokenCapacity(service, tokens)
}

// ApplyLoadReport applies the load report of another daemon.
func (s *SlotPool) ApplyLoadReport(report dispatch.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.ApplyLoadReport(time.Now(), report)
	s.deliverResponses()
}

// Loads returns the granted slots and the failures that this daemon has at each
// upstream, for its load report. It tells each observation of speeds once.
func (s *SlotPool) Loads() []dispatch.UpstreamLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Loads(time.Now())
}

// DataCentreLoads returns the granted slots of all daemons of this data centre at
// each upstream, for the summary to other data centres.
func (s *SlotPool) DataCentreLoads() []dispatch.UpstreamLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.DataCentreLoads(time.Now())
}

// BatchPreemptions returns the number of batch runs to preempt by upstream ID.
func (s *SlotPool) BatchPreemptions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.BatchPreemptions()
}

// RequestedPreemptions returns the number of batch runs to preempt for a request of
// another daemon.
func (s *SlotPool) RequestedPreemptions(request dispatch.PreemptionRequest) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.RequestedPreemptions(request)
}

// BatchCapacity returns the number of slots of a service that batch work may use
// while leaving enough for a burst of online requests.
func (s *SlotPool) BatchCapacity(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.BatchCapacity(service)
}

// QueueLength returns the number of requests that wait for a slot.
func (s *SlotPool) QueueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.QueueLength()
}

// Counts counts the upstreams by what keeps batch items from them.
func (s *SlotPool) Counts() dispatch.UpstreamCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Counts(time.Now())
}

// SuspectCount returns the number of suspect upstreams.
func (s *SlotPool) SuspectCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.SuspectCount(time.Now())
}

// Run times out queued requests until the context ends.
func (s *SlotPool) Run(ctx context.Context) {
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.queued:
			sleep(ctx, tickInterval)
		}
		s.mu.Lock()
		s.pool.Tick(time.Now())
		s.deliverResponses()
		waiting := s.pool.QueueLength() > 0
		s.mu.Unlock()
		if waiting {
			timer.Reset(tickInterval)
		} else {
			timer.Reset(idleTickInterval)
		}
	}
}

// deliverResponses passes the grants, refusals and changes of the pool on.
// The caller must hold mu.
func (s *SlotPool) deliverResponses() {
	granted, refused := s.pool.Drain()
	for _, g := range granted {
		s.pending[g.SlotRequestID] <- slotResponse{grant: g}
		delete(s.pending, g.SlotRequestID)
	}
	for _, r := range refused {
		s.pending[r.SlotRequestID] <- slotResponse{refusal: &r}
		delete(s.pending, r.SlotRequestID)
	}
	for _, change := range s.pool.HealthChanges() {
		s.hooks.HealthChanged(change)
	}
	leaving := s.pool.LeavingChanges()
	for _, change := range leaving {
		s.hooks.Leaving(change)
	}
	rateChanges := s.pool.RateChanges()
	for _, change := range rateChanges {
		s.hooks.RateChanged(change)
	}
	for _, request := range s.pool.PreemptionRequests() {
		s.hooks.PreemptionRequested(request)
	}
	if len(granted)+len(leaving)+len(rateChanges) > 0 {
		s.hooks.LoadChanged()
	}
}
