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

// IntakeOptions describes a job that is read from a stream. Zero limits select
// the defaults.
type IntakeOptions struct {
	// JobID is the unique ID of the job if it is new.
	JobID  string
	Caller string
	// IdempotencyKey identifies the job among those of its caller. Without one,
	// the job is identified by its content within DigestWindow.
	IdempotencyKey string
	Service        string
	// Endpoint is the URL that every line must have.
	Endpoint string
	// Model is the model that the body of every line must have. If it is empty,
	// any model is accepted.
	Model       string
	Idempotent  bool
	DueUnixMs   uint64
	RetentionMs uint64
	MaxAttempts uint32
	// ReceiveTimeoutMs is the time without a command after which the received
	// part of the job may be removed; zero selects ReceiveTimeout.
	ReceiveTimeoutMs uint64

	// MaxLineBytes bounds the size of one line.
	MaxLineBytes int
	// ChunkItems and ChunkBytes are the number of items and the size of their
	// bodies at which a chunk is proposed as one command.
	ChunkItems int
	ChunkBytes int
	// MaxProposals bounds the proposals of one command while its outcome is
	// unknown or the leader is changing.
	MaxProposals int
	// WaitBeforeRetry blocks between two proposals of a command. proposal is
	// the number of proposals so far; an error ends the retries.
	WaitBeforeRetry func(ctx context.Context, proposal int) error
}

const (
	defaultMaxLineBytes     = 1 << 20
	defaultIntakeChunkItems = 256
	defaultIntakeChunkBytes = 256 << 10
	defaultMaxProposals     = 8
	proposalRetryDelay      = 250 * time.Millisecond
	maxCustomIDBytes        = 512
)

// ProposeFunc proposes a command and waits until it is committed and applied.
// Exactly one of its results is not nil.
type ProposeFunc func(context.Context, *pb.Command) (*pb.CommandResult, *pb.ControlError)

// Intake reads and submits one job in the OpenAI batch format, which has a JSON
// object on each line. It buffers at most one line and one chunk.
type Intake struct {
	options IntakeOptions
	propose ProposeFunc
	digest  hash.Hash

	lineNumber uint32
	itemCount  uint32
	// nextChunk is the sequence number of the chunk that is being filled.
	nextChunk uint32
	chunk     []*pb.Item
	// chunkBytes is the size of the item bodies in chunk.
	chunkBytes int
}

// LineError reports the line for which a job was rejected. The job has not been
// accepted.
type LineError struct {
	// Line counts from one.
	Line   uint32
	Reason string
}

// Error implements error.
func (e *LineError) Error() string {
	return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
}

// SubmitError reports why a submission was not acknowledged.
type SubmitError struct {
	Reason string
	// NotAccepted is set when the job has certainly not been accepted.
	// Otherwise it may have been, and submitting it again returns it if so.
	NotAccepted bool
	// Retry is set when submitting the job again may succeed.
	Retry bool
	// ConflictingJob is the earlier job that prevents the submission, if any.
	ConflictingJob *pb.Job
}

// Error implements error.
func (e *SubmitError) Error() string {
	return e.Reason
}

// NewIntake returns an Intake for one job.
func NewIntake(o IntakeOptions) *Intake {
	setDefaultIfZero(&o.MaxLineBytes, defaultMaxLineBytes)
	setDefaultIfZero(&o.ChunkItems, defaultIntakeChunkItems)
	setDefaultIfZero(&o.ChunkBytes, defaultIntakeChunkBytes)
	setDefaultIfZero(&o.MaxProposals, defaultMaxProposals)
	if o.WaitBeforeRetry == nil {
		o.WaitBeforeRetry = waitProposalRetryDelay
	}
	return &Intake{options: o, digest: sha256.New()}
}

func waitProposalRetryDelay(ctx context.Context, _ int) error {
	timer := time.NewTimer(proposalRetryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Submit reads a job from r, submits it and returns it once it is accepted. If
// it was submitted before, Submit returns the earlier job. Each chunk is
// committed before more lines are read. The error is a *LineError or a
// *SubmitError. Unless it is a SubmitError without NotAccepted, the job does not
// run and all its items are removed.
func (in *Intake) Submit(ctx context.Context, r io.Reader, propose ProposeFunc) (*pb.Job, error) {
	in.propose = propose
	in.digestJob()
	result, err := in.proposeUntilKnown(ctx, in.beginCommand())
	if err != nil {
		return nil, err
	}
	lines := bufio.NewReader(r)
	switch result.GetError() {
	case pb.JobError_JOB_OK:
	case pb.JobError_JOB_EXISTS:
		return in.matchEarlierJob(lines, result.GetJob())
	default:
		return nil, refusalError(result)
	}
	if err := in.readItems(ctx, lines); err != nil {
		in.abortJob(ctx, err)
		return nil, err
	}
	return in.acceptJob(ctx)
}

func refusalError(result *pb.JobResult) *SubmitError {
	if result.GetJob().GetState() == pb.JobState_JOB_RECEIVING {
		return &SubmitError{Reason: "a job with this key is being received", NotAccepted: true, Retry: true, ConflictingJob: result.GetJob()}
	}
	return &SubmitError{Reason: "the job was refused: " + result.GetError().String(), NotAccepted: true, ConflictingJob: result.GetJob()}
}

func (in *Intake) beginCommand() *pb.Command {
	return &pb.Command{Op: &pb.Command_JobBegin{JobBegin: &pb.JobBegin{
		JobId:       in.options.JobID,
		Caller:      in.options.Caller,
		Key:         in.options.IdempotencyKey,
		Service:     in.options.Service,
		Idempotent:  in.options.Idempotent,
		DueUnixMs:   in.options.DueUnixMs,
		RetentionMs: in.options.RetentionMs,
		MaxAttempts: in.options.MaxAttempts,
		Endpoint:    in.options.Endpoint,
		ReceiveMs:   in.options.ReceiveTimeoutMs,
	}}}
}

// matchEarlierJob returns the earlier job with the same idempotency key if the
// submitted content is the same.
func (in *Intake) matchEarlierJob(lines *bufio.Reader, earlier *pb.Job) (*pb.Job, error) {
	for {
		item, err := in.nextItem(lines)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		in.digestItem(item)
	}
	if !bytes.Equal(in.digest.Sum(nil), earlier.GetDigest()) {
		return nil, &SubmitError{Reason: "the key was used for another job", NotAccepted: true, ConflictingJob: earlier}
	}
	return earlier, nil
}

func (in *Intake) readItems(ctx context.Context, lines *bufio.Reader) error {
	for {
		item, err := in.nextItem(lines)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		in.digestItem(item)
		in.chunk = append(in.chunk, item)
		in.chunkBytes += len(item.GetBody())
		if len(in.chunk) < in.options.ChunkItems && in.chunkBytes < in.options.ChunkBytes {
			continue
		}
		if err := in.sendChunk(ctx); err != nil {
			return err
		}
	}
	if in.itemCount == 0 {
		return &LineError{Line: 1, Reason: "the job has no items"}
	}
	if len(in.chunk) == 0 {
		return nil
	}
	return in.sendChunk(ctx)
}

func (in *Intake) sendChunk(ctx context.Context) error {
	result, err := in.proposeUntilKnown(ctx, &pb.Command{Op: &pb.Command_JobChunk{JobChunk: &pb.JobChunk{
		JobId:    in.options.JobID,
		Sequence: in.nextChunk,
		Items:    in.chunk,
	}}})
	if err != nil {
		return err
	}
	if result.GetError() != pb.JobError_JOB_OK {
		return &SubmitError{Reason: "the job was removed while it was received", NotAccepted: true, Retry: true}
	}
	in.nextChunk++
	in.chunk = nil
	in.chunkBytes = 0
	return nil
}

// acceptJob proposes the acceptance of the job. From the first proposal on the
// job may be accepted even when no response arrives.
func (in *Intake) acceptJob(ctx context.Context) (*pb.Job, error) {
	result, err := in.proposeUntilKnown(ctx, &pb.Command{Op: &pb.Command_JobAccept{JobAccept: &pb.JobAccept{
		JobId:  in.options.JobID,
		Items:  in.itemCount,
		Digest: in.digest.Sum(nil),
		Caller: in.options.Caller,
	}}})
	if err != nil {
		return in.resolveAcceptance(ctx, err)
	}
	switch result.GetError() {
	case pb.JobError_JOB_OK, pb.JobError_JOB_EXISTS:
		return result.GetJob(), nil
	case pb.JobError_JOB_NOT_FOUND:
		return nil, &SubmitError{Reason: "the job was removed while it was received", NotAccepted: true, Retry: true}
	}
	return nil, refusalError(result)
}

// resolveAcceptance determines whether a job was accepted when the outcome of
// its JobAccept is unknown. A successful abort proves that it was not and
// prevents a later acceptance.
func (in *Intake) resolveAcceptance(ctx context.Context, cause *SubmitError) (*pb.Job, error) {
	result := in.abortJob(ctx, cause)
	if result == nil {
		return nil, cause
	}
	switch result.GetError() {
	case pb.JobError_JOB_OK:
		cause.NotAccepted = true
	case pb.JobError_JOB_WRONG_STATE:
		return result.GetJob(), nil
	}
	return nil, cause
}

// abortJob removes the received part of a job. If the abort fails, the job is
// removed after its receive timeout. The result is nil if the outcome of the
// abort is unknown.
func (in *Intake) abortJob(ctx context.Context, cause error) *pb.JobResult {
	abort := &pb.JobAbort{JobId: in.options.JobID, Reason: cause.Error()}
	command := &pb.Command{Op: &pb.Command_JobAbort{JobAbort: abort}}
	result, failure := in.propose(context.WithoutCancel(ctx), command)
	if failure != nil {
		return nil
	}
	return result.GetJob()
}

// proposeUntilKnown proposes a command until its outcome is known or MaxProposals
// is reached. Every command of a submission may be repeated. A job whose
// JobAccept was not proposed has not been accepted.
func (in *Intake) proposeUntilKnown(ctx context.Context, c *pb.Command) (*pb.JobResult, *SubmitError) {
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
			return nil, &SubmitError{Reason: failure.GetReason(), NotAccepted: notRun}
		}
		if proposal == in.options.MaxProposals {
			return nil, &SubmitError{Reason: "no leader answered: " + failure.GetReason(), NotAccepted: notRun, Retry: true}
		}
		if err := in.options.WaitBeforeRetry(ctx, proposal); err != nil {
			return nil, &SubmitError{Reason: err.Error(), NotAccepted: notRun, Retry: true}
		}
	}
}
