package spread

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

const tick = 100 * time.Millisecond

// cluster runs publishers and subscribers over a simulated network.
type cluster struct {
	random   *rand.Rand
	now      time.Time
	changes  []*pb.ConfigChange
	replicas []*testReplica
	daemons  []*testDaemon
	events   core.Deadlines[*event]
	streams  uint64
	bytes    int
	messages int
	// lossy drops, doubles and reorders updates.
	lossy bool
}

type testReplica struct {
	address   string
	publisher *Publisher
	state     config.State
	store     kv.Store
	applied   int
	cut       bool
	watchers  map[uint64]*testDaemon
}

type testDaemon struct {
	name       string
	subscriber *Subscriber
	table      *config.Table
	replica    *testReplica
	stream     uint64
	// startedAt is the accepted revision when the daemon started.
	startedAt uint64
	// fault is the first broken invariant.
	fault string
}

// event is something that happens at a simulated time.
type event struct {
	run func()
}

func newCluster(seed uint64, replicas, daemons int) *cluster {
	c := &cluster{random: core.NewRand(seed), now: time.Unix(1_700_000_000, 0)}
	for i := range replicas {
		c.replicas = append(c.replicas, &testReplica{
			address:   fmt.Sprintf("replica-%d", i),
			publisher: NewPublisher(PublisherOptions{}),
			store:     kv.NewMemoryStore(),
			watchers:  make(map[uint64]*testDaemon),
		})
	}
	for i := range daemons {
		c.daemons = append(c.daemons, c.newDaemon(fmt.Sprintf("daemon-%d", i)))
	}
	return c
}

func (c *cluster) newDaemon(name string) *testDaemon {
	var addresses []string
	for _, r := range c.replicas {
		addresses = append(addresses, r.address)
	}
	return &testDaemon{
		name:       name,
		subscriber: NewSubscriber(addresses, SubscriberOptions{}, c.random.Uint64()),
		table:      config.NewTable(),
		startedAt:  c.accepted(),
	}
}

// restart replaces a daemon by one that holds nothing.
func (c *cluster) restart(i int) {
	old := c.daemons[i]
	c.disconnect(old)
	c.daemons[i] = c.newDaemon(old.name)
	c.daemons[i].fault = old.fault
}

// after runs a function within a few milliseconds of simulated time.
func (c *cluster) after(run func()) {
	delay := time.Duration(1+c.random.IntN(3)) * time.Millisecond
	c.events.Set(&event{run: run}, c.now.Add(delay))
}

// accept commits a change; replicas that are not cut off apply it.
func (c *cluster) accept(change *pb.ConfigChange) {
	c.changes = append(c.changes, change)
	for _, r := range c.replicas {
		c.after(func() { c.catchUp(r) })
	}
}

// accepted returns the accepted revision; each change of the tests counts.
func (c *cluster) accepted() uint64 {
	return uint64(len(c.changes))
}

// heal ends every cut.
func (c *cluster) heal() {
	for _, r := range c.replicas {
		r.cut = false
		c.after(func() { c.catchUp(r) })
	}
}

func (c *cluster) catchUp(r *testReplica) {
	if r.cut {
		return
	}
	for r.applied < len(c.changes) {
		b := r.store.NewBatch()
		r.state.ApplyChange(b, c.changes[r.applied], uint64(c.now.UnixMilli()))
		if err := r.store.Commit(b, true); err != nil {
			panic(err)
		}
		r.applied++
	}
	r.publisher.Step(c.now, Applied{Revision: r.state.Revision(r.store)})
	c.drainReplica(r)
}

// run advances the simulation.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		next := c.now.Add(tick)
		c.deliverUntil(next)
		for _, r := range c.replicas {
			r.publisher.Tick(c.now)
			c.drainReplica(r)
		}
		for _, d := range c.daemons {
			d.subscriber.Tick(c.now)
			c.drainDaemon(d)
		}
	}
}

// deliverUntil runs the events up to a time.
func (c *cluster) deliverUntil(end time.Time) {
	for {
		at, ok := c.events.Earliest()
		if !ok || at.After(end) {
			c.now = end
			return
		}
		c.now = at
		e, _ := c.events.PopExpired(at)
		e.run()
	}
}

func (c *cluster) drainReplica(r *testReplica) {
	for _, out := range r.publisher.Drain() {
		switch out := out.(type) {
		case Send:
			c.send(r, out)
		case ConfirmWanted:
			c.after(func() { c.answerConfirm(r) })
		}
	}
}

func (c *cluster) answerConfirm(r *testReplica) {
	if r.cut {
		r.publisher.Step(c.now, ConfirmFailed{})
		c.drainReplica(r)
		return
	}
	c.catchUp(r)
	r.publisher.Step(c.now, Confirmed{Revision: r.state.Revision(r.store)})
	c.drainReplica(r)
}

func (c *cluster) send(r *testReplica, out Send) {
	d, ok := r.watchers[out.Subscriber]
	if !ok {
		return
	}
	update := r.state.UpdateSince(r.store, out.From)
	update.Confirmed = out.Confirmed
	update.LeaseMs = uint32(out.Lease.Milliseconds())
	c.bytes += proto.Size(update)
	c.messages++
	copies := 1
	if c.lossy {
		copies = c.random.IntN(3)
	}
	for range copies {
		c.after(func() { c.deliver(d, out.Subscriber, update) })
	}
}

func (c *cluster) deliver(d *testDaemon, stream uint64, update *pb.ConfigUpdate) {
	if d.stream != stream {
		return
	}
	d.subscriber.Step(c.now, Update{Update: update})
	c.drainDaemon(d)
}

func (c *cluster) drainDaemon(d *testDaemon) {
	for _, out := range d.subscriber.Drain() {
		switch out := out.(type) {
		case Attach:
			c.disconnect(d)
			c.connect(d, out)
		case Apply:
			if d.table.Apply(out.Update) != config.Applied {
				d.fail("update %d does not follow revision %d", out.Update.GetRevision(), d.table.Revision())
			}
		case Report:
			c.watch(d, d.table.Revision())
		case Ready:
			d.checkReady(out.Ready)
		}
	}
}

// checkReady holds the rule for a started daemon: it serves only with
// everything that was accepted before its start.
func (d *testDaemon) checkReady(ready bool) {
	if ready && d.table.Revision() < d.startedAt {
		d.fail("ready at revision %d, started when %d was accepted", d.table.Revision(), d.startedAt)
	}
}

func (d *testDaemon) fail(format string, args ...any) {
	if d.fault == "" {
		d.fault = d.name + ": " + fmt.Sprintf(format, args...)
	}
}

func (c *cluster) connect(d *testDaemon, out Attach) {
	c.streams++
	d.stream = c.streams
	for _, r := range c.replicas {
		if r.address == out.Replica {
			d.replica = r
			r.watchers[d.stream] = d
		}
	}
	c.watch(d, out.From)
}

func (c *cluster) watch(d *testDaemon, from uint64) {
	if d.replica == nil {
		return
	}
	r, stream := d.replica, d.stream
	watch := &pb.ConfigWatch{
		Daemon: d.name, Role: "sidecar", DataCentre: "a",
		FromRevision: from, AppliedRevision: d.table.Revision(),
	}
	c.bytes += proto.Size(watch)
	c.messages++
	c.after(func() {
		if r.watchers[stream] == nil {
			return
		}
		r.publisher.Step(c.now, Watch{Subscriber: stream, Watch: watch})
		c.drainReplica(r)
	})
}

func (c *cluster) disconnect(d *testDaemon) {
	if d.replica == nil {
		return
	}
	delete(d.replica.watchers, d.stream)
	d.replica.publisher.Step(c.now, Unwatch{Subscriber: d.stream})
	d.replica = nil
}

// inForce counts the ready daemons at the accepted revision.
func (c *cluster) inForce() int {
	count := 0
	for _, d := range c.daemons {
		if d.subscriber.Ready() && d.table.Revision() == c.accepted() {
			count++
		}
	}
	return count
}

// faults returns the broken invariants of all daemons.
func (c *cluster) faults() []string {
	var faults []string
	for _, d := range c.daemons {
		if d.fault != "" {
			faults = append(faults, d.fault)
		}
	}
	return faults
}

// nextChange writes profile number n with the revision as its priority.
func (c *cluster) nextChange(n int) *pb.ConfigChange {
	revision := c.accepted()
	text := fmt.Sprintf("kind: Profile\nname: p%d\nspec: {class: online, priority: %d}", n, revision%1000)
	docs, err := config.Parse("test.yaml", []byte(text))
	if err != nil {
		panic(err)
	}
	return &pb.ConfigChange{
		ChangeId: fmt.Sprint(revision),
		Ops: []*pb.ConfigOp{{
			Op:               &pb.ConfigOp_Put{Put: docs[0]},
			ExpectedRevision: c.lastWrite(config.Key(docs[0])),
		}},
	}
}

// lastWrite returns the revision that wrote a document last.
func (c *cluster) lastWrite(key string) uint64 {
	for i := len(c.changes) - 1; i >= 0; i-- {
		if config.Key(c.changes[i].GetOps()[0].GetPut()) == key {
			return uint64(i + 1)
		}
	}
	return 0
}
