package controlnode

import (
	"io"
	"slices"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
)

// testReplica is a control replica at a clock.
type testReplica struct {
	*Node
	address string
	clock   *testClock
}

func newTestReplica(t *testing.T, address string, clock *testClock) testReplica {
	return testReplica{newUnstartedNodeAt(t.TempDir(), clock.now, log.New(io.Discard)), address, clock}
}

// update returns what the replica sends to a subscriber next.
func (r testReplica) update(s *subscriber) *pb.FleetUpdate {
	update := &pb.FleetUpdate{}
	r.expireUpstreams()
	r.addUpstreams(r.clock.now(), s, update)
	return update
}

// send sends the next update to another replica.
func (r testReplica) send(s *subscriber, to testReplica) {
	to.applyRelayed(to.view.Merge(to.clock.now(), r.address, r.update(s)))
}

func addressHeartbeat(id string, sequence uint64) fleet.Upstream {
	return fleet.Upstream{ID: id, Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Slots: 8, Phase: fleet.Ready}
}

// isUsableIn reports whether a daemon uses an upstream before others are unavailable.
func isUsableIn(v *node.View, id string) bool {
	for _, u := range v.Upstreams() {
		if u.ID == id {
			return u.Phase == fleet.Ready && !u.Silent
		}
	}
	return false
}

// isUsable reports whether a replica has an upstream as Ready and not silent.
func (r testReplica) isUsable(id string) bool {
	r.expireUpstreams()
	u, known := r.upstreams.Get(id)
	return known && u.Phase == fleet.Ready && !slices.Contains(r.silent, id)
}

// Replica b is back with a saved table that has only the former engine of an address; a
// knows the present one. A daemon subscribes to both; b hears of the present engine from
// a before a subscribes to b. The present engine sends on heartbeats to a.
func TestADaemonHearsAgainOfAnEngineThatItsViewReplaced(t *testing.T) {
	expect := NewWithT(t)
	clock := newTestClock()
	a, b := newTestReplica(t, "a", clock), newTestReplica(t, "b", clock)
	b.RecordHeartbeat(addressHeartbeat("former", 9))
	a.RecordHeartbeat(addressHeartbeat("current", 1))
	daemon := node.NewView(testHeartbeatInterval)
	aToDaemon, bToDaemon := newSubscriberOf(node.RoleEntry), newSubscriberOf(node.RoleEntry)
	aToB, bToA := newSubscriberOf(node.RoleControl), newSubscriberOf(node.RoleControl)
	exchange := func() {
		daemon.Merge(clock.now(), "a", a.update(aToDaemon))
		daemon.Merge(clock.now(), "b", b.update(bToDaemon))
		a.send(aToB, b)
		b.send(bToA, a)
	}
	exchange()
	for sequence := uint64(2); sequence < 20; sequence++ {
		exchange()
		clock.advance(1)
		a.RecordHeartbeat(addressHeartbeat("current", sequence))
	}
	exchange()
	for _, r := range []testReplica{a, b} {
		expect.Expect(r.isUsable("current")).To(BeTrue(), r.address)
	}
	expect.Expect(isUsableIn(daemon, "former")).To(BeFalse())
	expect.Expect(isUsableIn(daemon, "current")).To(BeTrue())
}

// Replica b is cut off from a, and has only the former engine, which crashed. A daemon
// that reaches both subscribes to b after a.
func TestAReplicaThatIsCutOffDoesNotReplaceAnEngineAtADaemon(t *testing.T) {
	expect := NewWithT(t)
	clock := newTestClock()
	a, b := newTestReplica(t, "a", clock), newTestReplica(t, "b", clock)
	b.RecordHeartbeat(addressHeartbeat("former", 9))
	a.RecordHeartbeat(addressHeartbeat("former", 8))
	clock.advance(2)
	a.RecordHeartbeat(addressHeartbeat("current", 1))
	daemon := node.NewView(testHeartbeatInterval)
	aToDaemon, bToDaemon := newSubscriberOf(node.RoleEntry), newSubscriberOf(node.RoleEntry)
	daemon.Merge(clock.now(), "a", a.update(aToDaemon))
	daemon.Merge(clock.now(), "b", b.update(bToDaemon))
	for sequence := uint64(2); sequence < 100; sequence++ {
		clock.advance(1)
		a.RecordHeartbeat(addressHeartbeat("current", sequence))
		daemon.Merge(clock.now(), "a", a.update(aToDaemon))
		daemon.Merge(clock.now(), "b", b.update(bToDaemon))
	}
	expect.Expect(isUsableIn(daemon, "current")).To(BeTrue())
}

// An engine leaves through a replica that does not know it, and another starts at its
// address.
func TestADeregistrationAtAReplicaWithAnEmptyDiskLeavesTheNextEngine(t *testing.T) {
	expect := NewWithT(t)
	clock := newTestClock()
	a, b := newTestReplica(t, "a", clock), newTestReplica(t, "b", clock)
	daemon := node.NewView(testHeartbeatInterval)
	aToDaemon, bToDaemon := newSubscriberOf(node.RoleEntry), newSubscriberOf(node.RoleEntry)
	aToB, bToA := newSubscriberOf(node.RoleControl), newSubscriberOf(node.RoleControl)
	a.RecordHeartbeat(addressHeartbeat("former", 9))
	daemon.Merge(clock.now(), "a", a.update(aToDaemon))
	b.Deregister("former")
	exchange := func() {
		a.send(aToB, b)
		b.send(bToA, a)
		daemon.Merge(clock.now(), "a", a.update(aToDaemon))
		daemon.Merge(clock.now(), "b", b.update(bToDaemon))
	}
	exchange()
	for sequence := uint64(1); sequence < 20; sequence++ {
		clock.advance(1)
		b.RecordHeartbeat(addressHeartbeat("current", sequence))
		exchange()
	}
	for _, r := range []testReplica{a, b} {
		expect.Expect(r.isUsable("current")).To(BeTrue(), r.address)
	}
	expect.Expect(isUsableIn(daemon, "current")).To(BeTrue())
}

// An engine leaves through a replica that knows it from another one. The other replica
// must hear of that.
func TestADeregistrationIsRelayedAlsoIfTheHeartbeatWasRelayed(t *testing.T) {
	expect := NewWithT(t)
	clock := newTestClock()
	a, b := newTestReplica(t, "a", clock), newTestReplica(t, "b", clock)
	aToB, bToA := newSubscriberOf(node.RoleControl), newSubscriberOf(node.RoleControl)
	a.send(aToB, b)
	b.send(bToA, a)
	a.RecordHeartbeat(addressHeartbeat("u", 1))
	a.send(aToB, b)
	b.send(bToA, a)
	b.Deregister("u")
	b.send(bToA, a)
	u, _ := a.upstreams.Get("u")
	expect.Expect(u.Phase).To(Equal(fleet.Gone))
}

// Replica b is back with a saved table that has an engine that was not heard for almost two
// minutes; a has lost its disk. The record from b expired at a before a listed the engine as
// silent, and daemons took the engine for heard at a, for good.
func TestARelayedRecordThatExpiresAtOnceIsNotHeard(t *testing.T) {
	expect := NewWithT(t)
	clock := newTestClock()
	folder := t.TempDir()
	b := testReplica{newUnstartedNodeAt(folder, clock.now, log.New(io.Discard)), "b", clock}
	running := func(sequence uint64) fleet.Upstream {
		return fleet.Upstream{ID: "running", Sequence: sequence, Service: "s", Address: "10.0.0.2:80", Slots: 8, Phase: fleet.Ready}
	}
	b.RecordHeartbeat(addressHeartbeat("crashed", 9))
	clock.advance(117)
	b.RecordHeartbeat(running(1))
	b.saveUpstreams()

	a := newTestReplica(t, "a", clock)
	b = testReplica{newUnstartedNodeAt(folder, clock.now, log.New(io.Discard)), "b", clock}
	daemon := node.NewView(testHeartbeatInterval)
	aToDaemon, bToDaemon := newSubscriberOf(node.RoleStore), newSubscriberOf(node.RoleStore)
	aToB, bToA := newSubscriberOf(node.RoleControl), newSubscriberOf(node.RoleControl)
	// toDaemon sends an update at once, as after a change.
	toDaemon := func(r testReplica, s *subscriber) {
		update := &pb.FleetUpdate{}
		r.addUpstreams(clock.now(), s, update)
		daemon.Merge(clock.now(), r.address, update)
	}
	toDaemon(a, aToDaemon)
	a.RecordHeartbeat(running(2))
	b.send(bToA, a)
	toDaemon(a, aToDaemon)
	for sequence := uint64(3); sequence < 150; sequence++ {
		a.RecordHeartbeat(running(sequence))
		a.send(aToB, b)
		b.send(bToA, a)
		a.expireUpstreams()
		toDaemon(a, aToDaemon)
		toDaemon(b, bToDaemon)
		daemon.ExpireUpstreams(clock.now())
		clock.advance(1)
	}
	expect.Expect(isUsableIn(daemon, "running")).To(BeTrue())
	expect.Expect(isUsableIn(daemon, "crashed")).To(BeFalse())
}

// The heartbeat of an engine that crashed minutes ago was held until the routing table named its
// service. It expired before it was listed as silent, and daemons took the engine for heard.
func TestAHeldHeartbeatThatExpiresAtOnceIsNotHeard(t *testing.T) {
	expect := NewWithT(t)
	clock := newTestClock()
	a := newTestReplica(t, "a", clock)
	a.services.version = 1
	a.RecordHeartbeat(addressHeartbeat("crashed", 9))
	clock.advance(130)
	a.services.routing = func() *acceptedRouting { return &acceptedRouting{version: 2} }
	a.services.decode = func([]byte) ([]string, error) { return []string{"s"}, nil }
	daemon, aToDaemon := node.NewView(testHeartbeatInterval), newSubscriberOf(node.RoleStore)
	daemon.Merge(clock.now(), "a", a.update(aToDaemon))
	running := func(sequence uint64) fleet.Upstream {
		return fleet.Upstream{ID: "running", Sequence: sequence, Service: "s", Address: "10.0.0.2:80", Slots: 8, Phase: fleet.Ready}
	}
	a.recordHeartbeat(func() fleet.Upstream { u := running(1); u.LastHeartbeat = clock.now(); return u }())
	a.updateServices()
	for sequence := uint64(2); sequence < 150; sequence++ {
		update := &pb.FleetUpdate{}
		a.addUpstreams(clock.now(), aToDaemon, update)
		daemon.Merge(clock.now(), "a", update)
		daemon.ExpireUpstreams(clock.now())
		clock.advance(1)
		a.RecordHeartbeat(running(sequence))
		a.expireUpstreams()
	}
	expect.Expect(isUsableIn(daemon, "running")).To(BeTrue())
	expect.Expect(isUsableIn(daemon, "crashed")).To(BeFalse())
}

// Views tell the end of a silence from a drop by the record that comes with the list, also if the
// heartbeat that ends the silence differs from the one before.
func TestRecordOfAnUpstreamThatIsHeardAgainComesWithTheList(t *testing.T) {
	for _, version := range []string{"", "v2"} {
		expect := NewWithT(t)
		clock := newTestClock()
		r := newTestReplica(t, "a", clock)
		daemon := newSubscriberOf(node.RoleEntry)
		r.RecordHeartbeat(addressHeartbeat("u", 1))
		r.update(daemon)
		clock.advance(10)
		expect.Expect(r.update(daemon).GetSilent().GetIds()).To(Equal([]string{"u"}))
		again := addressHeartbeat("u", 2)
		again.SoftwareVersion = version
		r.RecordHeartbeat(again)
		// An update may be sent before the next maintenance.
		r.addUpstreams(clock.now(), daemon, &pb.FleetUpdate{})
		update := r.update(daemon)
		expect.Expect(update.GetSilent().GetIds()).To(BeEmpty())
		expect.Expect(update.GetUpstreams()).To(HaveLen(1), "version %q", version)
	}
}

// A daemon subscribes to a replica that has just started, before the first maintenance.
func TestSavedUpstreamsAreListedAsSilentFromTheStart(t *testing.T) {
	expect := NewWithT(t)
	clock, folder := newTestClock(), t.TempDir()
	before := newUnstartedNodeAt(folder, clock.now, log.New(io.Discard))
	before.RecordHeartbeat(addressHeartbeat("u", 1))
	before.saveUpstreams()
	after := newUnstartedNodeAt(folder, clock.now, log.New(io.Discard))
	update := &pb.FleetUpdate{}
	after.addUpstreams(clock.now(), newSubscriberOf(node.RoleEntry), update)
	expect.Expect(update.GetSilent().GetIds()).To(Equal([]string{"u"}))
}
