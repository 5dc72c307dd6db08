package member

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// Default settings.
const (
	// DefaultHeartbeatInterval is the time between two announcements of an
	// unchanged member, and between two Subscribe messages of an entry.
	DefaultHeartbeatInterval = time.Second
	// DefaultMemberTimeout is the time without an announcement after which a
	// registrar expires a member.
	DefaultMemberTimeout = 3 * time.Second
	// DefaultRetransmitInterval is the time after which an unacknowledged change
	// is sent again.
	DefaultRetransmitInterval = 200 * time.Millisecond
	// DefaultRegistrarTimeout is the time without a message after which an entry
	// ignores the list of a registrar. It exceeds the time in which a sidecar
	// replaces a registrar that does not reply.
	DefaultRegistrarTimeout = 5 * time.Second
	// DefaultRegistrarCount is the number of registrars to which a member is
	// announced.
	DefaultRegistrarCount = 3

	// tombstoneRetention is the time for which the record of a removed member is
	// kept, so that delayed reports do not add it again.
	tombstoneRetention = time.Minute
)

// Input is an input of a Registrar, Table or Announcer.
type Input interface{ memberInput() }

// Datagram is a message from another process. From is the sender's address.
type Datagram struct {
	From    string
	Message *pb.MemberMessage
}

// SetMember sets the member that an Announcer announces. The Announcer assigns
// its version.
type SetMember struct {
	Member *pb.Member
}

// SetRegistrars replaces the addresses of the registrars of a Table or Announcer.
type SetRegistrars struct {
	Registrars []string
}

func (Datagram) memberInput()      {}
func (SetMember) memberInput()     {}
func (SetRegistrars) memberInput() {}

// Output is an output of a Registrar, Table or Announcer.
type Output interface{ memberOutput() }

// SendTo is an order to the host code to send a datagram.
type SendTo struct {
	Address string
	Message *pb.MemberMessage
}

// Changed reports a new or changed member.
type Changed struct {
	Member *pb.Member
}

// Gone reports that a member left or expired.
type Gone struct {
	ID string
}

func (SendTo) memberOutput()  {}
func (Changed) memberOutput() {}
func (Gone) memberOutput()    {}

func announceMessage(m *pb.Announce) *pb.MemberMessage {
	return &pb.MemberMessage{Body: &pb.MemberMessage_Announce{Announce: m}}
}

func replyMessage(m *pb.AnnounceReply) *pb.MemberMessage {
	return &pb.MemberMessage{Body: &pb.MemberMessage_AnnounceReply{AnnounceReply: m}}
}

func subscribeMessage(m *pb.Subscribe) *pb.MemberMessage {
	return &pb.MemberMessage{Body: &pb.MemberMessage_Subscribe{Subscribe: m}}
}

func deltaMessage(m *pb.MemberDelta) *pb.MemberMessage {
	return &pb.MemberMessage{Body: &pb.MemberMessage_Delta{Delta: m}}
}

// merge returns the newer of the held and a received report about a member, and
// whether the received one wins. The held report may be nil. A member that left
// stays removed for the rest of its incarnation; a draining one may serve again
// with a higher version.
func merge(held, in *pb.Member) (*pb.Member, bool) {
	if held == nil || in.GetIncarnation() > held.GetIncarnation() {
		return in, true
	}
	if in.GetIncarnation() < held.GetIncarnation() || in.GetVersion() <= held.GetVersion() {
		return held, false
	}
	if held.GetState() == pb.MemberState_MEMBER_LEFT {
		return held, false
	}
	return in, true
}

// servesAny reports whether a member serves at least one of the services; an empty
// list means all services.
func servesAny(m *pb.Member, services []string) bool {
	if len(services) == 0 {
		return true
	}
	for _, service := range m.GetServices() {
		if slices.Contains(services, service) {
			return true
		}
	}
	return false
}
