package batch

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// simStep is how far virtual time moves at once.
const simStep = 10 * time.Millisecond

type simEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type simEvents []simEvent

func (h simEvents) Len() int      { return len(h) }
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h simEvents) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

func (h *simEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simLeader is a scheduler that leads, or one that still believes so.
type simLeader struct {
	term      uint64
	scheduler *Scheduler
	state     *State
	alive     bool
	current   bool
	pending   map[uint64]*pb.Command
}

// sim runs scheduler, state and workers over a fake log and network.
type sim struct {
	rand     *rand.Rand
	now      time.Time
	events   simEvents
	sequence int

	store    *kv.MemoryStore
	index    uint64
	term     uint64
	leader   *simLeader
	stale    []*simLeader
	sidecars []*simSidecar

	loss      float64
	duplicate float64
	maxDelay  time.Duration
	// propose makes the next proposals of submissions fail, by chance.
	proposeFaults float64

	ledger   *simLedger
	commands int
	logBytes int
	// history digests all commands in order.
	history *xxhash.Digest
	// leaseBytes counts the messages between workers and leaders.
	leaseBytes int
	options    SchedulerOptions
}

func newSim(seed uint64, engines int) *sim {
	s := &sim{
		rand:     core.NewRand(seed),
		now:      time.Unix(1_800_000_000, 0),
		store:    kv.NewMemoryStore(),
		maxDelay: 5 * time.Millisecond,
		ledger:   newSimLedger(),
		history:  xxhash.New(),
		options:  SchedulerOptions{LeaseTime: 5 * time.Second},
	}
	s.elect(s.now)
	for i := range engines {
		s.sidecars = append(s.sidecars, newSimSidecar(s, fmt.Sprintf("worker-%02d", i)))
	}
	return s
}

func (s *sim) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{s.now.Add(delay), s.sequence, run})
}

func (s *sim) delay() time.Duration {
	return time.Duration(s.rand.Int64N(int64(s.maxDelay) + 1))
}

// chance reports true with a probability.
func (s *sim) chance(p float64) bool {
	return p > 0 && s.rand.Float64() < p
}

// advance moves virtual time and runs everything that is due.
func (s *sim) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		for len(s.events) > 0 && !s.events[0].at.After(s.now) {
			heap.Pop(&s.events).(simEvent).run()
		}
		s.tick()
	}
}

func (s *sim) tick() {
	for _, l := range append([]*simLeader{s.leader}, s.stale...) {
		if l.alive {
			l.scheduler.Tick(s.now)
			s.carry(l)
		}
	}
	for _, c := range s.sidecars {
		c.tick()
	}
}

// until advances until done or the limit.
func (s *sim) until(limit time.Duration, done func() bool) bool {
	for end := s.now.Add(limit); s.now.Before(end); {
		if done() {
			return true
		}
		s.advance(10 * simStep)
	}
	return done()
}

// elect starts a new leader from the committed state.
func (s *sim) elect(now time.Time) {
	s.term++
	state := NewState()
	state.Restore(s.store)
	options := s.options
	options.State = state
	options.Reader = func(read func(kv.Reader)) { read(s.store) }
	options.Seed = s.term
	l := &simLeader{
		term:    s.term,
		state:   state,
		alive:   true,
		current: true,
		pending: make(map[uint64]*pb.Command),
	}
	l.scheduler = NewScheduler(options)
	s.leader = l
	l.scheduler.Step(now, Lead{Term: s.term, On: true})
	s.carry(l)
}

// fail ends the leader. What it had proposed is committed or lost; with stale
// set it believes for a while that it leads.
func (s *sim) fail(stale bool) {
	old := s.leader
	tokens := make([]uint64, 0, len(old.pending))
	for token := range old.pending {
		tokens = append(tokens, token)
	}
	sort.Slice(tokens, func(i, j int) bool { return tokens[i] < tokens[j] })
	for _, token := range tokens {
		if !s.chance(0.5) {
			break
		}
		s.commit(old, old.pending[token])
	}
	old.pending = nil
	old.current = false
	old.alive = stale
	if stale {
		s.stale = append(s.stale, old)
		s.after(time.Duration(s.rand.Int64N(int64(2*time.Second))), func() {
			old.scheduler.Step(s.now, Lead{Term: old.term})
			s.carry(old)
			old.alive = false
		})
	}
	s.elect(s.now)
}

// commit applies a command to the log of the group.
func (s *sim) commit(l *simLeader, c *pb.Command) *pb.CommandResult {
	c = proto.Clone(c).(*pb.Command)
	c.UnixMs = uint64(s.now.UnixMilli())
	s.index++
	s.commands++
	s.logBytes += proto.Size(c)
	if _, err := s.history.Write(encode(c)); err != nil {
		panic(err)
	}
	b := s.store.NewBatch()
	result, ok := l.state.Apply(b, s.index, c)
	if !ok {
		panic(fmt.Sprintf("not a batch command: %v", c))
	}
	if err := s.store.Commit(b, true); err != nil {
		panic(err)
	}
	s.ledger.committed(s.now, c, result)
	if l.alive && l.current {
		l.scheduler.Step(s.now, Applied{c, result})
	}
	return result
}

// carry carries out the outputs of a scheduler.
func (s *sim) carry(l *simLeader) {
	for outputs := l.scheduler.Drain(); len(outputs) > 0; outputs = l.scheduler.Drain() {
		for _, out := range append([]SchedulerOutput(nil), outputs...) {
			switch out := out.(type) {
			case Reply:
				s.deliverReply(l, out)
			case Propose:
				s.startProposal(l, out)
			}
		}
	}
}

func (s *sim) startProposal(l *simLeader, out Propose) {
	if !l.current {
		return
	}
	l.pending[out.Token] = out.Command
	s.after(s.delay(), func() {
		if _, ok := l.pending[out.Token]; !ok || !l.alive {
			return
		}
		delete(l.pending, out.Token)
		done := ProposeDone{Token: out.Token, Result: s.commit(l, out.Command)}
		if s.chance(s.proposeFaults) {
			done = ProposeDone{Token: out.Token, Err: &pb.ControlError{Code: pb.ControlError_UNKNOWN}}
		}
		l.scheduler.Step(s.now, done)
		s.carry(l)
	})
}

// propose commits a command for a submission at once, or fails.
func (s *sim) propose(_ context.Context, c *pb.Command) (*pb.CommandResult, *pb.ControlError) {
	if s.chance(s.proposeFaults) {
		return nil, &pb.ControlError{Code: pb.ControlError_NOT_LEADER}
	}
	result := s.commit(s.leader, c)
	s.carry(s.leader)
	if s.chance(s.proposeFaults) {
		if s.chance(0.5) {
			s.fail(false)
		}
		return nil, &pb.ControlError{Code: pb.ControlError_UNKNOWN}
	}
	return result, nil
}

// simJob describes a submission.
type simJob struct {
	id         string
	caller     string
	key        string
	items      int
	idempotent bool
	due        time.Duration
	poison     map[int]bool
	// padding lengthens each body by a number of bytes.
	padding int
}

const simEndpoint = "/v1/completions"

func (j simJob) body(index int) string {
	if j.poison[index] {
		return fmt.Sprintf(`{"prompt":"%s %d","max_tokens":-1}`, j.caller+j.key, index)
	}
	return fmt.Sprintf(`{"prompt":"%s %d%s","max_tokens":9}`, j.caller+j.key, index, strings.Repeat(".", j.padding))
}

func (j simJob) text() string {
	var b strings.Builder
	for i := range j.items {
		fmt.Fprintf(&b, `{"custom_id":"item-%d","method":"POST","url":"%s","body":%s}`+"\n", i, simEndpoint, j.body(i))
	}
	return b.String()
}

// submit sends a job once.
func (s *sim) submit(j simJob) (*pb.Job, error) {
	due := uint64(0)
	if j.due > 0 {
		due = uint64(s.now.Add(j.due).UnixMilli())
	}
	intake := NewIntake(IntakeOptions{
		JobID:      j.id,
		Caller:     j.caller,
		Key:        j.key,
		Service:    "dam-watch",
		Endpoint:   simEndpoint,
		Idempotent: j.idempotent,
		DueUnixMs:  due,
		ChunkItems: 50,
		Proposals:  3,
		Wait:       func(context.Context, int) error { return nil },
	})
	return intake.Read(context.Background(), strings.NewReader(j.text()), s.propose)
}

// job reads a job from the committed state.
func (s *sim) job(id string) *pb.Job {
	q := &pb.Query{Query: &pb.Query_Job{Job: &pb.JobQuery{JobId: id}}}
	answer, _ := s.leader.state.Query(s.store, q)
	return answer.GetJob().GetJob()
}

// results reads all results of a job in pages.
func (s *sim) results(id string) []*pb.ItemResult {
	var all []*pb.ItemResult
	for from := uint32(0); ; {
		q := &pb.ResultsQuery{JobId: id, From: from, Limit: 37}
		answer, _ := s.leader.state.Query(s.store, &pb.Query{Query: &pb.Query_Results{Results: q}})
		page := answer.GetResults()
		all = append(all, page.GetResults()...)
		from = page.GetNext()
		if page.GetEnd() || len(page.GetResults()) == 0 {
			return all
		}
	}
}

func (s *sim) cancel(id string) *pb.JobResult {
	c := &pb.Command{Op: &pb.Command_JobCancel{JobCancel: &pb.JobCancel{JobId: id}}}
	result := s.commit(s.leader, c)
	s.carry(s.leader)
	return result.GetJob()
}

// bodyOf returns what an engine answers to an item.
func bodyOf(item *pb.LeasedItem) []byte {
	answer, err := json.Marshal(struct{ Echo string }{string(item.GetBody())})
	if err != nil {
		panic(err)
	}
	return answer
}
