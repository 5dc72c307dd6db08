package operator

import (
	"crypto/sha256"
	"encoding/hex"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/pb"
)

// Plan returns the change that puts the documents of a file in place, and
// the revision that it starts from.
func (c *Client) Plan(file string, text []byte, operator string) (*pb.ConfigChange, uint64, error) {
	wanted, err := config.Parse(file, text)
	if err != nil {
		return nil, 0, fail(Invalid, "%v", err)
	}
	current, err := c.Documents("")
	if err != nil {
		return nil, 0, err
	}
	return changeTo(current, wanted, operator), current.GetRevision(), nil
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

// changeTo returns the change from the current documents to the wanted ones.
// Its ID depends only on its content, so that a repeated command resends the
// same change.
func changeTo(current *pb.ConfigAnswer, wanted []*pb.Document, operator string) *pb.ConfigChange {
	held := make(map[string]*pb.Document)
	for _, document := range current.GetDocuments() {
		held[config.Key(document)] = document
	}
	change := &pb.ConfigChange{Operator: operator}
	for _, document := range wanted {
		old := held[config.Key(document)]
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
		return 0, &Failure{Kind: Conflict, Reason: "conflict: " + result.GetReason(), Current: result.GetCurrent()}
	default:
		return 0, fail(Invalid, "refused: %s", result.GetReason())
	}
}
