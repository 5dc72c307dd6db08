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

// simStep is the step of the virtual clock.
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

// simLeader is the scheduler of the leader, or of a replaced leader that still
// acts as one. current is set only for the former.
type simLeader struct {
	term             uint64
	scheduler        *Scheduler
	state            *State
	alive            bool
	current          bool
	pendingProposals map[uint64]*pb.Command
}

// sim runs a scheduler, its state and workers over a simulated log and network in
// virtual time.
type sim struct {
	rand     *rand.Rand
	now      time.Time
	events   simEvents
	sequence int

	store        *kv.MemoryStore
	index        uint64
	term         uint64
	leader       *simLeader
	staleLeaders []*simLeader
	sidecars     []*simSidecar

	messageLoss        float64
	messageDuplication float64
	maxDelay           time.Duration
	// proposalFaultRate is the probability that a proposal reports a failure. The
	// command may be committed nevertheless.
	proposalFaultRate float64

	ledger *simLedger
	// onCommand, if set, is called with each command that is committed.
	onCommand func(*pb.Command)
	commands  int
	logBytes  int
	// commandHash is the hash of all committed commands in order.
	commandHash *xxhash.Digest
	// leaseBytes is the size of all messages between workers and leaders.
	leaseBytes int
	options    SchedulerOptions
}

func newSim(seed uint64, engines int) *sim {
	s := &sim{
		rand:        core.NewRand(seed),
		now:         time.Unix(1_800_000_000, 0),
		store:       kv.NewMemoryStore(),
		maxDelay:    5 * time.Millisecond,
		ledger:      newSimLedger(),
		commandHash: xxhash.New(),
		options:     SchedulerOptions{LeaseTime: 5 * time.Second},
	}
	s.electLeader(s.now)
	for i := range engines {
		s.sidecars = append(s.sidecars, newSimSidecar(s, fmt.Sprintf("worker-%02d", i)))
	}
	return s
}

func (s *sim) schedule(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{s.now.Add(delay), s.sequence, run})
}

func (s *sim) randomDelay() time.Duration {
	return time.Duration(s.rand.Int64N(int64(s.maxDelay) + 1))
}

// chance reports true with probability p.
func (s *sim) chance(p float64) bool {
	return p > 0 && s.rand.Float64() < p
}

// advance moves the virtual clock by d and runs all events that become due.
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
	for _, l := range append([]*simLeader{s.leader}, s.staleLeaders...) {
		if l.alive {
			l.scheduler.Tick(s.now)
			s.deliverOutputs(l)
		}
	}
	for _, c := range s.sidecars {
		c.tick()
	}
}

// advanceUntil advances the clock until done reports true or the limit has passed,
// and returns the last report.
func (s *sim) advanceUntil(limit time.Duration, done func() bool) bool {
	for end := s.now.Add(limit); s.now.Before(end); {
		if done() {
			return true
		}
		s.advance(10 * simStep)
	}
	return done()
}

// electLeader starts a new leader from the committed state.
func (s *sim) electLeader(now time.Time) {
	s.term++
	state := NewState()
	state.Restore(s.store)
	options := s.options
	options.State = state
	options.ReadStore = func(read func(kv.Reader)) { read(s.store) }
	options.Seed = s.term
	l := &simLeader{
		term:             s.term,
		state:            state,
		alive:            true,
		current:          true,
		pendingProposals: make(map[uint64]*pb.Command),
	}
	l.scheduler = NewScheduler(options)
	s.leader = l
	l.scheduler.Step(now, LeadershipChange{Term: s.term, Leading: true})
	s.deliverOutputs(l)
}

// failLeader replaces the leader. Its pending proposals are committed up to a
// random one, the others are lost. With stale set, the old leader continues to
// act as one for up to 2 s.
func (s *sim) failLeader(stale bool) {
	old := s.leader
	tokens := make([]uint64, 0, len(old.pendingProposals))
	for token := range old.pendingProposals {
		tokens = append(tokens, token)
	}
	sort.Slice(tokens, func(i, j int) bool { return tokens[i] < tokens[j] })
	for _, token := range tokens {
		if !s.chance(0.5) {
			break
		}
		s.commit(old, old.pendingProposals[token])
	}
	old.pendingProposals = nil
	old.current = false
	old.alive = stale
	if stale {
		s.staleLeaders = append(s.staleLeaders, old)
		s.schedule(time.Duration(s.rand.Int64N(int64(2*time.Second))), func() {
			old.scheduler.Step(s.now, LeadershipChange{Term: old.term})
			s.deliverOutputs(old)
			old.alive = false
		})
	}
	s.electLeader(s.now)
}

// commit commits a command and applies it through the state of a leader.
func (s *sim) commit(l *simLeader, c *pb.Command) *pb.CommandResult {
	c = proto.Clone(c).(*pb.Command)
	c.UnixMs = uint64(s.now.UnixMilli())
	s.index++
	s.commands++
	s.logBytes += proto.Size(c)
	if _, err := s.commandHash.Write(encode(c)); err != nil {
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
	s.ledger.recordCommand(s.now, c, result)
	if s.onCommand != nil {
		s.onCommand(c)
	}
	if l.alive && l.current {
		l.scheduler.Step(s.now, CommandApplied{c, result})
	}
	return result
}

// deliverOutputs executes the outputs of a scheduler.
func (s *sim) deliverOutputs(l *simLeader) {
	for outputs := l.scheduler.Drain(); len(outputs) > 0; outputs = l.scheduler.Drain() {
		for _, out := range append([]SchedulerOutput(nil), outputs...) {
			switch out := out.(type) {
			case SendResponse:
				s.deliverResponse(l, out)
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
	l.pendingProposals[out.Token] = out.Command
	s.schedule(s.randomDelay(), func() {
		if _, ok := l.pendingProposals[out.Token]; !ok || !l.alive {
			return
		}
		delete(l.pendingProposals, out.Token)
		done := ProposalResult{Token: out.Token, Result: s.commit(l, out.Command)}
		if s.chance(s.proposalFaultRate) {
			done = ProposalResult{Token: out.Token, Err: &pb.ControlError{Code: pb.ControlError_UNKNOWN}}
		}
		l.scheduler.Step(s.now, done)
		s.deliverOutputs(l)
	})
}

// propose is the ProposeFunc of submissions. It commits a command at once; by
// chance it reports a failure before or after the commit.
func (s *sim) propose(_ context.Context, c *pb.Command) (*pb.CommandResult, *pb.ControlError) {
	if s.chance(s.proposalFaultRate) {
		return nil, &pb.ControlError{Code: pb.ControlError_NOT_LEADER}
	}
	result := s.commit(s.leader, c)
	s.deliverOutputs(s.leader)
	if s.chance(s.proposalFaultRate) {
		if s.chance(0.5) {
			s.failLeader(false)
		}
		return nil, &pb.ControlError{Code: pb.ControlError_UNKNOWN}
	}
	return result, nil
}

// simJob describes a submitted job.
type simJob struct {
	id         string
	caller     string
	key        string
	items      int
	idempotent bool
	due        time.Duration
	// poison holds the indexes of items that every engine rejects.
	poison map[int]bool
	// failing makes each run of an item fail in a way that may be retried.
	failing bool
	// padding is the number of bytes added to each body.
	padding int
}

const simEndpoint = "/v1/completions"

func (j simJob) itemBody(index int) string {
	if j.failing {
		return fmt.Sprintf(`{"prompt":"%s %d","max_tokens":-2}`, j.caller+j.key, index)
	}
	if j.poison[index] {
		return fmt.Sprintf(`{"prompt":"%s %d","max_tokens":-1}`, j.caller+j.key, index)
	}
	return fmt.Sprintf(`{"prompt":"%s %d%s","max_tokens":9}`, j.caller+j.key, index, strings.Repeat(".", j.padding))
}

func (j simJob) jsonLines() string {
	var b strings.Builder
	for i := range j.items {
		fmt.Fprintf(&b, `{"custom_id":"item-%d","method":"POST","url":"%s","body":%s}`+"\n", i, simEndpoint, j.itemBody(i))
	}
	return b.String()
}

// submit submits a job once, without a retry of the submission.
func (s *sim) submit(j simJob) (*pb.Job, error) {
	due := uint64(0)
	if j.due > 0 {
		due = uint64(s.now.Add(j.due).UnixMilli())
	}
	intake := NewIntake(IntakeOptions{
		JobID:           j.id,
		Caller:          j.caller,
		IdempotencyKey:  j.key,
		Service:         "dam-watch",
		Endpoint:        simEndpoint,
		Idempotent:      j.idempotent,
		DueUnixMs:       due,
		ChunkItems:      50,
		MaxProposals:    3,
		WaitBeforeRetry: func(context.Context, int) error { return nil },
	})
	return intake.Submit(context.Background(), strings.NewReader(j.jsonLines()), s.propose)
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

func (s *sim) cancelJob(id string) *pb.JobResult {
	c := &pb.Command{Op: &pb.Command_JobCancel{JobCancel: &pb.JobCancel{JobId: id}}}
	result := s.commit(s.leader, c)
	s.deliverOutputs(s.leader)
	return result.GetJob()
}

// responseBody returns the body of an engine's response to an item.
func responseBody(item *pb.LeasedItem) []byte {
	response, err := json.Marshal(struct{ Echo string }{string(item.GetBody())})
	if err != nil {
		panic(err)
	}
	return response
}
