package client

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

// fakeGroup is a group of replicas whose leader is elected after electAfter. It
// refuses commands before silentAfter and answers none between the two.
type fakeGroup struct {
	startedAt   time.Time
	electAfter  time.Duration
	silentAfter time.Duration
	leader      string
}

func (f *fakeGroup) call(ctx context.Context, _ transport.Class, address string, _ *pb.Envelope) (*pb.Envelope, bool, error) {
	response := &pb.ControlResponse{Response: &pb.ControlResponse_Result{Result: &pb.CommandResult{}}}
	elapsed := time.Since(f.startedAt)
	switch {
	case elapsed < f.silentAfter:
		response = notLeaderResponse("")
	case elapsed < f.electAfter:
		<-ctx.Done()
		return nil, true, ctx.Err()
	case address != f.leader:
		response = notLeaderResponse(f.leader)
	}
	return &pb.Envelope{Body: &pb.Envelope_ControlResponse{ControlResponse: response}}, true, nil
}

func notLeaderResponse(leader string) *pb.ControlResponse {
	return &pb.ControlResponse{Response: &pb.ControlResponse_Error{Error: &pb.ControlError{Code: pb.ControlError_NOT_LEADER, LeaderAddress: leader}}}
}

// proposeTo proposes a command to a fake group within a time limit. It returns the
// error and the time that the call took.
func proposeTo(group *fakeGroup, limit time.Duration) (*pb.ControlError, time.Duration) {
	c := NewReplicaClient(nil, []string{"a", "b", "c"})
	c.call = group.call
	group.startedAt = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_, controlErr := c.Propose(ctx, transport.Batch, &pb.Command{})
	return controlErr, time.Since(group.startedAt)
}

// A job submitted while the storage group formed was answered with 504 although the
// group had a leader 0.3 s before the deadline: the client slept over it.
func TestCommandIsAcceptedIfLeaderIsElectedBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := NewWithT(t)
		electAfter := 2700 * time.Millisecond
		controlErr, elapsed := proposeTo(&fakeGroup{leader: "b", electAfter: electAfter, silentAfter: electAfter}, 3*time.Second)
		expect.Expect(controlErr).To(BeNil())
		expect.Expect(elapsed).To(BeNumerically("<", 3*time.Second))
	})
}

func TestNamedLeaderIsAskedWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := NewWithT(t)
		controlErr, elapsed := proposeTo(&fakeGroup{leader: "b"}, 3*time.Second)
		expect.Expect(controlErr).To(BeNil())
		expect.Expect(elapsed).To(BeZero())
	})
}

func TestReplicasThatNameEachOtherAreAskedWithDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := NewWithT(t)
		attempts := 0
		c := NewReplicaClient(nil, []string{"a", "b"})
		c.call = func(_ context.Context, _ transport.Class, address string, _ *pb.Envelope) (*pb.Envelope, bool, error) {
			attempts++
			other := map[string]string{"a": "b", "b": "a"}[address]
			return &pb.Envelope{Body: &pb.Envelope_ControlResponse{ControlResponse: notLeaderResponse(other)}}, true, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_, controlErr := c.Propose(ctx, transport.Batch, &pb.Command{})
		expect.Expect(controlErr.GetCode()).To(Equal(pb.ControlError_NOT_LEADER))
		expect.Expect(attempts).To(BeNumerically("<", 30))
	})
}

// An attempt that starts too late for an answer would make the outcome of a command
// unknown that was certainly refused before.
func TestCertainRefusalStaysCertainShortlyBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := NewWithT(t)
		group := &fakeGroup{leader: "b", silentAfter: 2500 * time.Millisecond, electAfter: time.Minute}
		controlErr, _ := proposeTo(group, 2650*time.Millisecond)
		expect.Expect(controlErr.GetCode()).To(Equal(pb.ControlError_NOT_LEADER))
	})
}

// After a loss of power of a fleet with 45 storage daemons, 40 of which are spares,
// clients that tried them in turn found no member of the group within their time.
func TestSuggestedLeaderIsTriedBeforeReplicasInTurn(t *testing.T) {
	expect := NewWithT(t)
	c := NewReplicaClient(nil, []string{"a", "b", "c"})
	expect.Expect(c.LeaderAddress()).To(Equal("a"))
	c.SetLeaderAddress("")
	expect.Expect(c.LeaderAddress()).To(Equal("b"))
	c.SuggestLeader("c")
	expect.Expect(c.LeaderAddress()).To(Equal("c"))
	c.SetLeaderAddress("")
	expect.Expect(c.LeaderAddress()).To(Equal("b"))
	c.SetLeaderAddress("a")
	c.SuggestLeader("c")
	expect.Expect(c.LeaderAddress()).To(Equal("a"))
	c.SetLeaderAddress("")
	expect.Expect(c.LeaderAddress()).To(Equal("b"))
}

func TestRedirectIsNotFollowedShortlyBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := NewWithT(t)
		c := NewReplicaClient(nil, []string{"a", "b"})
		c.call = func(ctx context.Context, _ transport.Class, address string, _ *pb.Envelope) (*pb.Envelope, bool, error) {
			if address == "a" {
				time.Sleep(900 * time.Millisecond)
				return &pb.Envelope{Body: &pb.Envelope_ControlResponse{ControlResponse: notLeaderResponse("b")}}, true, nil
			}
			<-ctx.Done()
			return nil, true, ctx.Err()
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, controlErr := c.Propose(ctx, transport.Batch, &pb.Command{})
		expect.Expect(controlErr.GetCode()).To(Equal(pb.ControlError_NOT_LEADER))
	})
}

// fullReplica answers the first attempt with an error code, and each further one with FULL.
func fullReplica(first pb.ControlError_Code, attempts *int) func(context.Context, transport.Class, string, *pb.Envelope) (*pb.Envelope, bool, error) {
	return func(context.Context, transport.Class, string, *pb.Envelope) (*pb.Envelope, bool, error) {
		*attempts++
		code := pb.ControlError_FULL
		if *attempts == 1 {
			code = first
		}
		response := &pb.ControlResponse{Response: &pb.ControlResponse_Error{Error: &pb.ControlError{Code: code, LeaderAddress: "a"}}}
		return &pb.Envelope{Body: &pb.Envelope_ControlResponse{ControlResponse: response}}, true, nil
	}
}

// A command that a replica has no memory for is not sent again and again, which would cost the
// replica most just then.
func TestCommandIsNotRepeatedAtAFullReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for first, want := range map[pb.ControlError_Code]pb.ControlError_Code{
			pb.ControlError_FULL: pb.ControlError_FULL, pb.ControlError_NOT_LEADER: pb.ControlError_FULL,
			// What the first attempt did remains unknown.
			pb.ControlError_UNKNOWN: pb.ControlError_UNKNOWN,
		} {
			expect := NewWithT(t)
			c := NewReplicaClient(nil, []string{"a"})
			attempts := 0
			c.call = fullReplica(first, &attempts)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			_, controlErr := c.Propose(ctx, transport.Batch, &pb.Command{})
			cancel()
			expect.Expect(controlErr.GetCode()).To(Equal(want))
			expect.Expect(attempts).To(BeNumerically("<=", 2))
		}
	})
}
