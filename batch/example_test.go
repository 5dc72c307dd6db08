package batch_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/briarcross/briarcross/batch"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// This example submits a job, runs its items on one worker and reads the results,
// without a daemon or network: a function call replaces the log, a variable the
// clock.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	store := kv.NewMemoryStore()
	state := batch.NewState()
	scheduler := batch.NewScheduler(batch.SchedulerOptions{
		State:     state,
		ReadStore: func(read func(kv.Reader)) { read(store) },
	})
	index := uint64(0)
	commit := func(_ context.Context, c *pb.Command) (*pb.CommandResult, *pb.ControlError) {
		index++
		c.UnixMs = uint64(now.UnixMilli())
		writes := store.NewBatch()
		result, _ := state.Apply(writes, index, c)
		if err := store.Commit(writes, true); err != nil {
			return nil, &pb.ControlError{Code: pb.ControlError_UNKNOWN}
		}
		scheduler.Step(now, batch.CommandApplied{Command: c, Result: result})
		return result, nil
	}
	scheduler.Step(now, batch.LeadershipChange{Term: 1, Leading: true})

	intake := batch.NewIntake(batch.IntakeOptions{
		JobID: "job-1", Caller: "forbundet", IdempotencyKey: "night-1", Service: "dam-watch",
		Endpoint: "/v1/completions", Idempotent: true,
	})
	lines := `{"custom_id":"p1","method":"POST","url":"/v1/completions","body":{"prompt":"Piezometer 1"}}
{"custom_id":"p2","method":"POST","url":"/v1/completions","body":{"prompt":"Piezometer 2"}}`
	job, err := intake.Submit(context.Background(), strings.NewReader(lines), commit)
	fmt.Println(job.GetJobId(), job.GetState(), err)

	worker := batch.NewWorker(batch.WorkerOptions{ID: "sidecar-1", Incarnation: 1, Services: []string{"dam-watch"}})
	worker.Step(now, batch.FreeCapacity{Items: 8})
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		worker.Tick(now)
		scheduler.Tick(now)
		for _, out := range append([]batch.WorkerOutput(nil), worker.Drain()...) {
			switch out := out.(type) {
			case batch.SendRequest:
				scheduler.Step(now, batch.WorkerRequest{Token: out.Message.GetSequence(), Message: out.Message})
			case batch.RunItem:
				outcome := &pb.ItemResult{Outcome: pb.ItemOutcome_ITEM_DONE, Status: 200, Body: []byte("ok " + out.Item.GetCustomId())}
				worker.Step(now, batch.ItemFinished{Ref: batch.LeaseRefOf(out.Item), Result: outcome})
			}
		}
		for _, out := range append([]batch.SchedulerOutput(nil), scheduler.Drain()...) {
			switch out := out.(type) {
			case batch.SendResponse:
				worker.Step(now, batch.ResponseReceived{Message: out.Message})
			case batch.Propose:
				result, failure := commit(context.Background(), out.Command)
				scheduler.Step(now, batch.ProposalResult{Token: out.Token, Result: result, Err: failure})
			}
		}
	}

	query := &pb.Query{Query: &pb.Query_Results{Results: &pb.ResultsQuery{JobId: "job-1"}}}
	answer, _ := state.Query(store, query)
	for _, result := range answer.GetResults().GetResults() {
		fmt.Println(result.GetCustomId(), result.GetOutcome(), string(result.GetBody()))
	}
	fmt.Println("end:", answer.GetResults().GetEnd())
	// Output:
	// job-1 JOB_RUNNING <nil>
	// p1 ITEM_DONE ok p1
	// p2 ITEM_DONE ok p2
	// end: true
}
