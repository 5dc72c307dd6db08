package node

import (
	"slices"
	"sync"
	"time"

	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/pb"
)

// Routing is an encoded routing table as the control group accepted it.
type Routing struct {
	Version  uint64
	Document []byte
}

// View merges the updates of all control replicas. It is safe for concurrent use.
type View struct {
	mu        sync.Mutex
	routing   Routing
	upstreams *fleet.Table
	// lastPhases holds the last reported phase of each upstream by its ID.
	lastPhases map[string]instancePhase
	// daemons holds the daemons last reported by each control replica, by the
	// address of the replica.
	daemons  map[string][]*pb.Daemon
	control  []string
	storage  []*pb.Replica
	retiring []string
}

// instancePhase is the phase of one instance of an upstream, which its start time
// identifies.
type instancePhase struct {
	startUnixMs uint64
	phase       fleet.Phase
}

// NewView returns an empty view.
func NewView() *View {
	return &View{upstreams: fleet.NewTable(), lastPhases: make(map[string]instancePhase), daemons: make(map[string][]*pb.Daemon)}
}

// ViewChanges lists the changes that an update made to a view.
type ViewChanges struct {
	// Routing is set if the update had a routing table with a higher version.
	Routing   *Routing
	Upstreams []fleet.Upstream
	// PhaseChanges lists those of Upstreams that joined, began to drain or are
	// gone.
	PhaseChanges    []fleet.Upstream
	DaemonsReported bool
}

// Merge applies an update from the control replica at the address from.
func (v *View) Merge(now time.Time, from string, u *pb.FleetUpdate) ViewChanges {
	v.mu.Lock()
	defer v.mu.Unlock()
	var changes ViewChanges
	if u.GetRoutingVersion() > v.routing.Version && len(u.GetRoutingDocument()) > 0 {
		v.routing = Routing{u.GetRoutingVersion(), u.GetRoutingDocument()}
		copied := v.routing
		changes.Routing = &copied
	}
	before := v.upstreams.LastChange()
	for _, heartbeat := range u.GetUpstreams() {
		v.upstreams.Apply(DecodeHeartbeat(now, heartbeat))
	}
	changes.Upstreams = v.upstreams.ChangedSince(before)
	changes.PhaseChanges = v.updatePhases(changes.Upstreams)
	if len(u.GetStorage()) > 0 {
		v.storage = u.GetStorage()
	}
	if len(u.GetDaemons()) > 0 {
		v.daemons[from] = u.GetDaemons()
		v.control = mergeAddresses(v.control, u.GetControl())
		v.retiring = u.GetRetiring()
		changes.DaemonsReported = true
	}
	return changes
}

// updatePhases records the phases of the changed upstreams and returns those whose
// phase or start differs from the recorded one.
func (v *View) updatePhases(changed []fleet.Upstream) []fleet.Upstream {
	var phaseChanges []fleet.Upstream
	for _, u := range changed {
		current := instancePhase{u.StartUnixMs, u.Phase}
		if v.lastPhases[u.ID] != current {
			phaseChanges = append(phaseChanges, u)
		}
		v.lastPhases[u.ID] = current
	}
	return phaseChanges
}

// RemoveDaemonsFrom removes the daemons reported by the control replica at the
// address from.
func (v *View) RemoveDaemonsFrom(from string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.daemons, from)
}

// RoutingVersion returns the highest version of the routing table received.
func (v *View) RoutingVersion() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.routing.Version
}

// Daemons returns the daemons with one of the roles that any control replica
// reports, sorted by address.
func (v *View) Daemons(roles ...string) []*pb.Daemon {
	v.mu.Lock()
	defer v.mu.Unlock()
	var found []*pb.Daemon
	for _, daemons := range v.daemons {
		for _, d := range daemons {
			if slices.Contains(roles, d.GetRole()) {
				found = append(found, d)
			}
		}
	}
	return UniqueDaemons(found)
}

// ControlAddresses returns the sorted addresses of the control replicas.
func (v *View) ControlAddresses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.control)
}

// StorageMembers returns the initial members of the storage group and the
// addresses of the replicas that are being retired.
func (v *View) StorageMembers() (founders []*pb.Replica, retiring []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.storage, slices.Clone(v.retiring)
}

// Upstreams returns all upstreams sorted by ID.
func (v *View) Upstreams() []fleet.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.upstreams.All()
}

// ExpireUpstreams removes the upstreams that left or fell silent long ago, and
// returns their IDs.
func (v *View) ExpireUpstreams(now time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	expired := v.upstreams.Expire(now)
	for _, id := range expired {
		delete(v.lastPhases, id)
	}
	return expired
}

func mergeAddresses(known, more []string) []string {
	merged := slices.Concat(known, more)
	slices.Sort(merged)
	return slices.Compact(merged)
}

// DecodeHeartbeat decodes a heartbeat of an upstream from a fleet update.
func DecodeHeartbeat(now time.Time, heartbeat *pb.UpstreamBeat) fleet.Upstream {
	heard := now.Add(-time.Duration(heartbeat.GetAgeMs()) * time.Millisecond)
	return fleet.Upstream{
		ID:            heartbeat.GetId(),
		StartUnixMs:   heartbeat.GetBornUnixMs(),
		Sequence:      heartbeat.GetSequence(),
		Service:       heartbeat.GetService(),
		Address:       heartbeat.GetAddress(),
		DataCentre:    heartbeat.GetDataCentre(),
		Slots:         int(heartbeat.GetSlots()),
		Phase:         fleet.Phase(heartbeat.GetPhase()),
		ColdUntil:     heard.Add(time.Duration(heartbeat.GetColdMs()) * time.Millisecond),
		LastHeartbeat: heard,
	}
}

// EncodeHeartbeat encodes the last heartbeat of an upstream for a fleet update.
func EncodeHeartbeat(now time.Time, u fleet.Upstream) *pb.UpstreamBeat {
	return &pb.UpstreamBeat{
		Id:         u.ID,
		BornUnixMs: u.StartUnixMs,
		Sequence:   u.Sequence,
		Service:    u.Service,
		Address:    u.Address,
		DataCentre: u.DataCentre,
		Slots:      uint32(u.Slots),
		Phase:      pb.UpstreamPhase(u.Phase),
		ColdMs:     milliseconds(u.ColdUntil.Sub(u.LastHeartbeat)),
		AgeMs:      milliseconds(now.Sub(u.LastHeartbeat)),
	}
}

func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, d.Milliseconds()))
}
