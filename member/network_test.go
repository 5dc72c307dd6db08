package member

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

const tick = 50 * time.Millisecond

// network runs entries and sidecars over a simulated datagram network.
type network struct {
	random   *rand.Rand
	now      time.Time
	entries  []*testEntry
	sidecars []*testSidecar
	events   core.Deadlines[*event]
	// lossPercent is the percentage of datagrams that are lost; the same
	// percentage is duplicated.
	lossPercent int
	bytes       int
	datagrams   int
	epoch       uint64
}

// event is a function that runs at a simulated time.
type event struct {
	run func()
}

type testEntry struct {
	address   string
	registrar *Registrar
	table     *Table
	down      bool
	// view holds the members according to the outputs of the table.
	view map[string]*pb.Member
	// violation describes the last broken invariant, or is empty.
	violation string
}

type testSidecar struct {
	address   string
	announcer *Announcer
	down      bool
}

func newNetwork(seed uint64, entries, sidecars int) *network {
	f := &network{random: core.NewRand(seed), now: time.Unix(1_700_000_000, 0)}
	for i := range entries {
		f.entries = append(f.entries, &testEntry{address: fmt.Sprintf("entry-%d", i)})
	}
	for i := range entries {
		f.startEntry(i)
	}
	for i := range sidecars {
		f.sidecars = append(f.sidecars, &testSidecar{
			address:   fmt.Sprintf("sidecar-%d", i),
			announcer: NewAnnouncer(AnnouncerOptions{Registrars: f.registrars()}),
		})
		f.setMember(i, 1, pb.MemberState_MEMBER_SERVING)
	}
	return f
}

func (f *network) registrars() []string {
	var addresses []string
	for _, e := range f.entries {
		addresses = append(addresses, e.address)
	}
	return addresses
}

// startEntry starts an entry with empty tables.
func (f *network) startEntry(i int) {
	f.epoch++
	e := f.entries[i]
	e.down = false
	e.registrar = NewRegistrar(RegistrarOptions{}, f.epoch)
	e.table = NewTable(TableOptions{EntryID: e.address, Address: e.address, Registrars: f.registrars()})
	e.view = make(map[string]*pb.Member)
}

// setMember sets the member of a sidecar's announcer.
func (f *network) setMember(i int, incarnation uint64, state pb.MemberState) {
	s := f.sidecars[i]
	s.announcer.Step(f.now, SetMember{Member: &pb.Member{
		Id:          fmt.Sprintf("upstream-%d", i),
		Incarnation: incarnation,
		Address:     s.address,
		DataCentre:  "a",
		Services:    []string{"dam-watch"},
		State:       state,
	}})
	f.drainSidecar(s)
}

func (f *network) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.deliverUntil(f.now.Add(tick))
		for _, s := range f.sidecars {
			if !s.down {
				s.announcer.Tick(f.now)
				f.drainSidecar(s)
			}
		}
		for _, e := range f.entries {
			if !e.down {
				e.registrar.Tick(f.now)
				e.table.Tick(f.now)
				f.drainEntry(e)
			}
		}
	}
}

// deliverUntil runs the events up to a time.
func (f *network) deliverUntil(end time.Time) {
	for {
		at, ok := f.events.Earliest()
		if !ok || at.After(end) {
			f.now = end
			return
		}
		f.now = at
		e, _ := f.events.PopExpired(at)
		e.run()
	}
}

func (f *network) drainSidecar(s *testSidecar) {
	for _, out := range s.announcer.Drain() {
		f.send(s.address, out.(SendTo))
	}
}

func (f *network) drainEntry(e *testEntry) {
	for _, out := range e.registrar.Drain() {
		f.send(e.address, out.(SendTo))
	}
	for _, out := range e.table.Drain() {
		switch out := out.(type) {
		case SendTo:
			f.send(e.address, out)
		case Changed:
			e.checkChange(out.Member)
		case Gone:
			delete(e.view, out.ID)
		}
	}
}

// checkChange checks that a member never reverts to an older incarnation or
// version, that a version has only one state, and that a member that left is not
// listed again within its incarnation. It then updates the view.
func (e *testEntry) checkChange(m *pb.Member) {
	old := e.view[m.GetId()]
	same := old.GetIncarnation() == m.GetIncarnation()
	switch {
	case old.GetIncarnation() > m.GetIncarnation():
		e.violation = fmt.Sprintf("%s: %s reverted to an older incarnation", e.address, m.GetId())
	case same && old.GetVersion() > m.GetVersion():
		e.violation = fmt.Sprintf("%s: %s reverted to an older version", e.address, m.GetId())
	case same && old.GetVersion() == m.GetVersion() && old.GetState() != m.GetState():
		e.violation = fmt.Sprintf("%s: %s changed from %s to %s without a new version", e.address, m.GetId(), old.GetState(), m.GetState())
	case same && old.GetState() == pb.MemberState_MEMBER_LEFT:
		e.violation = fmt.Sprintf("%s: %s was listed again after it left", e.address, m.GetId())
	}
	e.view[m.GetId()] = m
}

// send delivers a datagram after a random delay; it may also drop or duplicate it.
func (f *network) send(from string, out SendTo) {
	f.datagrams++
	f.bytes += proto.Size(out.Message)
	copies := 1
	roll := f.random.IntN(100)
	if roll < f.lossPercent {
		copies = 0
	} else if roll >= 100-f.lossPercent {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+f.random.IntN(3)) * time.Millisecond
		if f.lossPercent > 0 && f.random.IntN(10) == 0 {
			delay += time.Duration(f.random.IntN(2000)) * time.Millisecond
		}
		f.events.Set(&event{run: func() { f.deliver(from, out) }}, f.now.Add(delay))
	}
}

func (f *network) deliver(from string, out SendTo) {
	in := Datagram{From: from, Message: out.Message}
	for _, e := range f.entries {
		if e.address == out.Address && !e.down {
			e.registrar.Step(f.now, in)
			e.table.Step(f.now, in)
			f.drainEntry(e)
		}
	}
	for _, s := range f.sidecars {
		if s.address == out.Address && !s.down {
			s.announcer.Step(f.now, in)
			f.drainSidecar(s)
		}
	}
}

// count returns the number of members in a state at an entry.
func (e *testEntry) count(state pb.MemberState) int {
	count := 0
	for _, m := range e.table.Members() {
		if m.GetState() == state {
			count++
		}
	}
	return count
}

// agrees reports whether the view from the table's outputs equals its content.
func (e *testEntry) agrees() bool {
	members := e.table.Members()
	if len(members) != len(e.view) || len(members) != e.table.Len() {
		return false
	}
	for _, m := range members {
		if !proto.Equal(m, e.view[m.GetId()]) {
			return false
		}
	}
	return true
}

// expectedMembers returns the number of members that every entry should list.
func (f *network) expectedMembers() int {
	count := 0
	for _, s := range f.sidecars {
		if !s.down && s.announcer.Member().GetState() != pb.MemberState_MEMBER_LEFT {
			count++
		}
	}
	return count
}
