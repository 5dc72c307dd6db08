package controlnode

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"testing"

	"github.com/charmbracelet/log"
	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

// testFleet is three control replicas, the daemons that follow them, and engines that follow each
// other at addresses. All parts are made as the product makes them.
type testFleet struct {
	t        *rapid.T
	clock    *testClock
	replicas []*fleetReplica
	daemons  []*fleetDaemon
	// engines holds the running engine of each address.
	engines []*testEngine
	// delayed holds heartbeats that have not arrived.
	delayed []fleet.Upstream
	started int
}

type fleetReplica struct {
	*Node
	folder string
	// subscriptions holds those of the other replicas and of the daemons, which are missing while
	// there is no connection.
	ofReplicas map[*fleetReplica]*subscriber
	ofDaemons  map[*fleetDaemon]*subscriber
}

// fleetDaemon is what an entry or a storage daemon knows of upstreams.
type fleetDaemon struct {
	view *node.View
	pool *dispatch.Pool
	// requests counts the requests, to number them.
	requests uint64
}

type testEngine struct {
	id, address string
	sequence    uint64
}

func (e *testEngine) heartbeat() fleet.Upstream {
	e.sequence++
	return fleet.Upstream{ID: e.id, Sequence: e.sequence, Service: "s", Address: e.address, DataCentre: "d", Slots: 8, Phase: fleet.Ready}
}

func newTestFleet(t *rapid.T, folder string, addresses int) *testFleet {
	f := &testFleet{t: t, clock: newTestClock()}
	for i := range 3 {
		r := &fleetReplica{folder: fmt.Sprintf("%s/%d", folder, i)}
		f.replicas = append(f.replicas, r)
		f.wipe(r)
		f.startReplica(r)
	}
	for range 2 {
		d := &fleetDaemon{}
		f.daemons = append(f.daemons, d)
		f.startDaemon(d)
	}
	for i := range addresses {
		f.engines = append(f.engines, f.newEngine(fmt.Sprintf("10.0.0.%d:80", i+1)))
	}
	return f
}

// newEngine returns an engine whose ID may sort before or after those of others.
func (f *testFleet) newEngine(address string) *testEngine {
	f.started++
	return &testEngine{id: fmt.Sprintf("i-%d-%d", rapid.IntRange(0, 9).Draw(f.t, "id"), f.started), address: address}
}

func (f *testFleet) wipe(r *fleetReplica) {
	if err := os.RemoveAll(r.folder); err != nil {
		f.t.Fatal(err)
	}
	if err := os.MkdirAll(r.folder, 0o700); err != nil {
		f.t.Fatal(err)
	}
}

// startReplica starts a replica with what it has on disk. All connections to it are lost.
func (f *testFleet) startReplica(r *fleetReplica) {
	if r.Node != nil {
		r.cancel()
	}
	r.Node = newUnstartedNodeAt(r.folder, f.clock.now, log.New(io.Discard))
	r.ofReplicas, r.ofDaemons = make(map[*fleetReplica]*subscriber), make(map[*fleetDaemon]*subscriber)
	for _, other := range f.replicas {
		if other != r {
			other.view.RemoveReplica(r.folder)
			delete(other.ofReplicas, r)
		}
	}
	for _, d := range f.daemons {
		d.view.RemoveReplica(r.folder)
	}
}

func (f *testFleet) startDaemon(d *fleetDaemon) {
	settings := &node.Settings{ID: "store-1", Role: node.RoleStore, DataCentre: "d"}
	d.view = node.NewView(testHeartbeatInterval)
	d.pool = dispatch.New(node.PoolOptions(settings, &transport.Identity{ID: settings.ID, Incarnation: 1}))
	for _, r := range f.replicas {
		delete(r.ofDaemons, d)
	}
}

// relay sends the next update of a replica to another one.
func (f *testFleet) relay(from, to *fleetReplica) {
	if from == to {
		return
	}
	if from.ofReplicas[to] == nil {
		from.ofReplicas[to] = newSubscriberOf(node.RoleControl)
	}
	update := &pb.FleetUpdate{}
	from.addUpstreams(f.clock.now(), from.ofReplicas[to], update)
	to.view.MergeAndApply(f.clock.now(), from.folder, update, to.applyRelayed)
}

// update sends the next update of a replica to a daemon.
func (f *testFleet) update(r *fleetReplica, d *fleetDaemon) {
	if r.ofDaemons[d] == nil {
		r.ofDaemons[d] = newSubscriberOf(node.RoleStore)
	}
	update := &pb.FleetUpdate{}
	r.addUpstreams(f.clock.now(), r.ofDaemons[d], update)
	d.view.MergeAndApply(f.clock.now(), r.folder, update, func(changes node.ViewChanges) {
		for _, u := range changes.Upstreams {
			d.pool.UpdateUpstream(u)
		}
		d.pool.Tick(f.clock.now())
	})
}

// cut ends the subscription of a daemon to a replica.
func (f *testFleet) cut(r *fleetReplica, d *fleetDaemon) {
	delete(r.ofDaemons, d)
	d.view.RemoveReplica(r.folder)
}

// cutAll ends all subscriptions.
func (f *testFleet) cutAll() {
	for _, r := range f.replicas {
		for _, d := range f.daemons {
			f.cut(r, d)
		}
		for _, other := range f.replicas {
			delete(r.ofReplicas, other)
			other.view.RemoveReplica(r.folder)
		}
	}
}

func (f *testFleet) expire(d *fleetDaemon) {
	d.view.ExpireAndApply(f.clock.now(), func(ids []string) {
		for _, id := range ids {
			d.pool.RemoveUpstream(id)
		}
	})
}

// grant returns the upstream that a request gets, if it gets one.
func (f *testFleet) grant(d *fleetDaemon, request dispatch.SlotRequest) (dispatch.Grant, bool) {
	d.requests++
	request.ID, request.Service = d.requests, "s"
	d.pool.Request(f.clock.now(), request)
	granted, _ := d.pool.Drain()
	if len(granted) == 0 {
		return dispatch.Grant{}, false
	}
	return granted[0], true
}

// request sends an online request, which only the upstream for which it is meant serves.
func (f *testFleet) request(d *fleetDaemon) {
	grant, ok := f.grant(d, dispatch.SlotRequest{Class: dispatch.Online})
	if !ok {
		return
	}
	outcome := dispatch.Failed
	for _, e := range f.engines {
		switch {
		case e.id == grant.Upstream && e.address == grant.Address:
			outcome = dispatch.Served
		case e.address == grant.Address && outcome != dispatch.Served:
			outcome = dispatch.OtherInstance
		}
	}
	d.pool.Release(f.clock.now(), grant, outcome)
}

// restart restarts a replica, which may have lost its disk.
func (f *testFleet) restart(r *fleetReplica) {
	if rapid.IntRange(0, 4).Draw(f.t, "disk lost") == 0 {
		f.wipe(r)
	}
	f.startReplica(r)
}

func (f *testFleet) drawReplica(label string) *fleetReplica {
	return f.replicas[rapid.IntRange(0, len(f.replicas)-1).Draw(f.t, label)]
}

func (f *testFleet) step() {
	f.clock.advance(float64(rapid.IntRange(0, 20).Draw(f.t, "elapsed")) / 10)
	r := f.drawReplica("replica")
	d := f.daemons[rapid.IntRange(0, len(f.daemons)-1).Draw(f.t, "daemon")]
	address := rapid.IntRange(0, len(f.engines)-1).Draw(f.t, "address")
	e := f.engines[address]
	steps := []string{"heartbeat", "heartbeat", "heartbeat", "beat all", "replace", "delay", "late", "restart", "power", "relay", "relay", "update", "update", "update", "expire", "cut", "request", "request", "deregister", "foreign", "pause"}
	switch rapid.SampledFrom(steps).Draw(f.t, "step") {
	case "heartbeat":
		r.RecordHeartbeat(e.heartbeat())
	case "beat all":
		for _, e := range f.engines {
			f.drawReplica("replica").RecordHeartbeat(e.heartbeat())
		}
	case "replace":
		f.engines[address] = f.newEngine(e.address)
	case "deregister":
		// An engine that leaves says so to one replica; the next one starts at its address.
		r.Deregister(e.id)
		f.engines[address] = f.newEngine(e.address)
	case "foreign":
		// Another writer names an address that an engine has.
		foreign := &testEngine{id: fmt.Sprintf("x-%d", rapid.IntRange(0, 2).Draw(f.t, "foreign")), address: e.address, sequence: uint64(f.started)}
		r.RecordHeartbeat(foreign.heartbeat())
	case "pause":
		// Long enough for silent upstreams to expire, at daemons or at control too. Subscriptions
		// without updates do not last as long.
		f.cutAll()
		f.clock.advance(float64(rapid.SampledFrom([]int{10, 50, 70, 130}).Draw(f.t, "intervals")))
	case "delay":
		f.delayed = append(f.delayed, e.heartbeat())
	case "late":
		if len(f.delayed) > 0 {
			r.RecordHeartbeat(f.delayed[0])
			f.delayed = f.delayed[1:]
		}
	case "restart":
		f.restart(r)
	case "power":
		for _, r := range f.replicas {
			f.restart(r)
		}
		for _, d := range f.daemons {
			f.startDaemon(d)
		}
	case "relay":
		f.relay(r, f.drawReplica("to"))
	case "update":
		f.update(r, d)
	case "expire":
		f.expire(d)
	case "cut":
		f.cut(r, d)
	case "request":
		f.request(d)
	}
	for _, r := range f.replicas {
		r.expireUpstreams()
		r.saveUpstreams()
	}
}

// settle lets two heartbeat intervals and the claim delay pass while all parts are connected and
// each engine sends its heartbeats.
func (f *testFleet) settle() {
	const tick = testHeartbeatInterval / 10
	end := f.clock.now().Add(2*testHeartbeatInterval + fleet.ClaimDelay(testHeartbeatInterval))
	for i := 0; f.clock.now().Before(end); i++ {
		for j, e := range f.engines {
			if (i+j)%int(testHeartbeatInterval/tick) == 0 {
				f.drawReplica("replica").RecordHeartbeat(e.heartbeat())
			}
		}
		for _, r := range f.replicas {
			for _, to := range f.replicas {
				f.relay(r, to)
			}
		}
		for _, r := range f.replicas {
			r.expireUpstreams()
			for _, d := range f.daemons {
				f.update(r, d)
			}
		}
		f.clock.at = f.clock.at.Add(tick)
	}
}

// check requires that batch items, which need upstreams that are heard, get each running engine and
// no other upstream.
func (f *testFleet) check() {
	running := make(map[string]bool)
	for _, e := range f.engines {
		running[e.id] = true
	}
	for i, d := range f.daemons {
		known := make(map[string]fleet.Upstream)
		for _, u := range d.view.Upstreams() {
			known[u.ID] = u
		}
		for id := range running {
			others := slices.DeleteFunc(slices.Sorted(maps.Keys(known)), func(other string) bool { return other == id })
			grant, ok := f.grant(d, dispatch.SlotRequest{Class: dispatch.Batch, Urgent: true, Avoid: others})
			if !ok || grant.Upstream != id {
				f.t.Fatalf("daemon %d does not use running engine %s (granted %q); it knows %+v; counts %+v", i, id, grant.Upstream, known[id], d.pool.Counts(f.clock.now()))
			}
			d.pool.Release(f.clock.now(), grant, dispatch.Inconclusive)
		}
		grant, ok := f.grant(d, dispatch.SlotRequest{Class: dispatch.Batch, Urgent: true, Avoid: slices.Sorted(maps.Keys(running))})
		if ok && !running[grant.Upstream] {
			f.t.Fatalf("daemon %d uses %s, which does not run: %+v", i, grant.Upstream, known[grant.Upstream])
		}
		for _, r := range f.replicas {
			for id := range running {
				if u, held := r.upstreams.Get(id); !held || u.Phase != fleet.Ready || slices.Contains(r.silent, id) {
					f.t.Fatalf("a replica does not hear running engine %s: %+v", id, u)
				}
			}
		}
	}
}

// Engines follow each other at addresses, under new IDs. Their heartbeats reach any control replica,
// some late, and some of other writers; replicas save what they know, lose power, and sometimes their disks, alone or all at
// once with the daemons; connections break. Once all parts are connected, the running engines must
// be in use everywhere, and no others, within two heartbeat intervals and the claim delay.
func TestRunningEnginesAreUsedEverywhereAfterLossesOfPower(t *testing.T) {
	folder := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(t, folder, rapid.IntRange(1, 3).Draw(t, "addresses"))
		defer func() {
			for _, r := range f.replicas {
				r.cancel()
			}
		}()
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			f.step()
		}
		f.settle()
		f.check()
	})
}
