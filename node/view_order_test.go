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

// applyInOrder merges two updates of two replicas. The second one arrives while the first is
// being applied to the pool.
func applyInOrder(v *View, pool *SlotPool, first, second *pb.FleetUpdate) {
	merged, release, done := make(chan struct{}), make(chan struct{}), make(chan struct{}, 2)
	go func() {
		v.MergeAndApply(now, "a", first, func(changes ViewChanges) {
			close(merged)
			<-release
			pool.UpdateUpstreams(changes.Upstreams)
		})
		done <- struct{}{}
	}()
	<-merged
	go func() {
		v.MergeAndApply(now, "b", second, func(changes ViewChanges) { pool.UpdateUpstreams(changes.Upstreams) })
		done <- struct{}{}
	}()
	// Time for the second update to overtake the first.
	select {
	case <-done:
		close(release)
	case <-time.After(100 * time.Millisecond):
		close(release)
		<-done
	}
	<-done
}

var noHooks = SlotHooks{
	LoadChanged: func() {}, HealthChanged: func(dispatch.HealthChange) {}, Leaving: func(dispatch.LeavingChange) {},
	RateChanged: func(dispatch.RateChange) {}, PreemptionRequested: func(dispatch.PreemptionRequest) {},
}

func newPoolOfView() *SlotPool {
	return NewSlotPool(dispatch.Options{}, noHooks)
}

func oneBeat(sequence uint64, phase pb.UpstreamPhase) *pb.FleetUpdate {
	return &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{{
		Id: "current", Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Slots: 8, Phase: phase,
	}}}
}

// The follower merges the updates of two replicas in one order. The pool must get the
// changes in the same order.
func TestThePoolKeepsTheLatestChangeOfTheView(t *testing.T) {
	expect := NewWithT(t)
	v, pool := NewView(time.Second), newPoolOfView()
	applyInOrder(v, pool, oneBeat(1, pb.UpstreamPhase_UPSTREAM_DRAINING), oneBeat(2, pb.UpstreamPhase_UPSTREAM_READY))
	expect.Expect(v.Upstreams()[0].Phase).To(Equal(fleet.Ready))
	_, refusal := pool.Acquire(context.Background(), dispatch.SlotRequest{Service: "s", MaxWait: 0})
	expect.Expect(refusal).To(BeNil())
}

// As above: the later change is that the upstream has left.
func TestThePoolDoesNotUseAnUpstreamThatLeft(t *testing.T) {
	expect := NewWithT(t)
	v, pool := NewView(time.Second), newPoolOfView()
	applyInOrder(v, pool, oneBeat(1, pb.UpstreamPhase_UPSTREAM_READY), oneBeat(2, pb.UpstreamPhase_UPSTREAM_DRAINING))
	_, refusal := pool.Acquire(context.Background(), dispatch.SlotRequest{Service: "s", MaxWait: 0})
	expect.Expect(refusal).NotTo(BeNil())
}

// An upstream that has expired is heard again before the pool has removed it.
func TestThePoolKeepsAnUpstreamThatIsHeardAgain(t *testing.T) {
	expect := NewWithT(t)
	v, pool := NewView(time.Second), newPoolOfView()
	pool.UpdateUpstreams(v.Merge(now, "a", oneBeat(1, pb.UpstreamPhase_UPSTREAM_GONE)).Upstreams)
	expired, done := make(chan struct{}), make(chan struct{})
	go func() {
		<-expired
		v.MergeAndApply(now.Add(time.Hour), "a", oneBeat(2, pb.UpstreamPhase_UPSTREAM_READY), func(changes ViewChanges) { pool.UpdateUpstreams(changes.Upstreams) })
		close(done)
	}()
	v.ExpireAndApply(now.Add(time.Hour), func(ids []string) {
		close(expired)
		// Time for the update to overtake the removal.
		select {
		case <-done:
		case <-time.After(100 * time.Millisecond):
		}
		for _, id := range ids {
			pool.RemoveUpstream(id)
		}
	})
	<-done
	_, refusal := pool.Acquire(context.Background(), dispatch.SlotRequest{Service: "s", MaxWait: 0})
	expect.Expect(refusal).To(BeNil())
}
