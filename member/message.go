package member

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// Defaults of the settings.
const (
	// DefaultHeartbeatInterval is the time between two announcements of an idle
	// member, and between two subscriptions of an entry.
	DefaultHeartbeatInterval = time.Second
	// DefaultMemberTimeout is the silence after which a registrar expires a member.
	DefaultMemberTimeout = 3 * time.Second
	// DefaultRetransmitInterval is the time after which an unacknowledged change is sent
	// again.
	DefaultRetransmitInterval = 200 * time.Millisecond
	// DefaultRegistrarTimeout is the silence after which an entry stops
	// relying on a registrar. It exceeds the time that a sidecar needs to
	// replace a silent registrar.
	DefaultRegistrarTimeout = 5 * time.Second
	// DefaultRegistrarCount is the number of registrars of one member.
	DefaultRegistrarCount = 3

	// tombstoneRetention is the time for which a removed member is
	// remembered, so that delayed reports do not bring it back.
	tombstoneRetention = time.Minute
)

// Input is an input of a Registrar, Table or Announcer.
type Input interface{ memberInput() }

// Datagram is a message from another process. Address is the sender's.
type Datagram struct {
	From    string
	Message *pb.MemberMessage
}

// SetMember states the upstream of an Announcer. The Announcer numbers the
// versions.
type SetMember struct {
	Member *pb.Member
}

// SetRegistrars replaces the registrars' addresses of a Table or Announcer.
type SetRegistrars struct {
	Registrars []string
}

func (Datagram) memberInput()      {}
func (SetMember) memberInput()     {}
func (SetRegistrars) memberInput() {}

// Output is an output of a Registrar, Table or Announcer.
type Output interface{ memberOutput() }

// SendTo asks the shell to send a datagram.
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

// merge returns the newer of two reports about a member, and whether it
// differs from the held one. A held report may be nil. A member that left does
// not come back within its incarnation; one that drains may serve again with a
// later version.
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

// serves reports whether a member serves one of the services; an empty list
// names all.
func serves(m *pb.Member, services []string) bool {
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
