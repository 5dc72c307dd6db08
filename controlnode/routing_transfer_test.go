package controlnode

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/routing"
)

// lineCodec reads documents of lines, each of which becomes a service.
type lineCodec struct{}

func (lineCodec) ParseTable(document []byte) (*routing.Table, error) {
	table := &routing.Table{}
	first, lines, _ := strings.Cut(string(document), "\n")
	if _, err := fmt.Sscan(first, &table.Version); err != nil {
		return nil, err
	}
	for line := range strings.Lines(lines) {
		table.Services = append(table.Services, routing.Service{Name: line})
	}
	return table, nil
}

func (lineCodec) ApplyChange(table *routing.Table, change *pb.RoutingChange) (*routing.Table, routing.Difference, error) {
	if change.GetBaseVersion() != table.Version || change.GetVersion() <= table.Version {
		return nil, routing.Difference{}, fmt.Errorf("change %d to %d of version %d", change.GetBaseVersion(), change.GetVersion(), table.Version)
	}
	next := &routing.Table{Version: change.GetVersion()}
	for _, s := range table.Services {
		if !slices.Contains(change.GetRemovedCustomers(), s.Name) {
			next.Services = append(next.Services, s)
		}
	}
	for _, line := range change.GetRoutes() {
		next.Services = append(next.Services, routing.Service{Name: string(line)})
	}
	return next, routing.Difference{}, nil
}

func changeOfLines(baseVersion uint64, base []byte, version uint64, document []byte) *pb.RoutingChange {
	change := &pb.RoutingChange{BaseVersion: baseVersion, Version: version}
	before, after := slices.Collect(strings.Lines(string(base)))[1:], slices.Collect(strings.Lines(string(document)))[1:]
	for _, line := range before {
		if !slices.Contains(after, line) {
			change.RemovedCustomers = append(change.RemovedCustomers, line)
		}
	}
	for _, line := range after {
		if !slices.Contains(before, line) {
			change.Routes = append(change.Routes, []byte(line))
		}
	}
	return change
}

// linesOf returns the document of a version: the lines of the last versions, and one that
// compresses badly and is longer than a part from time to time.
func linesOf(version uint64, long bool) []byte {
	var document bytes.Buffer
	fmt.Fprintln(&document, version)
	for v := version - min(version, 4); v <= version; v++ {
		fmt.Fprintf(&document, "line %d\n", v)
	}
	if long {
		fmt.Fprintf(&document, "%d%s\n", version/3, longText)
	}
	return document.Bytes()
}

// longText is a text without line breaks that compresses badly, longer than a part.
var longText = func() string {
	text := make([]byte, 2*node.MaxRoutingPartBytes)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range text {
		text[i] = byte('!' + random.IntN(90))
	}
	return string(text)
}()

// routingReplica is a control replica with the routing table of a store.
type routingReplica struct {
	*Node
	version  uint64
	document []byte
	// subscription is nil while the daemon is not subscribed.
	subscription *subscriber
}

func newRoutingReplica(folder string, dataCentre string) *routingReplica {
	r := &routingReplica{Node: newUnstartedNode(folder)}
	r.settings.DataCentre = dataCentre
	r.Node.routing = newRoutingSource(func(uint64) (uint64, []byte) { return r.version, r.document }, changeOfLines)
	return r
}

func (r *routingReplica) accept(now time.Time, version uint64, long bool) {
	r.version, r.document = version, linesOf(version, long)
	r.routingHistory.record(version, now)
	r.Node.routing.refresh()
}

// routingDaemon is the receiving end.
type routingDaemon struct {
	t        interface{ Fatalf(string, ...any) }
	receiver *node.RoutingReceiver
	inForce  *routing.Table
	applied  []node.AppliedRouting
}

func newRoutingDaemon(t interface{ Fatalf(string, ...any) }) *routingDaemon {
	d := &routingDaemon{t: t}
	d.receiver = node.NewRoutingReceiver(lineCodec{}, log.New(io.Discard), func(a node.AppliedRouting) {
		if d.inForce != nil && a.Table.Version <= d.inForce.Version {
			t.Fatalf("version %d came into force after %d", a.Table.Version, d.inForce.Version)
		}
		d.inForce = a.Table
		d.applied = append(d.applied, a)
	})
	return d
}

func (d *routingDaemon) subscribe(r *routingReplica) {
	r.subscription = r.subscribers.add(&pb.FleetWatch{
		Self: &pb.Daemon{Role: node.RoleEntry, DataCentre: "d"}, Incremental: true, RoutingChanges: true, RoutingVersion: d.receiver.Version(),
	})
	r.subscription.setRoutingConfirmed()
}

// exchange has a replica send its next update, and the daemon answer it. It returns the update.
func (d *routingDaemon) exchange(now time.Time, r *routingReplica) *pb.FleetUpdate {
	update := &pb.FleetUpdate{}
	r.addRouting(now, r.subscription, update)
	d.receive(now, r, update)
	return update
}

func (d *routingDaemon) receive(now time.Time, r *routingReplica, update *pb.FleetUpdate) {
	if part := update.GetRoutingPart(); proto.Size(part) > 2*node.MaxRoutingPartBytes {
		d.t.Fatalf("a part of %d bytes", proto.Size(part))
	}
	request := d.receiver.ReceiveUpdate(now, r.settings.Address, update)
	d.receiver.Wait()
	r.subscription.setRoutingVersion(d.receiver.Version())
	r.subscription.requestRouting(request)
}

// With three replicas that lag, lose subscriptions and skip versions, a daemon must never put an
// older or mixed table in force, and must get the latest once a replica with it stays.
func TestDaemonsConvergeOnTheLatestTableThroughChangesAndParts(t *testing.T) {
	folder := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		long := make(map[uint64]bool)
		version := uint64(0)
		var replicas []*routingReplica
		for i := range 3 {
			r := newRoutingReplica(folder, []string{"d", "e", "f"}[i])
			r.settings.Address = fmt.Sprint("c", i)
			replicas = append(replicas, r)
		}
		d := newRoutingDaemon(t)
		check := func() {
			if d.inForce == nil {
				return
			}
			want, _ := lineCodec{}.ParseTable(linesOf(d.inForce.Version, long[d.inForce.Version]))
			sorted := func(table *routing.Table) []string {
				var names []string
				for _, s := range table.Services {
					names = append(names, s.Name)
				}
				slices.Sort(names)
				return names
			}
			if !slices.Equal(sorted(d.inForce), sorted(want)) {
				t.Fatalf("version %d in force holds other lines than it was accepted with", d.inForce.Version)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			r := replicas[rapid.IntRange(0, 2).Draw(t, "replica")]
			switch rapid.SampledFrom([]string{"accept", "learn", "update", "update", "update", "lose", "cut"}).Draw(t, "step") {
			case "accept":
				version++
				long[version] = rapid.IntRange(0, 3).Draw(t, "long") == 0
				r.accept(now, version, long[version])
			case "learn":
				if r.version < version {
					skipped := rapid.Uint64Range(r.version+1, version).Draw(t, "to")
					r.accept(now, skipped, long[skipped])
				}
			case "update":
				if r.subscription == nil {
					d.subscribe(r)
				}
				d.exchange(now, r)
			case "lose":
				// The update is lost with the subscription.
				if r.subscription != nil {
					r.addRouting(now, r.subscription, &pb.FleetUpdate{})
					r.subscription = nil
					d.receiver.Lost(r.settings.Address)
				}
			case "cut":
				if r.subscription != nil {
					r.subscription = nil
					d.receiver.Lost(r.settings.Address)
				}
			}
			check()
		}
		last := replicas[rapid.IntRange(0, 2).Draw(t, "last replica")]
		if last.version < version {
			last.accept(now, version, long[version])
		}
		if last.subscription == nil {
			d.subscribe(last)
		}
		for range 20 {
			now = now.Add(node.UpdateInterval)
			d.exchange(now, last)
			check()
		}
		if version > 0 && d.receiver.Version() != version {
			t.Fatalf("the daemon has version %d, not %d", d.receiver.Version(), version)
		}
	})
}

// An interrupted transfer was begun anew, with everything, at the next replica.
func TestAnInterruptedTransferGoesOnAtAnotherReplica(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	first, second := newRoutingReplica(t.TempDir(), "d"), newRoutingReplica(t.TempDir(), "d")
	first.settings.Address, second.settings.Address = "c0", "c1"
	d := newRoutingDaemon(t)
	for _, r := range []*routingReplica{first, second} {
		r.accept(now, 1, true)
		d.subscribe(r)
	}
	expect.Expect(d.exchange(now, first).GetRoutingOffer()).To(BeEquivalentTo(1))
	expect.Expect(d.exchange(now, second).GetRoutingOffer()).To(BeEquivalentTo(1))
	expect.Expect(d.exchange(now, first).GetRoutingPart().GetOffset()).To(BeZero())
	expect.Expect(d.exchange(now, second).GetRoutingPart()).To(BeNil(), "two transfers at a time")
	d.receiver.Lost(first.settings.Address)
	d.exchange(now, second)
	part := d.exchange(now, second).GetRoutingPart()
	expect.Expect(part.GetOffset()).To(BeEquivalentTo(node.MaxRoutingPartBytes))
	for d.inForce == nil {
		expect.Expect(d.exchange(now, second).GetRoutingPart()).NotTo(BeNil())
	}
	expect.Expect(d.inForce.Version).To(BeEquivalentTo(1))
}

// A daemon of an older build knows neither changes nor offers.
func TestDaemonsOfAnOlderBuildGetWholeDocuments(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	r := newRoutingReplica(t.TempDir(), "d")
	r.accept(now, 1, false)
	s := r.subscribers.add(&pb.FleetWatch{Self: &pb.Daemon{Role: node.RoleEntry, DataCentre: "d"}, Incremental: true, RoutingVersion: 1})
	r.accept(now, 2, false)
	update := &pb.FleetUpdate{}
	r.addRouting(now, s, update)
	expect.Expect(update.GetRoutingVersion()).To(BeEquivalentTo(2))
	expect.Expect(update.GetRoutingDocument()).To(Equal(r.document))
	update = &pb.FleetUpdate{}
	r.addRouting(now, s, update)
	expect.Expect(proto.Size(update)).To(BeZero())
}

// Small changes of a large table cost each daemon the whole table, from each replica.
func TestASmallChangeIsSentAsAChange(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	r := newRoutingReplica(t.TempDir(), "d")
	d := newRoutingDaemon(t)
	r.accept(now, 3, true)
	d.subscribe(r)
	for d.inForce == nil {
		d.exchange(now, r)
	}
	expect.Expect(len(r.document)).To(BeNumerically(">", node.MaxRoutingPartBytes))
	r.accept(now, 4, true)
	update := d.exchange(now, r)
	expect.Expect(proto.Size(update)).To(BeNumerically("<", 200))
	expect.Expect(d.inForce.Version).To(BeEquivalentTo(4))
	expect.Expect(d.applied[len(d.applied)-1].Whole).To(BeFalse())
}
