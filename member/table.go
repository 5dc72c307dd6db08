package member

import (
	"slices"
	"time"

	"github.com/tidwall/btree"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

// TableOptions are the settings of a Table. Zero durations mean the defaults.
type TableOptions struct {
	// EntryID identifies the entry.
	EntryID string
	// Address is the address at which the entry receives datagrams.
	Address string
	// Services limits the members to those that serve one of these services;
	// empty means all members.
	Services []string
	// Registrars are the addresses of the registrars.
	Registrars []string
	// SubscribeInterval is the time between two Subscribe messages to a registrar.
	SubscribeInterval time.Duration
	// RegistrarTimeout is the time without a message after which a registrar's
	// list is ignored.
	RegistrarTimeout time.Duration
}

// Table is the core that merges the lists of the registrars at an entry.
type Table struct {
	options            TableOptions
	registrars         btree.Map[uint32, *registrarState]
	nextCookie         uint32
	members            btree.Map[string, *listedMember]
	listedCount        int
	tombstones         core.Deadlines[string]
	subscribeDue       core.Deadlines[uint32]
	registrarDeadlines core.Deadlines[uint32]
	outbox             core.Outbox[Output]
}

// registrarState is the state of one registrar at the entry.
type registrarState struct {
	address string
	epoch   uint64
	// heldVersion is the registrar's version up to which its changes are applied.
	heldVersion uint64
	// listNumber is the number of full lists that the registrar has begun to
	// send.
	listNumber uint64
	// receivingList is set until the last delta of a full list has arrived.
	receivingList bool
	// alive is set unless the registrar has timed out or never sent a delta.
	alive bool
}

// listedMember is one member. listedBy maps the cookie of each registrar that
// lists it to the number of the last list that included it. A removed member is
// kept until its tombstone expires.
type listedMember struct {
	member   *pb.Member
	listedBy map[uint32]uint64
}

func (l *listedMember) removed() bool {
	return len(l.listedBy) == 0
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
	t.members.Scan(func(_ string, l *listedMember) bool {
		if !l.removed() {
			members = append(members, l.member)
		}
		return true
	})
	return members
}

// Len returns the number of members.
func (t *Table) Len() int {
	return t.listedCount
}

// Step handles one input.
func (t *Table) Step(now time.Time, in Input) {
	switch in := in.(type) {
	case SetRegistrars:
		t.setRegistrars(now, in.Registrars)
	case Datagram:
		if body, ok := in.Message.GetBody().(*pb.MemberMessage_Delta); ok {
			t.handleDelta(now, body.Delta)
		}
	}
}

// Tick repeats due subscriptions and drops the lists of timed-out registrars.
func (t *Table) Tick(now time.Time) {
	t.expireRegistrars(now)
	t.subscribe(now)
	t.dropTombstones(now)
}

// Drain returns the outputs since the last call.
func (t *Table) Drain() []Output {
	return t.outbox.Drain()
}

func (t *Table) setRegistrars(now time.Time, addresses []string) {
	known := make(map[string]bool)
	for _, cookie := range t.registrars.Keys() {
		s, _ := t.registrars.Get(cookie)
		if !slices.Contains(addresses, s.address) {
			t.removeRegistrar(cookie)
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
		t.registrars.Set(t.nextCookie, &registrarState{address: address})
		t.subscribeDue.Set(t.nextCookie, now)
	}
	t.removeStaleLists(now)
}

func (t *Table) removeRegistrar(cookie uint32) {
	t.registrars.Delete(cookie)
	t.subscribeDue.Remove(cookie)
	t.registrarDeadlines.Remove(cookie)
}

func (t *Table) handleDelta(now time.Time, d *pb.MemberDelta) {
	s, ok := t.registrars.Get(d.GetCookie())
	if !ok || !s.accepts(d) {
		return
	}
	wasDead := !s.alive
	s.alive = true
	t.registrarDeadlines.Set(d.GetCookie(), now.Add(t.options.RegistrarTimeout))
	if d.GetFull() {
		s.epoch = d.GetRegistrarEpoch()
		s.listNumber++
		s.receivingList = true
	}
	isNew := d.GetFull() || d.GetVersion() > s.heldVersion
	if isNew {
		t.apply(now, d, s)
	}
	if wasDead && !s.receivingList {
		t.removeStaleLists(now)
	}
	if isNew {
		t.sendSubscribe(now, d.GetCookie(), s)
	}
}

// accepts reports whether a delta continues from the held version, or starts a
// full list that is not held yet.
func (s *registrarState) accepts(d *pb.MemberDelta) bool {
	if d.GetFull() {
		return d.GetRegistrarEpoch() != s.epoch || d.GetVersion() > s.heldVersion
	}
	return d.GetRegistrarEpoch() == s.epoch && d.GetBase() <= s.heldVersion
}

func (t *Table) apply(now time.Time, d *pb.MemberDelta, s *registrarState) {
	for _, m := range d.GetMembers() {
		t.addToList(now, d.GetCookie(), s, m)
	}
	for _, id := range d.GetGone() {
		t.removeFromList(now, d.GetCookie(), id)
	}
	s.heldVersion = d.GetVersion()
	if s.receivingList && !d.GetMore() {
		s.receivingList = false
		t.removeUnlisted(now, d.GetCookie(), s)
		t.removeStaleLists(now)
	}
}

// addToList merges a registrar's report about a member and adds the member to
// the registrar's list.
func (t *Table) addToList(now time.Time, cookie uint32, s *registrarState, in *pb.Member) {
	l, ok := t.members.Get(in.GetId())
	if !ok {
		l = &listedMember{listedBy: make(map[uint32]uint64)}
		t.members.Set(in.GetId(), l)
	}
	if in.GetIncarnation() < l.member.GetIncarnation() {
		t.removeFromList(now, cookie, in.GetId())
		return
	}
	merged, changed := merge(l.member, in)
	l.member = merged
	if merged.GetState() == pb.MemberState_MEMBER_LEFT {
		t.removeLeft(now, in.GetId(), l)
		return
	}
	wasRemoved := l.removed()
	if wasRemoved {
		t.listedCount++
	}
	l.listedBy[cookie] = s.listNumber
	t.tombstones.Remove(in.GetId())
	if changed || wasRemoved {
		t.outbox.Put(Changed{Member: merged})
	}
}

// removeFromList removes a member from one registrar's list.
func (t *Table) removeFromList(now time.Time, cookie uint32, id string) {
	l, ok := t.members.Get(id)
	if !ok {
		return
	}
	if _, held := l.listedBy[cookie]; !held {
		return
	}
	delete(l.listedBy, cookie)
	if l.removed() {
		t.listedCount--
		t.tombstones.Set(id, now.Add(tombstoneRetention))
		t.outbox.Put(Gone{ID: id})
	}
}

// removeLeft removes a member that left.
func (t *Table) removeLeft(now time.Time, id string, l *listedMember) {
	if !l.removed() {
		t.listedCount--
		t.outbox.Put(Gone{ID: id})
	}
	clear(l.listedBy)
	t.tombstones.Set(id, now.Add(tombstoneRetention))
}

// removeUnlisted removes the members that a registrar's new full list omits.
func (t *Table) removeUnlisted(now time.Time, cookie uint32, s *registrarState) {
	for _, id := range t.members.Keys() {
		l, _ := t.members.Get(id)
		if list, held := l.listedBy[cookie]; held && list != s.listNumber {
			t.removeFromList(now, cookie, id)
		}
	}
}

// expireRegistrars marks registrars as not alive when they have timed out.
func (t *Table) expireRegistrars(now time.Time) {
	timedOut := false
	for {
		cookie, due := t.registrarDeadlines.PopExpired(now)
		if !due {
			break
		}
		s, _ := t.registrars.Get(cookie)
		s.alive = false
		timedOut = true
	}
	if timedOut {
		t.removeStaleLists(now)
	}
}

// removeStaleLists drops the lists of registrars that are not alive, if the
// list of another registrar is complete.
func (t *Table) removeStaleLists(now time.Time) {
	if !t.hasCompleteList() {
		return
	}
	for _, id := range t.members.Keys() {
		t.dropStaleListings(now, id)
	}
}

func (t *Table) hasCompleteList() bool {
	complete := false
	t.registrars.Scan(func(_ uint32, s *registrarState) bool {
		complete = s.alive && !s.receivingList
		return !complete
	})
	return complete
}

func (t *Table) dropStaleListings(now time.Time, id string) {
	l, _ := t.members.Get(id)
	var timedOut []uint32
	for cookie := range l.listedBy {
		if s, ok := t.registrars.Get(cookie); !ok || !s.alive {
			timedOut = append(timedOut, cookie)
		}
	}
	for _, cookie := range timedOut {
		t.removeFromList(now, cookie, id)
	}
}

func (t *Table) subscribe(now time.Time) {
	for {
		cookie, due := t.subscribeDue.PopExpired(now)
		if !due {
			return
		}
		s, _ := t.registrars.Get(cookie)
		t.sendSubscribe(now, cookie, s)
	}
}

// sendSubscribe sends a Subscribe message, which also acknowledges the held
// version.
func (t *Table) sendSubscribe(now time.Time, cookie uint32, s *registrarState) {
	t.subscribeDue.Set(cookie, now.Add(t.options.SubscribeInterval))
	t.outbox.Put(SendTo{Address: s.address, Message: subscribeMessage(&pb.Subscribe{
		Entry:          t.options.EntryID,
		Address:        t.options.Address,
		Services:       t.options.Services,
		RegistrarEpoch: s.epoch,
		After:          s.heldVersion,
		Cookie:         cookie,
		Listing:        s.receivingList,
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
