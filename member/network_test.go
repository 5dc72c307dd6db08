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
	n := &network{random: core.NewRand(seed), now: time.Unix(1_700_000_000, 0)}
	for i := range entries {
		n.entries = append(n.entries, &testEntry{address: fmt.Sprintf("entry-%d", i)})
	}
	for i := range entries {
		n.startEntry(i)
	}
	for i := range sidecars {
		n.sidecars = append(n.sidecars, &testSidecar{
			address:   fmt.Sprintf("sidecar-%d", i),
			announcer: NewAnnouncer(AnnouncerOptions{Registrars: n.registrars()}),
		})
		n.setMember(i, 1, pb.MemberState_MEMBER_SERVING)
	}
	return n
}

func (n *network) registrars() []string {
	var addresses []string
	for _, e := range n.entries {
		addresses = append(addresses, e.address)
	}
	return addresses
}

// startEntry starts an entry with empty tables.
func (n *network) startEntry(i int) {
	n.epoch++
	e := n.entries[i]
	e.down = false
	e.registrar = NewRegistrar(RegistrarOptions{}, n.epoch)
	e.table = NewTable(TableOptions{EntryID: e.address, Address: e.address, Registrars: n.registrars()})
	e.view = make(map[string]*pb.Member)
}

// setMember sets the member of a sidecar's announcer.
func (n *network) setMember(i int, incarnation uint64, state pb.MemberState) {
	s := n.sidecars[i]
	s.announcer.Step(n.now, SetMember{Member: &pb.Member{
		Id:          fmt.Sprintf("upstream-%d", i),
		Incarnation: incarnation,
		Address:     s.address,
		DataCentre:  "a",
		Services:    []string{"dam-watch"},
		State:       state,
	}})
	n.drainSidecar(s)
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.deliverUntil(n.now.Add(tick))
		for _, s := range n.sidecars {
			if !s.down {
				s.announcer.Tick(n.now)
				n.drainSidecar(s)
			}
		}
		for _, e := range n.entries {
			if !e.down {
				e.registrar.Tick(n.now)
				e.table.Tick(n.now)
				n.drainEntry(e)
			}
		}
	}
}

// deliverUntil runs the events up to a time.
func (n *network) deliverUntil(end time.Time) {
	for {
		at, ok := n.events.Earliest()
		if !ok || at.After(end) {
			n.now = end
			return
		}
		n.now = at
		e, _ := n.events.PopExpired(at)
		e.run()
	}
}

func (n *network) drainSidecar(s *testSidecar) {
	for _, out := range s.announcer.Drain() {
		n.send(s.address, out.(SendTo))
	}
}

func (n *network) drainEntry(e *testEntry) {
	for _, out := range e.registrar.Drain() {
		n.send(e.address, out.(SendTo))
	}
	for _, out := range e.table.Drain() {
		switch out := out.(type) {
		case SendTo:
			n.send(e.address, out)
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
func (n *network) send(from string, out SendTo) {
	n.datagrams++
	n.bytes += proto.Size(out.Message)
	copies := 1
	roll := n.random.IntN(100)
	if roll < n.lossPercent {
		copies = 0
	} else if roll >= 100-n.lossPercent {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+n.random.IntN(3)) * time.Millisecond
		if n.lossPercent > 0 && n.random.IntN(10) == 0 {
			delay += time.Duration(n.random.IntN(2000)) * time.Millisecond
		}
		n.events.Set(&event{run: func() { n.deliver(from, out) }}, n.now.Add(delay))
	}
}

func (n *network) deliver(from string, out SendTo) {
	in := Datagram{From: from, Message: out.Message}
	for _, e := range n.entries {
		if e.address == out.Address && !e.down {
			e.registrar.Step(n.now, in)
			e.table.Step(n.now, in)
			n.drainEntry(e)
		}
	}
	for _, s := range n.sidecars {
		if s.address == out.Address && !s.down {
			s.announcer.Step(n.now, in)
			n.drainSidecar(s)
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
func (n *network) expectedMembers() int {
	count := 0
	for _, s := range n.sidecars {
		if !s.down && s.announcer.Member().GetState() != pb.MemberState_MEMBER_LEFT {
			count++
		}
	}
	return count
}
