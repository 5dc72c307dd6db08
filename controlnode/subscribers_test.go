package controlnode

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
)

func testDaemon(address string, incarnation uint64) *pb.Daemon {
	return &pb.Daemon{Id: address, Role: node.RoleEntry, Address: address, Incarnation: incarnation}
}

func newSubscriberOf(role string) *subscriber {
	return &subscriber{self: &pb.Daemon{Role: role, DataCentre: "d"}, incremental: true, wake: make(chan struct{}, 1)}
}

// 298 daemons that start together subscribe one after the other. A list of all of them
// for each subscriber after each change was most of the traffic of a start.
func TestDaemonIsSentOnceToEachSubscriber(t *testing.T) {
	expect := NewWithT(t)
	d := newDirectory()
	sent, change := 0, uint64(0)
	var daemons []*pb.Daemon
	for i := range 298 {
		daemons = append(daemons, testDaemon(fmt.Sprintf("d%03d", i), 1))
		expect.Expect(d.update(daemons)).To(BeTrue())
		sent += len(d.since(change).GetAdded())
		change = d.changes
	}
	expect.Expect(sent).To(Equal(298))
	expect.Expect(d.update(daemons)).To(BeFalse())
	expect.Expect(d.since(change)).To(BeNil())
}

func TestDirectorySendsRestartsAndRemovals(t *testing.T) {
	expect := NewWithT(t)
	d := newDirectory()
	d.update([]*pb.Daemon{testDaemon("a", 1), testDaemon("b", 1)})
	change := d.changes
	d.update([]*pb.Daemon{testDaemon("b", 2)})
	changes := d.since(change)
	expect.Expect(changes.GetRemoved()).To(Equal([]string{"a"}))
	expect.Expect(changes.GetAdded()).To(HaveLen(1))
	expect.Expect(changes.GetAdded()[0].GetIncarnation()).To(BeEquivalentTo(2))
	expect.Expect(d.since(0).GetRemoved()).To(BeEmpty())
	expect.Expect(d.list()).To(HaveLen(1))
}

// The heartbeats of 160 engines, sent on to 293 daemons by each replica, grew with
// the square of the fleet.
func TestRenewedHeartbeatsGoToControlReplicasOnly(t *testing.T) {
	expect := NewWithT(t)
	n := newUnstartedNode(t.TempDir())
	entry, replica := newSubscriberOf(node.RoleEntry), newSubscriberOf(node.RoleControl)
	updatesOf := func(s *subscriber) int {
		update := &pb.FleetUpdate{}
		n.addUpstreams(time.Now(), s, update)
		return len(update.GetUpstreams())
	}
	heartbeat := fleet.Upstream{ID: "a", StartUnixMs: 1, Sequence: 1, Address: "a:1", Phase: fleet.Ready}
	n.RecordHeartbeat(heartbeat)
	expect.Expect(updatesOf(entry)).To(Equal(1))
	expect.Expect(updatesOf(replica)).To(Equal(1))
	heartbeat.Sequence = 2
	n.RecordHeartbeat(heartbeat)
	expect.Expect(updatesOf(entry)).To(BeZero())
	expect.Expect(updatesOf(replica)).To(Equal(1))
	heartbeat.Sequence, heartbeat.Phase = 3, fleet.Draining
	n.RecordHeartbeat(heartbeat)
	expect.Expect(updatesOf(entry)).To(Equal(1))
}

// A replica that sent relayed heartbeats on would send them round in circles.
func TestRelayedHeartbeatIsNotRelayedAgain(t *testing.T) {
	expect := NewWithT(t)
	n := newUnstartedNode(t.TempDir())
	replica := newSubscriberOf(node.RoleControl)
	n.RecordHeartbeat(fleet.Upstream{ID: "own", StartUnixMs: 1, Sequence: 1, Address: "own:1", Phase: fleet.Ready})
	n.addUpstreams(time.Now(), replica, &pb.FleetUpdate{})
	n.applyRelayed(node.ViewChanges{Renewed: []fleet.Upstream{{ID: "other", StartUnixMs: 1, Sequence: 1, Address: "other:1", Phase: fleet.Ready, LastHeartbeat: time.Now()}}})
	update := &pb.FleetUpdate{}
	n.addUpstreams(time.Now(), replica, update)
	expect.Expect(update.GetUpstreams()).To(BeEmpty())
	entry := newSubscriberOf(node.RoleEntry)
	n.addUpstreams(time.Now(), entry, update)
	expect.Expect(update.GetUpstreams()).To(HaveLen(2))
}

func TestSilentUpstreamsAreSentWhenTheyChange(t *testing.T) {
	expect := NewWithT(t)
	n := newUnstartedNode(t.TempDir())
	entry := newSubscriberOf(node.RoleEntry)
	n.applyRelayed(node.ViewChanges{Renewed: []fleet.Upstream{{
		ID: "a", StartUnixMs: 1, Sequence: 1, Address: "a:1", Phase: fleet.Ready, LastHeartbeat: time.Now().Add(-time.Minute),
	}}})
	silentIn := func() *pb.SilentUpstreams {
		n.expireUpstreams()
		update := &pb.FleetUpdate{}
		n.addUpstreams(time.Now(), entry, update)
		return update.GetSilent()
	}
	expect.Expect(silentIn().GetIds()).To(Equal([]string{"a"}))
	expect.Expect(silentIn()).To(BeNil())
	n.RecordHeartbeat(fleet.Upstream{ID: "a", StartUnixMs: 1, Sequence: 2, Address: "a:1", Phase: fleet.Ready})
	silent := silentIn()
	expect.Expect(silent).NotTo(BeNil())
	expect.Expect(silent.GetIds()).To(BeEmpty())
}

// A routing table of 1,500 routes sent by each replica to each daemon crosses data
// centres 3 times for each of 293 daemons.
func TestRoutingTableIsHeldBackFromOtherDataCentres(t *testing.T) {
	expect := NewWithT(t)
	accepted := time.UnixMilli(1_000_000)
	n := newUnstartedNode(t.TempDir())
	s := newSubscriberOf(node.RoleEntry)
	n.routingHistory.record(3, accepted.Add(-time.Second))
	s.setRoutingVersion(3)
	expect.Expect(n.routingDelay(accepted, s)).To(BeZero())
	n.routingHistory.record(4, accepted)
	expect.Expect(n.routingDelay(accepted, s)).To(Equal(remoteRoutingDelay))
	expect.Expect(n.routingDelay(accepted.Add(remoteRoutingDelay), s)).To(BeZero())
	n.settings.DataCentre = "d"
	expect.Expect(n.routingDelay(accepted, s)).To(BeZero())
	n.settings.DataCentre, s.incremental = "other", false
	expect.Expect(n.routingDelay(accepted, s)).To(BeZero())
	s.setRoutingVersion(4)
	s.setRoutingVersion(3)
	expect.Expect(s.knownRoutingVersion()).To(BeEquivalentTo(4))
}

// After a loss of power on all machines control applies its last tables when it has a
// leader: daemons in a data centre without a replica waited for them 150 ms longer.
func TestFirstRoutingTableIsNotHeldBack(t *testing.T) {
	expect := NewWithT(t)
	n := newUnstartedNode(t.TempDir())
	accepted := time.UnixMilli(1_000_000)
	n.routingHistory.record(4, accepted)
	expect.Expect(n.routingDelay(accepted, newSubscriberOf(node.RoleEntry))).To(BeZero())
}

// Each change began the delay anew: with one change every 100 ms, a data centre without a
// control replica got no routing table until the changes ended.
func TestRoutingTableIsNotHeldBackWhileChangesGoOn(t *testing.T) {
	for _, interval := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(interval.String(), func(t *testing.T) {
			expect := NewWithT(t)
			n := newUnstartedNode(t.TempDir())
			s := newSubscriberOf(node.RoleEntry)
			s.setRoutingVersion(1)
			start := time.UnixMilli(1_000_000)
			now, accepted := start, map[uint64]time.Time{}
			for version := uint64(2); now.Sub(start) < 3*time.Second; version++ {
				now = now.Add(interval)
				accepted[version] = now
				n.routingHistory.record(version, now)
				if n.routingDelay(now, s) == 0 {
					s.setRoutingVersion(version)
				}
				if at, missing := accepted[s.knownRoutingVersion()+1]; missing {
					expect.Expect(now.Sub(at)).To(BeNumerically("<=", remoteRoutingDelay+interval))
				}
			}
		})
	}
}

// An operator that gets no answer sends a change again, to several replicas.
func TestRepeatedChangeDoesNotHoldBackTheRoutingTable(t *testing.T) {
	expect := NewWithT(t)
	n := newUnstartedNode(t.TempDir())
	s := newSubscriberOf(node.RoleEntry)
	s.setRoutingVersion(1)
	accepted := time.UnixMilli(1_000_000)
	n.routingHistory.record(2, accepted)
	expect.Expect(n.routingDelay(accepted, s)).To(Equal(remoteRoutingDelay))
	n.routingHistory.record(2, accepted.Add(remoteRoutingDelay))
	expect.Expect(n.routingDelay(accepted.Add(remoteRoutingDelay), s)).To(BeZero())
}
