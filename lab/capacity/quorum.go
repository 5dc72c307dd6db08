package capacity

import (
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
)

const (
	quorumTickInterval = 50 * time.Millisecond
	quorumAppends      = 2000
	commandBytes       = 512
	maxElectionTicks   = 400
	quorumReplicas     = 3
)

// quorumRun is a group of replicas whose network and disks have no delay.
type quorumRun struct {
	now   time.Time
	cores []*quorum.Core
	ids   []string
	// leaderIndex is the index of the leader in cores, or -1 before the first
	// election.
	leaderIndex     int
	leaderCPU       cpuMeter
	followerCPU     cpuMeter
	messageBytes    int
	messageCount    int
	appliedCommands int
}

func newQuorumRun(seed uint64) *quorumRun {
	r := &quorumRun{now: startTime, leaderIndex: -1}
	var members []*pb.Replica
	for i := range quorumReplicas {
		id := fmt.Sprint("control-", i+1)
		r.ids = append(r.ids, id)
		members = append(members, &pb.Replica{Id: id, Address: fmt.Sprint("10.0.0.", i+1), DataCentre: fmt.Sprint("dc", i)})
	}
	for i, id := range r.ids {
		options := quorum.Options{ID: id, Identity: uint64(i + 1), Group: 1, Bootstrap: members, Seed: seed + uint64(i)}
		r.cores = append(r.cores, quorum.New(options))
	}
	for range maxElectionTicks {
		r.tick()
		if r.leaderIndex >= 0 {
			return r
		}
	}
	panic("capacity: the group elected no leader")
}

func (r *quorumRun) meterOf(i int) *cpuMeter {
	if i == r.leaderIndex {
		return &r.leaderCPU
	}
	return &r.followerCPU
}

func (r *quorumRun) tick() {
	r.now = r.now.Add(quorumTickInterval)
	for i, c := range r.cores {
		r.meterOf(i).measure(func() { c.Tick(r.now) })
	}
	r.executeOutputs()
}

// executeOutputs executes the outputs of all replicas and delivers their messages
// until none are left.
func (r *quorumRun) executeOutputs() {
	for pending := true; pending; {
		pending = false
		for i := range r.cores {
			var sent [][]byte
			r.meterOf(i).measure(func() { sent = r.drainReplica(i) })
			for _, data := range sent {
				pending = true
				r.deliver(data)
			}
		}
	}
}

// drainReplica executes the outputs of one replica and returns the encoded
// messages that it sends.
func (r *quorumRun) drainReplica(i int) [][]byte {
	c := r.cores[i]
	var sent [][]byte
	for {
		outputs := append([]quorum.Output(nil), c.Drain()...)
		if len(outputs) == 0 {
			return sent
		}
		for _, out := range outputs {
			switch out := out.(type) {
			case quorum.Send:
				sent = append(sent, mustMarshal(out.Message))
			case quorum.Save:
				c.Step(r.now, quorum.Saved{Ticket: out.Ticket})
			case quorum.Apply:
				r.apply(i, out)
			case quorum.LeaderReady:
				r.leaderIndex = i
			}
		}
	}
}

func (r *quorumRun) apply(i int, out quorum.Apply) {
	if i == r.leaderIndex {
		for _, entry := range out.Entries {
			if entry.GetKind() == pb.EntryKind_ENTRY_COMMAND {
				r.appliedCommands++
			}
		}
	}
	last := out.Entries[len(out.Entries)-1]
	r.cores[i].Step(r.now, quorum.Applied{Index: last.GetIndex()})
}

func (r *quorumRun) deliver(data []byte) {
	r.messageBytes += len(data) + streamOverhead
	r.messageCount++
	var message pb.QuorumMessage
	if err := proto.Unmarshal(data, &message); err != nil {
		panic(err)
	}
	for i, id := range r.ids {
		if id == message.GetTo() {
			r.meterOf(i).measure(func() { r.cores[i].Step(r.now, quorum.MessageReceived{Message: &message}) })
		}
	}
}

// propose proposes commands on the leader, which appends them to its log together,
// and executes outputs until the leader has applied them.
func (r *quorumRun) propose(round, commands int) {
	data := make([]byte, commandBytes)
	proposals := make([]quorum.Proposal, commands)
	for i := range proposals {
		proposals[i] = quorum.Proposal{ID: uint64(round*commands + i + 1), Data: data}
	}
	r.leaderCPU.measure(func() { r.cores[r.leaderIndex].Step(r.now, quorum.Propose{Proposals: proposals}) })
	r.executeOutputs()
}

// quorumCosts measures an append by the number of commands in it, and the bytes of
// an idle group by time.
func quorumCosts(seed uint64) []CostSeries {
	leaderCPU := newCostSeries(QuorumLeaderCPU, "µs an append", "commands")
	appendBytes := newCostSeries(QuorumBytes, "B an append", "commands")
	for _, commands := range []int{1, 4, 16, 64} {
		run := newQuorumRun(seed)
		run.leaderCPU, run.messageBytes, run.appliedCommands = cpuMeter{}, 0, 0
		runtime.GC()
		for round := range quorumAppends {
			run.propose(round, commands)
		}
		if run.appliedCommands != quorumAppends*commands {
			panic(fmt.Sprintf("capacity: the leader applied %d of %d commands", run.appliedCommands, quorumAppends*commands))
		}
		leaderCPU.add(float64(commands), run.leaderCPU.microseconds()/quorumAppends)
		appendBytes.add(float64(commands), float64(run.messageBytes)/quorumAppends)
	}
	idleBytes := newCostSeries(QuorumIdleBytes, "B", "seconds")
	idleRun := newQuorumRun(seed)
	idleRun.messageBytes = 0
	for second := 1; second <= 60; second++ {
		for range int(time.Second / quorumTickInterval) {
			idleRun.tick()
		}
		if second%20 == 0 {
			idleBytes.add(float64(second), float64(idleRun.messageBytes))
		}
	}
	return fitAll(leaderCPU, appendBytes, idleBytes)
}
