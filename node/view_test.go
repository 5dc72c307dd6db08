package node

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/pb"
)

var now = time.UnixMilli(5_000_000)

// A control replica still has an old routing table after a partition.
func TestRoutingVersionNeverDecreases(t *testing.T) {
	expect := NewWithT(t)
	v := NewView(time.Second)
	changes := v.Merge(now, "a", &pb.FleetUpdate{RoutingVersion: 7, RoutingDocument: []byte("seven"), RoutingLagMs: 30, Current: true})
	expect.Expect(changes.Routing).To(Equal(&Routing{Version: 7, Document: []byte("seven"), Bytes: 5, From: "a", Current: true, Lag: 30 * time.Millisecond, ReceivedAt: now}))
	for _, version := range []uint64{6, 7} {
		changes = v.Merge(now, "b", &pb.FleetUpdate{RoutingVersion: version, RoutingDocument: []byte("other")})
		expect.Expect(changes.Routing).To(BeNil())
	}
	expect.Expect(v.RoutingVersion()).To(BeEquivalentTo(7))
}

// Two control replicas report one upstream, one of them an older heartbeat.
func TestLatestHeartbeatOfAnyReplicaIsKept(t *testing.T) {
	expect := NewWithT(t)
	v := NewView(time.Second)
	update := func(sequence uint64, phase pb.UpstreamPhase) *pb.FleetUpdate {
		return &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{{
			Id: "u", BornUnixMs: 1, Sequence: sequence, Address: "u:1", Slots: 8, Phase: phase, AgeMs: 300,
		}}}
	}
	changes := v.Merge(now, "a", update(5, pb.UpstreamPhase_UPSTREAM_DRAINING))
	expect.Expect(changes.Upstreams).To(HaveLen(1))
	expect.Expect(changes.Upstreams[0].LastHeartbeat).To(Equal(now.Add(-300 * time.Millisecond)))
	changes = v.Merge(now, "b", update(4, pb.UpstreamPhase_UPSTREAM_READY))
	expect.Expect(changes.Upstreams).To(BeEmpty())
	expect.Expect(v.Upstreams()[0].Phase).To(Equal(fleet.Draining))
}

// A draining upstream still sends heartbeats; each phase must be reported once.
func TestPhaseChangeIsReportedOnce(t *testing.T) {
	expect := NewWithT(t)
	v := NewView(time.Second)
	merge := func(born, sequence uint64, phase pb.UpstreamPhase) int {
		return len(v.Merge(now, "a", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{{
			Id: "u", BornUnixMs: born, Sequence: sequence, Address: "u:1", Slots: 8, Phase: phase,
		}}}).PhaseChanges)
	}
	expect.Expect(merge(1, 1, pb.UpstreamPhase_UPSTREAM_READY)).To(Equal(1))
	expect.Expect(merge(1, 2, pb.UpstreamPhase_UPSTREAM_DRAINING)).To(Equal(1))
	expect.Expect(merge(1, 3, pb.UpstreamPhase_UPSTREAM_DRAINING)).To(BeZero())
	expect.Expect(merge(1, 4, pb.UpstreamPhase_UPSTREAM_GONE)).To(Equal(1))
	expect.Expect(merge(2, 1, pb.UpstreamPhase_UPSTREAM_READY)).To(Equal(1))
	expect.Expect(merge(2, 1, pb.UpstreamPhase_UPSTREAM_READY)).To(BeZero())
	expect.Expect(merge(2, 2, pb.UpstreamPhase_UPSTREAM_DRAINING)).To(Equal(1))
}

func TestDaemonsAreMergedFromAllReplicas(t *testing.T) {
	expect := NewWithT(t)
	v := NewView(time.Second)
	daemon := func(address string, incarnation uint64) *pb.Daemon {
		return &pb.Daemon{Id: address, Role: RoleStore, Address: address, Incarnation: incarnation}
	}
	v.Merge(now, "a", &pb.FleetUpdate{Daemons: []*pb.Daemon{daemon("s1", 1), daemon("s2", 1)}, Control: []string{"a", "b"}})
	v.Merge(now, "b", &pb.FleetUpdate{Daemons: []*pb.Daemon{daemon("s2", 2), daemon("s3", 1)}, Control: []string{"b", "c"}})
	found := v.Daemons(RoleStore)
	expect.Expect(found).To(HaveLen(3))
	expect.Expect(found[1].GetIncarnation()).To(BeEquivalentTo(2))
	expect.Expect(v.Daemons(RoleEntry)).To(BeEmpty())
	expect.Expect(v.ControlAddresses()).To(Equal([]string{"a", "b", "c"}))
	v.RemoveReplica("b")
	expect.Expect(v.Daemons(RoleStore)).To(HaveLen(2))
}

func TestHeartbeatEncodingRoundTrip(t *testing.T) {
	expect := NewWithT(t)
	upstream := fleet.Upstream{
		ID: "u", StartUnixMs: 3, Sequence: 4, Service: "s", Address: "a:1", DataCentre: "d", Slots: 8, Phase: fleet.Gone,
		LastHeartbeat: now.Add(-time.Second), ColdUntil: now.Add(time.Second),
	}
	expect.Expect(DecodeHeartbeat(now, EncodeHeartbeat(now, upstream))).To(Equal(upstream))
}

func newTestSlotPool(slots int) *SlotPool {
	s := NewSlotPool(dispatch.Options{DataCentre: "d", Seed: 1, PeerTimeout: time.Hour}, noHooks)
	s.UpdateUpstreams([]fleet.Upstream{{ID: "u", Service: "s", DataCentre: "d", Slots: slots, Phase: fleet.Ready, LastHeartbeat: time.Now()}})
	return s
}

func TestQueuedRequestGetsReleasedSlot(t *testing.T) {
	expect := NewWithT(t)
	s := newTestSlotPool(1)
	request := dispatch.SlotRequest{Service: "s", MaxWait: time.Hour}
	held, refused := s.Acquire(context.Background(), request)
	expect.Expect(refused).To(BeNil())
	got := make(chan dispatch.Grant, 1)
	go func() {
		grant, _ := s.Acquire(context.Background(), request)
		got <- grant
	}()
	expect.Eventually(s.QueueLength, 20*time.Second, time.Millisecond).Should(Equal(1))
	s.Release(held, dispatch.Served)
	expect.Expect((<-got).Upstream).To(Equal("u"))
	expect.Expect(s.Loads()).To(Equal([]dispatch.UpstreamLoad{{Upstream: "u", Online: 1}}))
}

func TestCancelledRequestTakesNoSlot(t *testing.T) {
	expect := NewWithT(t)
	s := newTestSlotPool(1)
	request := dispatch.SlotRequest{Service: "s", MaxWait: time.Hour}
	held, _ := s.Acquire(context.Background(), request)
	ctx, cancel := context.WithCancel(context.Background())
	refusals := make(chan *dispatch.Refusal, 1)
	go func() {
		_, refused := s.Acquire(ctx, request)
		refusals <- refused
	}()
	expect.Eventually(s.QueueLength, 20*time.Second, time.Millisecond).Should(Equal(1))
	cancel()
	expect.Expect((<-refusals).Reason).To(BeEmpty())
	s.Release(held, dispatch.Served)
	expect.Expect(s.Loads()).To(BeEmpty())
}

func TestRepairDelayLeavesTimeToCatchUp(t *testing.T) {
	expect := NewWithT(t)
	for _, catchUp := range []time.Duration{time.Second, 4500 * time.Millisecond, 20 * time.Second} {
		s := Settings{CatchUpTimeout: catchUp}
		expect.Expect(s.RepairAfter()).To(And(BeNumerically(">", 0), BeNumerically("<", catchUp/2)))
	}
	expect.Expect((&Settings{}).RepairAfter()).To(BeNumerically(">", 0))
}

// A replica that is cut off from an upstream misses its heartbeats while another one
// gets them.
func TestUpstreamIsSilentIfAllReplicasMissIt(t *testing.T) {
	expect := NewWithT(t)
	v := NewView(time.Second)
	beat := &pb.UpstreamBeat{Id: "u", BornUnixMs: 1, Sequence: 1, Address: "u:1", Slots: 8, Phase: pb.UpstreamPhase_UPSTREAM_READY}
	v.Merge(now, "a", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{beat}, Silent: &pb.SilentUpstreams{}})
	v.Merge(now, "b", &pb.FleetUpdate{Silent: &pb.SilentUpstreams{Ids: []string{"u"}}})
	expect.Expect(v.Upstreams()[0].Silent).To(BeFalse())
	changes := v.Merge(now, "a", &pb.FleetUpdate{Silent: &pb.SilentUpstreams{Ids: []string{"u"}}})
	expect.Expect(changes.Upstreams).To(HaveLen(1))
	expect.Expect(changes.Upstreams[0].Silent).To(BeTrue())
	expect.Expect(changes.PhaseChanges).To(BeEmpty())
	// Control sends the record of an upstream that is heard again.
	heard := &pb.UpstreamBeat{Id: "u", BornUnixMs: 1, Sequence: 2, Address: "u:1", Slots: 8, Phase: pb.UpstreamPhase_UPSTREAM_READY}
	v.Merge(now, "b", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{heard}, Silent: &pb.SilentUpstreams{}})
	expect.Expect(v.Upstreams()[0].Silent).To(BeFalse())
	v.RemoveReplica("b")
	changes = v.Merge(now, "a", &pb.FleetUpdate{})
	expect.Expect(changes.Upstreams).To(HaveLen(1))
	expect.Expect(v.Upstreams()[0].Silent).To(BeTrue())
}

// Renewed heartbeats are not sent to entries. An upstream must not expire for that.
func TestUpstreamThatIsNotSilentDoesNotExpire(t *testing.T) {
	expect := NewWithT(t)
	v := NewView(time.Second)
	for _, id := range []string{"heard", "silent"} {
		v.Merge(now, "a", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{{Id: id, BornUnixMs: 1, Sequence: 1, Address: id + ":1", Phase: pb.UpstreamPhase_UPSTREAM_READY}}})
	}
	v.Merge(now, "a", &pb.FleetUpdate{Silent: &pb.SilentUpstreams{Ids: []string{"silent"}}})
	expect.Expect(v.ExpireUpstreams(now.Add(time.Hour))).To(Equal([]string{"silent"}))
	expect.Expect(v.Upstreams()).To(HaveLen(1))
}

func TestDaemonChangesAreMerged(t *testing.T) {
	expect := NewWithT(t)
	v := NewView(time.Second)
	daemon := func(address string) *pb.Daemon {
		return &pb.Daemon{Id: address, Role: RoleStore, Address: address, Incarnation: 1}
	}
	v.Merge(now, "a", &pb.FleetUpdate{DaemonChanges: &pb.DaemonChanges{Added: []*pb.Daemon{daemon("s1"), daemon("s2")}}})
	version := v.DaemonsVersion()
	v.Merge(now, "a", &pb.FleetUpdate{})
	expect.Expect(v.DaemonsVersion()).To(Equal(version))
	v.Merge(now, "a", &pb.FleetUpdate{DaemonChanges: &pb.DaemonChanges{Added: []*pb.Daemon{daemon("s3")}, Removed: []string{"s1"}}})
	expect.Expect(v.DaemonsVersion()).To(BeNumerically(">", version))
	found := v.Daemons(RoleStore)
	expect.Expect(found).To(HaveLen(2))
	expect.Expect(found[0].GetAddress()).To(Equal("s2"))
}

// A control replica that lags, or is cut off from its group, does not know yet that a
// storage replica is being retired. No replica ever ends a retirement.
func TestALaggingControlReplicaDoesNotEndARetirement(t *testing.T) {
	expect := NewWithT(t)
	v := NewView(time.Second)
	founders := []*pb.Replica{{Id: "s1:1", Address: "s1:1"}}
	v.Merge(now, "a", &pb.FleetUpdate{Storage: founders, Retiring: []string{"s1:1"}})
	v.Merge(now, "b", &pb.FleetUpdate{Storage: founders})
	_, retiring := v.StorageMembers()
	expect.Expect(retiring).To(Equal([]string{"s1:1"}))
}

func newTestFollower(role string) *Follower {
	self := &pb.Daemon{Address: "self", Role: role, DataCentre: "dc0"}
	return NewFollower(nil, NewView(time.Second), NewQuarantine(nil, func() {}), nil, self, []string{"c1", "c2", "c3"}, nil, func(ViewChanges) {})
}

// Each daemon that subscribes to each replica costs both as much as there are
// replicas, and each heartbeat between data centres as often.
func TestReplicaOfOwnDataCentreIsPreferred(t *testing.T) {
	expect := NewWithT(t)
	f := newTestFollower(RoleEntry)
	f.view.Merge(now, "c1", &pb.FleetUpdate{Daemons: []*pb.Daemon{
		{Address: "c5", Role: RoleControl, DataCentre: "dc0"}, {Address: "c1", Role: RoleControl, DataCentre: "dc1"},
	}, Control: []string{"c1", "c2", "c3", "c4", "c5", "self"}})
	order := f.byPreference(now, []string{"c1", "c2", "c3", "c4", "c5", "self"})
	expect.Expect(order).To(HaveLen(5))
	expect.Expect(order[0]).To(Equal("c5"))
}

// A replica without a majority may lack the latest routing table and must not be the
// only source; an election must not make all daemons subscribe anew.
func TestReplicaWithoutMajorityStopsWorkingAfterGrace(t *testing.T) {
	expect := NewWithT(t)
	s := &subscription{openedAt: now.Add(-time.Minute), connected: true, currentAt: now}
	expect.Expect(s.working(now.Add(outdatedGrace / 2))).To(BeTrue())
	expect.Expect(s.working(now.Add(outdatedGrace))).To(BeFalse())
	s.currentAt, s.connected = now, false
	expect.Expect(s.working(now)).To(BeFalse())
	expect.Expect((&subscription{openedAt: now}).working(now)).To(BeTrue())
}

func TestSoftwareVersionsFollowTheUpstreams(t *testing.T) {
	expect := NewWithT(t)
	view := NewView(time.Second)
	merge := func(at time.Time, upstreams ...*pb.UpstreamBeat) {
		view.Merge(at, "control", &pb.FleetUpdate{Upstreams: upstreams})
	}
	merge(now, upstreamOfVersion(1, "1"), upstreamOfVersion(2, "1"), upstreamOfVersion(3, ""))
	expect.Expect(view.SoftwareVersions("s")).To(ConsistOf("1", ""))
	changed := upstreamOfVersion(1, "2")
	changed.Sequence++
	merge(now, changed)
	expect.Expect(view.SoftwareVersions("s")).To(ConsistOf("1", "2", ""))
	moved := upstreamOfVersion(3, "")
	moved.Sequence, moved.Service = 2, "other"
	merge(now, moved)
	expect.Expect(view.SoftwareVersions("s")).To(ConsistOf("1", "2"))
	expect.Expect(view.AllSoftwareVersions()).To(HaveKeyWithValue("other", []string{""}))
	// An upstream that left counts until it expires.
	left := upstreamOfVersion(2, "1")
	left.Sequence, left.Phase = 2, pb.UpstreamPhase_UPSTREAM_GONE
	merge(now, left)
	expect.Expect(view.SoftwareVersions("s")).To(ConsistOf("1", "2"))
	view.ExpireUpstreams(now.Add(time.Hour))
	expect.Expect(view.SoftwareVersions("s")).To(ConsistOf("2"))
}

// Upstreams change their phases all the time in a large fleet.
func BenchmarkSoftwareVersionsAfterAChange(b *testing.B) {
	view := NewView(time.Second)
	update := &pb.FleetUpdate{}
	for i := range 10_000 {
		update.Upstreams = append(update.Upstreams, upstreamOfVersion(i, "1"))
	}
	view.Merge(now, "control", update)
	u := upstreamOfVersion(0, "1")
	for b.Loop() {
		u.Sequence++
		u.Slots = 3 - u.Slots
		view.Merge(now, "control", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{u}})
		view.SoftwareVersions("s")
	}
}
