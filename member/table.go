package member

import (
	"slices"
	"time"

	"github.com/tidwall/btree"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

// TableOptions are the settings of a Table. Zero durations take the defaults.
type TableOptions struct {
	// EntryID names the entry.
	EntryID string
	// Address is where the entry receives datagrams.
	Address string
	// Services restricts the members to those that serve one of them; empty
	// means all.
	Services []string
	// Registrars are the addresses of the registrars.
	Registrars []string
	// SubscribeInterval is the time between two subscriptions.
	SubscribeInterval time.Duration
	// RegistrarTimeout is the silence after which a registrar's list no
	// longer counts.
	RegistrarTimeout time.Duration
}

// Table is the core that follows the registrars at an entry.
type Table struct {
	options    TableOptions
	sources    btree.Map[uint32, *source]
	nextCookie uint32
	members    btree.Map[string, *listing]
	present    int
	tombstones core.Deadlines[string]
	subscribes core.Deadlines[uint32]
	lapses     core.Deadlines[uint32]
	outbox     core.Outbox[Output]
}

// source is one registrar.
type source struct {
	address string
	epoch   uint64
	// after is the registrar's version that the table holds.
	after uint64
	// list counts the new lists of the registrar.
	list uint64
	// listing is set until the last delta of a new list.
	listing bool
	alive   bool
}

// listing is one member with the registrars that list it, each with the list
// that named it last. A removed member stays until its tombstone expires.
type listing struct {
	member  *pb.Member
	holders map[uint32]uint64
}

func (l *listing) removed() bool {
	return len(l.holders) == 0
}

// NewTable returns an empty Table.
func NewTable(options TableOptions) *Table {
	if options.SubscribeInterval == 0 {
		options.SubscribeInterval = DefaultHeartbeatInterval
	}
	if options.RegistrarTimeout == 0 {
		options.RegistrarTimeout = DefaultRegistrarTimeout
	}
	t := &Table{options: options}
	t.setRegistrars(time.Time{}, options.Registrars)
	return t
}

// Member returns a member by ID.
func (t *Table) Member(id string) (*pb.Member, bool) {
	l, ok := t.members.Get(id)
	if !ok || l.removed() {
		return nil, false
	}
	return l.member, true
}

// Members returns all members, sorted by ID.
func (t *Table) Members() []*pb.Member {
	var members []*pb.Member
	t.members.Scan(func(_ string, l *listing) bool {
		if !l.removed() {
			members = append(members, l.member)
		}
		return true
	})
	return members
}

// Len returns the number of members.
func (t *Table) Len() int {
	return t.present
}

// Step handles one input.
func (t *Table) Step(now time.Time, in Input) {
	switch in := in.(type) {
	case SetRegistrars:
		t.setRegistrars(now, in.Registrars)
	case Datagram:
		if body, ok := in.Message.GetBody().(*pb.MemberMessage_Delta); ok {
			t.delta(now, body.Delta)
		}
	}
}

// Tick repeats subscriptions and drops what silent registrars listed.
func (t *Table) Tick(now time.Time) {
	t.lapse(now)
	t.subscribe(now)
	t.dropTombstones(now)
}

// Drain returns the outputs since the last call.
func (t *Table) Drain() []Output {
	return t.outbox.Drain()
}

func (t *Table) setRegistrars(now time.Time, addresses []string) {
	known := make(map[string]bool)
	for _, cookie := range t.sources.Keys() {
		s, _ := t.sources.Get(cookie)
		if !slices.Contains(addresses, s.address) {
			t.removeSource(cookie)
			continue
		}
		known[s.address] = true
	}
	for _, address := range addresses {
		if known[address] {
			continue
		}
		known[address] = true
		t.nextCookie++
		t.sources.Set(t.nextCookie, &source{address: address})
		t.subscribes.Set(t.nextCookie, now)
	}
	t.sweepSilent(now)
}

func (t *Table) removeSource(cookie uint32) {
	t.sources.Delete(cookie)
	t.subscribes.Remove(cookie)
	t.lapses.Remove(cookie)
}

func (t *Table) delta(now time.Time, d *pb.MemberDelta) {
	s, ok := t.sources.Get(d.GetCookie())
	if !ok || !s.follows(d) {
		return
	}
	revived := !s.alive
	s.alive = true
	t.lapses.Set(d.GetCookie(), now.Add(t.options.RegistrarTimeout))
	if d.GetFull() {
		s.epoch = d.GetRegistrarEpoch()
		s.list++
		s.listing = true
	}
	news := d.GetFull() || d.GetVersion() > s.after
	if news {
		t.apply(now, d, s)
	}
	if revived && !s.listing {
		t.sweepSilent(now)
	}
	if news {
		t.sendSubscribe(now, d.GetCookie(), s)
	}
}

// follows reports whether a delta continues what the table holds of the
// registrar, or starts a new list that the table lacks.
func (s *source) follows(d *pb.MemberDelta) bool {
	if d.GetFull() {
		return d.GetRegistrarEpoch() != s.epoch || d.GetVersion() > s.after
	}
	return d.GetRegistrarEpoch() == s.epoch && d.GetBase() <= s.after
}

func (t *Table) apply(now time.Time, d *pb.MemberDelta, s *source) {
	for _, m := range d.GetMembers() {
		t.list(now, d.GetCookie(), s, m)
	}
	for _, id := range d.GetGone() {
		t.unlist(now, d.GetCookie(), id)
	}
	s.after = d.GetVersion()
	if s.listing && !d.GetMore() {
		s.listing = false
		t.sweepList(now, d.GetCookie(), s)
		t.sweepSilent(now)
	}
}

// list merges a registrar's report about a member.
func (t *Table) list(now time.Time, cookie uint32, s *source, in *pb.Member) {
	l, ok := t.members.Get(in.GetId())
	if !ok {
		l = &listing{holders: make(map[uint32]uint64)}
		t.members.Set(in.GetId(), l)
	}
	if in.GetIncarnation() < l.member.GetIncarnation() {
		t.unlist(now, cookie, in.GetId())
		return
	}
	merged, changed := merge(l.member, in)
	l.member = merged
	if merged.GetState() == pb.MemberState_MEMBER_LEFT {
		t.bury(now, in.GetId(), l)
		return
	}
	returned := l.removed()
	if returned {
		t.present++
	}
	l.holders[cookie] = s.list
	t.tombstones.Remove(in.GetId())
	if changed || returned {
		t.outbox.Put(Changed{Member: merged})
	}
}

// unlist removes a member from one registrar's list.
func (t *Table) unlist(now time.Time, cookie uint32, id string) {
	l, ok := t.members.Get(id)
	if !ok {
		return
	}
	if _, held := l.holders[cookie]; !held {
		return
	}
	delete(l.holders, cookie)
	if l.removed() {
		t.present--
		t.tombstones.Set(id, now.Add(tombstoneRetention))
		t.outbox.Put(Gone{ID: id})
	}
}

// bury removes a member that left.
func (t *Table) bury(now time.Time, id string, l *listing) {
	if !l.removed() {
		t.present--
		t.outbox.Put(Gone{ID: id})
	}
	clear(l.holders)
	t.tombstones.Set(id, now.Add(tombstoneRetention))
}

// sweepList removes what a registrar's new list left out.
func (t *Table) sweepList(now time.Time, cookie uint32, s *source) {
	for _, id := range t.members.Keys() {
		l, _ := t.members.Get(id)
		if list, held := l.holders[cookie]; held && list != s.list {
			t.unlist(now, cookie, id)
		}
	}
}

// lapse stops relying on silent registrars.
func (t *Table) lapse(now time.Time) {
	lapsed := false
	for {
		cookie, due := t.lapses.PopExpired(now)
		if !due {
			break
		}
		s, _ := t.sources.Get(cookie)
		s.alive = false
		lapsed = true
	}
	if lapsed {
		t.sweepSilent(now)
	}
}

// sweepSilent drops what silent registrars list, if another registrar's list
// is complete.
func (t *Table) sweepSilent(now time.Time) {
	if !t.complete() {
		return
	}
	for _, id := range t.members.Keys() {
		t.dropSilent(now, id)
	}
}

func (t *Table) complete() bool {
	complete := false
	t.sources.Scan(func(_ uint32, s *source) bool {
		complete = s.alive && !s.listing
		return !complete
	})
	return complete
}

func (t *Table) dropSilent(now time.Time, id string) {
	l, _ := t.members.Get(id)
	var silent []uint32
	for cookie := range l.holders {
		if s, ok := t.sources.Get(cookie); !ok || !s.alive {
			silent = append(silent, cookie)
		}
	}
	for _, cookie := range silent {
		t.unlist(now, cookie, id)
	}
}

func (t *Table) subscribe(now time.Time) {
	for {
		cookie, due := t.subscribes.PopExpired(now)
		if !due {
			return
		}
		s, _ := t.sources.Get(cookie)
		t.sendSubscribe(now, cookie, s)
	}
}

// sendSubscribe acknowledges what the table holds of a registrar.
func (t *Table) sendSubscribe(now time.Time, cookie uint32, s *source) {
	t.subscribes.Set(cookie, now.Add(t.options.SubscribeInterval))
	t.outbox.Put(SendTo{Address: s.address, Message: subscribeMessage(&pb.Subscribe{
		Entry:          t.options.EntryID,
		Address:        t.options.Address,
		Services:       t.options.Services,
		RegistrarEpoch: s.epoch,
		After:          s.after,
		Cookie:         cookie,
		Listing:        s.listing,
	})})
}

func (t *Table) dropTombstones(now time.Time) {
	for {
		id, due := t.tombstones.PopExpired(now)
		if !due {
			return
		}
		t.members.Delete(id)
	}
}
