package storenode

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

// A leader sent two runs with the same number. The worker lost track of the first one, whose
// end then ended the process. It ends the session instead.
func TestRunsWithTheSameNumberEndTheWorker(t *testing.T) {
	expect := NewWithT(t)
	e, worker := startEngine(t), startWorker(t)
	client := transport.NewClient(&transport.Identity{ID: "leader"}, nil)
	t.Cleanup(client.Close)
	open := func(runs ...uint64) *transport.Stream {
		stream, err := client.Open(t.Context(), transport.Batch, worker.address)
		expect.Expect(err).NotTo(HaveOccurred())
		for _, number := range runs {
			run := &pb.ItemRun{Term: 1, Run: number, Item: &pb.PageItem{Id: "i", Path: "/p"}, Host: "h", Address: e.address, Upstream: "u"}
			expect.Expect(stream.Send(&pb.Envelope{Body: &pb.Envelope_ItemRun{ItemRun: run}})).To(Succeed())
		}
		return stream
	}
	broken := open(7, 7)
	var err error
	for err == nil {
		_, err = broken.Receive()
	}
	close(e.gate)
	next := open(7)
	for {
		envelope, err := next.Receive()
		expect.Expect(err).NotTo(HaveOccurred())
		if runs := envelope.GetItemRunReport().GetRuns(); len(runs) > 0 && runs[0].GetEnd() != nil {
			return
		}
	}
}
