package capacity

import (
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/spread"
)

const (
	// streamOverhead is the size of the yamux, TCP and IP headers of a small
	// message, in bytes.
	streamOverhead = 12 + 32 + 20
	// datagramOverhead is the size of the UDP and IP headers, in bytes.
	datagramOverhead = 8 + 20

	spreadTick    = 100 * time.Millisecond
	spreadTime    = time.Minute
	spreadChanges = 30
)

var epoch = time.Unix(1_700_000_000, 0)

// spreadRun connects one publisher with subscribers without delay.
type spreadRun struct {
	now        time.Time
	publisher  *spread.Publisher
	state      config.State
	store      kv.Store
	daemons    []*spreadDaemon
	publishing meter
	following  meter
	outBytes   int
	inBytes    int
	changes    int
}

type spreadDaemon struct {
	name       string
	subscriber *spread.Subscriber
	table      *config.Table
}

type spreadUpdate struct {
	to   int
	data []byte
}

type spreadWatch struct {
	from int
	data []byte
}

func newSpreadRun(seed uint64, daemons int) *spreadRun {
	r := &spreadRun{
		now:       epoch,
		publisher: spread.NewPublisher(spread.PublisherOptions{}),
		store:     kv.NewMemoryStore(),
	}
	for i := range daemons {
		r.daemons = append(r.daemons, &spreadDaemon{
			name:       fmt.Sprintf("sidecar-%05d", i),
			subscriber: spread.NewSubscriber([]string{"10.0.0.1:7000"}, spread.SubscriberOptions{}, seed+uint64(i)),
			table:      config.NewTable(),
		})
	}
	return r
}

// change accepts one more version of a profile.
func (r *spreadRun) change() {
	r.changes++
	expected := uint64(r.changes - 1)
	document := profileDocument("inspectors", uint32(r.changes%7))
	change := &pb.ConfigChange{
		ChangeId: fmt.Sprint("change-", r.changes), Operator: "operator",
		Ops: []*pb.ConfigOp{{Op: &pb.ConfigOp_Put{Put: document}, ExpectedRevision: expected}},
	}
	batch := r.store.NewBatch()
	result := r.state.Change(batch, change, uint64(r.now.UnixMilli()))
	if result.GetOutcome() != pb.ChangeOutcome_CHANGE_ACCEPTED {
		panic(fmt.Sprintf("capacity: change %d: %v", r.changes, result))
	}
	if err := r.store.Commit(batch, false); err != nil {
		panic(err)
	}
	r.publishing.run(func() {
		r.publisher.Step(r.now, spread.Applied{Revision: r.state.Revision(r.store)})
	})
}

// runFor advances virtual time, with a number of changes evenly spread.
func (r *spreadRun) runFor(d time.Duration, changes int) {
	ticks := int(d / spreadTick)
	for i := range ticks {
		r.now = r.now.Add(spreadTick)
		if changes > 0 && i%(ticks/changes) == 0 {
			r.change()
		}
		r.tick()
	}
}

func (r *spreadRun) tick() {
	var updates []spreadUpdate
	var watches []spreadWatch
	r.publishing.run(func() {
		r.publisher.Tick(r.now)
		updates = r.publish()
	})
	r.following.run(func() {
		for i, daemon := range r.daemons {
			daemon.subscriber.Tick(r.now)
			watches = append(watches, r.follow(i)...)
		}
	})
	for len(updates)+len(watches) > 0 {
		updates, watches = r.exchange(updates, watches)
	}
}

// exchange delivers messages both ways and returns the answers.
func (r *spreadRun) exchange(updates []spreadUpdate, watches []spreadWatch) ([]spreadUpdate, []spreadWatch) {
	var nextUpdates []spreadUpdate
	var nextWatches []spreadWatch
	r.publishing.run(func() {
		for _, w := range watches {
			r.inBytes += len(w.data) + streamOverhead
			var envelope pb.Envelope
			mustUnmarshal(w.data, &envelope)
			r.publisher.Step(r.now, spread.Watch{Subscriber: uint64(w.from), Watch: envelope.GetConfigWatch()})
		}
		nextUpdates = r.publish()
	})
	r.following.run(func() {
		for _, u := range updates {
			r.outBytes += len(u.data) + streamOverhead
			var envelope pb.Envelope
			mustUnmarshal(u.data, &envelope)
			r.daemons[u.to].subscriber.Step(r.now, spread.Update{Update: envelope.GetConfigUpdate()})
			nextWatches = append(nextWatches, r.follow(u.to)...)
		}
	})
	return nextUpdates, nextWatches
}

// publish carries out the publisher's outputs.
func (r *spreadRun) publish() []spreadUpdate {
	var updates []spreadUpdate
	for {
		outputs := r.publisher.Drain()
		if len(outputs) == 0 {
			return updates
		}
		confirmed := false
		for _, out := range outputs {
			switch out := out.(type) {
			case spread.Send:
				updates = append(updates, r.update(out))
			case spread.ConfirmWanted:
				confirmed = true
			}
		}
		if confirmed {
			r.publisher.Step(r.now, spread.Confirmed{Revision: r.state.Revision(r.store)})
		}
	}
}

func (r *spreadRun) update(out spread.Send) spreadUpdate {
	update := r.state.UpdateSince(r.store, out.From)
	update.Confirmed = out.Confirmed
	update.LeaseMs = uint32(out.Lease.Milliseconds())
	envelope := &pb.Envelope{
		Header: &pb.Header{Sender: "control-1", Incarnation: 1, ConfigRevision: update.GetRevision()},
		Body:   &pb.Envelope_ConfigUpdate{ConfigUpdate: update},
	}
	return spreadUpdate{to: int(out.Subscriber), data: mustMarshal(envelope)}
}

// follow carries out the outputs of one daemon.
func (r *spreadRun) follow(i int) []spreadWatch {
	daemon := r.daemons[i]
	var watches []spreadWatch
	for {
		outputs := daemon.subscriber.Drain()
		if len(outputs) == 0 {
			return watches
		}
		for _, out := range append([]spread.SubscriberOutput(nil), outputs...) {
			switch out := out.(type) {
			case spread.Attach:
				daemon.subscriber.Step(r.now, spread.Attached{Replica: out.Replica})
				watches = append(watches, r.watch(i, out.From))
			case spread.Report:
				watches = append(watches, r.watch(i, out.Revision))
			case spread.Apply:
				daemon.table.Apply(out.Update)
			}
		}
	}
}

func (r *spreadRun) watch(i int, revision uint64) spreadWatch {
	daemon := r.daemons[i]
	watch := &pb.ConfigWatch{
		Daemon: daemon.name, Role: "sidecar", DataCentre: "lulea",
		FromRevision: revision, AppliedRevision: daemon.subscriber.Revision(),
	}
	envelope := &pb.Envelope{
		Header: &pb.Header{Sender: daemon.name, Incarnation: 1, ConfigRevision: revision},
		Body:   &pb.Envelope_ConfigWatch{ConfigWatch: watch},
	}
	return spreadWatch{from: i, data: mustMarshal(envelope)}
}

// checkInForce panics unless every daemon has the accepted revision in force.
func (r *spreadRun) checkInForce() {
	accepted := r.state.Revision(r.store)
	for _, daemon := range r.daemons {
		if daemon.subscriber.Revision() != accepted || !daemon.subscriber.Ready() {
			panic(fmt.Sprintf("capacity: %s has revision %d of %d", daemon.name, daemon.subscriber.Revision(), accepted))
		}
	}
}

func mustMarshal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

func mustUnmarshal(data []byte, m proto.Message) {
	if err := proto.Unmarshal(data, m); err != nil {
		panic(err)
	}
}

// spreadSlopes measures what watching daemons cost a control replica and
// themselves.
func spreadSlopes(seed uint64) []CostSeries {
	idleCPU := newSlope(SpreadIdleCPU, "µs/s", "watchers")
	idleBytes := newSlope(SpreadIdleBytes, "B/s", "watchers")
	changeCPU := newSlope(SpreadChangeCPU, "µs a change", "watchers")
	changeBytes := newSlope(SpreadChangeBytes, "B a change", "watchers")
	memory := newSlope(SpreadMemory, "B", "watchers")
	daemonCPU := newSlope(SpreadDaemonCPU, "µs/s", "watchers")
	for _, n := range []int{100, 300, 900, 1800} {
		before := heapBytes()
		run := newSpreadRun(seed, n)
		run.change()
		run.runFor(spreadTime, 0)
		run.reset()
		run.runFor(spreadTime, 0)
		seconds := spreadTime.Seconds()
		idle := run.publishing.micros()
		idleOut := float64(run.outBytes + run.inBytes)
		idleCPU.add(float64(n), idle/seconds)
		idleBytes.add(float64(n), idleOut/seconds)
		daemonCPU.add(float64(n), run.following.micros()/seconds)
		run.reset()
		run.runFor(spreadTime, spreadChanges)
		run.checkInForce()
		changeCPU.add(float64(n), (run.publishing.micros()-idle)/spreadChanges)
		changeBytes.add(float64(n), (float64(run.outBytes+run.inBytes)-idleOut)/spreadChanges)
		run.daemons = nil
		memory.add(float64(n), heapBytes()-before)
		runtime.KeepAlive(run)
	}
	return fit(idleCPU, idleBytes, changeCPU, changeBytes, memory, daemonCPU)
}

func (r *spreadRun) reset() {
	runtime.GC()
	r.publishing, r.following = meter{}, meter{}
	r.outBytes, r.inBytes = 0, 0
}
