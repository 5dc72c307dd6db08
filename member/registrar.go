package member

import (
	"time"

	"github.com/tidwall/btree"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

const (
	// subscriptionExpiry is the time after its last Subscribe message at which a
	// subscription ends.
	subscriptionExpiry = 5 * time.Second
	// maxDeltaBytes is the size of the changes in one datagram at which no more
	// are added.
	maxDeltaBytes = 1100
)

// RegistrarOptions are the settings of a Registrar. Zero values mean the
// defaults.
type RegistrarOptions struct {
	// MemberTimeout is the time without an announcement after which a member
	// expires.
	MemberTimeout time.Duration
	// RetransmitInterval is the time after which an unacknowledged delta is sent
	// again.
	RetransmitInterval time.Duration
}

// Registrar is the core that tracks the announced members and sends their changes
// to the entries.
type Registrar struct {
	options RegistrarOptions
	epoch   uint64
	version uint64
	// forgottenVersion is the highest version whose change has been deleted.
	forgottenVersion      uint64
	records               map[string]*memberRecord
	changesByVersion      btree.Map[uint64, *memberRecord]
	memberDeadlines       core.Deadlines[string]
	tombstones            core.Deadlines[string]
	subscriptions         btree.Map[string, *subscription]
	subscriptionDeadlines core.Deadlines[string]
	retransmitDue         core.Deadlines[string]
	publishedVersion      uint64
	outbox                core.Outbox[Output]
}

// memberRecord is one member. The record of an expired member or one that left is
// kept for tombstoneRetention.
type memberRecord struct {
	member  *pb.Member
	version uint64
	expired bool
}

func (r *memberRecord) left() bool {
	return r.member.GetState() == pb.MemberState_MEMBER_LEFT
}

// subscription is the subscription of one entry.
type subscription struct {
	entryID  string
	address  string
	services []string
	cookie   uint32
	// ackedVersion is the version that the entry has acknowledged.
	ackedVersion uint64
	// needsFull is set while the entry needs a full list.
	needsFull bool
}

// NewRegistrar returns a Registrar. The epoch must differ between starts.
func NewRegistrar(options RegistrarOptions, epoch uint64) *Registrar {
	if options.MemberTimeout == 0 {
		options.MemberTimeout = DefaultMemberTimeout
	}
	if options.RetransmitInterval == 0 {
		options.RetransmitInterval = DefaultRetransmitInterval
	}
	return &Registrar{options: options, epoch: epoch, records: make(map[string]*memberRecord)}
}

// Step handles one input.
func (r *Registrar) Step(now time.Time, in Input) {
	datagram, ok := in.(Datagram)
	if !ok {
		return
	}
	switch body := datagram.Message.GetBody().(type) {
	case *pb.MemberMessage_Announce:
		r.handleAnnounce(now, datagram.From, body.Announce)
	case *pb.MemberMessage_Subscribe:
		r.handleSubscribe(now, body.Subscribe)
	}
}

// Tick expires members and subscriptions and sends deltas.
func (r *Registrar) Tick(now time.Time) {
	r.expireMembers(now)
	r.dropTombstones(now)
	r.expireSubscriptions(now)
	r.publishChanges(now)
	r.retransmit(now)
}

// Drain returns the outputs since the last call.
func (r *Registrar) Drain() []Output {
	return r.outbox.Drain()
}

// Len returns the number of members that have not expired or left.
func (r *Registrar) Len() int {
	return r.memberDeadlines.Len()
}

func (r *Registrar) handleAnnounce(now time.Time, from string, a *pb.Announce) {
	in := a.GetMember()
	if in.GetId() == "" || in.GetIncarnation() == 0 {
		return
	}
	held := r.records[in.GetId()]
	if !a.GetBrief() || held.holds(in) {
		held = r.applyAnnouncement(now, held, in)
	}
	reply := &pb.AnnounceReply{Id: in.GetId(), Sequence: a.GetSequence(), Cookie: a.GetCookie()}
	if held != nil {
		reply.Incarnation = held.member.GetIncarnation()
		reply.Version = held.member.GetVersion()
	}
	r.outbox.Put(SendTo{Address: from, Message: replyMessage(reply)})
}

// holds reports whether the record is as new as the announced version.
func (r *memberRecord) holds(in *pb.Member) bool {
	if r == nil {
		return false
	}
	return r.member.GetIncarnation() == in.GetIncarnation() && r.member.GetVersion() >= in.GetVersion()
}

// applyAnnouncement merges an announcement and restarts the member's timeout.
func (r *Registrar) applyAnnouncement(now time.Time, held *memberRecord, in *pb.Member) *memberRecord {
	if held == nil {
		held = &memberRecord{}
		r.records[in.GetId()] = held
	}
	if in.GetIncarnation() < held.member.GetIncarnation() {
		return held
	}
	merged, changed := merge(held.member, in)
	held.member = merged
	if held.left() {
		r.memberDeadlines.Remove(in.GetId())
		r.tombstones.Set(in.GetId(), now.Add(tombstoneRetention))
	} else {
		changed = changed || held.expired
		held.expired = false
		r.memberDeadlines.Set(in.GetId(), now.Add(r.options.MemberTimeout))
		r.tombstones.Remove(in.GetId())
	}
	if changed {
		r.recordChange(held)
	}
	return held
}

// recordChange assigns the next version to a changed record.
func (r *Registrar) recordChange(record *memberRecord) {
	r.changesByVersion.Delete(record.version)
	r.version++
	record.version = r.version
	r.changesByVersion.Set(r.version, record)
}

func (r *Registrar) expireMembers(now time.Time) {
	for {
		id, due := r.memberDeadlines.PopExpired(now)
		if !due {
			return
		}
		r.records[id].expired = true
		r.tombstones.Set(id, now.Add(tombstoneRetention))
		r.recordChange(r.records[id])
	}
}

func (r *Registrar) dropTombstones(now time.Time) {
	for {
		id, due := r.tombstones.PopExpired(now)
		if !due {
			return
		}
		version := r.records[id].version
		r.forgottenVersion = max(r.forgottenVersion, version)
		r.changesByVersion.Delete(version)
		delete(r.records, id)
	}
}

func (r *Registrar) handleSubscribe(now time.Time, in *pb.Subscribe) {
	s, known := r.subscriptions.Get(in.GetEntry())
	if !known {
		s = &subscription{entryID: in.GetEntry()}
		r.subscriptions.Set(in.GetEntry(), s)
	}
	s.address = in.GetAddress()
	s.services = in.GetServices()
	s.cookie = in.GetCookie()
	s.ackedVersion = in.GetAfter()
	s.needsFull = r.needsFullList(in)
	if s.needsFull {
		s.ackedVersion = 0
	}
	r.subscriptionDeadlines.Set(s.entryID, now.Add(subscriptionExpiry))
	r.sendDelta(now, s)
}

// needsFullList reports whether an entry needs a full list: its version is from
// another epoch, or it may have missed a removal whose record is deleted. A list
// that is being sent is continued.
func (r *Registrar) needsFullList(in *pb.Subscribe) bool {
	if in.GetRegistrarEpoch() != r.epoch || in.GetAfter() > r.version {
		return true
	}
	return in.GetAfter() < r.forgottenVersion && !in.GetListing()
}

func (r *Registrar) expireSubscriptions(now time.Time) {
	for {
		entry, due := r.subscriptionDeadlines.PopExpired(now)
		if !due {
			return
		}
		r.subscriptions.Delete(entry)
		r.retransmitDue.Remove(entry)
	}
}

// publishChanges sends new changes to all subscribers.
func (r *Registrar) publishChanges(now time.Time) {
	if r.publishedVersion == r.version {
		return
	}
	r.publishedVersion = r.version
	r.subscriptions.Scan(func(_ string, s *subscription) bool {
		r.sendDelta(now, s)
		return true
	})
}

// retransmit sends unacknowledged deltas again when they are due.
func (r *Registrar) retransmit(now time.Time) {
	for {
		entry, due := r.retransmitDue.PopExpired(now)
		if !due {
			return
		}
		if s, ok := r.subscriptions.Get(entry); ok {
			r.sendDelta(now, s)
		}
	}
}

// sendDelta sends the changes after the acknowledged version, as many as fit into
// one datagram. An empty delta serves as a heartbeat of the registrar.
func (r *Registrar) sendDelta(now time.Time, s *subscription) {
	delta := r.buildDelta(s)
	if delta.GetVersion() > s.ackedVersion || delta.GetFull() {
		r.retransmitDue.Set(s.entryID, now.Add(r.options.RetransmitInterval))
	} else {
		r.retransmitDue.Remove(s.entryID)
	}
	r.outbox.Put(SendTo{Address: s.address, Message: deltaMessage(delta)})
}

func (r *Registrar) buildDelta(s *subscription) *pb.MemberDelta {
	delta := &pb.MemberDelta{
		RegistrarEpoch: r.epoch,
		Base:           s.ackedVersion,
		Version:        r.version,
		Full:           s.needsFull,
		Cookie:         s.cookie,
	}
	size := 0
	r.changesByVersion.Ascend(s.ackedVersion+1, func(version uint64, changed *memberRecord) bool {
		size += r.addChange(delta, s, changed)
		if size < maxDeltaBytes {
			return true
		}
		delta.Version = version
		delta.More = version < r.version
		return false
	})
	return delta
}

// addChange adds a changed record to a delta and returns its size in bytes.
func (r *Registrar) addChange(delta *pb.MemberDelta, s *subscription, record *memberRecord) int {
	if !record.expired && (record.left() || servesAny(record.member, s.services)) {
		delta.Members = append(delta.Members, record.member)
		return proto.Size(record.member)
	}
	delta.Gone = append(delta.Gone, record.member.GetId())
	return len(record.member.GetId())
}
