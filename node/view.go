package node

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/pb"
)

// Routing is an encoded routing table as the control group accepted it, or the change that leads
// to it.
type Routing struct {
	Version  uint64
	Document []byte
	// Change is nil for a whole table.
	Change *pb.RoutingChange
	// Bytes is the number of bytes received.
	Bytes int
	// From is the address of the control replica that sent the table, and Current whether
	// that replica was in contact with the majority of its group.
	From    string
	Current bool
	// Lag is the time for which the replica had a table that this daemon lacked.
	Lag time.Duration
	// ReceivedAt is when the whole table had arrived.
	ReceivedAt time.Time
}

// View merges the updates of all control replicas. It is safe for concurrent use.
type View struct {
	// applying is held while a change is made and applied, so that changes are
	// applied in the order in which they were made. It is locked before mu.
	applying sync.Mutex

	mu sync.Mutex
	// routingVersion is that of the latest whole routing table.
	routingVersion uint64
	upstreams      *fleet.Table
	// software holds the service and version of each upstream by its ID, and
	// softwareCounts their numbers. softwareVersions lists the versions of each service,
	// nil if it is outdated; it is replaced, not changed.
	software         map[string]software
	softwareCounts   map[software]int
	softwareVersions map[string][]string
	// joinedAt holds when a software version joined a service that had another one.
	joinedAt map[software]time.Time
	// lastPhases holds the last reported phase of each upstream by its ID.
	lastPhases map[string]instancePhase
	// daemons holds the daemons that each control replica reports by their address, and reports
	// what it reports of upstreams. Both are keyed by the address of the replica.
	daemons map[string]map[string]*pb.Daemon
	reports map[string]*upstreamReport
	// uniqueDaemons is the union of daemons, nil if it is outdated. daemonsVersion
	// counts the changes of daemons.
	uniqueDaemons  []*pb.Daemon
	daemonsVersion uint64
	// silentOutdated is set when reports have changed since markSilent.
	silentOutdated bool
	// unreportedSince holds by ID since when no replica has reported an upstream. One that is
	// unreported for unreportedTimeout is silent.
	unreportedSince   map[string]time.Time
	unreportedTimeout time.Duration
	// currentReplicas holds the control replicas that are in contact with the majority
	// of their group, by their address.
	currentReplicas map[string]currentReplica
	control         []string
	storage         []*pb.Replica
	retiring        []string
}

// instancePhase is the phase of one instance of an upstream, which its start time
// identifies.
type instancePhase struct {
	startUnixMs uint64
	phase       fleet.Phase
}

// currentReplica is a control replica that said with each update since a time that it
// is current.
type currentReplica struct {
	since, last time.Time
}

const (
	// currentAfter is the time for which a control replica has to be current before its
	// updates count as complete: it may have just joined its group.
	currentAfter = time.Second
	// maxUpdateAge is the age of the last update at which a view may be outdated.
	maxUpdateAge = 2 * UpdateInterval
)

// software is what an upstream runs.
type software struct {
	service, version string
}

const (
	// unreportedIntervals is the unreportedTimeout of a view in intervals of heartbeats. A running
	// upstream finds another control replica in that time.
	unreportedIntervals = 3
	// minHeartbeatInterval is the interval that a view assumes at least: it may not be known.
	minHeartbeatInterval = time.Second
)

// NewView returns an empty view of upstreams that send heartbeats at an interval.
func NewView(heartbeatInterval time.Duration) *View {
	return &View{
		unreportedSince: make(map[string]time.Time), unreportedTimeout: unreportedIntervals * max(heartbeatInterval, minHeartbeatInterval),
		upstreams: fleet.NewFollowerTable(), lastPhases: make(map[string]instancePhase), daemons: make(map[string]map[string]*pb.Daemon),
		reports: make(map[string]*upstreamReport), currentReplicas: make(map[string]currentReplica),
		software: make(map[string]software), softwareCounts: make(map[software]int), joinedAt: make(map[software]time.Time),
	}
}

// ViewChanges lists the changes that an update made to a view.
type ViewChanges struct {
	// Routing is set if the update had a whole routing table with a higher version.
	Routing *Routing
	// Upstreams lists the upstreams that changed, Renewed also those with a later
	// heartbeat only.
	Upstreams []fleet.Upstream
	Renewed   []fleet.Upstream
	// PhaseChanges lists those of Upstreams that joined, began to drain or are
	// gone.
	PhaseChanges []fleet.Upstream
	// Rejected lists the upstreams whose records must not be kept: see fleet.Upstream.Check.
	Rejected []RejectedUpstream
}

// RejectedUpstream is a record of an upstream that has been left out of an update.
type RejectedUpstream struct {
	ID  string
	Err error
}

// MergeAndApply merges an update and passes its changes to apply. Calls of
// MergeAndApply and ExpireAndApply run one after the other.
func (v *View) MergeAndApply(now time.Time, from string, u *pb.FleetUpdate, apply func(ViewChanges)) ViewChanges {
	v.applying.Lock()
	defer v.applying.Unlock()
	changes := v.Merge(now, from, u)
	apply(changes)
	return changes
}

// Merge applies an update from the control replica at the address from.
func (v *View) Merge(now time.Time, from string, u *pb.FleetUpdate) ViewChanges {
	v.mu.Lock()
	defer v.mu.Unlock()
	var changes ViewChanges
	if u.GetRoutingVersion() > v.routingVersion && len(u.GetRoutingDocument()) > 0 {
		v.routingVersion = u.GetRoutingVersion()
		changes.Routing = &Routing{
			Version: u.GetRoutingVersion(), Document: u.GetRoutingDocument(), Bytes: len(u.GetRoutingDocument()), From: from, Current: u.GetCurrent(),
			Lag: time.Duration(u.GetRoutingLagMs()) * time.Millisecond, ReceivedAt: now,
		}
	}
	before := v.upstreams.LastChange()
	var heartbeats []fleet.Upstream
	for _, encoded := range u.GetUpstreams() {
		heartbeat := DecodeHeartbeat(now, encoded)
		if err := heartbeat.Check(); err != nil {
			changes.Rejected = append(changes.Rejected, RejectedUpstream{heartbeat.ID, err})
			continue
		}
		heartbeats = append(heartbeats, heartbeat)
	}
	v.applyHeartbeats(heartbeats, u.GetSilent() != nil)
	if v.reportOf(from).merge(heartbeats, u.GetSilent()) {
		v.silentOutdated = true
	}
	if v.silentOutdated || len(u.GetUpstreams()) > 0 || len(v.unreportedSince) > 0 {
		v.markSilent(now)
	}
	changes.Upstreams = v.upstreams.ChangedSince(before)
	changes.Renewed = v.upstreams.RenewedSince(before)
	changes.PhaseChanges = v.updatePhases(changes.Upstreams)
	if len(changes.Upstreams) > 0 {
		v.recordJoined(now, v.knownServices(), changes.Upstreams)
	}
	if len(u.GetStorage()) > 0 {
		v.storage = u.GetStorage()
		// No retirement ends, but a replica that lags may not know of one yet.
		v.retiring = mergeAddresses(v.retiring, u.GetRetiring())
	}
	v.control = mergeAddresses(v.control, u.GetControl())
	v.mergeDaemons(from, u)
	v.recordCurrent(now, from, u.GetCurrent())
	return changes
}

func (v *View) recordCurrent(now time.Time, from string, current bool) {
	if !current {
		delete(v.currentReplicas, from)
		return
	}
	replica, known := v.currentReplicas[from]
	if !known || now.Sub(replica.last) > maxUpdateAge {
		replica.since = now
	}
	replica.last = now
	v.currentReplicas[from] = replica
}

// Current reports whether a control replica has been in contact with the majority of
// its group for some time, and still is.
func (v *View) Current(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, replica := range v.currentReplicas {
		if replica.last.Sub(replica.since) > currentAfter && now.Sub(replica.last) <= maxUpdateAge {
			return true
		}
	}
	return false
}

// HeardCurrent reports whether a control replica in contact with the majority of its
// group sends updates. Without one, the view may lack upstreams that have joined, or that
// left before this daemon started.
func (v *View) HeardCurrent(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, replica := range v.currentReplicas {
		if now.Sub(replica.last) <= maxUpdateAge {
			return true
		}
	}
	return false
}

// applyHeartbeats merges heartbeats. With expiring set, it leaves out those of upstreams
// that the sender is about to drop, and then no longer lists as silent.
func (v *View) applyHeartbeats(heartbeats []fleet.Upstream, expiring bool) {
	if expiring {
		v.upstreams.ApplyCurrent(heartbeats)
		return
	}
	for _, heartbeat := range heartbeats {
		v.upstreams.Apply(heartbeat)
	}
}

// mergeDaemons applies the daemons of an update: the whole list, or its changes.
func (v *View) mergeDaemons(from string, u *pb.FleetUpdate) {
	if len(u.GetDaemons()) > 0 {
		v.daemons[from] = make(map[string]*pb.Daemon)
	}
	if v.daemons[from] == nil {
		v.daemons[from] = make(map[string]*pb.Daemon)
	}
	for _, address := range u.GetDaemonChanges().GetRemoved() {
		delete(v.daemons[from], address)
	}
	for _, d := range slices.Concat(u.GetDaemons(), u.GetDaemonChanges().GetAdded()) {
		v.daemons[from][d.GetAddress()] = d
	}
	if len(u.GetDaemons()) > 0 || u.GetDaemonChanges() != nil {
		v.daemonsChanged()
	}
}

func (v *View) daemonsChanged() {
	v.uniqueDaemons = nil
	v.daemonsVersion++
}

// markSilent marks the upstreams that control replicas miss and none hears: those that miss one
// may be cut off from it. Those that no replica reports stay as they are for unreportedTimeout.
func (v *View) markSilent(now time.Time) {
	v.silentOutdated = false
	if !v.isToldOfSilence() {
		clear(v.unreportedSince)
		return
	}
	var changed []string
	v.upstreams.Any(func(u *fleet.Upstream) bool {
		if v.isSilent(now, u) != u.Silent {
			changed = append(changed, u.ID)
		}
		return false
	})
	slices.Sort(changed)
	for _, id := range changed {
		u, _ := v.upstreams.Get(id)
		v.upstreams.SetSilent(id, !u.Silent)
	}
}

// isSilent reports whether an upstream is silent by the reports of the replicas.
func (v *View) isSilent(now time.Time, u *fleet.Upstream) bool {
	heard, missed := false, false
	for _, r := range v.reports {
		heard = heard || r.hears(u.ID)
		missed = missed || r.misses(u.ID)
	}
	if heard || missed || u.Silent || u.Phase == fleet.Gone {
		delete(v.unreportedSince, u.ID)
		return !heard && (missed || u.Silent)
	}
	since, unreported := v.unreportedSince[u.ID]
	if !unreported {
		v.unreportedSince[u.ID] = now
		return false
	}
	return now.Sub(since) >= v.unreportedTimeout
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

// RemoveReplica removes the daemons and the silent upstreams reported by the
// control replica at the address from.
func (v *View) RemoveReplica(from string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.daemons, from)
	v.daemonsChanged()
	delete(v.reports, from)
	v.silentOutdated = true
	delete(v.currentReplicas, from)
}

// RoutingVersion returns the highest version of the whole routing tables received.
func (v *View) RoutingVersion() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.routingVersion
}

// Daemons returns the daemons with one of the roles that any control replica
// reports, sorted by address.
func (v *View) Daemons(roles ...string) []*pb.Daemon {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.uniqueDaemons == nil {
		var all []*pb.Daemon
		for _, daemons := range v.daemons {
			all = slices.AppendSeq(all, maps.Values(daemons))
		}
		v.uniqueDaemons = UniqueDaemons(all)
	}
	var found []*pb.Daemon
	for _, d := range v.uniqueDaemons {
		if slices.Contains(roles, d.GetRole()) {
			found = append(found, d)
		}
	}
	return found
}

// DaemonsVersion returns a number that increases when the daemons change.
func (v *View) DaemonsVersion() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.daemonsVersion
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

// SoftwareVersions lists the software versions of the upstreams of a service,
// including those that left not long ago: streams that they began may go on.
func (v *View) SoftwareVersions(service string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.allSoftwareVersions()[service]
}

// AllSoftwareVersions lists the software versions of each service: see
// SoftwareVersions. The caller must not change them.
func (v *View) AllSoftwareVersions() map[string][]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.allSoftwareVersions()
}

func (v *View) allSoftwareVersions() map[string][]string {
	if v.softwareVersions == nil {
		v.softwareVersions = make(map[string][]string)
		for s := range v.softwareCounts {
			v.softwareVersions[s.service] = append(v.softwareVersions[s.service], s.version)
		}
	}
	return v.softwareVersions
}

func (v *View) setSoftware(id string, s software) {
	if current, known := v.software[id]; known && current == s {
		return
	}
	v.removeSoftware(id)
	v.software[id] = s
	v.softwareCounts[s]++
	if v.softwareCounts[s] == 1 {
		v.softwareVersions = nil
	}
}

func (v *View) removeSoftware(id string) {
	s, known := v.software[id]
	if !known {
		return
	}
	delete(v.software, id)
	v.softwareCounts[s]--
	if v.softwareCounts[s] == 0 {
		delete(v.softwareCounts, s)
		delete(v.joinedAt, s)
		v.softwareVersions = nil
	}
}

// ExpireAndApply removes the upstreams that left or fell silent long ago, and passes
// their IDs to apply.
func (v *View) ExpireAndApply(now time.Time, apply func(ids []string)) {
	v.applying.Lock()
	defer v.applying.Unlock()
	apply(v.ExpireUpstreams(now))
}

// ExpireUpstreams removes the upstreams that left or fell silent long ago, and
// returns their IDs.
func (v *View) ExpireUpstreams(now time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isToldOfSilence() {
		v.upstreams.ConfirmHeard(now)
	}
	expired := v.upstreams.Expire(now)
	for _, id := range expired {
		for _, r := range v.reports {
			delete(r.known, id)
		}
		delete(v.unreportedSince, id)
		delete(v.lastPhases, id)
		v.removeSoftware(id)
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
		ID:              heartbeat.GetId(),
		StartUnixMs:     heartbeat.GetBornUnixMs(),
		Sequence:        heartbeat.GetSequence(),
		Service:         heartbeat.GetService(),
		Address:         heartbeat.GetAddress(),
		DataCentre:      heartbeat.GetDataCentre(),
		Slots:           int(heartbeat.GetSlots()),
		Phase:           fleet.Phase(heartbeat.GetPhase()),
		ColdUntil:       heard.Add(time.Duration(heartbeat.GetColdMs()) * time.Millisecond),
		LastHeartbeat:   heard,
		SoftwareVersion: heartbeat.GetSoftwareVersion(),

		DeregisteredUnixMs: heartbeat.GetDeregisteredUnixMs(),
	}
}

// EncodeHeartbeat encodes the last heartbeat of an upstream for a fleet update.
func EncodeHeartbeat(now time.Time, u fleet.Upstream) *pb.UpstreamBeat {
	return &pb.UpstreamBeat{
		Id:              u.ID,
		BornUnixMs:      u.StartUnixMs,
		Sequence:        u.Sequence,
		Service:         u.Service,
		Address:         u.Address,
		DataCentre:      u.DataCentre,
		Slots:           uint32(u.Slots),
		Phase:           pb.UpstreamPhase(u.Phase),
		ColdMs:          milliseconds(u.ColdUntil.Sub(u.LastHeartbeat)),
		AgeMs:           milliseconds(now.Sub(u.LastHeartbeat)),
		SoftwareVersion: u.SoftwareVersion,

		DeregisteredUnixMs: u.DeregisteredUnixMs,
	}
}

func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, d.Milliseconds()))
}
