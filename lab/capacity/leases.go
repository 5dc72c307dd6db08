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
	leaseTickInterval  = 50 * time.Millisecond
	leasePeriod        = 30 * time.Second
	workerFreeCapacity = 8
)

// leaseRun connects the scheduler of the leader, which has no jobs, with idle
// workers.
type leaseRun struct {
	now          time.Time
	scheduler    *batch.Scheduler
	workers      []*batch.Worker
	leaderCPU    cpuMeter
	workerCPU    cpuMeter
	messageBytes int
	requestCount uint64
}

func newLeaseRun(seed uint64, workers int) *leaseRun {
	store := kv.NewMemoryStore()
	run := &leaseRun{now: startTime}
	run.scheduler = batch.NewScheduler(batch.SchedulerOptions{
		State: batch.NewState(), Seed: seed,
		ReadStore: func(read func(kv.Reader)) { read(store) },
	})
	run.scheduler.Step(run.now, batch.LeadershipChange{Term: 1, Leading: true})
	for i := range workers {
		worker := batch.NewWorker(batch.WorkerOptions{
			ID: fmt.Sprintf("sidecar-%05d", i), Incarnation: 1, Services: []string{"dam-watch"},
			DataCentre: "lulea", Seed: seed + uint64(i),
		})
		worker.Step(run.now, batch.FreeCapacity{Items: workerFreeCapacity})
		run.workers = append(run.workers, worker)
	}
	return run
}

type leaseMessage struct {
	workerIndex int
	data        []byte
}

func (r *leaseRun) runFor(d time.Duration) {
	for range int(d / leaseTickInterval) {
		r.now = r.now.Add(leaseTickInterval)
		r.tick()
	}
}

func (r *leaseRun) tick() {
	var requests, responses []leaseMessage
	r.workerCPU.measure(func() {
		for i, worker := range r.workers {
			worker.Tick(r.now)
			requests = append(requests, drainWorker(i, worker)...)
		}
	})
	r.leaderCPU.measure(func() {
		r.scheduler.Tick(r.now)
		for _, m := range requests {
			r.requestCount++
			r.messageBytes += len(m.data) + streamOverhead
			var envelope pb.Envelope
			mustUnmarshal(m.data, &envelope)
			// The token can be the index of the worker: a worker sends one request at a time.
			r.scheduler.Step(r.now, batch.WorkerRequest{Token: uint64(m.workerIndex), Message: envelope.GetLeaseRequest()})
		}
		responses = r.drainScheduler()
	})
	r.workerCPU.measure(func() {
		for _, m := range responses {
			r.messageBytes += len(m.data) + streamOverhead
			var envelope pb.Envelope
			mustUnmarshal(m.data, &envelope)
			r.workers[m.workerIndex].Step(r.now, batch.ResponseReceived{Message: envelope.GetLeaseResponse()})
		}
	})
}

func drainWorker(i int, worker *batch.Worker) []leaseMessage {
	var messages []leaseMessage
	for _, out := range worker.Drain() {
		if request, ok := out.(batch.SendRequest); ok {
			envelope := &pb.Envelope{
				Header: &pb.Header{Sender: request.Message.GetWorker(), Incarnation: 1, ConfigRevision: 1},
				Body:   &pb.Envelope_LeaseRequest{LeaseRequest: request.Message},
			}
			messages = append(messages, leaseMessage{workerIndex: i, data: mustMarshal(envelope)})
		}
	}
	return messages
}

func (r *leaseRun) drainScheduler() []leaseMessage {
	var messages []leaseMessage
	for _, out := range r.scheduler.Drain() {
		if response, ok := out.(batch.SendResponse); ok {
			envelope := &pb.Envelope{
				Header: &pb.Header{Sender: "control-1", Incarnation: 1, ConfigRevision: 1},
				Body:   &pb.Envelope_LeaseResponse{LeaseResponse: response.Message},
			}
			messages = append(messages, leaseMessage{workerIndex: int(response.Token), data: mustMarshal(envelope)})
		}
	}
	return messages
}

// leaseCosts measures the cost of lease requests from sidecars without batch work,
// for the leader and for the sidecars.
func leaseCosts(seed uint64) []CostSeries {
	leaderCPU := newCostSeries(LeaseIdleCPU, "µs/s", "workers")
	leaseBytes := newCostSeries(LeaseIdleBytes, "B/s", "workers")
	workerCPU := newCostSeries(WorkerIdleCPU, "µs/s", "workers")
	for _, workers := range []int{50, 200, 800} {
		run := newLeaseRun(seed, workers)
		run.runFor(leasePeriod)
		runtime.GC()
		run.leaderCPU, run.workerCPU, run.messageBytes, run.requestCount = cpuMeter{}, cpuMeter{}, 0, 0
		run.runFor(leasePeriod)
		if run.requestCount == 0 {
			panic("capacity: no worker sent a lease request")
		}
		leaderCPU.add(float64(workers), run.leaderCPU.microseconds()/leasePeriod.Seconds())
		leaseBytes.add(float64(workers), float64(run.messageBytes)/leasePeriod.Seconds())
		workerCPU.add(float64(workers), run.workerCPU.microseconds()/leasePeriod.Seconds())
	}
	return fitAll(leaderCPU, leaseBytes, workerCPU)
}
