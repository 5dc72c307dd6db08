package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/pb"
)

// deletionSearchLimit is the number of accepted changes that DeletionRevision
// searches.
const deletionSearchLimit = 100

// Plan returns the change that stores the documents of a file where they differ
// from the configuration, and the revision of the configuration that it is based
// on. It sends no change.
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

// Apply submits the change that Plan returns and returns the revision at which
// the documents are accepted; without differences it submits nothing. The file
// name appears in errors.
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
// Its change ID is derived from its content, so that a repeated command resends
// the same change.
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

// Submit sends a change and returns the revision at which it is accepted. A
// rejected change is a *Failure of kind Conflict or Invalid.
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
		return 0, newFailure(Invalid, "the change was rejected: %s", result.GetReason())
	}
}

// documentsToPut returns the documents that a change creates or replaces.
func documentsToPut(change *pb.ConfigChange) []*pb.Document {
	var documents []*pb.Document
	for _, op := range change.GetOps() {
		if put := op.GetPut(); put != nil {
			documents = append(documents, put)
		}
	}
	return documents
}

// PlanDelete returns the change that deletes a document. revision is the revision
// of the document that the operator has seen; zero means the current one. found
// is false if revision is zero and the document does not exist.
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

// DeletionRevision returns the latest revision that deleted a document, or zero
// if none of the last deletionSearchLimit changes did.
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
