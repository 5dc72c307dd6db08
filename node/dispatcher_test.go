package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/origins"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/routing"
)

// parseOnly decodes whole tables. It applies no changes.
type parseOnly func(document []byte) (*routing.Table, error)

func (parse parseOnly) ParseTable(document []byte) (*routing.Table, error) { return parse(document) }

func (parseOnly) ApplyChange(*routing.Table, *pb.RoutingChange) (*routing.Table, routing.Difference, error) {
	return nil, routing.Difference{}, errors.New("no changes")
}

// The first update of a control replica has the routing table and the upstreams. An
// entry that has the table takes requests.
func TestUpstreamsAreUsableBeforeTheRoutingTable(t *testing.T) {
	expect := NewWithT(t)
	settings := &Settings{ID: "entry", Role: RoleEntry, Address: freeDatagramAddress(t), HeartbeatInterval: time.Second}
	granted := false
	var d *Dispatcher
	decodeTable := func([]byte) (*routing.Table, error) {
		_, refused := d.Slots.Acquire(context.Background(), dispatch.SlotRequest{Service: "s"})
		granted = refused == nil
		return &routing.Table{Version: 1}, nil
	}
	d, err := NewDispatcher(settings, log.New(io.Discard), parseOnly(decodeTable), func(fleet.Upstream) {}, nil)
	expect.Expect(err).NotTo(HaveOccurred())
	defer d.Close()
	u := fleet.Upstream{ID: "u", Service: "s", Address: "u:1", Slots: 1, Phase: fleet.Ready}
	d.applyViewChanges(ViewChanges{Routing: &Routing{Version: 1}, Upstreams: []fleet.Upstream{u}, PhaseChanges: []fleet.Upstream{u}})
	d.routing.Wait()
	expect.Expect(d.Table()).NotTo(BeNil())
	expect.Expect(granted).To(BeTrue())
}

// An entry that restarts is asked for origins before its socket is stored. Without
// -race, the query has to arrive within the window for a panic.
func TestAQueryAtTheStartOfADispatcher(t *testing.T) {
	expect := NewWithT(t)
	const startCount = 2
	const address = "127.78.9.1:18000"
	sender, err := net.Dial("udp", address)
	expect.Expect(err).NotTo(HaveOccurred())
	query, err := proto.Marshal(&pb.Envelope{Header: &pb.Header{ReplyAddress: "127.78.9.2:18000"}, Body: &pb.Envelope_StreamOriginQuery{
		StreamOriginQuery: &pb.StreamOriginQuery{RequestId: "r", Query: 1}}})
	expect.Expect(err).NotTo(HaveOccurred())
	ended := make(chan struct{})
	var sending sync.WaitGroup
	defer sending.Wait()
	defer close(ended)
	sending.Go(func() {
		for {
			select {
			case <-ended:
				return
			default:
				// Refused while nothing listens.
				_, _ = sender.Write(query)
			}
		}
	})
	settings := &Settings{ID: "e", Role: RoleEntry, DataCentre: "d", Address: address}
	for range startCount {
		d, err := NewDispatcher(settings, log.New(io.Discard), parseOnly(nil), nil, nil)
		expect.Expect(err).NotTo(HaveOccurred())
		d.Close()
	}
}

// Streams in progress may have begun at the service that leaves the route, or while the
// only engine had another version.
func TestADispatcherSendsOriginsOnChanges(t *testing.T) {
	expect := NewWithT(t)
	settings := &Settings{ID: "entry", Role: RoleEntry, Address: freeDatagramAddress(t), HeartbeatInterval: time.Second}
	tables := []*routing.Table{newRouteTable([]string{"s"}), newRouteTable([]string{"s", "other"})}
	decodeTable := func([]byte) (*routing.Table, error) {
		table := tables[0]
		tables = tables[1:]
		table.Version = uint64(2 - len(tables))
		return table, nil
	}
	d, err := NewDispatcher(settings, log.New(io.Discard), parseOnly(decodeTable), func(fleet.Upstream) {}, nil)
	expect.Expect(err).NotTo(HaveOccurred())
	defer d.Close()
	sent := make(chan *pb.Envelope, 8)
	d.StreamOrigins.send = func(_ string, e *pb.Envelope) error {
		sent <- e
		return nil
	}
	merge := func(update *pb.FleetUpdate) {
		d.View.MergeAndApply(time.Now(), "control", update, d.applyViewChanges)
		d.routing.Wait()
	}
	merge(&pb.FleetUpdate{
		Daemons:        []*pb.Daemon{{Role: RoleEntry, Address: "home:1", Incarnation: 1}},
		Upstreams:      []*pb.UpstreamBeat{upstreamOfVersion(1, "1")},
		RoutingVersion: 1, RoutingDocument: []byte("table"),
	})
	d.StreamOrigins.Record("r", origins.Origin{Service: "s", SoftwareVersion: "1"}, []string{"s"})
	d.StreamOrigins.Wait()
	expect.Expect(sent).NotTo(Receive())
	// The upstream has another version without a change of its phase.
	merge(&pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{upstreamOfVersion(1, "1"), upstreamOfVersion(2, "2")}})
	changed := upstreamOfVersion(2, "3")
	changed.Sequence++
	d.StreamOrigins.Wait()
	expect.Expect(sent).To(Receive())
	merge(&pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{changed}})
	d.StreamOrigins.Wait()
	expect.Expect(sent).To(Receive())
	merge(&pb.FleetUpdate{RoutingVersion: 2, RoutingDocument: []byte("table")})
	d.StreamOrigins.Wait()
	expect.Expect(sent).To(Receive())
	expect.Expect(sent).NotTo(Receive())
}

func upstreamOfVersion(number int, version string) *pb.UpstreamBeat {
	id := fmt.Sprint("u", number)
	return &pb.UpstreamBeat{Id: id, BornUnixMs: 1, Sequence: 1, Service: "s", Address: id + ":1", Slots: 1, Phase: pb.UpstreamPhase_UPSTREAM_READY, SoftwareVersion: version}
}

// freeDatagramAddress returns a loopback address that no other process uses.
func freeDatagramAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}
