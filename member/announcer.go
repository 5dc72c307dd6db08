package member

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

const (
	// maxUnanswered is the number of announcements without a reply above which a
	// registrar is replaced. They must also span maxUnanswered-1 heartbeat
	// intervals, since changes are sent again at shorter intervals.
	maxUnanswered = 3
	// avoidSilentFor is the time for which a registrar that did not reply is
	// avoided.
	avoidSilentFor = 10 * time.Second
	// minLoadChange is the smallest absolute change of a load value (requests) that
	// is announced.
	minLoadChange = 8
	// minLoadChangePermille is the smallest relative change that is announced, in
	// thousandths of the old value.
	minLoadChangePermille = 500
)

// AnnouncerOptions are the settings of an Announcer. Zero values mean the
// defaults.
type AnnouncerOptions struct {
	// Registrars are the addresses of the registrars.
	Registrars []string
	// RegistrarCount is the number of registrars to which the member is announced.
	RegistrarCount int
	// HeartbeatInterval is the time between two announcements of an unchanged
	// member.
	HeartbeatInterval time.Duration
	// RetransmitInterval is the time after which an unacknowledged change is sent
	// again.
	RetransmitInterval time.Duration
}

// Announcer is the core that announces the upstream of a sidecar to registrars.
type Announcer struct {
	options        AnnouncerOptions
	member         *pb.Member
	registrars     []*registrar
	active         []*registrar
	lastSequence   uint64
	announceDue    core.Deadlines[*registrar]
	selectionStale bool
	reselectAt     time.Time
	outbox         core.Outbox[Output]
}

// registrar is the state of one registrar at the sidecar.
type registrar struct {
	address string
	cookie  uint32
	score   uint64
	// incarnation and version identify the last report of the member that the
	// registrar acknowledged.
	incarnation uint64
	version     uint64
	// unanswered is the number of announcements since its last reply.
	unanswered int
	// firstUnansweredAt is the time of the first unanswered announcement.
	firstUnansweredAt time.Time
	avoidUntil        time.Time
}

// NewAnnouncer returns an Announcer that sends nothing before SetMember.
func NewAnnouncer(options AnnouncerOptions) *Announcer {
	if options.RegistrarCount == 0 {
		options.RegistrarCount = DefaultRegistrarCount
	}
	if options.HeartbeatInterval == 0 {
		options.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if options.RetransmitInterval == 0 {
		options.RetransmitInterval = DefaultRetransmitInterval
	}
	a := &Announcer{options: options}
	a.setRegistrars(options.Registrars)
	return a
}

// Member returns the announced member with its version, or nil.
func (a *Announcer) Member() *pb.Member {
	return a.member
}

// Registrars returns the addresses of the selected registrars.
func (a *Announcer) Registrars() []string {
	var addresses []string
	for _, r := range a.active {
		addresses = append(addresses, r.address)
	}
	return addresses
}

// Step handles one input.
func (a *Announcer) Step(now time.Time, in Input) {
	switch in := in.(type) {
	case SetMember:
		a.setMember(now, in.Member)
	case SetRegistrars:
		a.setRegistrars(in.Registrars)
	case Datagram:
		if body, ok := in.Message.GetBody().(*pb.MemberMessage_AnnounceReply); ok {
			a.handleReply(now, body.AnnounceReply)
		}
	}
}

// Tick sends due announcements and replaces registrars that do not reply.
func (a *Announcer) Tick(now time.Time) {
	if a.member == nil {
		return
	}
	a.selectRegistrars(now)
	for {
		r, due := a.announceDue.PopExpired(now)
		if !due {
			return
		}
		a.announce(now, r)
	}
}

// Drain returns the outputs since the last call.
func (a *Announcer) Drain() []Output {
	return a.outbox.Drain()
}

// setMember announces a changed member at once. A member that left keeps that
// state for the rest of its incarnation.
func (a *Announcer) setMember(now time.Time, in *pb.Member) {
	next := proto.CloneOf(in)
	if a.member == nil || next.GetIncarnation() > a.member.GetIncarnation() {
		next.Version = 1
		renamed := a.member.GetId() != next.GetId()
		a.member = next
		if renamed {
			a.scoreRegistrars()
		}
		a.announceAll(now)
		return
	}
	if next.GetIncarnation() < a.member.GetIncarnation() {
		return
	}
	if a.member.GetState() == pb.MemberState_MEMBER_LEFT {
		next.State = pb.MemberState_MEMBER_LEFT
	}
	next.Version = a.member.GetVersion()
	if !changedEnough(a.member, next) {
		return
	}
	next.Version++
	a.member = next
	a.announceAll(now)
}

// changedEnough reports whether a member's change has to be announced.
func changedEnough(old, next *pb.Member) bool {
	before, after := old.GetLoad(), next.GetLoad()
	if loadChangedEnough(before.GetRunningOnline()+before.GetQueuedOnline(), after.GetRunningOnline()+after.GetQueuedOnline()) {
		return true
	}
	if loadChangedEnough(before.GetWindow(), after.GetWindow()) {
		return true
	}
	same := proto.CloneOf(next)
	same.Load = before
	return !proto.Equal(old, same)
}

func loadChangedEnough(before, after uint32) bool {
	difference := max(before, after) - min(before, after)
	return difference >= minLoadChange && uint64(difference)*1000 >= uint64(before)*minLoadChangePermille
}

func (a *Announcer) setRegistrars(addresses []string) {
	var registrars []*registrar
	for i, address := range addresses {
		known := slices.IndexFunc(a.registrars, func(r *registrar) bool { return r.address == address })
		if known >= 0 {
			registrars = append(registrars, a.registrars[known])
			continue
		}
		registrars = append(registrars, &registrar{address: address, cookie: uint32(i)})
	}
	for i, r := range registrars {
		r.cookie = uint32(i)
	}
	a.registrars = registrars
	a.scoreRegistrars()
}

// scoreRegistrars computes the rendezvous hash of each registrar.
func (a *Announcer) scoreRegistrars() {
	for _, r := range a.registrars {
		r.score = xxhash.Sum64String(a.member.GetId() + "\x00" + r.address)
	}
	a.selectionStale = true
}

// selectRegistrars selects the registrars with the highest scores, with those
// that are to be avoided last.
func (a *Announcer) selectRegistrars(now time.Time) {
	if !a.selectionStale && (a.reselectAt.IsZero() || now.Before(a.reselectAt)) {
		return
	}
	a.selectionStale = false
	a.reselectAt = time.Time{}
	ordered := slices.Clone(a.registrars)
	sort.SliceStable(ordered, func(i, j int) bool {
		avoidI, avoidJ := now.Before(ordered[i].avoidUntil), now.Before(ordered[j].avoidUntil)
		if avoidI != avoidJ {
			return avoidJ
		}
		return ordered[i].score > ordered[j].score
	})
	chosen := ordered[:min(a.options.RegistrarCount, len(ordered))]
	a.activate(now, chosen)
	a.scheduleReselection(now)
}

// activate replaces the active registrars and makes announcements to the newly
// chosen ones due.
func (a *Announcer) activate(now time.Time, selected []*registrar) {
	for _, r := range a.active {
		if !slices.Contains(selected, r) {
			a.announceDue.Remove(r)
			r.unanswered = 0
		}
	}
	for _, r := range selected {
		if !slices.Contains(a.active, r) {
			a.announceDue.Set(r, now)
		}
	}
	a.active = slices.Clone(selected)
}

// scheduleReselection schedules the next selection for the time at which a
// registrar is no longer avoided.
func (a *Announcer) scheduleReselection(now time.Time) {
	for _, r := range a.registrars {
		if !now.Before(r.avoidUntil) {
			continue
		}
		if a.reselectAt.IsZero() || r.avoidUntil.Before(a.reselectAt) {
			a.reselectAt = r.avoidUntil
		}
	}
}

func (a *Announcer) announceAll(now time.Time) {
	for _, r := range a.active {
		a.announce(now, r)
	}
}

// holdsCurrent reports whether a registrar has acknowledged the current version.
func (a *Announcer) holdsCurrent(r *registrar) bool {
	return r.incarnation == a.member.GetIncarnation() && r.version == a.member.GetVersion()
}

func (a *Announcer) announce(now time.Time, r *registrar) {
	a.lastSequence++
	message := &pb.Announce{Member: a.member, Sequence: a.lastSequence, Cookie: r.cookie}
	wait := a.options.RetransmitInterval
	if a.holdsCurrent(r) {
		wait = a.options.HeartbeatInterval
		message.Brief = true
		message.Member = briefMember(a.member)
	}
	a.announceDue.Set(r, now.Add(wait))
	a.outbox.Put(SendTo{Address: r.address, Message: announceMessage(message)})
	a.countUnanswered(now, r)
}

func briefMember(m *pb.Member) *pb.Member {
	return &pb.Member{
		Id:          m.GetId(),
		Incarnation: m.GetIncarnation(),
		Version:     m.GetVersion(),
		State:       m.GetState(),
	}
}

// countUnanswered counts an announcement and replaces a registrar that does not
// reply.
func (a *Announcer) countUnanswered(now time.Time, r *registrar) {
	if r.unanswered == 0 {
		r.firstUnansweredAt = now
	}
	r.unanswered++
	silence := now.Sub(r.firstUnansweredAt)
	if r.unanswered <= maxUnanswered || silence < (maxUnanswered-1)*a.options.HeartbeatInterval {
		return
	}
	r.unanswered = 0
	r.avoidUntil = now.Add(avoidSilentFor)
	a.selectionStale = true
}

func (a *Announcer) handleReply(now time.Time, in *pb.AnnounceReply) {
	if in.GetId() != a.member.GetId() || int(in.GetCookie()) >= len(a.registrars) {
		return
	}
	r := a.registrars[in.GetCookie()]
	r.unanswered = 0
	r.incarnation = in.GetIncarnation()
	r.version = in.GetVersion()
	if !slices.Contains(a.active, r) {
		return
	}
	superseded := r.incarnation > a.member.GetIncarnation()
	if superseded || a.holdsCurrent(r) {
		a.announceDue.Set(r, now.Add(a.options.HeartbeatInterval))
		return
	}
	a.announceDue.Set(r, now)
}
