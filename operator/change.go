package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/pb"
)

// deletionSearchLimit is how many accepted changes Deletion looks through.
const deletionSearchLimit = 100

// Plan returns the change that puts the documents of a file in place, and
// the revision that it starts from.
func (c *Client) Plan(file string, text []byte, operator string) (*pb.ConfigChange, uint64, error) {
	wanted, err := config.Parse(file, text)
	if err != nil {
		return nil, 0, newFailure(Invalid, "%v", err)
	}
	current, err := c.Documents("")
	if err != nil {
		return nil, 0, err
	}
	return buildChange(current, wanted, operator), current.GetRevision(), nil
}

// Apply applies the documents of a YAML text and returns the revision at
// which they are accepted. The file name appears in errors.
func (c *Client) Apply(file string, text []byte, operator string) (uint64, error) {
	change, current, err := c.Plan(file, text, operator)
	if err != nil {
		return 0, err
	}
	if len(change.GetOps()) == 0 {
		return current, nil
	}
	return c.Submit(change)
}

// buildChange returns the change from the current documents to the wanted ones.
// Its ID depends only on its content, so that a repeated command resends the
// same change.
func buildChange(current *pb.ConfigAnswer, wanted []*pb.Document, operator string) *pb.ConfigChange {
	existing := make(map[string]*pb.Document)
	for _, document := range current.GetDocuments() {
		existing[config.Key(document)] = document
	}
	change := &pb.ConfigChange{Operator: operator}
	for _, document := range wanted {
		old := existing[config.Key(document)]
		expected := old.GetRevision()
		if document.GetRevision() != 0 {
			expected = document.GetRevision()
		}
		document.Revision = old.GetRevision()
		if proto.Equal(old, document) {
			continue
		}
		document.Revision = 0
		change.Ops = append(change.Ops, &pb.ConfigOp{
			Op:               &pb.ConfigOp_Put{Put: document},
			ExpectedRevision: expected,
		})
	}
	change.ChangeId = changeID(change)
	return change
}

func changeID(change *pb.ConfigChange) string {
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(change)
	digest := sha256.Sum256(data)
	const length = 16
	return hex.EncodeToString(digest[:length])
}

// Submit sends a change and returns the revision at which it is accepted.
func (c *Client) Submit(change *pb.ConfigChange) (uint64, error) {
	result := &pb.ChangeResult{}
	if err := c.post(PathChanges, change, result); err != nil {
		return 0, err
	}
	switch result.GetOutcome() {
	case pb.ChangeOutcome_CHANGE_ACCEPTED:
		return result.GetRevision(), nil
	case pb.ChangeOutcome_CHANGE_CONFLICT:
		return 0, &Failure{Kind: Conflict, Reason: "conflict: " + result.GetReason(), CurrentDocuments: result.GetCurrent(), SubmittedDocuments: documentsToPut(change)}
	default:
		return 0, newFailure(Invalid, "refused: %s", result.GetReason())
	}
}

// documentsToPut returns the documents that a change writes.
func documentsToPut(change *pb.ConfigChange) []*pb.Document {
	var documents []*pb.Document
	for _, op := range change.GetOps() {
		if put := op.GetPut(); put != nil {
			documents = append(documents, put)
		}
	}
	return documents
}

// PlanDelete returns the change that deletes a document. Revision is the one
// that the operator saw; zero takes the revision that stands. Found is false
// when there is no document to delete.
func (c *Client) PlanDelete(key string, revision uint64, operator string) (change *pb.ConfigChange, found bool, err error) {
	current, err := c.Documents(key)
	if err != nil {
		return nil, false, err
	}
	if revision == 0 {
		if len(current.GetDocuments()) == 0 {
			return nil, false, nil
		}
		revision = current.GetDocuments()[0].GetRevision()
	}
	change = &pb.ConfigChange{Operator: operator, Ops: []*pb.ConfigOp{{
		Op:               &pb.ConfigOp_Delete{Delete: key},
		ExpectedRevision: revision,
	}}}
	change.ChangeId = changeID(change)
	return change, true, nil
}

// DeletionRevision returns the revision that deleted a document which is gone, or
// zero when the recent history has none.
func (c *Client) DeletionRevision(key string) (uint64, error) {
	changes, err := c.History(0, deletionSearchLimit)
	if err != nil {
		return 0, err
	}
	for _, change := range changes {
		if slices.Contains(change.GetDeleted(), key) {
			return change.GetRevision(), nil
		}
	}
	return 0, nil
}
