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
	quorumTick     = 50 * time.Millisecond
	quorumRounds   = 2000
	commandBytes   = 512
	electionTicks  = 400
	quorumReplicas = 3
)

// quorumRun is a group on a network and disks without delay.
type quorumRun struct {
	now   time.Time
	cores []*quorum.Core
	ids   []string
	// leading is the place of the leader, or -1.
	leading  int
	leader   meter
	follower meter
	bytes    int
	messages int
	applied  int
}

func newQuorumRun(seed uint64) *quorumRun {
	r := &quorumRun{now: epoch, leading: -1}
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
	for range electionTicks {
		r.tick()
		if r.leading >= 0 {
			return r
		}
	}
	panic("capacity: the group elected no leader")
}

func (r *quorumRun) meter(i int) *meter {
	if i == r.leading {
		return &r.leader
	}
	return &r.follower
}

func (r *quorumRun) tick() {
	r.now = r.now.Add(quorumTick)
	for i, c := range r.cores {
		r.meter(i).run(func() { c.Tick(r.now) })
	}
	r.settle()
}

// settle carries out outputs until there are none.
func (r *quorumRun) settle() {
	for busy := true; busy; {
		busy = false
		for i := range r.cores {
			var sent [][]byte
			r.meter(i).run(func() { sent = r.drain(i) })
			for _, data := range sent {
				busy = true
				r.deliver(data)
			}
		}
	}
}

// drain carries out the outputs of one replica and returns its messages.
func (r *quorumRun) drain(i int) [][]byte {
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
				r.leading = i
			}
		}
	}
}

func (r *quorumRun) apply(i int, out quorum.Apply) {
	if i == r.leading {
		for _, entry := range out.Entries {
			if entry.GetKind() == pb.EntryKind_ENTRY_COMMAND {
				r.applied++
			}
		}
	}
	last := out.Entries[len(out.Entries)-1]
	r.cores[i].Step(r.now, quorum.Applied{Index: last.GetIndex()})
}

func (r *quorumRun) deliver(data []byte) {
	r.bytes += len(data) + streamOverhead
	r.messages++
	var message pb.QuorumMessage
	if err := proto.Unmarshal(data, &message); err != nil {
		panic(err)
	}
	for i, id := range r.ids {
		if id == message.GetTo() {
			r.meter(i).run(func() { r.cores[i].Step(r.now, quorum.MessageReceived{Message: &message}) })
		}
	}
}

// propose appends commands and waits until all are applied on the leader.
func (r *quorumRun) propose(round, commands int) {
	data := make([]byte, commandBytes)
	proposals := make([]quorum.Proposal, commands)
	for i := range proposals {
		proposals[i] = quorum.Proposal{ID: uint64(round*commands + i + 1), Data: data}
	}
	r.leader.run(func() { r.cores[r.leading].Step(r.now, quorum.Propose{Proposals: proposals}) })
	r.settle()
}

// quorumSlopes measures appends by the number of commands that share one, and
// an idle group.
func quorumSlopes(seed uint64) []CostSeries {
	cpu := newSlope(QuorumLeaderCPU, "µs an append", "commands")
	bytes := newSlope(QuorumBytes, "B an append", "commands")
	for _, commands := range []int{1, 4, 16, 64} {
		r := newQuorumRun(seed)
		r.leader, r.bytes, r.applied = meter{}, 0, 0
		runtime.GC()
		for round := range quorumRounds {
			r.propose(round, commands)
		}
		if r.applied != quorumRounds*commands {
			panic(fmt.Sprintf("capacity: %d of %d commands applied", r.applied, quorumRounds*commands))
		}
		cpu.add(float64(commands), r.leader.micros()/quorumRounds)
		bytes.add(float64(commands), float64(r.bytes)/quorumRounds)
	}
	idle := newSlope(QuorumIdleBytes, "B", "seconds")
	r := newQuorumRun(seed)
	r.bytes = 0
	for second := 1; second <= 60; second++ {
		for range int(time.Second / quorumTick) {
			r.tick()
		}
		if second%20 == 0 {
			idle.add(float64(second), float64(r.bytes))
		}
	}
	return fit(cpu, bytes, idle)
}
