package batch

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// setRunTime gives every item the same run time and every sidecar the same slots,
// so that the total capacity is known.
func (s *sim) setRunTime(runTime time.Duration, slots, queueSlots int) {
	for _, c := range s.sidecars {
		c.slots = slots
		c.queueSlots = queueSlots
		c.runTime = func() time.Duration { return runTime }
	}
}

func mustSubmit(b *testing.B, s *sim, j simJob) {
	b.Helper()
	if _, err := s.submit(j); err != nil {
		b.Fatal(err)
	}
	s.ledger.jobs[j.id] = j
}

func mustComplete(b *testing.B, s *sim, limit time.Duration, ids ...string) time.Duration {
	b.Helper()
	from := s.now
	if !s.advanceUntil(limit, s.allCompleted(ids...)) {
		b.Fatalf("jobs did not complete within %v of virtual time", limit)
	}
	if violations := s.ledger.check(s); len(violations) > 0 {
		b.Fatal(violations[0])
	}
	return s.now.Sub(from)
}

// BenchmarkCapacity measures, in virtual time, which share of the slots of nine
// engines a job uses while it has items that have not started, how much longer
// than its ideal time it takes, and its commits and log bytes per item. The
// claims of a non-idempotent job cost what replicated leases would cost any job.
func BenchmarkCapacity(b *testing.B) {
	for _, idempotent := range []bool{true, false} {
		for _, runTime := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 8 * time.Second} {
			b.Run(fmt.Sprintf("idempotent=%t/item=%v", idempotent, runTime), func(b *testing.B) {
				for range b.N {
					measureCapacity(b, idempotent, runTime)
				}
			})
		}
	}
}

func measureCapacity(b *testing.B, idempotent bool, runTime time.Duration) {
	b.Helper()
	const engines, slots = 9, 16
	s := newSim(1, engines)
	s.options.LeaseTime = defaultLeaseTime
	s.electLeader(s.now)
	s.setRunTime(runTime, slots, 4)
	s.advance(time.Second)
	idleBytes := s.leaseBytes
	s.advance(time.Minute)
	idleBytes = s.leaseBytes - idleBytes
	rounds := int(64 * time.Second / runTime)
	items := engines * slots * rounds
	j := newSimJob("job", items)
	j.idempotent = idempotent
	commands, logBytes, leaseBytes := s.commands, s.logBytes, s.leaseBytes
	mustSubmit(b, s, j)
	submitted, submittedBytes := s.commands, s.logBytes
	from := s.now
	s.advanceUntil(time.Hour, func() bool { return len(s.ledger.startTimes) == items })
	share := s.totalBusyTime().Seconds() / (engines * slots * s.now.Sub(from).Seconds())
	mustComplete(b, s, time.Hour, "job")
	ideal := time.Duration(rounds) * runTime
	busySeconds := s.now.Sub(from).Seconds()
	b.ReportMetric(float64(idleBytes)/time.Minute.Seconds()/engines, "idle-B/s/worker")
	b.ReportMetric(float64(s.leaseBytes-leaseBytes)/busySeconds/engines, "busy-B/s/worker")
	b.ReportMetric(share, "capacity-share")
	b.ReportMetric((s.now.Sub(from) - ideal).Seconds(), "over-ideal-s")
	b.ReportMetric(float64(s.commands-submitted)/float64(items), "run-commits/item")
	b.ReportMetric(float64(submitted-commands)/float64(items), "submit-commits/item")
	b.ReportMetric(float64(s.logBytes-submittedBytes)/float64(items), "run-log-B/item")
	b.ReportMetric(float64(submittedBytes-logBytes)/float64(items), "submit-log-B/item")
}

func (s *sim) totalBusyTime() time.Duration {
	total := time.Duration(0)
	for _, c := range s.sidecars {
		total += c.busyTime
	}
	return total
}

const (
	lossEngines = 9
	lossSlots   = 8
	lossRounds  = 30
	lossRunTime = 2 * time.Second
	lossItems   = lossEngines * lossSlots * lossRounds
)

// runUntilResults runs a job on nine engines until it has the given number of
// results.
func runUntilResults(b *testing.B, results uint32) *sim {
	b.Helper()
	s := newSim(1, lossEngines)
	s.options.LeaseTime = defaultLeaseTime
	s.electLeader(s.now)
	s.setRunTime(lossRunTime, lossSlots, 2)
	mustSubmit(b, s, newSimJob("job", lossItems))
	if !s.advanceUntil(time.Hour, func() bool { return s.job("job").GetDone() >= results }) {
		b.Fatal("the job did not reach the given number of results within an hour of virtual time")
	}
	return s
}

// BenchmarkEngineLoss measures, in virtual time, how much later a job ends if one
// of nine engines crashes together with its sidecar than if the same sidecar
// drains: in the middle of the job, and when its last items run.
func BenchmarkEngineLoss(b *testing.B) {
	const middle, last = lossItems / 2, lossItems - lossEngines*lossSlots
	for _, results := range []uint32{middle, last} {
		b.Run(fmt.Sprintf("at=%d/%d", results, lossItems), func(b *testing.B) {
			for range b.N {
				measureEngineLoss(b, results)
			}
		})
	}
}

func measureEngineLoss(b *testing.B, results uint32) {
	b.Helper()
	s := runUntilResults(b, results)
	c := s.sidecars[0]
	c.step(Drain{})
	for _, item := range c.queue {
		c.step(ItemFinished{LeaseRefOf(item), &pb.ItemResult{Outcome: pb.ItemOutcome_ITEM_NOT_RUN}})
	}
	c.queue = nil
	planned := mustComplete(b, s, time.Hour, "job")
	s = runUntilResults(b, results)
	s.sidecars[0].crash()
	lost := mustComplete(b, s, time.Hour, "job")
	b.ReportMetric((lost - planned).Seconds(), "lost-s")
	b.ReportMetric((defaultLeaseTime + lossRunTime).Seconds(), "bound-s")
}

// BenchmarkLeaderLoss measures, in virtual time, how much later a job ends and how
// many items run twice if the leader is replaced in the middle of the job.
func BenchmarkLeaderLoss(b *testing.B) {
	for range b.N {
		s := runUntilResults(b, lossItems/2)
		undisturbed := mustComplete(b, s, time.Hour, "job")
		s = runUntilResults(b, lossItems/2)
		s.failLeader(false)
		lost := mustComplete(b, s, time.Hour, "job")
		twice := 0
		for _, starts := range s.ledger.startTimes {
			twice += len(starts) - 1
		}
		b.ReportMetric((lost - undisturbed).Seconds(), "lost-s")
		b.ReportMetric(float64(twice), "items-run-twice")
	}
}

// BenchmarkThroughput measures how many items per second the scheduler, state and
// workers process in one goroutine, by number of engines and chunk size. Each
// item runs for one simStep.
func BenchmarkThroughput(b *testing.B) {
	for _, engines := range []int{1, 3, 9, 18} {
		for _, chunk := range []int{16, 64, 256} {
			b.Run(fmt.Sprintf("engines=%d/chunk=%d", engines, chunk), func(b *testing.B) {
				s := newSim(1, engines)
				s.options.ChunkItems = chunk
				s.electLeader(s.now)
				s.setRunTime(simStep, chunk, 0)
				items := max(b.N, engines*chunk)
				mustSubmit(b, s, newSimJob("job", items))
				commands := s.commands
				b.ResetTimer()
				if !s.advanceUntil(time.Hour, s.allCompleted("job")) {
					b.Fatal("the job did not complete within an hour of virtual time")
				}
				b.ReportMetric(float64(items)/b.Elapsed().Seconds(), "items/s")
				b.ReportMetric(float64(s.commands-commands)/float64(items), "run-commits/item")
			})
		}
	}
}

// diskBench is a State with a store on disk. Commands are committed at once.
type diskBench struct {
	store *kv.DiskStore
	state *State
	index uint64
}

func newDiskBench(b *testing.B) *diskBench {
	b.Helper()
	store, err := kv.OpenDiskStore(b.TempDir(), nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = store.Close() })
	return &diskBench{store: store, state: NewState()}
}

func (d *diskBench) propose(_ context.Context, c *pb.Command) (*pb.CommandResult, *pb.ControlError) {
	d.index++
	c.UnixMs = d.index
	batch := d.store.NewBatch()
	result, _ := d.state.Apply(batch, d.index, c)
	if err := d.store.Commit(batch, false); err != nil {
		return nil, &pb.ControlError{Code: pb.ControlError_UNKNOWN, Reason: err.Error()}
	}
	return result, nil
}

// jobLineReader is a reader that generates the lines of a job.
type jobLineReader struct {
	next, items int
	buffer      []byte
}

func (l *jobLineReader) Read(p []byte) (int, error) {
	if len(l.buffer) == 0 {
		if l.next == l.items {
			return 0, io.EOF
		}
		l.buffer = fmt.Appendf(nil, `{"custom_id":"r-%d","method":"POST","url":"%s","body":{"model":"dam-watch",`+
			`"prompt":"Piezometer %d reads 14.2 kPa; seepage at the toe is clear, 3 l/min.","max_tokens":64}}`+"\n",
			l.next, simEndpoint, l.next)
		l.next++
	}
	n := copy(p, l.buffer)
	l.buffer = l.buffer[n:]
	return n, nil
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLargeJob accepts and completes a job of 970,000 items with a store on
// disk and reports rates, heap and resident memory.
func BenchmarkLargeJob(b *testing.B) {
	const items, chunk = 970_000, 256
	for range b.N {
		d := newDiskBench(b)
		b.ReportMetric(peakResidentMB(b), "resident-at-start-MB")
		before := heapBytes()
		scheduler := NewScheduler(SchedulerOptions{State: d.state, ReadStore: func(f func(kv.Reader)) { f(d.store) }})
		now := time.Unix(1_800_000_000, 0)
		scheduler.Step(now, LeadershipChange{Term: 1, Leading: true})
		started := time.Now()
		intake := NewIntake(IntakeOptions{
			JobID: "job", Caller: "c", IdempotencyKey: "k", Service: "dam-watch", Endpoint: simEndpoint, Idempotent: true,
		})
		if _, err := intake.Submit(context.Background(), &jobLineReader{items: items}, d.propose); err != nil {
			b.Fatal(err)
		}
		accepted := time.Since(started)
		heapAccepted := heapBytes()
		started = time.Now()
		peak := uint64(0)
		for from := uint32(0); from < items; from += chunk {
			commit := resultsCommitOf(from, min(from+chunk, items))
			command := &pb.Command{Op: &pb.Command_ResultsCommit{ResultsCommit: commit}}
			result, _ := d.propose(context.Background(), command)
			scheduler.Step(now, CommandApplied{command, result})
			if from/chunk == items/chunk/2 {
				peak = heapBytes()
			}
		}
		completed := time.Since(started)
		b.ReportMetric(float64(items)/accepted.Seconds(), "accepted-items/s")
		b.ReportMetric(float64(items)/completed.Seconds(), "committed-items/s")
		b.ReportMetric(float64(int64(heapAccepted)-int64(before))/(1<<20), "heap-accepted-MB")
		b.ReportMetric(float64(int64(peak)-int64(before))/(1<<20), "heap-half-done-MB")
		restored := NewState()
		started = time.Now()
		restored.Restore(d.store)
		b.ReportMetric(time.Since(started).Seconds()*1000, "restore-ms")
		b.ReportMetric(peakResidentMB(b), "peak-resident-MB")
	}
}

// peakResidentMB returns the peak resident memory of the process.
func peakResidentMB(b *testing.B) float64 {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	const kilobytesPerMegabyte = 1024
	return float64(usage.Maxrss) / kilobytesPerMegabyte
}

func resultsCommitOf(from, to uint32) *pb.ResultsCommit {
	commit := &pb.ResultsCommit{}
	for index := from; index < to; index++ {
		commit.Results = append(commit.Results, &pb.ItemResult{
			JobId:    "job",
			Index:    index,
			CustomId: fmt.Sprintf("r-%d", index),
			Outcome:  pb.ItemOutcome_ITEM_DONE,
			Status:   200,
			Body:     []byte(`{"choices":[{"text":"No action. Next reading in six hours."}]}`),
		})
	}
	return commit
}

// BenchmarkIdleTick measures a tick with a running job of 970,000 items and no
// workers.
func BenchmarkIdleTick(b *testing.B) {
	state := NewState()
	job := &pb.Job{JobId: "job", Items: 970_000, State: pb.JobState_JOB_RUNNING, Idempotent: true}
	live := &liveJob{job: job}
	live.allocateBitmaps()
	state.live["job"] = live
	s := NewScheduler(SchedulerOptions{State: state, ReadStore: func(f func(kv.Reader)) { f(kv.NewMemoryStore()) }})
	now := time.Unix(1_800_000_000, 0)
	s.Step(now, LeadershipChange{Term: 1, Leading: true})
	b.ResetTimer()
	for range b.N {
		now = now.Add(simStep)
		s.Tick(now)
	}
}

// BenchmarkPoll measures a lease request of one of 10,000 workers, and the tick
// that follows it, with 1,000 running jobs whose items have all been handed out.
func BenchmarkPoll(b *testing.B) {
	const workers, jobs = 10_000, 1_000
	state := NewState()
	store := kv.NewMemoryStore()
	for i := range jobs {
		id := fmt.Sprintf("job-%04d", i)
		live := &liveJob{job: &pb.Job{
			JobId: id, Caller: fmt.Sprintf("caller-%d", i%20), Service: "dam-watch", Items: 1,
			State: pb.JobState_JOB_RUNNING, Idempotent: true,
		}}
		live.allocateBitmaps()
		state.live[id] = live
	}
	s := NewScheduler(SchedulerOptions{State: state, ReadStore: func(f func(kv.Reader)) { f(store) }})
	now := time.Unix(1_800_000_000, 0)
	s.Step(now, LeadershipChange{Term: 1, Leading: true})
	for _, job := range s.jobs.sorted {
		job.head = job.tail
	}
	request := func(n int) *pb.LeaseRequest {
		return &pb.LeaseRequest{
			Worker: fmt.Sprintf("worker-%05d", n%workers), Incarnation: 1, Sequence: uint64(n/workers + 1),
			Services: []string{"dam-watch"}, Room: 4, Term: 1,
		}
	}
	for n := range workers {
		s.Step(now, WorkerRequest{uint64(n), request(n)})
	}
	s.Drain()
	requests := make([]*pb.LeaseRequest, b.N)
	for n := range requests {
		requests[n] = request(workers + n)
	}
	b.ResetTimer()
	for n, m := range requests {
		if n%workers == 0 {
			now = now.Add(defaultLongPollTimeout / 2)
		}
		s.Step(now, WorkerRequest{uint64(workers + n), m})
		s.Tick(now)
		s.Drain()
	}
}
