package node

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/origins"
	"github.com/briarcross/briarcross/pb"
)

// A reply to a query of the incarnation before arrives late: it has the number of a
// query for another stream.
func TestReviewAReplyForAnotherStreamIsIgnored(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1", "2")
	entry := network.entries["e2:1"]
	entry.send = func(string, *pb.Envelope) error {
		go entry.handle(&pb.Envelope{Header: &pb.Header{ReplyAddress: "e3:1"}, Body: &pb.Envelope_StreamOriginReply{StreamOriginReply: &pb.StreamOriginReply{
			Query: 1, Origin: encodeOrigin(origins.Record{RequestID: "of another stream", Origin: began}),
		}}})
		return nil
	}
	_, known := entry.Find(context.Background(), "unheard", []string{"s"})
	expect.Expect(known).To(BeFalse())
}
