package node

import (
	"time"

	"github.com/briarcross/briarcross/dispatch"
)

// PlanHedge tells after which time without a first event an attempt is hedged.
func (s *SlotPool) PlanHedge(grant dispatch.Grant, request dispatch.HedgeRequest) dispatch.HedgePlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.PlanHedge(time.Now(), grant, request)
}

// GrantHedge grants a slot for a second attempt of a request, or tells why it gets none.
// loadsAge is the age of the oldest load report behind the decision.
func (s *SlotPool) GrantHedge(first dispatch.Grant, slotRequest dispatch.SlotRequest, request dispatch.HedgeRequest) (grant dispatch.Grant, loadsAge time.Duration, denied dispatch.HedgeDenial) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.lastID++
	slotRequest.ID = s.lastID
	loadsAge = s.pool.OldestLoadAge(now)
	if grant, denied = s.pool.GrantHedge(now, first, slotRequest, request); denied == "" {
		s.hooks.LoadChanged()
	}
	return grant, loadsAge, denied
}

// RecordFirstEvent records the time that an attempt took to its first event or, if it was
// cancelled before that, the time for which it ran.
func (s *SlotPool) RecordFirstEvent(grant dispatch.Grant, whole, cancelled bool, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RecordFirstEvent(time.Now(), grant, whole, cancelled, took)
}
