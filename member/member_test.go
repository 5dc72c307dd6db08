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

	// leaveBound is the time within which every entry knows that a member
	// drains.
	leaveBound = 2 * time.Second
)

func TestMembersReachEveryEntry(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 5, 300)
	f.run(2 * time.Second)
	for _, e := range f.entries {
		g.Expect(e.count(serving)).To(Equal(300))
		g.Expect(e.agrees()).To(BeTrue())
	}
}

func TestDrainReachesEveryEntryAlthoughItsMessagesAreLost(t *testing.T) {
	for _, seed := range soak.Seeds(t, 40) {
		g := NewWithT(t)
		replay := soak.ReplayCommand(t, "member", seed)
		f := newFleet(seed, 5, 9)
		f.run(3 * time.Second)
		f.lossPercent = 100
		f.set(3, 1, draining)
		f.lossPercent = 25
		f.run(leaveBound)
		for _, e := range f.entries {
			g.Expect(e.count(draining)).To(Equal(1), "%s, %s", replay, e.address)
		}
	}
}

func TestLeaveReachesEveryEntryAlthoughItsMessagesAreLost(t *testing.T) {
	for _, seed := range soak.Seeds(t, 40) {
		g := NewWithT(t)
		replay := soak.ReplayCommand(t, "member", seed)
		f := newFleet(seed, 5, 9)
		f.run(3 * time.Second)
		f.lossPercent = 100
		f.set(3, 1, left)
		f.lossPercent = 25
		f.run(leaveBound)
		for _, e := range f.entries {
			g.Expect(e.view).To(HaveLen(8), "%s, %s", replay, e.address)
		}
	}
}

func TestSilentMemberExpires(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2, 5, 9)
	f.run(3 * time.Second)
	f.sidecars[4].down = true
	f.run(DefaultExpiry - DefaultHeartbeat - tick)
	g.Expect(f.entries[0].count(serving)).To(Equal(9))
	f.run(DefaultHeartbeat + 4*tick)
	for _, e := range f.entries {
		g.Expect(e.count(serving)).To(Equal(8))
	}
	f.sidecars[4].down = false
	f.run(2 * time.Second)
	g.Expect(f.entries[0].count(serving)).To(Equal(9))
}

func TestMembersOutliveTheirRegistrars(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3, 6, 12)
	f.run(3 * time.Second)
	for _, e := range f.entries[:3] {
		e.down = true
	}
	for range 60 {
		f.run(250 * time.Millisecond)
		for _, e := range f.entries[3:] {
			g.Expect(e.count(serving)).To(Equal(12), e.address)
		}
	}
}

func TestEntryKeepsItsMembersWhenNoRegistrarAnswers(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4, 3, 5)
	f.run(3 * time.Second)
	f.lossPercent = 100
	f.run(time.Second)
	for _, e := range f.entries {
		g.Expect(e.count(serving)).To(Equal(5))
	}
	f.run(time.Minute)
	g.Expect(f.entries[0].table.Members()).To(HaveLen(5))
}

func TestADrainedMemberServesAgainAndOneThatLeftDoesNot(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(5, 3, 2)
	f.run(time.Second)
	f.set(0, 1, draining)
	f.run(time.Second)
	g.Expect(f.entries[0].count(draining)).To(Equal(1))
	f.set(0, 1, serving)
	f.run(time.Second)
	g.Expect(f.entries[0].count(serving)).To(Equal(2))
	f.set(0, 1, left)
	f.run(time.Second)
	f.set(0, 1, serving)
	f.run(time.Second)
	g.Expect(f.entries[0].count(serving)).To(Equal(1))
	f.set(0, 2, serving)
	f.run(time.Second)
	g.Expect(f.entries[0].count(serving)).To(Equal(2))
}

func TestLoadIsAnnouncedOnlyWhenItChangedGreatly(t *testing.T) {
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

// TestEntriesConvergeUnderRandomFaults loses, doubles and delays datagrams
// while members and entries come and go.
func TestEntriesConvergeUnderRandomFaults(t *testing.T) {
	for _, seed := range soak.Seeds(t, 60) {
		g := NewWithT(t)
		replay := soak.ReplayCommand(t, "member", seed)
		f := newFleet(seed, 4, 8)
		f.lossPercent = 20
		incarnations := make([]uint64, len(f.sidecars))
		for range 40 {
			f.disturb(incarnations)
			f.run(time.Duration(1+f.random.IntN(30)) * tick)
		}
		f.lossPercent = 0
		for i, e := range f.entries {
			if e.down {
				f.startEntry(i)
			}
		}
		f.run(15 * time.Second)
		for _, e := range f.entries {
			g.Expect(e.fault).To(BeEmpty(), replay)
			g.Expect(e.agrees()).To(BeTrue(), "%s, %s", replay, e.address)
			g.Expect(e.view).To(HaveLen(f.expected()), "%s, %s", replay, e.address)
		}
		for i, s := range f.sidecars {
			m, listed := f.entries[0].table.Member(s.announcer.Member().GetId())
			if listed {
				g.Expect(m.GetState()).To(Equal(s.announcer.Member().GetState()), "%s, sidecar %d", replay, i)
			}
		}
	}
}

// disturb changes, stops or starts one random process.
func (f *fleet) disturb(incarnations []uint64) {
	i := f.random.IntN(len(f.sidecars))
	switch f.random.IntN(6) {
	case 0:
		f.set(i, 1+incarnations[i], draining)
	case 1:
		f.set(i, 1+incarnations[i], left)
	case 2, 3:
		incarnations[i]++
		f.sidecars[i].down = false
		f.set(i, 1+incarnations[i], serving)
	case 4:
		f.sidecars[i].down = true
	case 5:
		e := f.random.IntN(len(f.entries))
		if f.entries[e].down {
			f.startEntry(e)
		} else {
			f.entries[e].down = true
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
	f := newFleet(6, 4, 5)
	f.run(2 * time.Second)
	paused := f.entries[0]
	paused.down = true
	f.set(2, 1, left)
	f.run(time.Second)
	f.sidecars[2].down = true
	f.run(2 * tombstoneRetention)
	paused.down = false
	f.run(4 * time.Second)
	g.Expect(paused.view).To(HaveLen(4))
	g.Expect(paused.agrees()).To(BeTrue())
}

func TestRegistrarRepeatsADeltaUntilItIsAcknowledged(t *testing.T) {
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
	r.Tick(now.Add(DefaultRepeat / 2))
	g.Expect(r.Drain()).To(BeEmpty())
	r.Tick(now.Add(DefaultRepeat))
	g.Expect(r.Drain()).To(HaveLen(1))
	subscribe.After = 1
	r.Step(now, Datagram{Message: subscribeMessage(subscribe)})
	r.Drain()
	r.Tick(now.Add(2 * DefaultRepeat))
	g.Expect(r.Drain()).To(BeEmpty())
}
