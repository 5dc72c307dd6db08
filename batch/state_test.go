package batch

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// stateModel is a reference model of State that keeps its jobs in plain maps.
type stateModel struct {
	t         *rapid.T
	store     *kv.MemoryStore
	state     *State
	logIndex  uint64
	nowUnixMs uint64
	jobs      map[string]*modelJob
	// jobCount is the number of jobs that were begun, including removed ones.
	jobCount int
}

// modelJob is a job that a State must know.
type modelJob struct {
	caller, key string
	state       pb.JobState
	idempotent  bool
	received    uint32
	chunks      uint32
	// results holds the body of each committed result, by item index.
	results map[uint32]string
	// claims holds the fencing number of each claimed item, by index.
	claims         map[uint32]uint64
	updatedUnixMs  uint64
	finishedUnixMs uint64
}

const modelRetentionMs = 100_000

func (m *stateModel) apply(c *pb.Command) *pb.CommandResult {
	m.nowUnixMs += 500
	c.UnixMs = m.nowUnixMs
	m.logIndex++
	b := m.store.NewBatch()
	result, ok := m.state.Apply(b, m.logIndex, c)
	if !ok {
		m.t.Fatalf("Apply does not know the command %v", c)
	}
	if err := m.store.Commit(b, true); err != nil {
		m.t.Fatal(err)
	}
	return result
}

// pickJob draws a job ID that was used before. The job is nil if it was removed.
func (m *stateModel) pickJob(t *rapid.T) (string, *modelJob) {
	if m.jobCount == 0 {
		t.Skip("no job")
	}
	id := fmt.Sprintf("job-%02d", rapid.IntRange(0, m.jobCount-1).Draw(t, "job"))
	return id, m.jobs[id]
}

func (m *stateModel) begin(t *rapid.T) {
	caller := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller")
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	idempotent := rapid.Bool().Draw(t, "idempotent")
	id := fmt.Sprintf("job-%02d", m.jobCount)
	want := pb.JobError_JOB_OK
	for otherID, other := range m.jobs {
		if other.caller != caller || other.key != key {
			continue
		}
		switch {
		case other.state != pb.JobState_JOB_RECEIVING:
			want = pb.JobError_JOB_EXISTS
		case m.nowUnixMs+500 >= other.updatedUnixMs+uint64(ReceiveTimeout.Milliseconds()):
			delete(m.jobs, otherID)
		default:
			want = pb.JobError_JOB_WRONG_STATE
		}
	}
	result := m.apply(&pb.Command{Op: &pb.Command_JobBegin{JobBegin: &pb.JobBegin{
		JobId: id, Caller: caller, Key: key, Idempotent: idempotent, RetentionMs: modelRetentionMs,
	}}})
	if got := result.GetJob().GetError(); got != want {
		t.Fatalf("begin a job of caller %s with key %s: got %v, want %v", caller, key, got, want)
	}
	if want == pb.JobError_JOB_OK {
		m.jobCount++
		m.jobs[id] = &modelJob{
			caller: caller, key: key, state: pb.JobState_JOB_RECEIVING, idempotent: idempotent,
			results: map[uint32]string{}, claims: map[uint32]uint64{}, updatedUnixMs: m.nowUnixMs,
		}
	}
}

func (m *stateModel) chunk(t *rapid.T) {
	id, job := m.pickJob(t)
	count := rapid.Uint32Range(1, 4).Draw(t, "count")
	sequence := uint32(0)
	from := uint32(0)
	if job != nil {
		sequence, from = job.chunks, job.received
		if job.chunks > 0 && rapid.Bool().Draw(t, "resend") {
			sequence--
		}
	}
	c := &pb.JobChunk{JobId: id, Sequence: sequence}
	for i := range count {
		c.Items = append(c.Items, &pb.Item{Index: from + i, CustomId: fmt.Sprintf("c%d", from+i)})
	}
	got := m.apply(&pb.Command{Op: &pb.Command_JobChunk{JobChunk: c}}).GetJob().GetError()
	switch {
	case job == nil:
		expectCode(t, got, pb.JobError_JOB_NOT_FOUND)
	case job.state == pb.JobState_JOB_RECEIVING:
		expectCode(t, got, pb.JobError_JOB_OK)
		if sequence == job.chunks {
			job.chunks++
			job.received += count
			job.updatedUnixMs = m.nowUnixMs
		}
	case got == pb.JobError_JOB_OK:
		t.Fatalf("a chunk of a job in state %v was accepted", job.state)
	}
}

func expectCode(t *rapid.T, got, want pb.JobError) {
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}

func (m *stateModel) accept(t *rapid.T) {
	id, job := m.pickJob(t)
	items := uint32(0)
	if job != nil {
		items = job.received
	}
	c := &pb.JobAccept{JobId: id, Items: items, Digest: []byte(id)}
	got := m.apply(&pb.Command{Op: &pb.Command_JobAccept{JobAccept: c}}).GetJob().GetError()
	switch {
	case job == nil:
		expectCode(t, got, pb.JobError_JOB_NOT_FOUND)
	case job.state == pb.JobState_JOB_RECEIVING && items == 0:
		expectCode(t, got, pb.JobError_JOB_WRONG_SEQUENCE)
	default:
		expectCode(t, got, pb.JobError_JOB_OK)
		if job.state == pb.JobState_JOB_RECEIVING {
			job.state = pb.JobState_JOB_RUNNING
		}
	}
}

func (m *stateModel) start(t *rapid.T) {
	id, job := m.pickJob(t)
	index := rapid.Uint32Range(0, 5).Draw(t, "index")
	fencingNumber := rapid.Uint64Range(1, 3).Draw(t, "fence")
	c := &pb.ItemsStart{JobId: id, Indexes: []uint32{index}, FencingNumber: fencingNumber}
	got := m.apply(&pb.Command{Op: &pb.Command_ItemsStart{ItemsStart: c}}).GetJob().GetError()
	allowed := job != nil && job.state == pb.JobState_JOB_RUNNING && !job.idempotent && index < job.received
	if allowed {
		_, done := job.results[index]
		holder, claimed := job.claims[index]
		allowed = !done && (!claimed || holder == fencingNumber)
	}
	if allowed != (got == pb.JobError_JOB_OK) {
		t.Fatalf("claim item %d of job %s: got %v, want success: %t", index, id, got, allowed)
	}
	if allowed {
		job.claims[index] = fencingNumber
	}
}

func (m *stateModel) commit(t *rapid.T) {
	id, job := m.pickJob(t)
	c := &pb.ResultsCommit{}
	wantCounts := &pb.ResultsCommitted{}
	for range rapid.IntRange(1, 4).Draw(t, "results") {
		result := &pb.ItemResult{
			JobId:         id,
			Index:         rapid.Uint32Range(0, 5).Draw(t, "index"),
			FencingNumber: rapid.Uint64Range(1, 3).Draw(t, "fence"),
			Body:          []byte(fmt.Sprintf("%d", m.logIndex)),
			Outcome: rapid.SampledFrom([]pb.ItemOutcome{
				pb.ItemOutcome_ITEM_DONE, pb.ItemOutcome_ITEM_FAILED, pb.ItemOutcome_ITEM_NOT_RUN, pb.ItemOutcome_ITEM_RETRY,
			}).Draw(t, "outcome"),
		}
		if result.GetOutcome() == pb.ItemOutcome_ITEM_RETRY {
			result.SoFar = &pb.ItemAttempts{Failures: 1}
		}
		c.Results = append(c.Results, result)
		job.expectResult(result, wantCounts)
	}
	got := m.apply(&pb.Command{Op: &pb.Command_ResultsCommit{ResultsCommit: c}}).GetResults()
	if !proto.Equal(got, wantCounts) {
		t.Fatalf("commit results: got counts %v, want %v", got, wantCounts)
	}
	if job != nil && job.state == pb.JobState_JOB_RUNNING && len(job.results) == int(job.received) {
		job.state = pb.JobState_JOB_COMPLETED
		job.finishedUnixMs = m.nowUnixMs
	}
}

// expectResult applies a result to the model and adds its effect to the counts
// that the State must return.
func (j *modelJob) expectResult(result *pb.ItemResult, wantCounts *pb.ResultsCommitted) {
	if j == nil || j.state != pb.JobState_JOB_RUNNING || result.GetIndex() >= j.received {
		wantCounts.Refused++
		return
	}
	if _, done := j.results[result.GetIndex()]; done {
		wantCounts.Duplicates++
		return
	}
	if !j.idempotent && j.claims[result.GetIndex()] != result.GetFencingNumber() {
		wantCounts.Refused++
		return
	}
	if result.GetOutcome() == pb.ItemOutcome_ITEM_NOT_RUN {
		delete(j.claims, result.GetIndex())
		return
	}
	if result.GetOutcome() == pb.ItemOutcome_ITEM_RETRY {
		if !j.idempotent {
			wantCounts.Refused++
		}
		return
	}
	wantCounts.Committed++
	j.results[result.GetIndex()] = string(result.GetBody())
}

func (m *stateModel) cancel(t *rapid.T) {
	id, job := m.pickJob(t)
	got := m.apply(&pb.Command{Op: &pb.Command_JobCancel{JobCancel: &pb.JobCancel{JobId: id}}}).GetJob().GetError()
	switch {
	case job == nil:
		expectCode(t, got, pb.JobError_JOB_NOT_FOUND)
	case job.state == pb.JobState_JOB_RECEIVING:
		expectCode(t, got, pb.JobError_JOB_OK)
		delete(m.jobs, id)
	case job.state == pb.JobState_JOB_COMPLETED:
		expectCode(t, got, pb.JobError_JOB_WRONG_STATE)
	default:
		expectCode(t, got, pb.JobError_JOB_OK)
		if job.state == pb.JobState_JOB_RUNNING {
			job.finishedUnixMs = m.nowUnixMs
		}
		job.state = pb.JobState_JOB_CANCELLED
	}
}

func (m *stateModel) expire(t *rapid.T) {
	id, job := m.pickJob(t)
	m.nowUnixMs += rapid.Uint64Range(0, modelRetentionMs).Draw(t, "wait")
	m.apply(&pb.Command{Op: &pb.Command_RetentionExpire{RetentionExpire: &pb.RetentionExpire{JobIds: []string{id}}}})
	if job != nil && isFinished(job.state) && m.nowUnixMs >= job.finishedUnixMs+modelRetentionMs {
		delete(m.jobs, id)
	}
}

func (m *stateModel) restore(*rapid.T) {
	m.state = NewState()
	m.state.Restore(m.store)
}

// check compares the jobs and results that queries return with the model.
func (m *stateModel) check(t *rapid.T) {
	for i := range m.jobCount {
		id := fmt.Sprintf("job-%02d", i)
		answer, _ := m.state.Query(m.store, &pb.Query{Query: &pb.Query_Job{Job: &pb.JobQuery{JobId: id}}})
		job, want := answer.GetJob().GetJob(), m.jobs[id]
		if (job == nil) != (want == nil) {
			t.Fatalf("job %s is %v, want %+v", id, job, want)
		}
		if want == nil {
			continue
		}
		if job.GetState() != want.state || int(job.GetDone()+job.GetFailed()) != len(want.results) {
			t.Fatalf("job %s is %v, want %+v", id, job, want)
		}
		q := &pb.ResultsQuery{JobId: id}
		page, _ := m.state.Query(m.store, &pb.Query{Query: &pb.Query_Results{Results: q}})
		results := page.GetResults().GetResults()
		if len(results) != len(want.results) {
			t.Fatalf("job %s has results %v, want %v", id, results, want.results)
		}
		for _, result := range results {
			if want.results[result.GetIndex()] != string(result.GetBody()) {
				t.Fatalf("job %s has result %v, want body %q", id, result, want.results[result.GetIndex()])
			}
		}
	}
}

func TestStateMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateModel{t: t, store: kv.NewMemoryStore(), state: NewState(), nowUnixMs: 1_000_000, jobs: map[string]*modelJob{}}
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "chunk": m.chunk, "accept": m.accept, "start": m.start, "commit": m.commit,
			"cancel": m.cancel, "expire": m.expire, "restore": m.restore, "": m.check,
		})
	})
}

func TestExpiredJobLeavesNoKeys(t *testing.T) {
	g := NewWithT(t)
	s := newSim(5, 2)
	j := newSimJob("job-1", 150)
	j.idempotent = false
	s.submitAccepted(g, j)
	g.Expect(s.advanceUntil(s.options.LeaseTime*20, s.allCompleted("job-1"))).To(BeTrue())
	s.now = s.now.Add(DefaultRetention)
	s.advance(2 * retentionInterval)
	g.Expect(s.job("job-1")).To(BeNil())
	s.store.Scan([]byte{storePrefix}, nil, func(key, _ []byte) bool {
		g.Expect(bytes.HasPrefix(key, []byte{storePrefix})).To(BeFalse(), "key %q is left in the store", key)
		return true
	})
}
