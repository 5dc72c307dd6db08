package controlnode

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
)

// reviewReplica is a control replica with the view that merges what the others send it.
type reviewReplica struct {
	*Node
	address string
}

func newReviewReplica(t *testing.T, address string) reviewReplica {
	n := newUnstartedNode(t.TempDir())
	n.view = node.NewView()
	return reviewReplica{n, address}
}

// update returns what the replica sends to a subscriber next.
func (r reviewReplica) update(s *subscriber) *pb.FleetUpdate {
	update := &pb.FleetUpdate{}
	r.addUpstreams(time.Now(), s, update)
	return update
}

// send sends the next update to another replica.
func (r reviewReplica) send(s *subscriber, to reviewReplica) {
	to.applyRelayed(to.view.Merge(time.Now(), r.address, r.update(s)))
}

func reviewHeartbeat(id string, sequence uint64) fleet.Upstream {
	return fleet.Upstream{ID: id, Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Slots: 8, Phase: fleet.Ready}
}

func phaseIn(v *node.View, id string) fleet.Phase {
	for _, u := range v.Upstreams() {
		if u.ID == id {
			return u.Phase
		}
	}
	return 0
}

// Replica b is back with a saved table that has only the former engine of an address; a
// knows the present one. A daemon subscribes to both; b hears of the present engine from
// a before a subscribes to b. The present engine sends on heartbeats to a.
func TestADaemonHearsAgainOfAnEngineThatItsViewReplaced(t *testing.T) {
	expect := NewWithT(t)
	a, b := newReviewReplica(t, "a"), newReviewReplica(t, "b")
	b.RecordHeartbeat(reviewHeartbeat("former", 9))
	a.RecordHeartbeat(reviewHeartbeat("current", 1))
	daemon := node.NewView()
	aToDaemon, bToDaemon := newSubscriberOf(node.RoleEntry), newSubscriberOf(node.RoleEntry)
	aToB, bToA := newSubscriberOf(node.RoleControl), newSubscriberOf(node.RoleControl)
	exchange := func() {
		daemon.Merge(time.Now(), "a", a.update(aToDaemon))
		daemon.Merge(time.Now(), "b", b.update(bToDaemon))
		a.send(aToB, b)
		b.send(bToA, a)
	}
	exchange()
	for sequence := uint64(2); sequence < 20; sequence++ {
		exchange()
		a.RecordHeartbeat(reviewHeartbeat("current", sequence))
	}
	exchange()
	for _, r := range []reviewReplica{a, b} {
		u, _ := r.upstreams.Get("current")
		expect.Expect(u.Phase).To(Equal(fleet.Ready), r.address)
	}
	expect.Expect(phaseIn(daemon, "former")).NotTo(Equal(fleet.Ready))
	expect.Expect(phaseIn(daemon, "current")).To(Equal(fleet.Ready))
}

// Replica b is cut off from a, and has only the former engine, which crashed. A daemon
// that reaches both subscribes to b after a.
func TestAReplicaThatIsCutOffDoesNotReplaceAnEngineAtADaemon(t *testing.T) {
	expect := NewWithT(t)
	a, b := newReviewReplica(t, "a"), newReviewReplica(t, "b")
	b.RecordHeartbeat(reviewHeartbeat("former", 9))
	a.RecordHeartbeat(reviewHeartbeat("former", 8))
	a.RecordHeartbeat(reviewHeartbeat("current", 1))
	daemon := node.NewView()
	aToDaemon, bToDaemon := newSubscriberOf(node.RoleEntry), newSubscriberOf(node.RoleEntry)
	daemon.Merge(time.Now(), "a", a.update(aToDaemon))
	daemon.Merge(time.Now(), "b", b.update(bToDaemon))
	for sequence := uint64(2); sequence < 100; sequence++ {
		a.RecordHeartbeat(reviewHeartbeat("current", sequence))
		daemon.Merge(time.Now(), "a", a.update(aToDaemon))
		daemon.Merge(time.Now(), "b", b.update(bToDaemon))
	}
	expect.Expect(phaseIn(daemon, "current")).To(Equal(fleet.Ready))
}

// An engine leaves through a replica that does not know it, and another starts at its
// address.
func TestADeregistrationAtAReplicaWithAnEmptyDiskLeavesTheNextEngine(t *testing.T) {
	expect := NewWithT(t)
	a, b := newReviewReplica(t, "a"), newReviewReplica(t, "b")
	daemon := node.NewView()
	aToDaemon, bToDaemon := newSubscriberOf(node.RoleEntry), newSubscriberOf(node.RoleEntry)
	aToB, bToA := newSubscriberOf(node.RoleControl), newSubscriberOf(node.RoleControl)
	a.RecordHeartbeat(reviewHeartbeat("former", 9))
	daemon.Merge(time.Now(), "a", a.update(aToDaemon))
	b.Deregister("former")
	exchange := func() {
		a.send(aToB, b)
		b.send(bToA, a)
		daemon.Merge(time.Now(), "a", a.update(aToDaemon))
		daemon.Merge(time.Now(), "b", b.update(bToDaemon))
	}
	exchange()
	for sequence := uint64(1); sequence < 20; sequence++ {
		b.RecordHeartbeat(reviewHeartbeat("current", sequence))
		exchange()
	}
	for _, r := range []reviewReplica{a, b} {
		u, _ := r.upstreams.Get("current")
		expect.Expect(u.Phase).To(Equal(fleet.Ready), r.address)
	}
	expect.Expect(phaseIn(daemon, "current")).To(Equal(fleet.Ready))
}
