package batch

import (
	"bufio"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/pb"
)

// StagedJob identifies an uploaded job: all its items are committed, but it has
// not been accepted and does not run.
type StagedJob struct {
	JobID string
	// Items is the number of items.
	Items uint32
	// Digest is the digest of the job's content.
	Digest []byte
}

const stagedSeparator = "."

// String returns the text form that ParseStagedJob parses.
func (s StagedJob) String() string {
	return strings.Join([]string{s.JobID, strconv.FormatUint(uint64(s.Items), 10), hex.EncodeToString(s.Digest)}, stagedSeparator)
}

// ParseStagedJob parses the text form of a StagedJob.
func ParseStagedJob(text string) (StagedJob, error) {
	parts := strings.Split(text, stagedSeparator)
	const fields = 3
	if len(parts) != fields {
		return StagedJob{}, eris.New("parse staged job: text does not have three fields separated by dots")
	}
	items, err := strconv.ParseUint(parts[1], 10, 32)
	if err != nil {
		return StagedJob{}, eris.Wrap(err, "parse staged job: number of items")
	}
	digest, err := hex.DecodeString(parts[2])
	if err != nil {
		return StagedJob{}, eris.Wrap(err, "parse staged job: digest")
	}
	return StagedJob{JobID: parts[0], Items: uint32(items), Digest: digest}, nil
}

// Stage reads a job from r and commits its items without accepting the job. The
// job is removed unless AcceptStagedJob accepts it within the receive timeout of
// the options, which must have no idempotency key. The errors are those of
// Submit.
func (in *Intake) Stage(ctx context.Context, r io.Reader, propose ProposeFunc) (StagedJob, error) {
	in.propose = propose
	in.digestJob()
	result, err := in.proposeUntilKnown(ctx, in.beginCommand())
	if err != nil {
		return StagedJob{}, err
	}
	if result.GetError() != pb.JobError_JOB_OK {
		return StagedJob{}, refusalError(result)
	}
	if err := in.readItems(ctx, bufio.NewReader(r)); err != nil {
		in.abortJob(ctx, err)
		return StagedJob{}, err
	}
	return StagedJob{JobID: in.options.JobID, Items: in.itemCount, Digest: in.digest.Sum(nil)}, nil
}

// AcceptStagedJob accepts a staged job, which then runs, or returns an earlier
// job with the same content. It may be repeated. The error is a *SubmitError.
func AcceptStagedJob(ctx context.Context, staged StagedJob, caller string, dueUnixMs uint64, propose ProposeFunc) (*pb.Job, error) {
	command := &pb.Command{Op: &pb.Command_JobAccept{JobAccept: &pb.JobAccept{
		JobId:     staged.JobID,
		Items:     staged.Items,
		Digest:    staged.Digest,
		Caller:    caller,
		DueUnixMs: dueUnixMs,
	}}}
	result, failure := propose(ctx, command)
	if failure != nil {
		return nil, &SubmitError{
			Reason:      failure.GetReason(),
			NotAccepted: certaintyOf(failure) != mayBeCommitted,
			Retry:       true,
		}
	}
	switch result.GetJob().GetError() {
	case pb.JobError_JOB_OK, pb.JobError_JOB_EXISTS:
		return result.GetJob().GetJob(), nil
	case pb.JobError_JOB_NOT_FOUND:
		return nil, &SubmitError{Reason: fmt.Sprintf("the upload %s is not known or has expired", staged.JobID), NotAccepted: true}
	default:
		return nil, refusalError(result.GetJob())
	}
}
