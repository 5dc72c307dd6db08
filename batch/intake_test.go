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

func TestHalfReceivedJobIsAbortedAndItsResendStartsAnew(t *testing.T) {
	g := NewWithT(t)
	s := newSim(24, 2)
	j := plainJob("job-1", 100)
	begin := NewIntake(IntakeOptions{JobID: "dead", Caller: j.caller, Key: j.key}).beginCommand()
	s.commit(s.leader, begin)
	_, err := s.submit(j)
	var refused *SubmitError
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(refused.NotRun && refused.Retry).To(BeTrue())
	s.failLeader(false)
	s.advance(ReceiveTimeout + time.Second)
	g.Expect(s.job("dead")).To(BeNil())
	s.accept(g, j)
	g.Expect(s.advanceUntil(time.Minute, s.completed("job-1"))).To(BeTrue())
	g.Expect(s.ledger.check(s)).To(BeEmpty())
}

func TestBadLineRefusesTheJobWhole(t *testing.T) {
	g := NewWithT(t)
	s := newSim(25, 1)
	text := plainJob("job-1", 120).jsonLines()
	text = strings.Replace(text, `"custom_id":"item-99"`, `"custom_id":""`, 1)
	intake := NewIntake(IntakeOptions{JobID: "job-1", Caller: "c", Key: "k", Endpoint: simEndpoint, ChunkItems: 10})
	_, err := intake.Read(context.Background(), strings.NewReader(text), s.propose)
	var line *LineError
	g.Expect(errors.As(err, &line)).To(BeTrue())
	g.Expect(line.Line).To(Equal(uint32(100)))
	g.Expect(s.job("job-1")).To(BeNil())
}

func TestExampleRecordsAreAccepted(t *testing.T) {
	g := NewWithT(t)
	records, err := os.Open("../examples/inspection-records.jsonl")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(records.Close()).To(Succeed()) }()
	s := newSim(26, 1)
	intake := NewIntake(IntakeOptions{JobID: "job-1", Caller: "c", Endpoint: simEndpoint, Model: "dam-watch"})
	job, err := intake.Read(context.Background(), records, s.propose)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(job.GetItems()).To(Equal(uint32(60)))
}

// lossyAccept loses answers to JobAccept commands, before or after their
// effect.
func (s *sim) lossyAccept(effect bool) ProposeFunc {
	return func(ctx context.Context, c *pb.Command) (*pb.CommandResult, *pb.ControlError) {
		if c.GetJobAccept() == nil {
			return s.propose(ctx, c)
		}
		if effect {
			s.commit(s.leader, c)
		}
		return nil, &pb.ControlError{Code: pb.ControlError_UNKNOWN}
	}
}

func TestLostAcknowledgementIsResolved(t *testing.T) {
	for _, effect := range []bool{true, false} {
		g := NewWithT(t)
		s := newSim(27, 1)
		intake := NewIntake(IntakeOptions{
			JobID: "job-1", Caller: "c", Key: "k", Endpoint: simEndpoint, Proposals: 2,
			Wait: func(context.Context, int) error { return nil },
		})
		job, err := intake.Read(context.Background(), strings.NewReader(plainJob("job-1", 20).jsonLines()), s.lossyAccept(effect))
		if effect {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(job.GetState()).To(Equal(pb.JobState_JOB_RUNNING))
			continue
		}
		var refused *SubmitError
		g.Expect(errors.As(err, &refused)).To(BeTrue())
		g.Expect(refused.NotRun && refused.Retry).To(BeTrue())
		g.Expect(s.job("job-1")).To(BeNil())
	}
}

func TestUnreachableLeaderLeavesTheOutcomeOpen(t *testing.T) {
	g := NewWithT(t)
	s := newSim(28, 1)
	gone := false
	propose := func(ctx context.Context, c *pb.Command) (*pb.CommandResult, *pb.ControlError) {
		gone = gone || c.GetJobAccept() != nil
		if gone {
			return nil, &pb.ControlError{Code: pb.ControlError_UNKNOWN}
		}
		return s.propose(ctx, c)
	}
	intake := NewIntake(IntakeOptions{
		JobID: "job-1", Caller: "c", Key: "k", Endpoint: simEndpoint, Proposals: 2,
		Wait: func(context.Context, int) error { return nil },
	})
	_, err := intake.Read(context.Background(), strings.NewReader(plainJob("job-1", 20).jsonLines()), propose)
	var refused *SubmitError
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(refused.NotRun).To(BeFalse())
	g.Expect(refused.Retry).To(BeTrue())
}
