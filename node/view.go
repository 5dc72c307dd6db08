package node

import (
	"slices"
	"sync"
	"time"

	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/pb"
)

// Routing is a routing table as it was accepted.
type Routing struct {
	Version  uint64
	Document []byte
}

// View is the merge of what all control replicas say. It is safe for
// concurrent use.
type View struct {
	mu        sync.Mutex
	routing   Routing
	upstreams *fleet.Table
	// phases holds the phase of each upstream that was reported last.
	phases map[string]phase
	// daemons holds what each control replica said last, by its address.
	daemons  map[string][]*pb.Daemon
	control  []string
	storage  []*pb.Replica
	retiring []string
}

// phase is the phase of one start of an upstream.
type phase struct {
	bornUnixMs uint64
	phase      fleet.Phase
}

// NewView returns an empty view.
func NewView() *View {
	return &View{upstreams: fleet.NewTable(), phases: make(map[string]phase), daemons: make(map[string][]*pb.Daemon)}
}

// Changes are the parts of a view that an update changed.
type Changes struct {
	// Routing is set when a routing table with a higher version came.
	Routing   *Routing
	Upstreams []fleet.Upstream
	// Moved lists those of the upstreams that joined, began to leave or are gone.
	Moved   []fleet.Upstream
	Daemons bool
}

// Merge takes an update of one control replica in.
func (v *View) Merge(now time.Time, from string, u *pb.FleetUpdate) Changes {
	v.mu.Lock()
	defer v.mu.Unlock()
	var changes Changes
	if u.GetRoutingVersion() > v.routing.Version && len(u.GetRoutingDocument()) > 0 {
		v.routing = Routing{u.GetRoutingVersion(), u.GetRoutingDocument()}
		copied := v.routing
		changes.Routing = &copied
	}
	before := v.upstreams.LastChange()
	for _, beat := range u.GetUpstreams() {
		v.upstreams.Apply(DecodeBeat(now, beat))
	}
	changes.Upstreams = v.upstreams.ChangedSince(before)
	changes.Moved = v.moved(changes.Upstreams)
	if len(u.GetStorage()) > 0 {
		v.storage = u.GetStorage()
	}
	if len(u.GetDaemons()) > 0 {
		v.daemons[from] = u.GetDaemons()
		v.control = mergeAddresses(v.control, u.GetControl())
		v.retiring = u.GetRetiring()
		changes.Daemons = true
	}
	return changes
}

// moved lists the changed upstreams that are in another phase than before.
func (v *View) moved(changed []fleet.Upstream) []fleet.Upstream {
	var moved []fleet.Upstream
	for _, u := range changed {
		now := phase{u.StartUnixMs, u.Phase}
		if v.phases[u.ID] != now {
			moved = append(moved, u)
		}
		v.phases[u.ID] = now
	}
	return moved
}

// Lost drops what a control replica said about daemons.
func (v *View) Lost(from string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.daemons, from)
}

// RoutingVersion returns the version held.
func (v *View) RoutingVersion() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.routing.Version
}

// Daemons lists the daemons with one of the roles that any control replica
// sees, by address.
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

// Control lists the addresses of the control replicas.
func (v *View) Control() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.control)
}

// Storage returns the first members of the storage group, and the replicas
// that are to be emptied.
func (v *View) Storage() (founders []*pb.Replica, retiring []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.storage, slices.Clone(v.retiring)
}

// Upstreams lists all upstreams.
func (v *View) Upstreams() []fleet.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.upstreams.All()
}

// Expire forgets the upstreams that left, or fell silent, long ago. It returns
// their IDs.
func (v *View) Expire(now time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	expired := v.upstreams.Expire(now)
	for _, id := range expired {
		delete(v.phases, id)
	}
	return expired
}

func mergeAddresses(held, more []string) []string {
	merged := slices.Concat(held, more)
	slices.Sort(merged)
	return slices.Compact(merged)
}

// DecodeBeat reads an upstream of an update.
func DecodeBeat(now time.Time, beat *pb.UpstreamBeat) fleet.Upstream {
	heard := now.Add(-time.Duration(beat.GetAgeMs()) * time.Millisecond)
	return fleet.Upstream{
		ID:            beat.GetId(),
		StartUnixMs:   beat.GetBornUnixMs(),
		Sequence:      beat.GetSequence(),
		Service:       beat.GetService(),
		Address:       beat.GetAddress(),
		DataCentre:    beat.GetDataCentre(),
		Slots:         int(beat.GetSlots()),
		Phase:         fleet.Phase(beat.GetPhase()),
		ColdUntil:     heard.Add(time.Duration(beat.GetColdMs()) * time.Millisecond),
		LastHeartbeat: heard,
	}
}

// EncodeBeat describes an upstream for an update.
func EncodeBeat(now time.Time, u fleet.Upstream) *pb.UpstreamBeat {
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
