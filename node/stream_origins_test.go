package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/origins"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/routing"
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
		view := NewView(time.Second)
		update := &pb.FleetUpdate{}
		for _, a := range addresses {
			update.Daemons = append(update.Daemons, &pb.Daemon{Id: a, Role: roleAt(a), Address: a, Incarnation: 1})
		}
		view.Merge(now, "control", update)
		inTouch(view)
		network.start(address, view)
		network.setVersions(address, versions...)
	}
	return network
}

// roleAt returns the role of the daemon at an address of a test.
func roleAt(address string) string {
	if strings.HasPrefix(address, "s") {
		return RoleStore
	}
	return RoleEntry
}

// start has a daemon without records at an address.
func (n *originNetwork) start(address string, view *View) {
	n.entries[address] = newStreamOrigins(address, "", view, func(to string, e *pb.Envelope) error {
		e.Header = &pb.Header{ReplyAddress: address}
		n.deliver(to, e)
		return nil
	})
}

// inTouch has a view hear, now, from a control replica that is in contact with its majority.
func inTouch(view *View) { view.Merge(time.Now(), "in touch", &pb.FleetUpdate{Current: true}) }

func (n *originNetwork) setVersions(address string, versions ...string) {
	entry := n.entries[address]
	for i, version := range versions {
		id := string(rune('a' + i))
		entry.view.Merge(now, "control", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{{
			Id: id, Sequence: 1, Service: "s", Address: id + ":1", Slots: 1, Phase: pb.UpstreamPhase_UPSTREAM_READY, SoftwareVersion: version,
		}}})
	}
	entry.VersionsChanged()
	entry.Wait()
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
	homes := origins.Homes("r", sixEntries, origins.EntryHomes)
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

// The search for the origin asks other entries: the view of its own may be outdated.
func TestNothingIsSentAtTheBeginningWhileAServiceHasOneVersion(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1", "1")
	network.entries["e1:1"].Record("r", began, []string{"s"})
	expect.Expect(network.sent).To(BeZero())
	origin, known := network.entries["e2:1"].Find(context.Background(), "r", []string{"s"})
	expect.Expect(known).To(BeTrue())
	expect.Expect(origin).To(Equal(began))
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
	entry.VersionsChanged()
	entry.Wait()
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

// viewOf replaces the view of an entry by one that knows only some versions, like that
// of an entry cut off from control or just started from an incomplete update.
func (n *originNetwork) viewOf(address string, versions ...string) {
	view := NewView(time.Second)
	update := &pb.FleetUpdate{}
	for a := range n.entries {
		update.Daemons = append(update.Daemons, &pb.Daemon{Id: a, Role: roleAt(a), Address: a, Incarnation: 1})
	}
	view.Merge(now, "control", update)
	n.entries[address].view = view
	for _, version := range versions {
		view.Merge(now, "control", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{{
			Id: "of-" + version, Sequence: 1, Service: "s", Address: "of-" + version + ":1", Slots: 1,
			Phase: pb.UpstreamPhase_UPSTREAM_READY, SoftwareVersion: version,
		}}})
	}
}

// An entry cut off from control, or just restarted, sees one version. Others see two,
// and the stream's homes, which it reaches, have its record.
func TestAStaleViewDoesNotDecideAnOrigin(t *testing.T) {
	for name, seen := range map[string]string{"sees only the old version": "1", "sees only the new version": "2"} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			network := newOriginNetwork(sixEntries, "1", "2")
			other := map[string]string{"1": "2", "2": "1"}[seen]
			origin := origins.Origin{Service: "s", SoftwareVersion: other}
			id := idWithoutHome("e2:1")
			network.viewOf("e2:1", seen)
			network.entries["e1:1"].Record(id, origin, []string{"s"})
			network.remove("e1:1")
			got, known := network.entries["e2:1"].Find(context.Background(), id, []string{"s"})
			expect.Expect(known && got != origin).To(BeFalse(), "stream of version %s goes on at %v", other, got)
		})
	}
}

// idWithoutHome returns the ID of a stream that has no home at an address.
func idWithoutHome(address string) string {
	for c := 'a'; ; c++ {
		found := false
		for _, home := range origins.Homes(string(c), sixEntries, origins.EntryHomes) {
			found = found || home == address
		}
		if !found {
			return string(c)
		}
	}
}

// No entry has a record of the stream. One home knows of a second version.
func TestAnotherEntryKnowsOfASecondVersion(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1")
	_, known := network.entries["e1:1"].Find(context.Background(), "a", []string{"s"})
	expect.Expect(known).To(BeTrue())
	home := otherHomes("a", "e1:1")[0]
	network.setVersions(home, "1", "2")
	_, known = network.entries["e1:1"].Find(context.Background(), "a", []string{"s"})
	expect.Expect(known).To(BeFalse())
}

// A home in touch with control knows no engines yet.
func TestAHomeWithoutEnginesConfirmsNoOrigin(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1")
	home := otherHomes("a", "e1:1")[0]
	network.viewOf(home)
	inTouch(network.entries[home].view)
	_, known := network.entries["e1:1"].Find(context.Background(), "a", []string{"s"})
	expect.Expect(known).To(BeFalse())
}

func otherHomes(id, address string) []string {
	return slices.DeleteFunc(origins.Homes(id, sixEntries, origins.EntryHomes), func(home string) bool { return home == address })
}

// Homes that do not answer delay a search, but do not end it.
func TestOneAnswerConfirmsTheOnlyOrigin(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1")
	for _, home := range otherHomes("a", "e1:1")[1:] {
		network.remove(home)
	}
	origin, known := network.entries["e1:1"].Find(context.Background(), "a", []string{"s"})
	expect.Expect(known).To(BeTrue())
	expect.Expect(origin).To(Equal(began))
}

func TestWithoutAnswersTheOnlyOriginNeedsACurrentView(t *testing.T) {
	for name, addresses := range map[string][]string{"the only entry": sixEntries[:1], "all others are down": sixEntries} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			network := newOriginNetwork(addresses, "1")
			for _, address := range addresses[1:] {
				network.remove(address)
			}
			entry := network.entries["e1:1"]
			find := func() bool {
				_, known := entry.Find(context.Background(), "a", []string{"s"})
				return known
			}
			expect.Expect(find()).To(BeFalse())
			at := time.Now()
			for _, age := range []time.Duration{2 * maxUpdateAge, maxUpdateAge, 0} {
				entry.view.Merge(at.Add(-age), "control", &pb.FleetUpdate{Current: true})
			}
			expect.Expect(find()).To(BeTrue())
			entry.view.Merge(time.Now(), "control", &pb.FleetUpdate{})
			expect.Expect(find()).To(BeFalse())
		})
	}
}

func TestAViewIsCurrentWhileAReplicaSaysSo(t *testing.T) {
	expect := NewWithT(t)
	view := NewView(time.Second)
	update := &pb.FleetUpdate{Current: true}
	at := now
	view.Merge(at, "a", update)
	expect.Expect(view.Current(at)).To(BeFalse())
	for range 3 {
		at = at.Add(maxUpdateAge)
		view.Merge(at, "a", update)
	}
	expect.Expect(view.Current(at)).To(BeTrue())
	expect.Expect(view.Current(at.Add(maxUpdateAge + 1))).To(BeFalse())
	// Updates have been missing.
	at = at.Add(2 * maxUpdateAge)
	view.Merge(at, "a", update)
	expect.Expect(view.Current(at)).To(BeFalse())
	for range 3 {
		at = at.Add(maxUpdateAge)
		view.Merge(at, "a", update)
	}
	view.RemoveReplica("a")
	expect.Expect(view.Current(at)).To(BeFalse())
}

// Engines whose versions are unknown may differ, unless no engine reports a version.
func TestUnknownVersionsAreOneVersionOnlyIfNoneIsReported(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string
		known    bool
	}{
		"no engine reports a version": {[]string{"", ""}, true},
		"one engine reports none":     {[]string{"", "1"}, false},
		"one engine reports one":      {[]string{"1", "", ""}, false},
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			network := newOriginNetwork(sixEntries, test.versions...)
			id := idWithoutHome("e2:1")
			_, known := network.entries["e2:1"].Find(context.Background(), id, []string{"s"})
			expect.Expect(known).To(Equal(test.known))
			network.entries["e1:1"].Record(id, origins.Origin{Service: "s"}, []string{"s"})
			for _, address := range sixEntries[:2] {
				_, known = network.entries[address].Find(context.Background(), id, []string{"s"})
				expect.Expect(known).To(Equal(test.known), address)
			}
		})
	}
}

// The first of two versions expires; no other engine changes before a third joins.
func TestOriginsAreSentWhenAThirdVersionJoinsAfterAnExpiry(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1", "2")
	for _, address := range sixEntries {
		entry := network.entries[address]
		entry.view.Merge(now, "control", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{{
			Id: "a", Sequence: 2, Service: "s", Address: "a:1", Slots: 1, Phase: pb.UpstreamPhase_UPSTREAM_GONE, SoftwareVersion: "1",
		}}})
		entry.VersionsChanged()
		entry.Wait()
		expect.Expect(entry.view.ExpireUpstreams(now.Add(3 * time.Minute))).To(ContainElement("a"))
		entry.VersionsChanged()
	}
	began := origins.Origin{Service: "s", SoftwareVersion: "2"}
	id := idWithoutHome("e2:1")
	network.entries["e1:1"].Record(id, began, []string{"s"})
	for _, address := range sixEntries {
		entry := network.entries[address]
		entry.view.Merge(now, "control", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{{
			Id: "c", Sequence: 1, Service: "s", Address: "c:1", Slots: 1, Phase: pb.UpstreamPhase_UPSTREAM_READY, SoftwareVersion: "3",
		}}})
		entry.VersionsChanged()
		entry.Wait()
	}
	network.remove("e1:1")
	got, known := network.entries["e2:1"].Find(context.Background(), id, []string{"s"})
	expect.Expect(known).To(BeTrue())
	expect.Expect(got).To(Equal(began))
}

func newRouteTable(services []string) *routing.Table {
	route := routing.Route{Name: "r", Host: "h", PathPrefix: "/", Kind: routing.Streaming, Resumable: true, Timeout: time.Second}
	table := &routing.Table{}
	for _, service := range services {
		route.Splits = append(route.Splits, routing.Split{Service: service, Weight: 1})
		table.Services = append(table.Services, routing.Service{Name: service})
	}
	table.Routes = []routing.Route{route}
	if err := table.Build(); err != nil {
		panic(err)
	}
	return table
}

// changeRoutes has all entries change the services of their route.
func (n *originNetwork) changeRoutes(former, current []string) {
	for _, entry := range n.entries {
		entry.RoutesChanged(newRouteTable(former), newRouteTable(current))
		entry.Wait()
	}
}

// A configuration splits the route while a stream is in progress. One version serves.
func TestAStreamIsFoundAfterItsRouteWasSplit(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1")
	network.entries["e1:1"].Record("r", began, []string{"s"})
	network.changeRoutes([]string{"s"}, []string{"s", "other"})
	network.remove("e1:1")
	origin, known := network.entries["e2:1"].Find(context.Background(), "r", []string{"s", "other"})
	expect.Expect(known).To(BeTrue())
	expect.Expect(origin).To(Equal(began))
}

// A configuration moves the route to a service of one version while a stream is in
// progress. An entry other than the first takes the new service for the origin.
func TestAMovedRouteDoesNotDecideAnOrigin(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1")
	for _, address := range sixEntries {
		network.entries[address].view.Merge(now, "control", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{{
			Id: "z", Sequence: 1, Service: "former", Address: "z:1", Slots: 1, Phase: pb.UpstreamPhase_UPSTREAM_READY, SoftwareVersion: "0",
		}}})
	}
	began := origins.Origin{Service: "former", SoftwareVersion: "0"}
	network.entries["e1:1"].Record("r", began, []string{"former"})
	network.changeRoutes([]string{"former"}, []string{"s"})
	got, known := network.entries["e2:1"].Find(context.Background(), "r", []string{"s"})
	expect.Expect(known).To(BeTrue())
	expect.Expect(got).To(Equal(began))
	// Its record is lost.
	got, known = network.entries["e2:1"].Find(context.Background(), "unheard", []string{"s"})
	expect.Expect(known && got != began).To(BeFalse(), "stream of %v goes on at %v", began, got)
}

// An entry has the table of before. Streams may have begun at the new service already.
func TestAHomeKnowsOfAMovedRoute(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1")
	for _, home := range otherHomes("a", "e1:1") {
		network.entries[home].RoutesChanged(newRouteTable([]string{"s"}), newRouteTable([]string{"new"}))
	}
	_, known := network.entries["e1:1"].Find(context.Background(), "a", []string{"s"})
	expect.Expect(known).To(BeFalse())
}

func TestRelatedServicesExpire(t *testing.T) {
	expect := NewWithT(t)
	entry := newOriginNetwork(sixEntries, "1").entries["e1:1"]
	entry.RoutesChanged(nil, newRouteTable([]string{"a"}))
	entry.RoutesChanged(newRouteTable([]string{"a"}), newRouteTable([]string{"a"}))
	at := time.Now()
	expect.Expect(entry.withRelated(at, []string{"a"})).To(Equal([]string{"a"}))
	entry.RoutesChanged(newRouteTable([]string{"a"}), newRouteTable([]string{"b", "c"}))
	expect.Expect(entry.withRelated(at, []string{"b", "c"})).To(ConsistOf("a", "b", "c"))
	expect.Expect(entry.withRelated(at, []string{"a"})).To(ConsistOf("a", "b", "c"))
	expect.Expect(entry.withRelated(at.Add(origins.Retention+time.Minute), []string{"b", "c"})).To(Equal([]string{"b", "c"}))
}

// A reply to a query of the incarnation before arrives late: it has the number of a
// query for another stream.
func TestAReplyForAnotherStreamIsIgnored(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1", "2")
	entry := network.entries["e2:1"]
	entry.send = func(home string, e *pb.Envelope) error {
		go entry.handle(&pb.Envelope{Header: &pb.Header{ReplyAddress: home}, Body: &pb.Envelope_StreamOriginReply{StreamOriginReply: &pb.StreamOriginReply{
			Query: e.GetStreamOriginQuery().GetQuery(), Origin: encodeOrigin(origins.Record{RequestID: "of another stream", Origin: began}),
		}}})
		return nil
	}
	_, known := entry.Find(context.Background(), "unheard", []string{"s"})
	expect.Expect(known).To(BeFalse())
	// The first numbers of two incarnations differ.
	expect.Expect(entry.lastQuery).NotTo(Equal(network.entries["e3:1"].lastQuery + 1))
}

func TestHomesFollowTheEntries(t *testing.T) {
	expect := NewWithT(t)
	entry := newOriginNetwork(sixEntries[:2], "1").entries["e1:1"]
	expect.Expect(entry.homes("a")).To(ConsistOf("e2:1"))
	entry.view.Merge(now, "control", &pb.FleetUpdate{DaemonChanges: &pb.DaemonChanges{
		Added: []*pb.Daemon{{Role: RoleEntry, Address: "e3:1", Incarnation: 1}}, Removed: []string{"e2:1"},
	}})
	expect.Expect(entry.homes("a")).To(ConsistOf("e3:1"))
}

// All entries are killed while two versions serve, and callers take their streams up. They
// were refused: the entries that start have no record.
func TestOriginsAreLostWithAllEntries(t *testing.T) {
	for name, storage := range map[string][]string{"three storage daemons": {"s1:1", "s2:1", "s3:1"}, "one is lost too": {"s1:1", "s2:1"}} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			network := newOriginNetwork(slices.Concat(sixEntries, storage), "1", "2")
			ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
			for i, id := range ids {
				network.entries[sixEntries[i%len(sixEntries)]].Record(id, began, []string{"s"})
			}
			if len(storage) == 2 {
				network.remove(storage[0])
			}
			for _, address := range sixEntries {
				network.start(address, network.entries[address].view)
			}
			for i, id := range ids {
				origin, known := network.entries[sixEntries[(i+1)%len(sixEntries)]].Find(context.Background(), id, []string{"s"})
				expect.Expect(known).To(BeTrue(), id)
				expect.Expect(origin).To(Equal(began))
			}
		})
	}
}

// All entries are killed after the last engine of the old version has left, and have heard
// only of the new one since. They confirmed to each other that there is no other.
func TestEntriesThatHaveJustStartedDecideAnOrigin(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1", "2")
	for _, address := range sixEntries {
		network.viewOf(address, "2")
	}
	got, known := network.entries["e2:1"].Find(context.Background(), "unheard", []string{"s"})
	expect.Expect(known).To(BeFalse(), "a stream that may have begun at version 1 goes on at %v", got)
	// The others have heard of no other version from control, which knows those that left.
	for _, address := range otherHomes("unheard", "e2:1") {
		inTouch(network.entries[address].view)
	}
	_, known = network.entries["e2:1"].Find(context.Background(), "unheard", []string{"s"})
	expect.Expect(known).To(BeTrue())
}

// All daemons are lost at once, and a caller returns before control has a leader again. It was
// refused.
func TestATakeUpAfterALossOfEverythingIsRefused(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1")
	for _, address := range sixEntries {
		network.viewOf(address, "1")
	}
	home := network.entries[otherHomes("a", "e2:1")[0]]
	time.AfterFunc(200*time.Millisecond, func() { inTouch(home.view) })
	origin, known := network.entries["e2:1"].Find(context.Background(), "a", []string{"s"})
	expect.Expect(known).To(BeTrue())
	expect.Expect(origin).To(Equal(began))
}

// One home has not yet heard from control. The others know of one version.
func TestAHomeWithoutControlHoldsUpNoStream(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1")
	network.viewOf(otherHomes("a", "e1:1")[0])
	origin, known := network.entries["e1:1"].Find(context.Background(), "a", []string{"s"})
	expect.Expect(known).To(BeTrue())
	expect.Expect(origin).To(Equal(began))
}

// An entry is cut off from the others, and does not hear that engines of a second version
// join. Callers take streams up there that the others have begun on these engines.
func TestEntryThatIsOutOfStepDecidesTheOriginOfANewVersion(t *testing.T) {
	expect := NewWithT(t)
	network := newOriginNetwork(sixEntries, "1")
	outOfStep, other := network.entries["e2:1"], network.entries["e1:1"]
	at := time.Now()
	for _, age := range []time.Duration{2 * maxUpdateAge, maxUpdateAge, 0} {
		outOfStep.view.Merge(at.Add(-age), "control", &pb.FleetUpdate{Current: true})
	}
	for _, address := range sixEntries {
		if address != "e2:1" {
			network.remove(address)
		}
	}
	find := func() bool {
		_, known := outOfStep.Find(context.Background(), "r", []string{"s"})
		return known
	}
	expect.Expect(find()).To(BeTrue(), "the view is current")
	other.view.Merge(time.Now(), "control", &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{{
		Id: "b", Sequence: 1, Service: "s", Address: "b:1", Slots: 1, Phase: pb.UpstreamPhase_UPSTREAM_READY, SoftwareVersion: "2",
	}}})
	for slices.Contains(other.view.UnsettledVersions(time.Now(), "s"), "2") {
		time.Sleep(10 * time.Millisecond)
	}
	expect.Expect(find()).To(BeFalse(), "streams may have begun at version 2")
}

// A service whose engines all have a new version goes on, and a daemon that starts uses what
// it hears of first.
func TestVersionsThatBeginStreamsAtOnce(t *testing.T) {
	expect := NewWithT(t)
	view := NewView(time.Second)
	beat := func(id, version string, sequence uint64, phase pb.UpstreamPhase) *pb.UpstreamBeat {
		return &pb.UpstreamBeat{
			Id: id, Sequence: sequence, Service: "s", Address: id + ":1", Slots: 1, Phase: phase, SoftwareVersion: version,
		}
	}
	hear := func(beats ...*pb.UpstreamBeat) { view.Merge(now, "control", &pb.FleetUpdate{Upstreams: beats}) }
	hear(beat("a", "1", 1, pb.UpstreamPhase_UPSTREAM_READY), beat("b", "2", 1, pb.UpstreamPhase_UPSTREAM_READY))
	expect.Expect(view.UnsettledVersions(now, "s")).To(BeEmpty())
	hear(beat("c", "3", 1, pb.UpstreamPhase_UPSTREAM_READY))
	expect.Expect(view.UnsettledVersions(now, "s")).To(Equal([]string{"3"}))
	expect.Expect(view.UnsettledVersions(now, "other")).To(BeEmpty())
	hear(beat("a", "1", 2, pb.UpstreamPhase_UPSTREAM_DRAINING), beat("b", "2", 2, pb.UpstreamPhase_UPSTREAM_GONE))
	expect.Expect(view.UnsettledVersions(now, "s")).To(BeEmpty())
	hear(beat("d", "1", 1, pb.UpstreamPhase_UPSTREAM_READY))
	expect.Expect(view.UnsettledVersions(now, "s")).To(Equal([]string{"3"}))
	expect.Expect(view.UnsettledVersions(now.Add(versionSettleTime), "s")).To(BeEmpty())
}

// The entry of a stream freezes, and a second version joins before the caller takes the stream
// up elsewhere. Only the frozen entry could tell that it had begun at the first one.
func TestStreamOfAFrozenEntryIsTakenUpAfterASecondVersionJoined(t *testing.T) {
	expect := NewWithT(t)
	addresses := slices.Concat(sixEntries, []string{"s1:1", "s2:1", "s3:1"})
	network := newOriginNetwork(addresses, "1")
	ids := []string{"a", "b", "c", "d"}
	for _, id := range ids {
		network.entries["e1:1"].Record(id, began, []string{"s"})
	}
	expect.Eventually(func() bool {
		network.mu.Lock()
		defer network.mu.Unlock()
		return network.sent > 0
	}, time.Second, 10*time.Millisecond).Should(BeTrue())
	expect.Expect(network.sent).To(Equal(1), "datagrams")
	network.remove("e1:1")
	for _, address := range addresses[1:] {
		network.setVersions(address, "1", "2")
	}
	for _, id := range ids {
		origin, known := network.entries["e2:1"].Find(context.Background(), id, []string{"s"})
		expect.Expect(known).To(BeTrue(), id)
		expect.Expect(origin).To(Equal(began))
	}
}
