package node

import (
	"context"
	"sync"
	"time"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/fleet"
)

// tickInterval is the pause between two looks at the asks that wait; it bounds how
// late a wait ends.
const tickInterval = 10 * time.Millisecond

// SlotPool is a dispatch pool that goroutines share. Asks wait on channels.
type SlotPool struct {
	mu             sync.Mutex
	pool           *dispatch.Pool
	lastID         uint64
	pending        map[uint64]chan slotResponse
	onLoadChange   func()
	onHealthChange func(dispatch.HealthChange)
}

type slotResponse struct {
	grant   dispatch.Grant
	refusal *dispatch.Refusal
}

// NewSlotPool returns slots that call changed after each change of the loads, and
// judged for what they come to think of an upstream. Neither may block.
func NewSlotPool(options dispatch.Options, onLoadChange func(), onHealthChange func(dispatch.HealthChange)) *SlotPool {
	return &SlotPool{
		pool:           dispatch.New(options),
		pending:        make(map[uint64]chan slotResponse),
		onLoadChange:   onLoadChange,
		onHealthChange: onHealthChange,
	}
}

// Acquire waits for a slot. It returns a refusal when none can be had; its
// reason is empty when the context ended.
func (s *SlotPool) Acquire(ctx context.Context, request dispatch.SlotRequest) (dispatch.Grant, *dispatch.Refusal) {
	responses := make(chan slotResponse, 1)
	s.mu.Lock()
	s.lastID++
	request.ID = s.lastID
	s.pending[request.ID] = responses
	s.pool.Request(time.Now(), request)
	s.deliverResponses()
	s.mu.Unlock()
	select {
	case a := <-responses:
		return a.grant, a.refusal
	case <-ctx.Done():
		return s.cancel(request.ID, responses)
	}
}

// cancel ends an ask, which may have been answered in the meantime.
func (s *SlotPool) cancel(id uint64, responses chan slotResponse) (dispatch.Grant, *dispatch.Refusal) {
	s.mu.Lock()
	s.pool.Cancel(id)
	delete(s.pending, id)
	s.mu.Unlock()
	select {
	case a := <-responses:
		if a.refusal == nil {
			s.Release(a.grant, dispatch.Inconclusive)
		}
	default:
	}
	return dispatch.Grant{}, &dispatch.Refusal{}
}

// Release ends a grant.
func (s *SlotPool) Release(g dispatch.Grant, outcome dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Release(time.Now(), g, outcome)
	s.deliverResponses()
	s.onLoadChange()
}

// UpdateUpstreams stores heartbeats.
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

// RemoveUpstream drops an upstream.
func (s *SlotPool) RemoveUpstream(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RemoveUpstream(id)
}

// ApplyLoadReport stores the load report of another daemon.
func (s *SlotPool) ApplyLoadReport(report dispatch.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.ApplyLoadReport(time.Now(), report)
	s.deliverResponses()
}

// Loads returns the grants that are held.
func (s *SlotPool) Loads() []dispatch.UpstreamLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Loads(time.Now())
}

// BatchPreemptions returns the number of batch grants to give up at each upstream.
func (s *SlotPool) BatchPreemptions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.BatchPreemptions()
}

// BatchCapacity returns the number of slots that batch can use between bursts and in
// them.
func (s *SlotPool) BatchCapacity(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.BatchCapacity(service)
}

// QueueLength returns the number of asks that wait.
func (s *SlotPool) QueueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.QueueLength()
}

// SuspectCount counts the upstreams that requests are kept away from.
func (s *SlotPool) SuspectCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.SuspectCount(time.Now())
}

// Run ends the waits that are over, until the context ends.
func (s *SlotPool) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		s.pool.Tick(time.Now())
		s.deliverResponses()
		s.mu.Unlock()
	}
}

// deliverResponses hands out the answers of the pool.
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
	for _, j := range s.pool.HealthChanges() {
		s.onHealthChange(j)
	}
	if len(granted) > 0 {
		s.onLoadChange()
	}
}
