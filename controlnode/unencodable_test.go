package controlnode

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/replica"
	"github.com/briarcross/briarcross/transport"
)

// unencodable returns an upstream that a build without checks has accepted.
func unencodable(id string) fleet.Upstream {
	return fleet.Upstream{ID: id + "\xff\xfe", Sequence: 1, Service: "s", Address: "10.0.0.9:80", Slots: 8, Phase: fleet.Ready, LastHeartbeat: time.Now()}
}

// One record that could not be encoded kept the whole table from disk.
func TestTableIsSavedWithoutARecordThatCannotBeEncoded(t *testing.T) {
	expect := NewWithT(t)
	before := newUnstartedNode(t.TempDir())
	before.RecordHeartbeat(fleet.Upstream{ID: "a", Sequence: 1, Service: "s", Address: "a:1", Slots: 8, Phase: fleet.Ready})
	before.upstreams.Apply(unencodable("i-6d"))
	before.saveUpstreams()

	after := newUnstartedNode(before.settings.DataDir)
	expect.Expect(after.upstreams.Len()).To(Equal(1))
	_, known := after.upstreams.Get("a")
	expect.Expect(known).To(BeTrue())
}

// An older build has saved, or sends, records that this one would not accept.
func TestRecordsOfAnOlderBuildAreChecked(t *testing.T) {
	expect := NewWithT(t)
	sound := &pb.UpstreamBeat{Id: "a", Sequence: 1, Address: "10.0.0.1:80", Slots: 8, Phase: pb.UpstreamPhase_UPSTREAM_READY}
	update := &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{sound}}
	for i, address := range []string{"10.0.0.2:80800", "10.0.0.2:http", "10.0.0.2:0", "10.0.0.2"} {
		update.Upstreams = append(update.Upstreams, &pb.UpstreamBeat{
			Id: fmt.Sprintf("bad-%d", i), Sequence: 1, Address: address, Slots: 8, Phase: pb.UpstreamPhase_UPSTREAM_READY,
		})
	}
	n := newUnstartedNode(t.TempDir())
	view := node.NewView(testHeartbeatInterval)
	changes := view.Merge(time.Now(), "c1", update)
	n.applyRelayed(changes)
	expect.Expect(n.upstreams.Len()).To(Equal(1))
	expect.Expect(view.Upstreams()).To(HaveLen(1))
	expect.Expect(changes.Rejected).To(HaveLen(4))
}

func TestUpstreamsOfAnotherWriterAreBounded(t *testing.T) {
	expect := NewWithT(t)
	n := newUnstartedNode(t.TempDir())
	n.RecordHeartbeat(fleet.Upstream{ID: "sound", Sequence: 1, Address: "10.0.0.1:80", Phase: fleet.Ready})
	foreign := func(i int) fleet.Upstream {
		return fleet.Upstream{ID: fmt.Sprintf("i-%d", i), Sequence: 1, Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), Phase: fleet.Ready}
	}
	for i := range maxUpstreams - 10 {
		n.upstreams.Apply(foreign(i))
	}
	for i := range 20 {
		n.RecordHeartbeat(foreign(maxUpstreams + i))
		n.Deregister(fmt.Sprintf("d-%d", i))
	}
	expect.Expect(n.upstreams.Len()).To(Equal(maxUpstreams))
	n.RecordHeartbeat(fleet.Upstream{ID: "sound", Sequence: 2, Address: "10.0.0.1:80", Phase: fleet.Draining})
	sound, _ := n.upstreams.Get("sound")
	expect.Expect(sound.Phase).To(Equal(fleet.Draining))
}

// A command as large as a message could be accepted, but not be replicated, and nothing after it.
func TestLargestCommandFitsAMessage(t *testing.T) {
	// A message adds the entries before the command, up to 512 KiB, and headers.
	NewWithT(t).Expect(replica.MaxCommandBytes).To(BeNumerically("<=", transport.MaxFrameBytes-1<<20))
}
