package member

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/internal/soak"
	"github.com/briarcross/briarcross/pb"
)

const (
	serving  = pb.MemberState_MEMBER_SERVING
	draining = pb.MemberState_MEMBER_DRAINING
	left     = pb.MemberState_MEMBER_LEFT

	// propagationBound is the time within which every entry must know that a
	// member is draining or has left.
	propagationBound = 2 * time.Second
)

func TestMembersReachEveryEntry(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(1, 5, 300)
	n.run(2 * time.Second)
	for _, e := range n.entries {
		g.Expect(e.count(serving)).To(Equal(300))
		g.Expect(e.agrees()).To(BeTrue())
	}
}

func TestDrainReachesEveryEntryAlthoughItsMessagesAreLost(t *testing.T) {
	for _, seed := range soak.Seeds(t, 40) {
		g := NewWithT(t)
		replay := soak.ReplayCommand(t, "member", seed)
		n := newNetwork(seed, 5, 9)
		n.run(3 * time.Second)
		n.lossPercent = 100
		n.setMember(3, 1, draining)
		n.lossPercent = 25
		n.run(propagationBound)
		for _, e := range n.entries {
			g.Expect(e.count(draining)).To(Equal(1), "%s, %s", replay, e.address)
		}
	}
}

func TestLeaveReachesEveryEntryAlthoughItsMessagesAreLost(t *testing.T) {
	for _, seed := range soak.Seeds(t, 40) {
		g := NewWithT(t)
		replay := soak.ReplayCommand(t, "member", seed)
		n := newNetwork(seed, 5, 9)
		n.run(3 * time.Second)
		n.lossPercent = 100
		n.setMember(3, 1, left)
		n.lossPercent = 25
		n.run(propagationBound)
		for _, e := range n.entries {
			g.Expect(e.view).To(HaveLen(8), "%s, %s", replay, e.address)
		}
	}
}

func TestSilentMemberExpires(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(2, 5, 9)
	n.run(3 * time.Second)
	n.sidecars[4].down = true
	n.run(DefaultMemberTimeout - DefaultHeartbeatInterval - tick)
	g.Expect(n.entries[0].count(serving)).To(Equal(9))
	n.run(DefaultHeartbeatInterval + 4*tick)
	for _, e := range n.entries {
		g.Expect(e.count(serving)).To(Equal(8))
	}
	n.sidecars[4].down = false
	n.run(2 * time.Second)
	g.Expect(n.entries[0].count(serving)).To(Equal(9))
}

func TestMembersSurviveTheLossOfTheirRegistrars(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(3, 6, 12)
	n.run(3 * time.Second)
	for _, e := range n.entries[:3] {
		e.down = true
	}
	for range 60 {
		n.run(250 * time.Millisecond)
		for _, e := range n.entries[3:] {
			g.Expect(e.count(serving)).To(Equal(12), e.address)
		}
	}
}

func TestEntryKeepsItsMembersWhenNoRegistrarResponds(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(4, 3, 5)
	n.run(3 * time.Second)
	n.lossPercent = 100
	n.run(time.Second)
	for _, e := range n.entries {
		g.Expect(e.count(serving)).To(Equal(5))
	}
	n.run(time.Minute)
	g.Expect(n.entries[0].table.Members()).To(HaveLen(5))
}

func TestADrainingMemberMayServeAgainButOneThatLeftMayNot(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(5, 3, 2)
	n.run(time.Second)
	n.setMember(0, 1, draining)
	n.run(time.Second)
	g.Expect(n.entries[0].count(draining)).To(Equal(1))
	n.setMember(0, 1, serving)
	n.run(time.Second)
	g.Expect(n.entries[0].count(serving)).To(Equal(2))
	n.setMember(0, 1, left)
	n.run(time.Second)
	n.setMember(0, 1, serving)
	n.run(time.Second)
	g.Expect(n.entries[0].count(serving)).To(Equal(1))
	n.setMember(0, 2, serving)
	n.run(time.Second)
	g.Expect(n.entries[0].count(serving)).To(Equal(2))
}

func TestOnlyLargeLoadChangesAreAnnounced(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	a := NewAnnouncer(AnnouncerOptions{Registrars: []string{"a"}})
	member := &pb.Member{Id: "u", Incarnation: 1, State: serving, Load: &pb.Load{RunningOnline: 20}}
	a.Step(now, SetMember{Member: member})
	member.Load = &pb.Load{RunningOnline: 25}
	a.Step(now, SetMember{Member: member})
	g.Expect(a.Member().GetVersion()).To(BeEquivalentTo(1))
	member.Load = &pb.Load{RunningOnline: 40}
	a.Step(now, SetMember{Member: member})
	g.Expect(a.Member().GetVersion()).To(BeEquivalentTo(2))
}

// TestEntriesConvergeUnderRandomFaults loses, duplicates and delays datagrams
// while members and entries start, stop and change.
func TestEntriesConvergeUnderRandomFaults(t *testing.T) {
	for _, seed := range soak.Seeds(t, 60) {
		g := NewWithT(t)
		replay := soak.ReplayCommand(t, "member", seed)
		n := newNetwork(seed, 4, 8)
		n.lossPercent = 20
		incarnations := make([]uint64, len(n.sidecars))
		for range 40 {
			n.disturb(incarnations)
			n.run(time.Duration(1+n.random.IntN(30)) * tick)
		}
		n.lossPercent = 0
		for i, e := range n.entries {
			if e.down {
				n.startEntry(i)
			}
		}
		n.run(15 * time.Second)
		for _, e := range n.entries {
			g.Expect(e.violation).To(BeEmpty(), replay)
			g.Expect(e.agrees()).To(BeTrue(), "%s, %s", replay, e.address)
			g.Expect(e.view).To(HaveLen(n.expectedMembers()), "%s, %s", replay, e.address)
		}
		for i, s := range n.sidecars {
			m, listed := n.entries[0].table.Member(s.announcer.Member().GetId())
			if listed {
				g.Expect(m.GetState()).To(Equal(s.announcer.Member().GetState()), "%s, sidecar %d", replay, i)
			}
		}
	}
}

// disturb changes, stops or starts a random sidecar or entry.
func (n *network) disturb(incarnations []uint64) {
	i := n.random.IntN(len(n.sidecars))
	switch n.random.IntN(6) {
	case 0:
		n.setMember(i, 1+incarnations[i], draining)
	case 1:
		n.setMember(i, 1+incarnations[i], left)
	case 2, 3:
		incarnations[i]++
		n.sidecars[i].down = false
		n.setMember(i, 1+incarnations[i], serving)
	case 4:
		n.sidecars[i].down = true
	case 5:
		e := n.random.IntN(len(n.entries))
		if n.entries[e].down {
			n.startEntry(e)
		} else {
			n.entries[e].down = true
		}
	}
}

func TestMergeTakesTheNewerReport(t *testing.T) {
	g := NewWithT(t)
	held := &pb.Member{Id: "u", Incarnation: 2, Version: 3, State: draining}
	report := func(incarnation, version uint64, state pb.MemberState) *pb.Member {
		return &pb.Member{Id: "u", Incarnation: incarnation, Version: version, State: state}
	}
	check := func(in *pb.Member, changed bool, state pb.MemberState) {
		merged, differs := merge(held, in)
		g.Expect(differs).To(Equal(changed), in.String())
		g.Expect(merged.GetState()).To(Equal(state), in.String())
	}
	check(report(1, 9, serving), false, draining)
	check(report(2, 3, left), false, draining)
	check(report(2, 2, serving), false, draining)
	check(report(2, 4, serving), true, serving)
	check(report(2, 4, left), true, left)
	check(report(3, 1, serving), true, serving)
	held = report(2, 5, left)
	check(report(2, 6, serving), false, left)
	check(report(3, 1, serving), true, serving)
}

func TestPausedEntryDropsMembersThatLeftMeanwhile(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(6, 4, 5)
	n.run(2 * time.Second)
	paused := n.entries[0]
	paused.down = true
	n.setMember(2, 1, left)
	n.run(time.Second)
	n.sidecars[2].down = true
	n.run(2 * tombstoneRetention)
	paused.down = false
	n.run(4 * time.Second)
	g.Expect(paused.view).To(HaveLen(4))
	g.Expect(paused.agrees()).To(BeTrue())
}

func TestRegistrarRetransmitsADeltaUntilItIsAcknowledged(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	r := NewRegistrar(RegistrarOptions{}, 7)
	subscribe := &pb.Subscribe{Entry: "e", Address: "e:1", RegistrarEpoch: 7}
	r.Step(now, Datagram{Message: subscribeMessage(subscribe)})
	announce := &pb.Announce{Member: &pb.Member{Id: "u", Incarnation: 1, Version: 1, State: serving}}
	r.Step(now, Datagram{From: "u:1", Message: announceMessage(announce)})
	r.Drain()
	r.Tick(now)
	g.Expect(r.Drain()).To(HaveLen(1))
	r.Tick(now.Add(DefaultRetransmitInterval / 2))
	g.Expect(r.Drain()).To(BeEmpty())
	r.Tick(now.Add(DefaultRetransmitInterval))
	g.Expect(r.Drain()).To(HaveLen(1))
	subscribe.After = 1
	r.Step(now, Datagram{Message: subscribeMessage(subscribe)})
	r.Drain()
	r.Tick(now.Add(2 * DefaultRetransmitInterval))
	g.Expect(r.Drain()).To(BeEmpty())
}
