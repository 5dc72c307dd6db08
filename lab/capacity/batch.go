package capacity

import (
	"fmt"
	"os"
	"runtime"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/batch"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

const (
	// defaultBodyBytes is the size of the body of an item, and of its result, when
	// processor time and log bytes are measured.
	defaultBodyBytes = 1024
	itemsPerChunk    = 256
	measuredJobID    = "job-0000000000000001"
)

// batchRun applies the commands of jobs to a batch state and sums their log bytes
// and, if measured, the processor time.
type batchRun struct {
	store kv.Store
	// bodyBytes is the size of the body of each item and of each result.
	bodyBytes int
	state     *batch.State
	logIndex  uint64
	logBytes  int
	applyCPU  cpuMeter
}

func (r *batchRun) apply(command *pb.Command) *pb.CommandResult {
	command.UnixMs = uint64(startTime.UnixMilli()) + r.logIndex
	r.logBytes += proto.Size(command)
	r.logIndex++
	writes := r.store.NewBatch()
	result, ok := r.state.Apply(writes, r.logIndex, command)
	if !ok {
		panic("capacity: batch state does not handle the command")
	}
	if err := r.store.Commit(writes, false); err != nil {
		panic(err)
	}
	return result
}

func (r *batchRun) submitJob(jobID string, items int) {
	r.checkJobResult(r.apply(&pb.Command{Op: &pb.Command_JobBegin{JobBegin: &pb.JobBegin{
		JobId: jobID, Caller: "forbundet", Key: jobID, Service: "dam-watch", Idempotent: true,
		DueUnixMs: uint64(startTime.UnixMilli()) + 3_600_000, RetentionMs: 3_600_000, MaxAttempts: 3, Endpoint: "/v1/completions",
	}}}))
	body := make([]byte, r.bodyBytes)
	sequence := uint32(0)
	for first := 0; first < items; first += itemsPerChunk {
		chunk := &pb.JobChunk{JobId: jobID, Sequence: sequence}
		for i := first; i < min(first+itemsPerChunk, items); i++ {
			chunk.Items = append(chunk.Items, &pb.Item{Index: uint32(i), CustomId: fmt.Sprintf("item-%07d", i), Body: body})
		}
		r.checkJobResult(r.apply(&pb.Command{Op: &pb.Command_JobChunk{JobChunk: chunk}}))
		sequence++
	}
	r.checkJobResult(r.apply(&pb.Command{Op: &pb.Command_JobAccept{JobAccept: &pb.JobAccept{
		JobId: jobID, Items: uint32(items), Digest: []byte("digest"),
	}}}))
}

func (r *batchRun) checkJobResult(result *pb.CommandResult) {
	if result.GetJob().GetError() != pb.JobError_JOB_OK {
		panic(fmt.Sprintf("capacity: job command failed: %v", result.GetJob()))
	}
}

// commitResults commits the results of the items whose index is at least from and
// less than to.
func (r *batchRun) commitResults(from, to int) {
	body := make([]byte, r.bodyBytes)
	for first := from; first < to; first += itemsPerChunk {
		commit := &pb.ResultsCommit{}
		for i := first; i < min(first+itemsPerChunk, to); i++ {
			commit.Results = append(commit.Results, &pb.ItemResult{
				JobId: measuredJobID, Index: uint32(i), CustomId: fmt.Sprintf("item-%07d", i),
				Outcome: pb.ItemOutcome_ITEM_DONE, Status: 200, Body: body, Attempts: 1, FencingNumber: 1,
			})
		}
		result := r.apply(&pb.Command{Op: &pb.Command_ResultsCommit{ResultsCommit: commit}})
		if int(result.GetResults().GetCommitted()) != len(commit.Results) {
			panic(fmt.Sprintf("capacity: not all results were committed: %v", result.GetResults()))
		}
	}
}

// batchCosts measures the processor time, log bytes and memory of a job by its
// number of items.
func batchCosts() ([]CostSeries, error) {
	applyCPU := newCostSeries(BatchCPU, "µs", "items")
	logBytes := newCostSeries(BatchBytes, "B", "items")
	memory := newCostSeries(BatchMemory, "B", "items")
	for _, items := range []int{10_000, 40_000, 160_000} {
		if err := addJobCosts(items, applyCPU, logBytes); err != nil {
			return nil, err
		}
		run := &batchRun{store: kv.NewMemoryStore(), state: batch.NewState()}
		run.submitJob(measuredJobID, items)
		// Leave the last item without a result: a finished job has no tables in memory.
		run.commitResults(0, items-1)
		memory.add(float64(items), stateMemory(run.store))
		runtime.KeepAlive(run)
	}
	return append(fitAll(applyCPU, logBytes, memory), jobMemoryCosts()...), nil
}

func addJobCosts(items int, applyCPU, logBytes *CostSeries) error {
	dir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return eris.Wrap(err, "capacity: create data directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	store, err := kv.OpenDiskStore(dir, vfs.Default)
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	run := &batchRun{store: store, state: batch.NewState(), bodyBytes: defaultBodyBytes}
	runtime.GC()
	run.applyCPU.measure(func() {
		run.submitJob(measuredJobID, items)
		run.commitResults(0, items-1)
	})
	applyCPU.add(float64(items), run.applyCPU.microseconds())
	logBytes.add(float64(items), float64(run.logBytes))
	return nil
}

// stateMemory returns the memory, in bytes, of a batch state that is restored from
// a store. It averages over several states.
func stateMemory(store kv.Store) float64 {
	const copies = 32
	states := make([]*batch.State, copies)
	before := heapBytes()
	for i := range states {
		states[i] = batch.NewState()
		states[i].Restore(store)
	}
	used := heapBytes() - before
	runtime.KeepAlive(states)
	return used / copies
}

const itemsPerSmallJob = 100

// jobMemoryCosts measures the memory of running jobs by their number.
func jobMemoryCosts() []CostSeries {
	memory := newCostSeries(JobMemory, "B", "jobs")
	for _, jobs := range []int{50, 200, 800} {
		run := &batchRun{store: kv.NewMemoryStore(), state: batch.NewState()}
		for i := range jobs {
			run.submitJob(fmt.Sprintf("job-%05d", i), itemsPerSmallJob)
		}
		memory.add(float64(jobs), stateMemory(run.store))
		runtime.KeepAlive(run)
	}
	return fitAll(memory)
}
