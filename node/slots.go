package node

import (
	"context"
	"sync"
	"time"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/fleet"
)

// slotTick is the pause between two looks at the asks that wait; it bounds how
// late a wait ends.
const slotTick = 10 * time.Millisecond

// SlotPool is a dispatch pool that goroutines share. Asks wait on channels.
type SlotPool struct {
	mu      sync.Mutex
	pool    *dispatch.Pool
	next    uint64
	waiting map[uint64]chan answer
	changed func()
	judged  func(dispatch.HealthChange)
}

type answer struct {
	grant   dispatch.Grant
	refusal *dispatch.Refusal
}

// NewSlotPool returns slots that call changed after each change of the loads, and
// judged for what they come to think of an upstream. Neither may block.
func NewSlotPool(options dispatch.Options, changed func(), judged func(dispatch.HealthChange)) *SlotPool {
	return &SlotPool{
		pool:    dispatch.New(options),
		waiting: make(map[uint64]chan answer),
		changed: changed,
		judged:  judged,
	}
}

// Acquire waits for a slot. It returns a refusal when none can be had; its
// reason is empty when the context ended.
func (s *SlotPool) Acquire(ctx context.Context, ask dispatch.SlotRequest) (dispatch.Grant, *dispatch.Refusal) {
	result := make(chan answer, 1)
	s.mu.Lock()
	s.next++
	ask.ID = s.next
	s.waiting[ask.ID] = result
	s.pool.Request(time.Now(), ask)
	s.deliver()
	s.mu.Unlock()
	select {
	case a := <-result:
		return a.grant, a.refusal
	case <-ctx.Done():
		return s.withdraw(ask.ID, result)
	}
}

// withdraw ends an ask, which may have been answered in the meantime.
func (s *SlotPool) withdraw(id uint64, result chan answer) (dispatch.Grant, *dispatch.Refusal) {
	s.mu.Lock()
	s.pool.Cancel(id)
	delete(s.waiting, id)
	s.mu.Unlock()
	select {
	case a := <-result:
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
	s.deliver()
	s.changed()
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
	s.deliver()
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
	s.deliver()
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
	ticker := time.NewTicker(slotTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		s.pool.Tick(time.Now())
		s.deliver()
		s.mu.Unlock()
	}
}

// deliver hands out the answers of the pool.
func (s *SlotPool) deliver() {
	granted, refused := s.pool.Drain()
	for _, g := range granted {
		s.waiting[g.SlotRequestID] <- answer{grant: g}
		delete(s.waiting, g.SlotRequestID)
	}
	for _, r := range refused {
		s.waiting[r.SlotRequestID] <- answer{refusal: &r}
		delete(s.waiting, r.SlotRequestID)
	}
	for _, j := range s.pool.HealthChanges() {
		s.judged(j)
	}
	if len(granted) > 0 {
		s.changed()
	}
}
