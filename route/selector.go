package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

const (
	// affinityBlocks is the number of leading prompt blocks whose hash determines
	// the preferred upstream.
	affinityBlocks = 4
	// affinityCostFactor is the multiple of the mean cost up to which a preferred
	// upstream is used.
	affinityCostFactor = 1.25
	// affinityCostFloor is the cost up to which a preferred upstream is always used.
	affinityCostFloor = 0.75
	// fullUtilization is the utilization at which an upstream counts as full.
	fullUtilization = 1.0
	// capacityFactor is the number of requests that a service can hold per slot in
	// its upstreams' windows; those beyond the windows wait in queues.
	capacityFactor = 2
)

// Options configures a Selector.
type Options struct {
	// DataCentre is the data centre of the entry, whose upstreams are preferred.
	DataCentre string
	Seed       uint64
	// RandomRouting ignores affinity and load, for comparisons.
	RandomRouting bool
}

// Query describes an attempt that needs an upstream.
type Query struct {
	Service string
	// PrefixHashes has one hash per leading prompt block; each covers all blocks up
	// to its own.
	PrefixHashes []uint64
	// Exclude lists the upstreams that earlier attempts used.
	Exclude []*Upstream
	// PackUtilization restricts online work to a few upstreams while batch work
	// runs, leaving the others to batch work. It is the share of each window that
	// online work may fill; zero uses all upstreams.
	PackUtilization float64
	// RequireCapacity makes Pick fail if the upstream chosen is at full utilization.
	RequireCapacity bool
}

// Selector tracks the upstreams known to an entry and picks one for each attempt.
type Selector struct {
	options  Options
	rng      *rand.Rand
	byID     map[string]*Upstream
	services map[string]*service
	// candidateBuffer is reused by each call of candidates.
	candidateBuffer []*Upstream
}

// NewSelector returns a Selector without upstreams.
func NewSelector(o Options) *Selector {
	return &Selector{
		options:  o,
		rng:      core.NewRand(o.Seed),
		byID:     make(map[string]*Upstream),
		services: make(map[string]*service),
	}
}

// Update applies an announcement of a member. If its incarnation and version are
// known already, only the load is applied; an older announcement is ignored.
func (s *Selector) Update(now time.Time, member *pb.Member) {
	u, ok := s.byID[member.GetId()]
	if ok && !isNewer(member, u.member) {
		if !isNewer(u.member, member) {
			u.applyAnnouncedLoad(now, member.GetLoad())
		}
		return
	}
	if member.GetState() == pb.MemberState_MEMBER_LEFT {
		s.Remove(member.GetId())
		return
	}
	if !ok || member.GetIncarnation() != u.member.GetIncarnation() {
		s.Remove(member.GetId())
		u = newUpstream(now, member)
		s.byID[member.GetId()] = u
		s.addToServices(u)
		return
	}
	s.removeFromServices(u)
	u.applyAnnouncement(now, member)
	s.addToServices(u)
}

// isNewer compares announcements of the same member by incarnation, then version.
func isNewer(a, b *pb.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetVersion() > b.GetVersion()
}

// Remove deletes the upstream of a member.
func (s *Selector) Remove(id string) {
	u, ok := s.byID[id]
	if !ok {
		return
	}
	s.removeFromServices(u)
	delete(s.byID, id)
}

func (s *Selector) addToServices(u *Upstream) {
	for _, name := range u.member.GetServices() {
		svc, ok := s.services[name]
		if !ok {
			svc = newService(name)
			s.services[name] = svc
		}
		index, _ := slices.BinarySearchFunc(svc.upstreams, u, svc.compareByHash)
		svc.upstreams = slices.Insert(svc.upstreams, index, u)
	}
}

func (s *Selector) removeFromServices(u *Upstream) {
	for _, name := range u.member.GetServices() {
		svc := s.services[name]
		index := slices.Index(svc.upstreams, u)
		svc.upstreams = slices.Delete(svc.upstreams, index, index+1)
	}
}

// upstreamsOf returns the upstreams of a service in the order of compareByHash.
func (s *Selector) upstreamsOf(name string) []*Upstream {
	svc, ok := s.services[name]
	if !ok {
		return nil
	}
	return svc.upstreams
}

// MarkDraining excludes an upstream from Pick until its next announcement.
func (s *Selector) MarkDraining(u *Upstream) {
	draining := &pb.Member{
		Id:          u.member.GetId(),
		Incarnation: u.member.GetIncarnation(),
		Version:     u.member.GetVersion(),
		Address:     u.member.GetAddress(),
		DataCentre:  u.member.GetDataCentre(),
		Services:    u.member.GetServices(),
		State:       pb.MemberState_MEMBER_DRAINING,
	}
	u.member = draining
}

// Capacity returns the number of requests that a service can hold, running and
// queued.
func (s *Selector) Capacity(service string) int {
	slots := 0
	for _, u := range s.upstreamsOf(service) {
		if u.isServing() {
			slots += u.window()
		}
	}
	return slots * capacityFactor
}

// AttemptSent counts an attempt as in flight at an upstream.
func (s *Selector) AttemptSent(u *Upstream) { u.inFlight++ }

// AttemptDone removes an attempt from those in flight and records the load from
// its response, if not nil.
func (s *Selector) AttemptDone(now time.Time, u *Upstream, load *pb.Load) {
	u.inFlight--
	u.recordLoad(now, load)
}

// RecordSuccess resets an upstream's failures, and its ejections once it has
// recovered.
func (s *Selector) RecordSuccess(now time.Time, u *Upstream) { u.recordSuccess(now) }

// RecordFailure counts a failure of an upstream and ejects it after
// ejectionThreshold consecutive ones, unless too many others are ejected.
func (s *Selector) RecordFailure(now time.Time, u *Upstream) {
	if !u.recordFailure(now) || !s.mayEject(now, u) {
		return
	}
	u.eject(now)
}

// mayEject reports whether, with u ejected, at most half of the upstreams of each
// of u's services are ejected.
func (s *Selector) mayEject(now time.Time, u *Upstream) bool {
	for _, service := range u.member.GetServices() {
		ejected := 1
		upstreams := s.upstreamsOf(service)
		for _, other := range upstreams {
			if other != u && other.isEjected(now) {
				ejected++
			}
		}
		if ejected*2 > len(upstreams) {
			return false
		}
	}
	return true
}
