package storenode

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

// A spare that restarts knows no leader. Requests that waited there for one took all
// of the caller's time.
func TestSpareIsNoMember(t *testing.T) {
	expect := NewWithT(t)
	status := &pb.StatusAnswer{Replicas: []*pb.ReplicaStatus{{Replica: &pb.Replica{Address: "member"}}, {Replica: &pb.Replica{Address: "learner", Learner: true}}}}
	expect.Expect(isMember(status, "member")).To(BeTrue())
	expect.Expect(isMember(status, "learner")).To(BeTrue())
	expect.Expect(isMember(status, "spare")).To(BeFalse())
	expect.Expect(isMember(&pb.StatusAnswer{}, "spare")).To(BeFalse())
}
