package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/pb"
)

// testControl is the table of a control replica, and what it has sent to a daemon.
type testControl struct {
	*fleet.Table
	sent uint64
}

func (c *testControl) update(now time.Time, silent ...string) *pb.FleetUpdate {
	update := &pb.FleetUpdate{Silent: &pb.SilentUpstreams{Ids: silent}}
	for _, u := range c.ChangedSince(c.sent) {
		update.Upstreams = append(update.Upstreams, EncodeHeartbeat(now, u))
	}
	c.sent = c.LastChange()
	return update
}

func heardUpstream(id string, sequence uint64, at time.Time) fleet.Upstream {
	return fleet.Upstream{ID: id, Sequence: sequence, Service: "s", Address: id + ":80", Slots: 8, Phase: fleet.Ready, LastHeartbeat: at}
}

func phaseIn(v *View, id string) fleet.Phase {
	for _, u := range v.Upstreams() {
		if u.ID == id {
			return u.Phase
		}
	}
	return 0
}

// Control replicas drop expired upstreams every 100 ms, daemons every 10 s. An upstream that
// was wrongly taken for gone is heard again as soon as control has dropped it.
func TestADaemonHearsOfAnUpstreamThatControlDroppedFirst(t *testing.T) {
	expect := NewWithT(t)
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	control, daemon := &testControl{Table: fleet.NewTable(time.Second)}, NewView(time.Second)
	gone := heardUpstream("u", 4, at(0))
	gone.Phase = fleet.Gone
	control.Apply(gone)
	daemon.Merge(at(0), "a", control.update(at(0)))
	expect.Expect(control.Expire(at(120))).To(Equal([]string{"u"}))
	control.Apply(heardUpstream("u", 200, at(121)))
	daemon.Merge(at(121), "a", control.update(at(121)))
	daemon.ExpireUpstreams(at(129))
	for second := 122; second < 180; second++ {
		control.Apply(heardUpstream("u", uint64(second+80), at(second)))
		daemon.Merge(at(second), "a", control.update(at(second)))
	}
	expect.Expect(phaseIn(daemon, "u")).To(Equal(fleet.Ready))
	expect.Expect(silentIn(daemon, "u")).To(BeFalse())
}

// An upstream is cut off from control for just under the time after which control drops
// it; the daemon drops it before that.
func TestADaemonKeepsASilentUpstreamAsLongAsControl(t *testing.T) {
	expect := NewWithT(t)
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	control, daemon := &testControl{Table: fleet.NewTable(time.Second)}, NewView(time.Second)
	sequence := uint64(0)
	for second := range 150 {
		sequence++
		control.Apply(heardUpstream("other", sequence, at(second)))
		if second <= 4 || second >= 122 {
			control.Apply(heardUpstream("u", sequence, at(second)))
		}
		expect.Expect(control.Expire(at(second))).To(BeEmpty())
		daemon.Merge(at(second), "a", control.update(at(second), control.MarkSilent(at(second-4))...))
		if second%10 == 0 {
			daemon.ExpireUpstreams(at(second))
		}
	}
	expect.Expect(phaseIn(daemon, "u")).To(Equal(fleet.Ready))
	expect.Expect(silentIn(daemon, "u")).To(BeFalse())
}

// Control no longer lists an upstream as silent once it has dropped it. A daemon must have
// dropped it by then, also if it subscribed shortly before.
func TestADaemonDropsASilentUpstreamThatControlDrops(t *testing.T) {
	for _, subscribedAt := range []int{0, 30, 100, 119, 120} {
		expect := NewWithT(t)
		at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
		control, daemon := &testControl{Table: fleet.NewTable(time.Second)}, NewView(time.Second)
		for second := range 200 {
			control.Apply(heardUpstream("other", uint64(second+1), at(second)))
			if second <= 4 {
				control.Apply(heardUpstream("u", uint64(second+1), at(second)))
			}
			control.Expire(at(second))
			silent := control.MarkSilent(at(second - 4))
			if second < subscribedAt {
				continue
			}
			daemon.Merge(at(second), "a", control.update(at(second), silent...))
			if (second-subscribedAt)%10 == 9 {
				daemon.ExpireUpstreams(at(second))
			}
		}
		expect.Expect(phaseIn(daemon, "u")).To(BeZero(), "subscribed at %d s", subscribedAt)
		expect.Expect(phaseIn(daemon, "other")).To(Equal(fleet.Ready))
	}
}
