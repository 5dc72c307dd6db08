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
	// streamOverhead is the size in bytes of the yamux, TCP and IP headers of a
	// small message.
	streamOverhead = 12 + 32 + 20
	// datagramOverhead is the size in bytes of the UDP and IP headers.
	datagramOverhead = 8 + 20

	spreadTickInterval = 100 * time.Millisecond
	spreadPeriod       = time.Minute
	spreadChanges      = 30
)

var startTime = time.Unix(1_700_000_000, 0)

// spreadRun connects one publisher with the subscribers of daemons, without network
// delay.
type spreadRun struct {
	now           time.Time
	publisher     *spread.Publisher
	state         config.State
	store         kv.Store
	daemons       []*spreadDaemon
	publisherCPU  cpuMeter
	subscriberCPU cpuMeter
	updateBytes   int
	watchBytes    int
	changes       int
}

type spreadDaemon struct {
	name       string
	subscriber *spread.Subscriber
	table      *config.Table
}

type spreadUpdate struct {
	daemonIndex int
	data        []byte
}

type spreadWatch struct {
	daemonIndex int
	data        []byte
}

func newSpreadRun(seed uint64, daemons int) *spreadRun {
	r := &spreadRun{
		now:       startTime,
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

// applyChange changes a profile and notifies the publisher.
func (r *spreadRun) applyChange() {
	r.changes++
	expected := uint64(r.changes - 1)
	document := profileDocument("inspectors", uint32(r.changes%7))
	change := &pb.ConfigChange{
		ChangeId: fmt.Sprint("change-", r.changes), Operator: "operator",
		Ops: []*pb.ConfigOp{{Op: &pb.ConfigOp_Put{Put: document}, ExpectedRevision: expected}},
	}
	batch := r.store.NewBatch()
	result := r.state.ApplyChange(batch, change, uint64(r.now.UnixMilli()))
	if result.GetOutcome() != pb.ChangeOutcome_CHANGE_ACCEPTED {
		panic(fmt.Sprintf("capacity: change %d was not accepted: %v", r.changes, result))
	}
	if err := r.store.Commit(batch, false); err != nil {
		panic(err)
	}
	r.publisherCPU.measure(func() {
		r.publisher.Step(r.now, spread.Applied{Revision: r.state.Revision(r.store)})
	})
}

// runFor advances virtual time by d and applies changes at equal intervals.
func (r *spreadRun) runFor(d time.Duration, changes int) {
	ticks := int(d / spreadTickInterval)
	for i := range ticks {
		r.now = r.now.Add(spreadTickInterval)
		if changes > 0 && i%(ticks/changes) == 0 {
			r.applyChange()
		}
		r.tick()
	}
}

func (r *spreadRun) tick() {
	var updates []spreadUpdate
	var watches []spreadWatch
	r.publisherCPU.measure(func() {
		r.publisher.Tick(r.now)
		updates = r.drainPublisher()
	})
	r.subscriberCPU.measure(func() {
		for i, daemon := range r.daemons {
			daemon.subscriber.Tick(r.now)
			watches = append(watches, r.drainSubscriber(i)...)
		}
	})
	for len(updates)+len(watches) > 0 {
		updates, watches = r.deliver(updates, watches)
	}
}

// deliver delivers messages in both directions and returns the messages sent in
// response.
func (r *spreadRun) deliver(updates []spreadUpdate, watches []spreadWatch) ([]spreadUpdate, []spreadWatch) {
	var nextUpdates []spreadUpdate
	var nextWatches []spreadWatch
	r.publisherCPU.measure(func() {
		for _, w := range watches {
			r.watchBytes += len(w.data) + streamOverhead
			var envelope pb.Envelope
			mustUnmarshal(w.data, &envelope)
			r.publisher.Step(r.now, spread.Watch{SubscriberID: uint64(w.daemonIndex), Watch: envelope.GetConfigWatch()})
		}
		nextUpdates = r.drainPublisher()
	})
	r.subscriberCPU.measure(func() {
		for _, u := range updates {
			r.updateBytes += len(u.data) + streamOverhead
			var envelope pb.Envelope
			mustUnmarshal(u.data, &envelope)
			r.daemons[u.daemonIndex].subscriber.Step(r.now, spread.Update{Update: envelope.GetConfigUpdate()})
			nextWatches = append(nextWatches, r.drainSubscriber(u.daemonIndex)...)
		}
	})
	return nextUpdates, nextWatches
}

// drainPublisher executes the outputs of the publisher and returns the updates that
// it sends.
func (r *spreadRun) drainPublisher() []spreadUpdate {
	var updates []spreadUpdate
	for {
		outputs := r.publisher.Drain()
		if len(outputs) == 0 {
			return updates
		}
		confirm := false
		for _, out := range outputs {
			switch out := out.(type) {
			case spread.SendUpdate:
				updates = append(updates, r.encodeUpdate(out))
			case spread.RequestConfirmation:
				confirm = true
			}
		}
		if confirm {
			r.publisher.Step(r.now, spread.Confirmed{Revision: r.state.Revision(r.store)})
		}
	}
}

func (r *spreadRun) encodeUpdate(out spread.SendUpdate) spreadUpdate {
	update := r.state.UpdateSince(r.store, out.FromRevision)
	update.Confirmed = out.Confirmed
	update.LeaseMs = uint32(out.LeaseRemaining.Milliseconds())
	envelope := &pb.Envelope{
		Header: &pb.Header{Sender: "control-1", Incarnation: 1, ConfigRevision: update.GetRevision()},
		Body:   &pb.Envelope_ConfigUpdate{ConfigUpdate: update},
	}
	return spreadUpdate{daemonIndex: int(out.SubscriberID), data: mustMarshal(envelope)}
}

// drainSubscriber executes the outputs of the subscriber of one daemon and returns
// the watch messages that it sends.
func (r *spreadRun) drainSubscriber(i int) []spreadWatch {
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
				watches = append(watches, r.encodeWatch(i, out.FromRevision))
			case spread.ReportRevision:
				watches = append(watches, r.encodeWatch(i, out.Revision))
			case spread.Apply:
				daemon.table.Apply(out.Update)
			}
		}
	}
}

func (r *spreadRun) encodeWatch(i int, revision uint64) spreadWatch {
	daemon := r.daemons[i]
	watch := &pb.ConfigWatch{
		Daemon: daemon.name, Role: "sidecar", DataCentre: "lulea",
		FromRevision: revision, AppliedRevision: daemon.subscriber.Revision(),
	}
	envelope := &pb.Envelope{
		Header: &pb.Header{Sender: daemon.name, Incarnation: 1, ConfigRevision: revision},
		Body:   &pb.Envelope_ConfigWatch{ConfigWatch: watch},
	}
	return spreadWatch{daemonIndex: i, data: mustMarshal(envelope)}
}

// checkInForce panics unless the latest accepted revision is in force on every
// daemon.
func (r *spreadRun) checkInForce() {
	accepted := r.state.Revision(r.store)
	for _, daemon := range r.daemons {
		if daemon.subscriber.Revision() != accepted || !daemon.subscriber.Ready() {
			panic(fmt.Sprintf("capacity: %s is not ready or behind: revision %d, want %d", daemon.name, daemon.subscriber.Revision(), accepted))
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

// spreadCosts measures the costs of configuration watches for a control replica and
// for the watching daemons.
func spreadCosts(seed uint64) []CostSeries {
	idleCPU := newCostSeries(SpreadIdleCPU, "µs/s", "watchers")
	idleBytes := newCostSeries(SpreadIdleBytes, "B/s", "watchers")
	changeCPU := newCostSeries(SpreadChangeCPU, "µs a change", "watchers")
	changeBytes := newCostSeries(SpreadChangeBytes, "B a change", "watchers")
	memory := newCostSeries(SpreadMemory, "B", "watchers")
	daemonCPU := newCostSeries(SpreadDaemonCPU, "µs/s", "watchers")
	for _, daemons := range []int{100, 300, 900, 1800} {
		before := heapBytes()
		run := newSpreadRun(seed, daemons)
		run.applyChange()
		run.runFor(spreadPeriod, 0)
		run.resetMeters()
		run.runFor(spreadPeriod, 0)
		seconds := spreadPeriod.Seconds()
		idlePublisherCPU := run.publisherCPU.microseconds()
		idleTotalBytes := float64(run.updateBytes + run.watchBytes)
		idleCPU.add(float64(daemons), idlePublisherCPU/seconds)
		idleBytes.add(float64(daemons), idleTotalBytes/seconds)
		daemonCPU.add(float64(daemons), run.subscriberCPU.microseconds()/seconds)
		run.resetMeters()
		run.runFor(spreadPeriod, spreadChanges)
		run.checkInForce()
		changeCPU.add(float64(daemons), (run.publisherCPU.microseconds()-idlePublisherCPU)/spreadChanges)
		changeBytes.add(float64(daemons), (float64(run.updateBytes+run.watchBytes)-idleTotalBytes)/spreadChanges)
		run.daemons = nil
		memory.add(float64(daemons), heapBytes()-before)
		runtime.KeepAlive(run)
	}
	return fitAll(idleCPU, idleBytes, changeCPU, changeBytes, memory, daemonCPU)
}

func (r *spreadRun) resetMeters() {
	runtime.GC()
	r.publisherCPU, r.subscriberCPU = cpuMeter{}, cpuMeter{}
	r.updateBytes, r.watchBytes = 0, 0
}
