package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/pb"
)

func beatAt(id, address string) *pb.UpstreamBeat {
	return &pb.UpstreamBeat{Id: id, Sequence: 1, Service: "s", Address: address, Slots: 8, Phase: pb.UpstreamPhase_UPSTREAM_READY}
}

func silentIn(v *View, id string) bool {
	for _, u := range v.Upstreams() {
		if u.ID == id {
			return u.Silent
		}
	}
	return true
}

func listOf(ids ...string) *pb.SilentUpstreams { return &pb.SilentUpstreams{Ids: ids} }

// Replica a refused the record of the former engine of an address, and so does not list it as
// silent. The former engine counted as heard and displaced the present one, whose heartbeats are
// missing: no request was sent to the address.
func TestAnUnknownFormerEngineLeavesTheSilentOneAsTheLastResort(t *testing.T) {
	expect := NewWithT(t)
	v, pool := NewView(time.Second), dispatch.New(dispatch.Options{})
	merge := func(from string, u *pb.FleetUpdate) {
		for _, changed := range v.Merge(now, from, u).Upstreams {
			pool.UpdateUpstream(changed)
		}
	}
	merge("a", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{beatAt("current", "10.0.0.1:80")}, Silent: listOf("current")})
	merge("b", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{beatAt("current", "10.0.0.1:80"), beatAt("former", "10.0.0.1:80")}, Silent: listOf("current", "former")})
	expect.Expect(silentIn(v, "former")).To(BeTrue())
	pool.Request(now, dispatch.SlotRequest{ID: 1, Service: "s", Class: dispatch.Online, Avoid: []string{"former"}})
	granted, _ := pool.Drain()
	expect.Expect(granted).To(HaveLen(1))
	expect.Expect(granted[0].Upstream).To(Equal("current"))
}

// The only replica that knew an engine comes back without its disk. The engine was taken for heard
// from then on.
func TestUpstreamThatNoReplicaReportsIsSilentAfterAWhile(t *testing.T) {
	expect := NewWithT(t)
	v := NewView(time.Second)
	v.Merge(now, "a", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{beatAt("u", "10.0.0.1:80")}, Silent: listOf()})
	v.RemoveReplica("a")
	v.Merge(now, "b", &pb.FleetUpdate{Silent: listOf()})
	at := now
	for ; at.Sub(now) < unreportedIntervals*time.Second; at = at.Add(UpdateInterval) {
		v.Merge(at, "b", &pb.FleetUpdate{})
		expect.Expect(silentIn(v, "u")).To(BeFalse())
	}
	changes := v.Merge(at, "b", &pb.FleetUpdate{})
	expect.Expect(changes.Upstreams).To(HaveLen(1))
	expect.Expect(silentIn(v, "u")).To(BeTrue())
	v.Merge(at, "b", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{{Id: "u", Sequence: 2, Service: "s", Address: "10.0.0.1:80", Slots: 8, Phase: pb.UpstreamPhase_UPSTREAM_READY}}})
	expect.Expect(silentIn(v, "u")).To(BeFalse(), "heard by another replica")
}

// While no control replica can be reached, nobody can say that an engine is not heard.
func TestUpstreamsStayInUseWithoutControl(t *testing.T) {
	expect := NewWithT(t)
	v := NewView(time.Second)
	v.Merge(now, "a", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{beatAt("u", "10.0.0.1:80")}, Silent: listOf()})
	v.RemoveReplica("a")
	for second := range 60 {
		v.Merge(now.Add(time.Duration(second)*time.Second), "b", &pb.FleetUpdate{})
	}
	expect.Expect(silentIn(v, "u")).To(BeFalse())
	at := now.Add(time.Minute)
	v.Merge(at, "a", &pb.FleetUpdate{Silent: listOf()})
	expect.Expect(silentIn(v, "u")).To(BeFalse())
}

// Control stops to list an upstream as silent when it drops it, and sends no record then.
func TestUpstreamThatAReplicaDroppedIsNotHeardThere(t *testing.T) {
	expect := NewWithT(t)
	v := NewView(time.Second)
	update := func(silent *pb.SilentUpstreams) *pb.FleetUpdate {
		return &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{beatAt("u", "10.0.0.1:80")}, Silent: silent}
	}
	v.Merge(now, "a", update(listOf("u")))
	v.Merge(now, "b", update(listOf()))
	v.Merge(now.Add(time.Second), "a", &pb.FleetUpdate{Silent: listOf()})
	expect.Expect(silentIn(v, "u")).To(BeFalse())
	v.Merge(now.Add(time.Second), "b", &pb.FleetUpdate{Silent: listOf("u")})
	expect.Expect(silentIn(v, "u")).To(BeTrue())
}

// An engine that control has missed for longer than a minute is heard again.
func TestUpstreamThatIsHeardAgainAfterALongSilenceIsInUse(t *testing.T) {
	expect := NewWithT(t)
	v := NewView(time.Second)
	v.Merge(now, "a", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{beatAt("u", "10.0.0.1:80")}, Silent: listOf("u")})
	at := now.Add(90 * time.Second)
	again := beatAt("u", "10.0.0.1:80")
	again.Sequence, again.SoftwareVersion = 2, "v2"
	update := &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{again}, Silent: listOf()}
	for second := range 20 {
		v.Merge(at.Add(time.Duration(second)*time.Second), "a", update)
		update = &pb.FleetUpdate{}
	}
	expect.Expect(silentIn(v, "u")).To(BeFalse())
}

// Replica a sends a changed record of an upstream that it goes on to list as silent, and then drops
// the upstream. Only b heard it, and misses it now.
func TestChangedRecordOfASilentUpstreamDoesNotMakeItHeard(t *testing.T) {
	expect := NewWithT(t)
	v := NewView(time.Second)
	update := func(silent *pb.SilentUpstreams) *pb.FleetUpdate {
		return &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{beatAt("u", "10.0.0.1:80")}, Silent: silent}
	}
	v.Merge(now, "a", update(listOf("u")))
	v.Merge(now, "b", update(listOf()))
	changed := beatAt("u", "10.0.0.1:80")
	changed.Sequence, changed.SoftwareVersion = 2, "v2"
	v.Merge(now, "a", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{changed}})
	v.Merge(now, "a", &pb.FleetUpdate{Silent: listOf()})
	v.Merge(now, "b", &pb.FleetUpdate{Silent: listOf("u")})
	expect.Expect(silentIn(v, "u")).To(BeTrue())
}
