package batch

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"io"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// IntakeOptions describes a job that is read from a stream.
type IntakeOptions struct {
	// JobID names the job if it is new. It is unique.
	JobID  string
	Caller string
	// Key is the caller's idempotency key. Without one the job is known by
	// its content.
	Key     string
	Service string
	// Endpoint is the URL that every line must name.
	Endpoint string
	// Model is what the body of every line must name as its model. Empty
	// accepts any.
	Model       string
	Idempotent  bool
	DueUnixMs   uint64
	RetentionMs uint64
	MaxAttempts uint32
	// ReceiveMs is the time without a command after which the received part
	// may be removed; zero takes the default.
	ReceiveMs uint64

	// MaxLineBytes bounds one line.
	MaxLineBytes int
	// ChunkItems and ChunkBytes bound one command.
	ChunkItems int
	ChunkBytes int
	// Proposals is how often a command is proposed while its outcome is not
	// known or the leader is changing.
	Proposals int
	// Wait blocks between two proposals of a command.
	Wait func(ctx context.Context, proposal int) error
}

const (
	defaultMaxLineBytes = 1 << 20
	defaultIntakeItems  = 256
	defaultIntakeBytes  = 256 << 10
	defaultProposals    = 8
	proposalDelay       = 250 * time.Millisecond
	maxCustomIDBytes    = 512
)

// ProposeFunc commits a command. Exactly one of its results is not nil.
type ProposeFunc func(context.Context, *pb.Command) (*pb.CommandResult, *pb.ControlError)

// Intake reads one job in the OpenAI batch format, a JSON object on each
// line. Its memory is bounded by a line and a chunk.
type Intake struct {
	options IntakeOptions
	propose ProposeFunc
	digest  hash.Hash

	line     uint32
	items    uint32
	sequence uint32
	chunk    []*pb.Item
	bytes    int
}

// LineError tells which line made a job unacceptable. The job was not run.
type LineError struct {
	// Line counts from one.
	Line   uint32
	Reason string
}

// Error implements error.
func (e *LineError) Error() string {
	return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
}

// SubmitError tells why a job was not acknowledged.
type SubmitError struct {
	Reason string
	// NotRun is set when the job is certainly not accepted. Otherwise a
	// resend finds out.
	NotRun bool
	// Retry is set when the same submission may succeed later.
	Retry bool
	// Job is the earlier job in the way, if any.
	Job *pb.Job
}

// Error implements error.
func (e *SubmitError) Error() string {
	return e.Reason
}

// NewIntake returns an intake for one job.
func NewIntake(o IntakeOptions) *Intake {
	setDefaultIfZero(&o.MaxLineBytes, defaultMaxLineBytes)
	setDefaultIfZero(&o.ChunkItems, defaultIntakeItems)
	setDefaultIfZero(&o.ChunkBytes, defaultIntakeBytes)
	setDefaultIfZero(&o.Proposals, defaultProposals)
	if o.Wait == nil {
		o.Wait = waitProposal
	}
	return &Intake{options: o, digest: sha256.New()}
}

func waitProposal(ctx context.Context, _ int) error {
	timer := time.NewTimer(proposalDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Read submits the job that r holds and returns it once it is accepted, or the
// earlier job when it was submitted before. Each chunk is committed before
// more is read. The error is a *LineError or a *SubmitError; after all but a
// SubmitError without NotRun the job does not run and is removed whole.
func (in *Intake) Read(ctx context.Context, r io.Reader, propose ProposeFunc) (*pb.Job, error) {
	in.propose = propose
	in.writeDigestHeader()
	result, err := in.send(ctx, in.beginCommand())
	if err != nil {
		return nil, err
	}
	lines := bufio.NewReader(r)
	switch result.GetError() {
	case pb.JobError_JOB_OK:
	case pb.JobError_JOB_EXISTS:
		return in.findEarlier(lines, result.GetJob())
	default:
		return nil, refusal(result)
	}
	if err := in.readItems(ctx, lines); err != nil {
		in.abort(ctx, err)
		return nil, err
	}
	return in.accept(ctx)
}

func refusal(result *pb.JobResult) *SubmitError {
	if result.GetJob().GetState() == pb.JobState_JOB_RECEIVING {
		return &SubmitError{Reason: "a job with this key is being received", NotRun: true, Retry: true, Job: result.GetJob()}
	}
	return &SubmitError{Reason: "the job was refused: " + result.GetError().String(), NotRun: true, Job: result.GetJob()}
}

func (in *Intake) beginCommand() *pb.Command {
	return &pb.Command{Op: &pb.Command_JobBegin{JobBegin: &pb.JobBegin{
		JobId:       in.options.JobID,
		Caller:      in.options.Caller,
		Key:         in.options.Key,
		Service:     in.options.Service,
		Idempotent:  in.options.Idempotent,
		DueUnixMs:   in.options.DueUnixMs,
		RetentionMs: in.options.RetentionMs,
		MaxAttempts: in.options.MaxAttempts,
		Endpoint:    in.options.Endpoint,
		ReceiveMs:   in.options.ReceiveMs,
	}}}
}

// findEarlier checks that a resent key comes with the same content.
func (in *Intake) findEarlier(lines *bufio.Reader, earlier *pb.Job) (*pb.Job, error) {
	for {
		item, err := in.next(lines)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		in.addDigest(item)
	}
	if !bytes.Equal(in.digest.Sum(nil), earlier.GetDigest()) {
		return nil, &SubmitError{Reason: "the key was used for another job", NotRun: true, Job: earlier}
	}
	return earlier, nil
}

func (in *Intake) readItems(ctx context.Context, lines *bufio.Reader) error {
	for {
		item, err := in.next(lines)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		in.addDigest(item)
		in.chunk = append(in.chunk, item)
		in.bytes += len(item.GetBody())
		if len(in.chunk) < in.options.ChunkItems && in.bytes < in.options.ChunkBytes {
			continue
		}
		if err := in.sendChunk(ctx); err != nil {
			return err
		}
	}
	if in.items == 0 {
		return &LineError{Line: 1, Reason: "the job has no items"}
	}
	if len(in.chunk) == 0 {
		return nil
	}
	return in.sendChunk(ctx)
}

func (in *Intake) sendChunk(ctx context.Context) error {
	result, err := in.send(ctx, &pb.Command{Op: &pb.Command_JobChunk{JobChunk: &pb.JobChunk{
		JobId:    in.options.JobID,
		Sequence: in.sequence,
		Items:    in.chunk,
	}}})
	if err != nil {
		return err
	}
	if result.GetError() != pb.JobError_JOB_OK {
		return &SubmitError{Reason: "the job was removed while it was received", NotRun: true, Retry: true}
	}
	in.sequence++
	in.chunk = nil
	in.bytes = 0
	return nil
}

// accept asks for the acknowledgement. From its first proposal on the job may
// be accepted even when no answer comes.
func (in *Intake) accept(ctx context.Context) (*pb.Job, error) {
	result, err := in.send(ctx, &pb.Command{Op: &pb.Command_JobAccept{JobAccept: &pb.JobAccept{
		JobId:  in.options.JobID,
		Items:  in.items,
		Digest: in.digest.Sum(nil),
		Caller: in.options.Caller,
	}}})
	if err != nil {
		return in.resolve(ctx, err)
	}
	switch result.GetError() {
	case pb.JobError_JOB_OK, pb.JobError_JOB_EXISTS:
		return result.GetJob(), nil
	case pb.JobError_JOB_NOT_FOUND:
		return nil, &SubmitError{Reason: "the job was removed while it was received", NotRun: true, Retry: true}
	}
	return nil, refusal(result)
}

// resolve finds out whether a job was accepted whose acknowledgement did not
// arrive. An abort that succeeds proves that it was not, and prevents it.
func (in *Intake) resolve(ctx context.Context, cause *SubmitError) (*pb.Job, error) {
	result := in.abort(ctx, cause)
	if result == nil {
		return nil, cause
	}
	switch result.GetError() {
	case pb.JobError_JOB_OK:
		cause.NotRun = true
	case pb.JobError_JOB_WRONG_STATE:
		return result.GetJob(), nil
	}
	return nil, cause
}

// abort removes the received part of a job. When it fails the job is removed
// by the timeout on receiving. The result is nil when it is not known.
func (in *Intake) abort(ctx context.Context, cause error) *pb.JobResult {
	abort := &pb.JobAbort{JobId: in.options.JobID, Reason: cause.Error()}
	command := &pb.Command{Op: &pb.Command_JobAbort{JobAbort: abort}}
	result, failure := in.propose(context.WithoutCancel(ctx), command)
	if failure != nil {
		return nil
	}
	return result.GetJob()
}

// send proposes a command until its outcome is known. All commands of a job
// may be repeated. A job whose accept command was not sent does not run.
func (in *Intake) send(ctx context.Context, c *pb.Command) (*pb.JobResult, *SubmitError) {
	notRun := true
	for proposal := 1; ; proposal++ {
		result, failure := in.propose(ctx, c)
		if failure == nil {
			return result.GetJob(), nil
		}
		if c.GetJobAccept() != nil && certaintyOf(failure) == mayBeCommitted {
			notRun = false
		}
		if failure.GetCode() == pb.ControlError_INVALID {
			return nil, &SubmitError{Reason: failure.GetReason(), NotRun: notRun}
		}
		if proposal == in.options.Proposals {
			return nil, &SubmitError{Reason: "no leader answered: " + failure.GetReason(), NotRun: notRun, Retry: true}
		}
		if err := in.options.Wait(ctx, proposal); err != nil {
			return nil, &SubmitError{Reason: err.Error(), NotRun: notRun, Retry: true}
		}
	}
}
