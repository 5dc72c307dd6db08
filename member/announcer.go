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
	// maxUnanswered is the number of heartbeats without reply after which
	// a registrar is replaced.
	maxUnanswered = 3
	// avoidSilentFor is the time for which a silent registrar is not used.
	avoidSilentFor = 10 * time.Second
	// minLoadChange is the least difference of a load figure that is announced.
	minLoadChange = 8
	// minLoadChangePermille is the least relative difference, in thousandths.
	minLoadChangePermille = 500
)

// AnnouncerOptions are the settings of an Announcer. Zero values take the
// defaults.
type AnnouncerOptions struct {
	// Registrars are the addresses of the registrars.
	Registrars []string
	// RegistrarCount is the number of registrars that get the announcements.
	RegistrarCount int
	// HeartbeatInterval is the time between two announcements of an idle member.
	HeartbeatInterval time.Duration
	// RetransmitInterval is the time after which an unacknowledged change is sent again.
	RetransmitInterval time.Duration
}

// Announcer is the core that announces an upstream from its sidecar.
type Announcer struct {
	options        AnnouncerOptions
	member         *pb.Member
	registrars     []*registrar
	active         []*registrar
	sequence       uint64
	announceDue    core.Deadlines[*registrar]
	selectionStale bool
	reselectAt     time.Time
	outbox         core.Outbox[Output]
}

// registrar is one registrar as the sidecar sees it.
type registrar struct {
	address string
	cookie  uint32
	score   uint64
	// incarnation and version are what it holds of the member.
	incarnation uint64
	version     uint64
	// unanswered counts the announcements since its last reply.
	unanswered int
	// firstUnansweredAt is the time of the first of them.
	firstUnansweredAt time.Time
	avoidUntil        time.Time
}

// NewAnnouncer returns an Announcer that is silent until SetMember.
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

// Member returns the member with the version that is announced, or nil.
func (a *Announcer) Member() *pb.Member {
	return a.member
}

// Registrars returns the addresses that get the announcements.
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

// Tick sends due announcements and replaces silent registrars.
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

// setMember announces a change at once. Within an incarnation a member that left
// stays away.
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

// changedEnough reports whether a member has changed enough to announce it.
func changedEnough(old, next *pb.Member) bool {
	before, after := old.GetLoad(), next.GetLoad()
	if loadDiffers(before.GetRunningOnline()+before.GetQueuedOnline(), after.GetRunningOnline()+after.GetQueuedOnline()) {
		return true
	}
	if loadDiffers(before.GetWindow(), after.GetWindow()) {
		return true
	}
	same := proto.CloneOf(next)
	same.Load = before
	return !proto.Equal(old, same)
}

func loadDiffers(before, after uint32) bool {
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

// scoreRegistrars orders the registrars by rendezvous hashing.
func (a *Announcer) scoreRegistrars() {
	for _, r := range a.registrars {
		r.score = xxhash.Sum64String(a.member.GetId() + "\x00" + r.address)
	}
	a.selectionStale = true
}

// selectRegistrars picks the registrars that get the announcements: the first in rank
// that are not silent, then silent ones.
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

// activate announces to the registrars that are new among the chosen ones.
func (a *Announcer) activate(now time.Time, chosen []*registrar) {
	for _, r := range a.active {
		if !slices.Contains(chosen, r) {
			a.announceDue.Remove(r)
			r.unanswered = 0
		}
	}
	for _, r := range chosen {
		if !slices.Contains(a.active, r) {
			a.announceDue.Set(r, now)
		}
	}
	a.active = slices.Clone(chosen)
}

// scheduleReselection schedules a new choice for when a silent registrar may be tried
// again.
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

// holdsCurrent reports whether a registrar holdsCurrent the present version.
func (a *Announcer) holdsCurrent(r *registrar) bool {
	return r.incarnation == a.member.GetIncarnation() && r.version == a.member.GetVersion()
}

func (a *Announcer) announce(now time.Time, r *registrar) {
	a.sequence++
	message := &pb.Announce{Member: a.member, Sequence: a.sequence, Cookie: r.cookie}
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

// countUnanswered replaces a registrar that does not reply.
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
