package batch

import (
	"context"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

func TestPartlyReceivedJobIsAbortedAndCanBeResubmitted(t *testing.T) {
	g := NewWithT(t)
	s := newSim(24, 2)
	j := newSimJob("job-1", 100)
	begin := NewIntake(IntakeOptions{JobID: "dead", Caller: j.caller, IdempotencyKey: j.key}).beginCommand()
	s.commit(s.leader, begin)
	_, err := s.submit(j)
	var submitError *SubmitError
	g.Expect(errors.As(err, &submitError)).To(BeTrue())
	g.Expect(submitError.NotAccepted && submitError.Retry).To(BeTrue())
	s.failLeader(false)
	s.advance(ReceiveTimeout + time.Second)
	g.Expect(s.job("dead")).To(BeNil())
	s.submitAccepted(g, j)
	g.Expect(s.advanceUntil(time.Minute, s.allCompleted("job-1"))).To(BeTrue())
	g.Expect(s.ledger.check(s)).To(BeEmpty())
}

func TestInvalidLineRejectsWholeJob(t *testing.T) {
	g := NewWithT(t)
	s := newSim(25, 1)
	text := newSimJob("job-1", 120).jsonLines()
	text = strings.Replace(text, `"custom_id":"item-99"`, `"custom_id":""`, 1)
	intake := NewIntake(IntakeOptions{JobID: "job-1", Caller: "c", IdempotencyKey: "k", Endpoint: simEndpoint, ChunkItems: 10})
	_, err := intake.Submit(context.Background(), strings.NewReader(text), s.propose)
	var lineError *LineError
	g.Expect(errors.As(err, &lineError)).To(BeTrue())
	g.Expect(lineError.Line).To(Equal(uint32(100)))
	g.Expect(s.job("job-1")).To(BeNil())
}

func TestExampleRecordsAreAccepted(t *testing.T) {
	g := NewWithT(t)
	records, err := os.Open("../examples/inspection-records.jsonl")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(records.Close()).To(Succeed()) }()
	s := newSim(26, 1)
	intake := NewIntake(IntakeOptions{JobID: "job-1", Caller: "c", Endpoint: simEndpoint, Model: "dam-watch"})
	job, err := intake.Submit(context.Background(), records, s.propose)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(job.GetItems()).To(Equal(uint32(60)))
}

// loseAcceptResults returns a ProposeFunc that reports an unknown outcome for
// every JobAccept. If committed is set, the command is committed nevertheless.
func (s *sim) loseAcceptResults(committed bool) ProposeFunc {
	return func(ctx context.Context, c *pb.Command) (*pb.CommandResult, *pb.ControlError) {
		if c.GetJobAccept() == nil {
			return s.propose(ctx, c)
		}
		if committed {
			s.commit(s.leader, c)
		}
		return nil, &pb.ControlError{Code: pb.ControlError_UNKNOWN}
	}
}

func TestLostAcknowledgementIsResolved(t *testing.T) {
	for _, committed := range []bool{true, false} {
		g := NewWithT(t)
		s := newSim(27, 1)
		intake := NewIntake(IntakeOptions{
			JobID: "job-1", Caller: "c", IdempotencyKey: "k", Endpoint: simEndpoint, MaxProposals: 2,
			WaitBeforeRetry: func(context.Context, int) error { return nil },
		})
		job, err := intake.Submit(context.Background(), strings.NewReader(newSimJob("job-1", 20).jsonLines()), s.loseAcceptResults(committed))
		if committed {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(job.GetState()).To(Equal(pb.JobState_JOB_RUNNING))
			continue
		}
		var submitError *SubmitError
		g.Expect(errors.As(err, &submitError)).To(BeTrue())
		g.Expect(submitError.NotAccepted && submitError.Retry).To(BeTrue())
		g.Expect(s.job("job-1")).To(BeNil())
	}
}

func TestUnreachableLeaderLeavesAcceptanceUnknown(t *testing.T) {
	g := NewWithT(t)
	s := newSim(28, 1)
	unreachable := false
	propose := func(ctx context.Context, c *pb.Command) (*pb.CommandResult, *pb.ControlError) {
		unreachable = unreachable || c.GetJobAccept() != nil
		if unreachable {
			return nil, &pb.ControlError{Code: pb.ControlError_UNKNOWN}
		}
		return s.propose(ctx, c)
	}
	intake := NewIntake(IntakeOptions{
		JobID: "job-1", Caller: "c", IdempotencyKey: "k", Endpoint: simEndpoint, MaxProposals: 2,
		WaitBeforeRetry: func(context.Context, int) error { return nil },
	})
	_, err := intake.Submit(context.Background(), strings.NewReader(newSimJob("job-1", 20).jsonLines()), propose)
	var submitError *SubmitError
	g.Expect(errors.As(err, &submitError)).To(BeTrue())
	g.Expect(submitError.NotAccepted).To(BeFalse())
	g.Expect(submitError.Retry).To(BeTrue())
}
