package quorum_test

import (
	"fmt"
	"time"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
)

// node is minimal host code for a core. It treats writes as durable at once, and
// its state is the list of applied commands.
type node struct {
	core    *quorum.Core
	applied []string
}

// handleOutputs carries out the outputs of the core and returns the messages to
// deliver.
func (n *node) handleOutputs(now time.Time) []*pb.QuorumMessage {
	var messages []*pb.QuorumMessage
	for outputs := n.core.Drain(); len(outputs) > 0; outputs = n.core.Drain() {
		var inputs []quorum.Input
		for _, out := range outputs {
			switch out := out.(type) {
			case quorum.Send:
				messages = append(messages, out.Message)
			case quorum.Save:
				inputs = append(inputs, quorum.Saved{Ticket: out.Ticket})
			case quorum.Apply:
				inputs = append(inputs, n.apply(out.Entries))
			}
		}
		for _, in := range inputs {
			n.core.Step(now, in)
		}
	}
	return messages
}

func (n *node) apply(entries []*pb.LogEntry) quorum.Input {
	for _, e := range entries {
		if e.Kind == pb.EntryKind_ENTRY_COMMAND {
			n.applied = append(n.applied, string(e.Data))
		}
	}
	return quorum.Applied{Index: entries[len(entries)-1].Index}
}

// Runs three cores in one goroutine. They elect a leader and commit a command.
func Example() {
	members := []*pb.Replica{{Id: "a"}, {Id: "b"}, {Id: "c"}}
	nodes := map[string]*node{}
	for i, m := range members {
		nodes[m.Id] = &node{core: quorum.New(quorum.Options{
			ID: m.Id, Identity: uint64(100 + i), Bootstrap: members, Seed: uint64(i),
		})}
	}
	now := time.UnixMilli(0)
	proposed := false
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		var queue []*pb.QuorumMessage
		for _, m := range members {
			n := nodes[m.Id]
			n.core.Tick(now)
			if n.core.Status().Leading && !proposed {
				proposed = true
				n.core.Step(now, quorum.Propose{Proposals: []quorum.Proposal{{ID: 1, Data: []byte("hello")}}})
			}
			queue = append(queue, n.handleOutputs(now)...)
		}
		for len(queue) > 0 {
			n := nodes[queue[0].To]
			n.core.Step(now, quorum.MessageReceived{Message: queue[0]})
			queue = append(queue[1:], n.handleOutputs(now)...)
		}
	}
	for _, m := range members {
		fmt.Println(m.Id, nodes[m.Id].applied)
	}
	// Output:
	// a [hello]
	// b [hello]
	// c [hello]
}
