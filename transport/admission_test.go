package transport

import (
	"errors"
	"net"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

// proposal returns an envelope with a command of about a size.
func proposal(size int) *pb.Envelope {
	submit := &pb.PageSubmit{JobId: strings.Repeat("j", size)}
	command := &pb.Command{Op: &pb.Command_PageSubmit{PageSubmit: submit}}
	return &pb.Envelope{Body: &pb.Envelope_ControlRequest{ControlRequest: &pb.ControlRequest{Request: &pb.ControlRequest_Propose{Propose: command}}}}
}

// An envelope that is not admitted is not kept, and the stream goes on behind it.
func TestEnvelopeThatIsNotAdmittedIsDiscarded(t *testing.T) {
	expect := NewWithT(t)
	client, server := net.Pipe()
	defer func() { _, _ = client.Close(), server.Close() }()
	sender := newStream(&Identity{ID: "sender"}, newActivity(), client, "", peerRoles{})
	receiver := newStream(&Identity{ID: "receiver"}, newActivity(), server, "", peerRoles{})
	sizes := []int{10, streamBufferBytes, 1 << 20, 20}
	sent := make(chan error)
	go func() {
		var err error
		for _, size := range sizes {
			err = errors.Join(err, sender.Send(proposal(size)))
		}
		sent <- err
	}()
	admitsSmall := func(bytes int) bool { return bytes < 1000 }
	for _, size := range sizes {
		envelope, err := receiver.ReceiveAdmitted(admitsSmall)
		if size >= 1000 {
			expect.Expect(errors.Is(err, ErrNotAdmitted)).To(BeTrue())
			continue
		}
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(envelope.GetControlRequest().GetPropose().GetPageSubmit().GetJobId()).To(HaveLen(size))
	}
	expect.Expect(<-sent).To(Succeed())
}
