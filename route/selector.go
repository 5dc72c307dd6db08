package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

const (
	// affinityBlocks is the number of leading prompt blocks that choose the
	// upstream of a prefix.
	affinityBlocks = 4
	// affinityCostFactor is the multiple of the mean cost up to which affinity holds.
	affinityCostFactor = 1.25
	// affinityCostFloor is the cost up to which affinity always holds.
	affinityCostFloor = 0.75
	// fullUtilization is the fill at which a data centre counts as full.
	fullUtilization = 1.0
	// capacityFactor is the number of requests that a service holds for each
	// place in its windows; the rest waits in queues.
	capacityFactor = 2
)

// Options configures a Table.
type Options struct {
	// DataCentre of the entry, whose upstreams are preferred.
	DataCentre string
	Seed       uint64
	// UniformRandom turns affinity and load off, for comparisons.
	UniformRandom bool
}

// Query describes the attempt that looks for an upstream.
type Query struct {
	Service string
	// PrefixHashes holds the hashes of the prompt's leading blocks.
	PrefixHashes []uint64
	// Exclude holds the upstreams that were tried before.
	Exclude []*Upstream
	// PackUtilization asks for an upstream among the few that take online work while batch
	// work runs on the others. It is the share of their windows up to which
	// these are filled; zero uses all.
	PackUtilization float64
	// RequireCapacity asks for an upstream whose window has room.
	RequireCapacity bool
}

// Selector holds the upstreams that an entry knows.
type Selector struct {
	options         Options
	rng             *rand.Rand
	byID            map[string]*Upstream
	services        map[string]*service
	candidateBuffer []*Upstream
}

// NewSelector returns an empty table.
func NewSelector(o Options) *Selector {
	return &Selector{
		options:  o,
		rng:      core.NewRand(o.Seed),
		byID:     make(map[string]*Upstream),
		services: make(map[string]*service),
	}
}

// Update takes over an announcement. Of one that is repeated only the load is
// taken, of an older one nothing.
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

func isNewer(a, b *pb.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetVersion() > b.GetVersion()
}

// Remove forgets an upstream.
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

// upstreamsOf returns the upstreamsOf of a service in its order.
func (s *Selector) upstreamsOf(name string) []*Upstream {
	svc, ok := s.services[name]
	if !ok {
		return nil
	}
	return svc.upstreams
}

// MarkDraining takes an upstream out of the choice until its next announcement.
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

// Capacity returns the number of requests that a service can hold.
func (s *Selector) Capacity(service string) int {
	slots := 0
	for _, u := range s.upstreamsOf(service) {
		if u.isServing() {
			slots += u.window()
		}
	}
	return slots * capacityFactor
}

// AttemptSent counts an attempt that goes to an upstream.
func (s *Selector) AttemptSent(u *Upstream) { u.inFlight++ }

// AttemptDone counts an attempt out and takes over the load that came with its answer,
// which may be nil.
func (s *Selector) AttemptDone(now time.Time, u *Upstream, load *pb.Load) {
	u.inFlight--
	u.recordLoad(now, load)
}

// RecordSuccess notes that an upstream works.
func (s *Selector) RecordSuccess(now time.Time, u *Upstream) { u.recordSuccess(now) }

// RecordFailure notes a failure of an upstream and ejects it after several, unless too
// many others are ejected.
func (s *Selector) RecordFailure(now time.Time, u *Upstream) {
	if !u.recordFailure(now) || !s.mayEject(now, u) {
		return
	}
	u.eject(now)
}

// mayEject tells that less than half of the upstreams of each service of u
// would be ejected with it.
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
