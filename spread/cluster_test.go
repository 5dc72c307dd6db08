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
	random        *rand.Rand
	now           time.Time
	changes       []*pb.ConfigChange
	replicas      []*testReplica
	daemons       []*testDaemon
	events        core.Deadlines[*event]
	subscriptions uint64
	bytes         int
	messages      int
	// lossy makes the network drop, duplicate and reorder updates.
	lossy bool
}

type testReplica struct {
	address        string
	publisher      *Publisher
	state          config.State
	store          kv.Store
	appliedChanges int
	partitioned    bool
	watchers       map[uint64]*testDaemon
}

type testDaemon struct {
	name           string
	subscriber     *Subscriber
	table          *config.Table
	replica        *testReplica
	subscriptionID uint64
	// startedAt is the revision that was accepted when the daemon started.
	startedAt uint64
	// violation describes the first broken invariant, or is empty.
	violation string
}

// event is a function that runs at a simulated time.
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

// restart replaces a daemon by one without configuration.
func (c *cluster) restart(i int) {
	old := c.daemons[i]
	c.disconnect(old)
	c.daemons[i] = c.newDaemon(old.name)
	c.daemons[i].violation = old.violation
}

// after schedules a function 1 to 3 milliseconds of simulated time later.
func (c *cluster) after(run func()) {
	delay := time.Duration(1+c.random.IntN(3)) * time.Millisecond
	c.events.Set(&event{run: run}, c.now.Add(delay))
}

// accept commits a change; replicas that are not partitioned apply it.
func (c *cluster) accept(change *pb.ConfigChange) {
	c.changes = append(c.changes, change)
	for _, r := range c.replicas {
		c.after(func() { c.catchUp(r) })
	}
}

// accepted returns the accepted revision. Every change of the tests is valid and
// increments it.
func (c *cluster) accepted() uint64 {
	return uint64(len(c.changes))
}

// heal ends all partitions.
func (c *cluster) heal() {
	for _, r := range c.replicas {
		r.partitioned = false
		c.after(func() { c.catchUp(r) })
	}
}

func (c *cluster) catchUp(r *testReplica) {
	if r.partitioned {
		return
	}
	for r.appliedChanges < len(c.changes) {
		b := r.store.NewBatch()
		r.state.ApplyChange(b, c.changes[r.appliedChanges], uint64(c.now.UnixMilli()))
		if err := r.store.Commit(b, true); err != nil {
			panic(err)
		}
		r.appliedChanges++
	}
	r.publisher.Step(c.now, Applied{Revision: r.state.Revision(r.store)})
	c.drainReplica(r)
}

// run advances the simulation in ticks.
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
		case SendUpdate:
			c.send(r, out)
		case RequestConfirmation:
			c.after(func() { c.confirm(r) })
		}
	}
}

func (c *cluster) confirm(r *testReplica) {
	if r.partitioned {
		r.publisher.Step(c.now, ConfirmationFailed{})
		c.drainReplica(r)
		return
	}
	c.catchUp(r)
	r.publisher.Step(c.now, Confirmed{Revision: r.state.Revision(r.store)})
	c.drainReplica(r)
}

func (c *cluster) send(r *testReplica, out SendUpdate) {
	d, ok := r.watchers[out.SubscriberID]
	if !ok {
		return
	}
	update := r.state.UpdateSince(r.store, out.FromRevision)
	update.Confirmed = out.Confirmed
	update.LeaseMs = uint32(out.LeaseRemaining.Milliseconds())
	c.bytes += proto.Size(update)
	c.messages++
	copies := 1
	if c.lossy {
		copies = c.random.IntN(3)
	}
	for range copies {
		c.after(func() { c.deliver(d, out.SubscriberID, update) })
	}
}

func (c *cluster) deliver(d *testDaemon, subscriptionID uint64, update *pb.ConfigUpdate) {
	if d.subscriptionID != subscriptionID {
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
				d.addViolation("applied update %d, which does not follow revision %d", out.Update.GetRevision(), d.table.Revision())
			}
		case ReportRevision:
			c.watch(d, d.table.Revision())
		case ReadinessChanged:
			d.checkReady(out.Ready)
		}
	}
}

// checkReady checks that a daemon becomes ready only with everything that was
// accepted before its start.
func (d *testDaemon) checkReady(ready bool) {
	if ready && d.table.Revision() < d.startedAt {
		d.addViolation("became ready at revision %d, but revision %d was accepted before its start", d.table.Revision(), d.startedAt)
	}
}

func (d *testDaemon) addViolation(format string, args ...any) {
	if d.violation == "" {
		d.violation = d.name + ": " + fmt.Sprintf(format, args...)
	}
}

func (c *cluster) connect(d *testDaemon, out Attach) {
	c.subscriptions++
	d.subscriptionID = c.subscriptions
	for _, r := range c.replicas {
		if r.address == out.Replica {
			d.replica = r
			r.watchers[d.subscriptionID] = d
		}
	}
	c.watch(d, out.FromRevision)
}

func (c *cluster) watch(d *testDaemon, from uint64) {
	if d.replica == nil {
		return
	}
	r, stream := d.replica, d.subscriptionID
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
		r.publisher.Step(c.now, Watch{SubscriberID: stream, Watch: watch})
		c.drainReplica(r)
	})
}

func (c *cluster) disconnect(d *testDaemon) {
	if d.replica == nil {
		return
	}
	delete(d.replica.watchers, d.subscriptionID)
	d.replica.publisher.Step(c.now, Unwatch{SubscriberID: d.subscriptionID})
	d.replica = nil
}

// daemonsUpToDate counts the ready daemons at the accepted revision.
func (c *cluster) daemonsUpToDate() int {
	count := 0
	for _, d := range c.daemons {
		if d.subscriber.Ready() && d.table.Revision() == c.accepted() {
			count++
		}
	}
	return count
}

// violations returns the broken invariants of all daemons.
func (c *cluster) violations() []string {
	var faults []string
	for _, d := range c.daemons {
		if d.violation != "" {
			faults = append(faults, d.violation)
		}
	}
	return faults
}

// nextChange returns a change that writes profile number n, with the accepted
// revision modulo 1000 as its priority.
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
			ExpectedRevision: c.lastWriteRevision(config.Key(docs[0])),
		}},
	}
}

// lastWriteRevision returns the revision that wrote a document last, or zero.
func (c *cluster) lastWriteRevision(key string) uint64 {
	for i := len(c.changes) - 1; i >= 0; i-- {
		if config.Key(c.changes[i].GetOps()[0].GetPut()) == key {
			return uint64(i + 1)
		}
	}
	return 0
}
