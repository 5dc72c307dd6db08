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

// Staged names a job whose items are all committed and which does not run yet.
type Staged struct {
	JobID  string
	Items  uint32
	Digest []byte
}

const stagedSeparator = "."

// String returns a text that ParseStaged reads.
func (s Staged) String() string {
	return strings.Join([]string{s.JobID, strconv.FormatUint(uint64(s.Items), 10), hex.EncodeToString(s.Digest)}, stagedSeparator)
}

// ParseStaged reads the text of a Staged.
func ParseStaged(text string) (Staged, error) {
	parts := strings.Split(text, stagedSeparator)
	const fields = 3
	if len(parts) != fields {
		return Staged{}, eris.New("not the name of an uploaded job")
	}
	items, err := strconv.ParseUint(parts[1], 10, 32)
	if err != nil {
		return Staged{}, eris.Wrap(err, "items of an uploaded job")
	}
	digest, err := hex.DecodeString(parts[2])
	if err != nil {
		return Staged{}, eris.Wrap(err, "digest of an uploaded job")
	}
	return Staged{JobID: parts[0], Items: uint32(items), Digest: digest}, nil
}

// Stage commits the items that r holds without accepting the job. It must be
// accepted within the time that the options give, or is removed. The options
// must have no key. The errors are those of Read.
func (in *Intake) Stage(ctx context.Context, r io.Reader, propose ProposeFunc) (Staged, error) {
	in.propose = propose
	in.writeDigestHeader()
	result, err := in.send(ctx, in.beginCommand())
	if err != nil {
		return Staged{}, err
	}
	if result.GetError() != pb.JobError_JOB_OK {
		return Staged{}, refusal(result)
	}
	if err := in.readItems(ctx, bufio.NewReader(r)); err != nil {
		in.abort(ctx, err)
		return Staged{}, err
	}
	return Staged{JobID: in.options.JobID, Items: in.items, Digest: in.digest.Sum(nil)}, nil
}

// AcceptStaged starts a staged job, or returns the earlier job with the same
// content. It may be repeated. The error is a *SubmitError.
func AcceptStaged(ctx context.Context, staged Staged, caller string, dueUnixMs uint64, propose ProposeFunc) (*pb.Job, error) {
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
			Reason: failure.GetReason(),
			NotRun: certaintyOf(failure) != mayBeCommitted,
			Retry:  true,
		}
	}
	switch result.GetJob().GetError() {
	case pb.JobError_JOB_OK, pb.JobError_JOB_EXISTS:
		return result.GetJob().GetJob(), nil
	case pb.JobError_JOB_NOT_FOUND:
		return nil, &SubmitError{Reason: fmt.Sprintf("the upload %s is not known or has expired", staged.JobID), NotRun: true}
	default:
		return nil, refusal(result.GetJob())
	}
}
