package node

import (
	"context"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/origins"
	"github.com/briarcross/briarcross/pb"
)

// originNetwork connects entries by their addresses. Datagrams to entries that are
// down are lost.
type originNetwork struct {
	mu      sync.Mutex
	entries map[string]*StreamOrigins
	sent    int
}

func newOriginNetwork(addresses []string, versions ...string) *originNetwork {
	network := &originNetwork{entries: make(map[string]*StreamOrigins)}
	for _, address := range addresses {
		view := NewView()
		update := &pb.FleetUpdate{}
		for _, a := range addresses {
			update.Daemons = append(update.Daemons, &pb.Daemon{Id: a, Role: RoleEntry, Address: a, Incarnation: 1})
		}
		view.Merge(now, "control", update)
		network.entries[address] = newStreamOrigins(address, view, func(to string, e *pb.Envelope) error {
			e.Header = &pb.Header{ReplyAddress: address}
			network.deliver(to, e)
			return nil
		})
		network.setVersions(address, versions...)
	}
	return network
}

func (n *originNetwork) setVersions(address string, versions ...string) {
	entry := n.entries[address]
	for i, version := range versions {
		id := string(rune('a' + i))
		entry.view.Merge(now, "control", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{{
			Id: id, Sequence: 1, Service: "s", Address: id + ":1", Slots: 1, Phase: pb.UpstreamPhase_UPSTREAM_READY, SoftwareVersion: version,
		}}})
	}
	entry.VersionsChanged("s")
}

func (n *originNetwork) deliver(to string, e *pb.Envelope) {
	n.mu.Lock()
	entry := n.entries[to]
	n.sent++
	n.mu.Unlock()
	if entry != nil {
		entry.handle(e)
	}
}

func (n *originNetwork) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.entries, address)
}

var (
	sixEntries = []string{"e1:1", "e2:1", "e3:1", "e4:1", "e5:1", "e6:1"}
	began      = origins.Origin{Service: "s", SoftwareVersion: "1"}
)

func TestAnOriginIsFoundAfterItsEntryAndMostHomesAreLost(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1", "2")
	network.entries["e1:1"].Record("r", began, []string{"s"})
	homes := origins.Homes("r", sixEntries)
	network.remove("e1:1")
	for _, home := range homes[:2] {
		network.remove(home)
	}
	for _, entry := range network.entries {
		origin, known := entry.Find(context.Background(), "r", []string{"s"})
		expect.Expect(known).To(BeTrue())
		expect.Expect(origin).To(Equal(began))
	}
}

func TestAnUnknownOriginIsReportedWithoutWaiting(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1", "2")
	_, known := network.entries["e1:1"].Find(context.Background(), "r", []string{"s"})
	expect.Expect(known).To(BeFalse())
	_, known = network.entries["e1:1"].Find(context.Background(), "", []string{"s"})
	expect.Expect(known).To(BeFalse())
}

func TestNothingIsSentWhileAServiceHasOneVersion(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1", "1")
	network.entries["e1:1"].Record("r", began, []string{"s"})
	origin, known := network.entries["e2:1"].Find(context.Background(), "r", []string{"s"})
	expect.Expect(known).To(BeTrue())
	expect.Expect(origin).To(Equal(began))
	expect.Expect(network.sent).To(BeZero())
}

// A second version begins to serve while a stream is in progress.
func TestOriginsAreSentWhenASecondVersionJoins(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1")
	network.entries["e1:1"].Record("r", began, []string{"s"})
	for _, address := range sixEntries {
		network.setVersions(address, "1", "2")
	}
	network.remove("e1:1")
	origin, known := network.entries["e2:1"].Find(context.Background(), "r", []string{"s"})
	expect.Expect(known).To(BeTrue())
	expect.Expect(origin).To(Equal(began))
}

// Engines of the version that began a stream have left, and one that replaced them
// must not go on with it.
func TestAVersionThatHasLeftStillCounts(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1", "2")
	entry := network.entries["e1:1"]
	entry.view.Merge(now, "control", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{{
		Id: "a", Sequence: 2, Service: "s", Address: "a:1", Slots: 1, Phase: pb.UpstreamPhase_UPSTREAM_GONE, SoftwareVersion: "1",
	}}})
	entry.VersionsChanged("s")
	_, known := entry.Find(context.Background(), "unheard", []string{"s"})
	expect.Expect(known).To(BeFalse())
}

// A route that leads to two services may have begun a stream at either.
func TestAStreamOfOneOfTwoServicesHasARecord(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1")
	network.entries["e1:1"].Record("r", began, []string{"s", "other"})
	origin, known := network.entries["e2:1"].Find(context.Background(), "r", []string{"other", "s"})
	expect.Expect(known).To(BeTrue())
	expect.Expect(origin).To(Equal(began))
	_, known = network.entries["e2:1"].Find(context.Background(), "unheard", []string{"other", "s"})
	expect.Expect(known).To(BeFalse())
}
