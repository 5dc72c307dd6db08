package quorum

import (
	"testing"
	"time"

	"github.com/briarcross/briarcross/pb"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// newMemberCore returns the core of replica a in a group of three whose
// membership is already decided.
func newMemberCore(stored Stored) *Core {
	stored.Bootstrap = &pb.Bootstrap{Decided: true, Membership: &pb.Membership{
		Size:     3,
		Replicas: []*pb.Replica{{Id: "a", Identity: 1}, {Id: "b", Identity: 2}, {Id: "c", Identity: 3}},
	}}
	return New(Options{ID: "a", Identity: 1, Stored: stored})
}

func drainMessages(c *Core) []*pb.QuorumMessage {
	var messages []*pb.QuorumMessage
	for _, out := range c.Drain() {
		if s, ok := out.(Send); ok {
			messages = append(messages, s.Message)
		}
	}
	return messages
}

func voteRequest(toIdentity uint64) MessageReceived {
	return MessageReceived{&pb.QuorumMessage{
		Kind: pb.QuorumKind_QUORUM_VOTE, From: "b", To: "a", FromIdentity: 2, ToIdentity: toIdentity, Term: 5,
	}}
}

func TestVoteReplyIsSentOnlyAfterVoteIsSaved(t *testing.T) {
	g := NewWithT(t)
	c := newMemberCore(Stored{})
	c.Step(time.Time{}, voteRequest(1))
	var ticket uint64
	for _, out := range c.Drain() {
		g.Expect(out).NotTo(BeAssignableToTypeOf(Send{}))
		if save, ok := out.(Save); ok {
			ticket = save.Ticket
			g.Expect(save.HardState.Vote).To(Equal("b"))
		}
	}
	c.Step(time.Time{}, Saved{ticket})
	messages := drainMessages(c)
	g.Expect(messages).To(HaveLen(1))
	g.Expect(messages[0].Kind).To(Equal(pb.QuorumKind_QUORUM_VOTE_REPLY))
	g.Expect(messages[0].Reject).To(BeFalse())
}

func TestRequestForAnotherIdentityIsDropped(t *testing.T) {
	g := NewWithT(t)
	c := newMemberCore(Stored{})
	c.Step(time.Time{}, voteRequest(99))
	g.Expect(drainMessages(c)).To(BeEmpty())
	g.Expect(c.Status().Term).To(BeZero())
}

func TestPreVoteReplyOfAnotherIdentityIsIgnored(t *testing.T) {
	g := NewWithT(t)
	c := newMemberCore(Stored{})
	for range 3 * DefaultElectionTicks {
		c.Tick(time.Time{})
	}
	reply := &pb.QuorumMessage{
		Kind: pb.QuorumKind_QUORUM_PRE_VOTE_REPLY, From: "b", To: "a", FromIdentity: 99, ToIdentity: 1, Term: 1,
	}
	c.Step(time.Time{}, MessageReceived{reply})
	g.Expect(c.Status().Term).To(BeZero())
	reply.FromIdentity = 2
	c.Step(time.Time{}, MessageReceived{reply})
	g.Expect(c.Status().Term).To(Equal(uint64(1)))
}

// electMember makes replica a the leader of term 1 by the votes of replica b. It
// returns the outputs of its last step.
func electMember(c *Core) []Output {
	for range 2 * DefaultElectionTicks {
		c.Tick(time.Time{})
	}
	reply := &pb.QuorumMessage{From: "b", To: "a", FromIdentity: 2, ToIdentity: 1, Term: 1}
	preVote, vote := proto.CloneOf(reply), proto.CloneOf(reply)
	preVote.Kind, vote.Kind = pb.QuorumKind_QUORUM_PRE_VOTE_REPLY, pb.QuorumKind_QUORUM_VOTE_REPLY
	c.Step(time.Time{}, MessageReceived{preVote})
	c.Drain()
	c.Step(time.Time{}, MessageReceived{vote})
	return c.Drain()
}

// While the first entry of a leader waited for slow disks, callers waited for their
// commands behind it, at a replica that did not lead yet for anyone else.
func TestLeaderRefusesProposalsBeforeItsFirstCommit(t *testing.T) {
	g := NewWithT(t)
	c := newMemberCore(Stored{})
	var ticket uint64
	for _, out := range electMember(c) {
		if save, ok := out.(Save); ok {
			ticket = save.Ticket
		}
	}
	g.Expect(c.Status().Leading).To(BeTrue())
	lastIndex := c.Status().LastIndex
	c.Step(time.Time{}, Propose{[]Proposal{{ID: 7}}})
	g.Expect(c.Drain()).To(Equal([]Output{ProposalRefused{7, RefusedNotLeader}}))
	g.Expect(c.Status().LastIndex).To(Equal(lastIndex))

	c.Step(time.Time{}, Saved{ticket})
	c.Step(time.Time{}, MessageReceived{&pb.QuorumMessage{
		Kind: pb.QuorumKind_QUORUM_APPEND_REPLY, From: "b", To: "a", FromIdentity: 2, ToIdentity: 1, Term: 1, LogIndex: lastIndex,
	}})
	g.Expect(c.Status().CommitIndex).To(Equal(lastIndex))
	c.Drain()
	c.Step(time.Time{}, Propose{[]Proposal{{ID: 8}}})
	g.Expect(c.Drain()).To(ContainElement(ProposalAppended{8, lastIndex + 1, 1}))
}

func TestMessageOfAnotherGroupIsDropped(t *testing.T) {
	g := NewWithT(t)
	c := newMemberCore(Stored{})
	request := voteRequest(1)
	request.Message.Group = 8
	c.Step(time.Time{}, request)
	g.Expect(c.Status().Term).To(BeZero())
}

func TestLogTracksItsSizeInBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newEntryLog(&pb.SnapshotMeta{Index: 10, Term: 1}, nil)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if l.lastIndex() > l.base.Index {
					l.truncateFrom(rapid.Uint64Range(l.firstIndex(), l.lastIndex()).Draw(t, "cut"))
				}
			case 1:
				if l.lastIndex() > l.base.Index {
					l.compact(rapid.Uint64Range(l.firstIndex(), l.lastIndex()).Draw(t, "truncate"))
				}
			default:
				size := rapid.IntRange(0, 20).Draw(t, "size")
				l.append(&pb.LogEntry{Term: 1, Index: l.lastIndex() + 1, Data: make([]byte, size)})
			}
			var want uint64
			for _, e := range l.entries {
				want += uint64(len(e.Data)) + entryOverheadBytes
			}
			if got := l.bytes(l.base.Index, l.lastIndex()); got != want {
				t.Fatalf("log reports a size of %d bytes, its entries have %d", got, want)
			}
		}
	})
}

// A daemon that starts waits for a leader of control. After a loss of everything the first
// election took as long as after the loss of a leader, up to twice ElectionTicks.
func TestReplicaThatHasJustStartedStandsForElectionSoon(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(50) {
		bootstrap := &pb.Bootstrap{Decided: true, Membership: &pb.Membership{
			Size: 2, Replicas: []*pb.Replica{{Id: "a", Identity: 1}, {Id: "b", Identity: 2}},
		}}
		c := New(Options{ID: "a", Identity: 1, Seed: seed, Stored: Stored{Bootstrap: bootstrap}})
		ticks := 0
		for ; len(drainMessages(c)) == 0; ticks++ {
			c.Tick(time.Time{})
		}
		g.Expect(ticks).To(BeNumerically(">", defaultHeartbeatTicks))
		g.Expect(ticks).To(BeNumerically("<", DefaultElectionTicks))
	}
}

// A leader that is there must not be replaced by a replica that has just started.
func TestHeartbeatPostponesTheFirstElection(t *testing.T) {
	g := NewWithT(t)
	c := newMemberCore(Stored{})
	for range defaultHeartbeatTicks {
		c.Tick(time.Time{})
	}
	c.Step(time.Time{}, MessageReceived{&pb.QuorumMessage{
		Kind: pb.QuorumKind_QUORUM_HEARTBEAT, From: "b", To: "a", FromIdentity: 2, ToIdentity: 1, Term: 1,
	}})
	drainMessages(c)
	for range DefaultElectionTicks - 1 {
		c.Tick(time.Time{})
	}
	g.Expect(drainMessages(c)).To(BeEmpty())
}
