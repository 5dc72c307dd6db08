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

func reviewBeat(id string, sequence uint64, phase pb.UpstreamPhase) *pb.UpstreamBeat {
	return &pb.UpstreamBeat{Id: id, Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Slots: 8, Phase: phase}
}

// The follower merges the updates of two replicas in one order, but hands the changes to the
// pool in the other.
func TestThePoolKeepsTheLatestChangeOfTheView(t *testing.T) {
	expect := NewWithT(t)
	v := NewView()
	pool := NewSlotPool(dispatch.Options{}, func() {}, func(dispatch.HealthChange) {}, func(dispatch.PreemptionRequest) {})
	first := v.Merge(now, "a", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{reviewBeat("current", 1, pb.UpstreamPhase_UPSTREAM_DRAINING)}})
	second := v.Merge(now, "b", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{reviewBeat("current", 2, pb.UpstreamPhase_UPSTREAM_READY)}})
	expect.Expect(v.Upstreams()[0].Phase).To(Equal(fleet.Ready))
	pool.UpdateUpstreams(second.Upstreams)
	pool.UpdateUpstreams(first.Upstreams)
	_, refusal := pool.Acquire(context.Background(), dispatch.SlotRequest{Service: "s", MaxWait: 0})
	expect.Expect(refusal).To(BeNil())
}

// As above: the later change is that the upstream has left.
func TestThePoolDoesNotUseAnUpstreamThatLeft(t *testing.T) {
	expect := NewWithT(t)
	v := NewView()
	pool := NewSlotPool(dispatch.Options{}, func() {}, func(dispatch.HealthChange) {}, func(dispatch.PreemptionRequest) {})
	first := v.Merge(now, "a", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{reviewBeat("current", 1, pb.UpstreamPhase_UPSTREAM_READY)}})
	second := v.Merge(now, "b", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{reviewBeat("current", 2, pb.UpstreamPhase_UPSTREAM_DRAINING)}})
	pool.UpdateUpstreams(second.Upstreams)
	pool.UpdateUpstreams(first.Upstreams)
	_, refusal := pool.Acquire(context.Background(), dispatch.SlotRequest{Service: "s", MaxWait: 0})
	expect.Expect(refusal).NotTo(BeNil())
}

// A response of another instance at an upstream's former address says nothing about the
// upstream at its present one.
func TestAnotherInstanceAtAFormerAddressDoesNotEndAnUpstream(t *testing.T) {
	expect := NewWithT(t)
	pool := dispatch.New(dispatch.Options{})
	u := fleet.Upstream{ID: "u", Sequence: 1, Service: "s", Address: "10.0.0.1:80", Slots: 8, Phase: fleet.Ready}
	pool.UpdateUpstream(u)
	pool.Request(now, dispatch.SlotRequest{ID: 1, Service: "s"})
	granted, _ := pool.Drain()
	u.Sequence, u.Address = 2, "10.0.0.2:80"
	pool.UpdateUpstream(u)
	pool.Release(now, granted[0], dispatch.OtherInstance)
	pool.Request(now.Add(time.Second), dispatch.SlotRequest{ID: 2, Service: "s"})
	granted, _ = pool.Drain()
	expect.Expect(granted).To(HaveLen(1))
}
