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

// simClient is a simulated client with at most one operation in flight.
type simClient struct {
	cluster      *cluster
	id           int
	operations   int
	node         *simNode
	input        registerInput
	calledAt     int64
	pendingWrite chan proposalOutcome
	pendingRead  chan *pb.ControlError
	// lastLeader is the node that acknowledged the last write, or nil if an
	// operation failed since then.
	lastLeader *simNode
	stopped    bool
}

func newSimClient(cl *cluster, id int) *simClient {
	c := &simClient{cluster: cl, id: id}
	c.scheduleNext()
	return c
}

func (c *simClient) scheduleNext() {
	if !c.stopped {
		c.cluster.schedule(1+c.cluster.rand.IntN(25), c.startRandomOperation)
	}
}

// startRandomOperation starts a read or write, mostly on the last leader and
// otherwise on a random node.
func (c *simClient) startRandomOperation() {
	c.node = c.lastLeader
	if c.node == nil || c.cluster.withProbability(20) {
		c.node = c.cluster.nodes[c.cluster.rand.IntN(len(c.cluster.nodes))]
	}
	if !c.node.up {
		c.lastLeader = nil
		c.scheduleNext()
		return
	}
	key := fmt.Sprint("key", c.cluster.rand.IntN(3))
	if c.cluster.withProbability(40) {
		c.startRead(c.node, key)
		return
	}
	c.startWrite(c.node, key)
}

func (c *simClient) startOperation(n *simNode, input registerInput) {
	c.node = n
	c.operations++
	c.input = input
	c.calledAt = c.cluster.checker.nextTimestamp()
	operation := c.operations
	c.cluster.schedule(300+c.cluster.rand.IntN(900), func() {
		if c.operations == operation && c.isBusy() {
			c.finish(nil, &pb.ControlError{Code: pb.ControlError_UNKNOWN})
		}
	})
}

func (c *simClient) isBusy() bool {
	return c.pendingWrite != nil || c.pendingRead != nil
}

func (c *simClient) startWrite(n *simNode, key string) {
	c.startOperation(n, registerInput{key: key, write: true, value: fmt.Sprintf("%d.%d", c.id, c.operations+1)})
	data, err := proto.Marshal(claimCommand(key, c.input.value))
	n.failOnError(err)
	id, outcome, _ := n.waiters.addProposal()
	c.pendingWrite = outcome
	n.schedule(0, func() {
		n.step(quorum.Propose{Proposals: []quorum.Proposal{{ID: id, Data: data}}})
	})
}

func (c *simClient) startRead(n *simNode, key string) {
	c.startOperation(n, registerInput{key: key})
	id, outcome, _ := n.waiters.addRead()
	c.pendingRead = outcome
	n.schedule(0, func() { n.step(quorum.ReadIndex{ID: id}) })
}

// collectResponses finishes the operations whose outcome a node has reported.
func (cl *cluster) collectResponses(n *simNode) {
	for _, c := range cl.clients {
		if c.node != n {
			continue
		}
		select {
		case a := <-c.pendingWrite:
			c.finish(&registerOutput{value: a.result.GetClaim().GetRequestId()}, a.err)
		case err := <-c.pendingRead:
			c.finish(&registerOutput{value: n.readKey(c.input.key)}, err)
		default:
		}
	}
}

// finish ends the operation and records it in the history, unless it certainly
// had no effect.
func (c *simClient) finish(output *registerOutput, err *pb.ControlError) {
	op := porcupine.Operation{ClientId: c.id, Input: c.input, Call: c.calledAt, Return: c.cluster.checker.nextTimestamp()}
	c.pendingWrite, c.pendingRead = nil, nil
	switch {
	case err == nil:
		op.Output = *output
		c.cluster.checker.history = append(c.cluster.checker.history, op)
		if c.input.write {
			c.lastLeader = c.node
			c.cluster.checker.acknowledged++
			c.cluster.crashAfterAck(c.node)
		}
	case c.input.write && err.Code == pb.ControlError_UNKNOWN:
		op.Output = registerOutput{outcomeUnknown: true}
		op.Return = math.MaxInt64
		c.cluster.checker.history = append(c.cluster.checker.history, op)
		c.lastLeader = nil
	default:
		c.lastLeader = nil
	}
	c.scheduleNext()
}

// healAndCheck stops the clients and heals all faults. It then checks that every
// member serves reads and has the same state, and that the history is
// linearizable.
func (cl *cluster) healAndCheck() {
	cl.heal()
	for _, c := range cl.clients {
		c.stopped = true
	}
	cl.runFor(2000)
	probe := &simClient{cluster: cl, id: len(cl.clients), stopped: true}
	cl.clients = append(cl.clients, probe)
	if !cl.runUntil(60_000, func() bool { return cl.isRepaired() && probe.writeToLeader() }) {
		cl.checker.fail("the group was not repaired or no write succeeded within 60 s after healing all faults:%s", cl.describe())
		return
	}
	cl.runFor(1000)
	leader := cl.leader()
	if leader == nil {
		cl.checker.fail("no leader after healing all faults")
		return
	}
	for _, member := range leader.core.Status().Membership.Replicas {
		cl.checkReplicaState(probe, cl.node(member.Id), leader)
	}
	cl.checker.checkLinearizable()
}

// describe formats the status of each node.
func (cl *cluster) describe() string {
	var out strings.Builder
	for _, n := range cl.nodes {
		s := n.core.Status()
		fmt.Fprintf(&out, "\n%s %x: term %d leader %q log [%d, %d] commit %d members %v",
			n.id, n.identity, s.Term, s.LeaderID, s.FirstIndex, s.LastIndex, s.CommitIndex, s.Membership)
	}
	return out.String()
}

// isRepaired reports whether the group has three voters, all with the current
// identity of their node.
func (cl *cluster) isRepaired() bool {
	leader := cl.leader()
	if leader == nil {
		return false
	}
	members := leader.core.Status().Membership
	for _, r := range members.GetReplicas() {
		if r.Learner || cl.node(r.Id).identity != r.Identity {
			return false
		}
	}
	return len(members.GetReplicas()) == 3
}

func (c *simClient) writeToLeader() bool {
	leader := c.cluster.leader()
	if leader == nil {
		return false
	}
	before := c.cluster.checker.acknowledged
	c.startWrite(leader, "key0")
	return c.cluster.runUntil(2000, func() bool { return !c.isBusy() }) && c.cluster.checker.acknowledged > before
}

func (cl *cluster) checkReplicaState(probe *simClient, n, leader *simNode) {
	if n.core.Status().AppliedIndex != leader.core.Status().AppliedIndex {
		cl.checker.fail("replica %s has another applied index than the leader", n.id)
	}
	for i := range 3 {
		key := fmt.Sprint("key", i)
		probe.startRead(n, key)
		if !cl.runUntil(5000, func() bool { return !probe.isBusy() }) {
			cl.checker.fail("replica %s did not complete a read within 5 s", n.id)
		}
		if n.readKey(key) != leader.readKey(key) {
			cl.checker.fail("replicas %s and %s hold different values of %s", n.id, leader.id, key)
		}
	}
}
