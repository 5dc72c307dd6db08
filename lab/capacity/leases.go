package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/briarcross/briarcross/batch"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

const (
	leaseTick  = 50 * time.Millisecond
	leaseTime  = 30 * time.Second
	workerRoom = 8
)

// leaseRun connects a leading scheduler without jobs with idle workers.
type leaseRun struct {
	now       time.Time
	scheduler *batch.Scheduler
	workers   []*batch.Worker
	leading   meter
	asking    meter
	bytes     int
	asks      uint64
}

func newLeaseRun(seed uint64, workers int) *leaseRun {
	store := kv.NewMemoryStore()
	r := &leaseRun{now: epoch}
	r.scheduler = batch.NewScheduler(batch.SchedulerOptions{
		State: batch.NewState(), Seed: seed,
		ReadStore: func(read func(kv.Reader)) { read(store) },
	})
	r.scheduler.Step(r.now, batch.LeadershipChange{Term: 1, Leading: true})
	for i := range workers {
		worker := batch.NewWorker(batch.WorkerOptions{
			ID: fmt.Sprintf("sidecar-%05d", i), Incarnation: 1, Services: []string{"dam-watch"},
			DataCentre: "lulea", Seed: seed + uint64(i),
		})
		worker.Step(r.now, batch.FreeCapacity{Items: workerRoom})
		r.workers = append(r.workers, worker)
	}
	return r
}

type leaseMessage struct {
	worker int
	data   []byte
}

func (r *leaseRun) runFor(d time.Duration) {
	for range int(d / leaseTick) {
		r.now = r.now.Add(leaseTick)
		r.tick()
	}
}

func (r *leaseRun) tick() {
	var requests, replies []leaseMessage
	r.asking.run(func() {
		for i, worker := range r.workers {
			worker.Tick(r.now)
			requests = append(requests, askMessages(i, worker)...)
		}
	})
	r.leading.run(func() {
		r.scheduler.Tick(r.now)
		for _, m := range requests {
			r.asks++
			r.bytes += len(m.data) + streamOverhead
			var envelope pb.Envelope
			mustUnmarshal(m.data, &envelope)
			// A token names the worker, which has one request at a time.
			r.scheduler.Step(r.now, batch.WorkerRequest{Token: uint64(m.worker), Message: envelope.GetLeaseRequest()})
		}
		replies = r.replies()
	})
	r.asking.run(func() {
		for _, m := range replies {
			r.bytes += len(m.data) + streamOverhead
			var envelope pb.Envelope
			mustUnmarshal(m.data, &envelope)
			r.workers[m.worker].Step(r.now, batch.ResponseReceived{Message: envelope.GetLeaseResponse()})
		}
	})
}

func askMessages(i int, worker *batch.Worker) []leaseMessage {
	var messages []leaseMessage
	for _, out := range worker.Drain() {
		if ask, ok := out.(batch.SendRequest); ok {
			envelope := &pb.Envelope{
				Header: &pb.Header{Sender: ask.Message.GetWorker(), Incarnation: 1, ConfigRevision: 1},
				Body:   &pb.Envelope_LeaseRequest{LeaseRequest: ask.Message},
			}
			messages = append(messages, leaseMessage{worker: i, data: mustMarshal(envelope)})
		}
	}
	return messages
}

func (r *leaseRun) replies() []leaseMessage {
	var messages []leaseMessage
	for _, out := range r.scheduler.Drain() {
		if reply, ok := out.(batch.SendResponse); ok {
			envelope := &pb.Envelope{
				Header: &pb.Header{Sender: "control-1", Incarnation: 1, ConfigRevision: 1},
				Body:   &pb.Envelope_LeaseResponse{LeaseResponse: reply.Message},
			}
			messages = append(messages, leaseMessage{worker: int(reply.Token), data: mustMarshal(envelope)})
		}
	}
	return messages
}

// leaseSlopes measures what sidecars without batch work cost the leader.
func leaseSlopes(seed uint64) []CostSeries {
	cpu := newSlope(LeaseIdleCPU, "µs/s", "workers")
	bytes := newSlope(LeaseIdleBytes, "B/s", "workers")
	asking := newSlope(WorkerIdleCPU, "µs/s", "workers")
	for _, n := range []int{50, 200, 800} {
		r := newLeaseRun(seed, n)
		r.runFor(leaseTime)
		runtime.GC()
		r.leading, r.asking, r.bytes, r.asks = meter{}, meter{}, 0, 0
		r.runFor(leaseTime)
		if r.asks == 0 {
			panic("capacity: no worker asked for items")
		}
		cpu.add(float64(n), r.leading.micros()/leaseTime.Seconds())
		bytes.add(float64(n), float64(r.bytes)/leaseTime.Seconds())
		asking.add(float64(n), r.asking.micros()/leaseTime.Seconds())
	}
	return fit(cpu, bytes, asking)
}
