package replica

import (
	"fmt"
	"math"
	"strings"

	"github.com/anishathalye/porcupine"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
	"google.golang.org/protobuf/proto"
)

// simClient has at most one operation under way.
type simClient struct {
	w      *world
	id     int
	count  int
	node   *simNode
	input  registerInput
	called int64
	writes chan proposalOutcome
	reads  chan *pb.ControlError
	// leader is where the last write succeeded.
	leader  *simNode
	stopped bool
}

func newSimClient(w *world, id int) *simClient {
	c := &simClient{w: w, id: id}
	c.pause()
	return c
}

func (c *simClient) pause() {
	if !c.stopped {
		c.w.after(1+c.w.rand.IntN(25), c.begin)
	}
}

// begin starts a write or a read on some node.
func (c *simClient) begin() {
	c.node = c.leader
	if c.node == nil || c.w.percent(20) {
		c.node = c.w.nodes[c.w.rand.IntN(len(c.w.nodes))]
	}
	if !c.node.up {
		c.leader = nil
		c.pause()
		return
	}
	key := fmt.Sprint("key", c.w.rand.IntN(3))
	if c.w.percent(40) {
		c.read(c.node, key)
		return
	}
	c.write(c.node, key)
}

func (c *simClient) call(n *simNode, input registerInput) {
	c.node = n
	c.count++
	c.input = input
	c.called = c.w.check.stamp()
	count := c.count
	c.w.after(300+c.w.rand.IntN(900), func() {
		if c.count == count && c.busy() {
			c.finish(nil, &pb.ControlError{Code: pb.ControlError_UNKNOWN})
		}
	})
}

func (c *simClient) busy() bool {
	return c.writes != nil || c.reads != nil
}

func (c *simClient) write(n *simNode, key string) {
	c.call(n, registerInput{key: key, write: true, value: fmt.Sprintf("%d.%d", c.id, c.count+1)})
	data, err := proto.Marshal(claimCommand(key, c.input.value))
	n.must(err)
	id, answer, _ := n.waiters.addProposal()
	c.writes = answer
	n.later(0, func() {
		n.step(quorum.Propose{Proposals: []quorum.Proposal{{ID: id, Data: data}}})
	})
}

func (c *simClient) read(n *simNode, key string) {
	c.call(n, registerInput{key: key})
	id, answer, _ := n.waiters.addRead()
	c.reads = answer
	n.later(0, func() { n.step(quorum.ReadIndex{ID: id}) })
}

// answerClients collects the answers that a node has given.
func (w *world) answerClients(n *simNode) {
	for _, c := range w.clients {
		if c.node != n {
			continue
		}
		select {
		case a := <-c.writes:
			c.finish(&registerOutput{value: a.result.GetClaim().GetRequestId()}, a.err)
		case err := <-c.reads:
			c.finish(&registerOutput{value: n.get(c.input.key)}, err)
		default:
		}
	}
}

// finish records the operation unless it certainly had no effect.
func (c *simClient) finish(output *registerOutput, err *pb.ControlError) {
	op := porcupine.Operation{ClientId: c.id, Input: c.input, Call: c.called, Return: c.w.check.stamp()}
	c.writes, c.reads = nil, nil
	switch {
	case err == nil:
		op.Output = *output
		c.w.check.history = append(c.w.check.history, op)
		if c.input.write {
			c.leader = c.node
			c.w.check.acknowledged++
			c.w.crashAfterAck(c.node)
		}
	case c.input.write && err.Code == pb.ControlError_UNKNOWN:
		op.Output = registerOutput{unknown: true}
		op.Return = math.MaxInt64
		c.w.check.history = append(c.w.check.history, op)
		c.leader = nil
	default:
		c.leader = nil
	}
	c.pause()
}

// settle ends the load, heals everything, and checks that every member
// serves again and holds the same state.
func (w *world) settle() {
	w.heal()
	for _, c := range w.clients {
		c.stopped = true
	}
	w.runFor(2000)
	probe := &simClient{w: w, id: len(w.clients), stopped: true}
	w.clients = append(w.clients, probe)
	if !w.runUntil(60_000, func() bool { return w.repaired() && probe.tryWrite() }) {
		w.check.fail("no write succeeds after everything healed:%s", w.describe())
		return
	}
	w.runFor(1000)
	leader := w.leader()
	if leader == nil {
		w.check.fail("no leader after everything healed")
		return
	}
	for _, member := range leader.core.Status().Membership.Replicas {
		w.finalRead(probe, w.node(member.Id), leader)
	}
	w.check.linearizable()
}

// describe lists what each replica knows.
func (w *world) describe() string {
	var out strings.Builder
	for _, n := range w.nodes {
		s := n.core.Status()
		fmt.Fprintf(&out, "\n%s %x: term %d leader %q log [%d, %d] commit %d members %v",
			n.id, n.identity, s.Term, s.LeaderID, s.FirstIndex, s.LastIndex, s.CommitIndex, s.Membership)
	}
	return out.String()
}

// repaired reports whether every voter is a running replica.
func (w *world) repaired() bool {
	leader := w.leader()
	if leader == nil {
		return false
	}
	members := leader.core.Status().Membership
	for _, r := range members.GetReplicas() {
		if r.Learner || w.node(r.Id).identity != r.Identity {
			return false
		}
	}
	return len(members.GetReplicas()) == 3
}

func (c *simClient) tryWrite() bool {
	leader := c.w.leader()
	if leader == nil {
		return false
	}
	before := c.w.check.acknowledged
	c.write(leader, "key0")
	return c.w.runUntil(2000, func() bool { return !c.busy() }) && c.w.check.acknowledged > before
}

func (w *world) finalRead(probe *simClient, n, leader *simNode) {
	if n.core.Status().AppliedIndex != leader.core.Status().AppliedIndex {
		w.check.fail("replica %s does not catch up", n.id)
	}
	for i := range 3 {
		key := fmt.Sprint("key", i)
		probe.read(n, key)
		if !w.runUntil(5000, func() bool { return !probe.busy() }) {
			w.check.fail("replica %s does not answer a read", n.id)
		}
		if n.get(key) != leader.get(key) {
			w.check.fail("replicas %s and %s differ at %s", n.id, leader.id, key)
		}
	}
}
