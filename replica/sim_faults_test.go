package replica

import (
	"time"

	"github.com/briarcross/briarcross/quorum"
)

// simFault is a named fault that can be injected into a cluster, or a recovery.
type simFault struct {
	name string
	run  func(*cluster)
}

var simFaults = []simFault{
	{"crash a replica", func(cl *cluster) { cl.crashFor(cl.randomNode(), cl.rand.IntN(3000)) }},
	{"crash the leader", func(cl *cluster) { cl.crashFor(cl.leader(), cl.rand.IntN(3000)) }},
	{"partition the leader", func(cl *cluster) { cl.isolateLeader(true, true) }},
	{"cut the leader's outbound links", func(cl *cluster) { cl.isolateLeader(false, true) }},
	{"cut the leader's inbound links", func(cl *cluster) { cl.isolateLeader(true, false) }},
	{"partition a replica", func(cl *cluster) { cl.isolate(cl.randomNode().id, cl.withProbability(70), cl.withProbability(70)) }},
	{"cut one link", func(cl *cluster) { cl.cutLinks[simLink{cl.randomNode().id, cl.randomNode().id}] = true }},
	{"crash a data centre", func(cl *cluster) { cl.crashDataCentre(cl.randomNode().dataCentre) }},
	{"wipe a disk", func(cl *cluster) { cl.wipeAndRestart(cl.randomNode()) }},
	{"lose, duplicate and delay messages", func(cl *cluster) {
		cl.lossPercent = cl.rand.IntN(30)
		cl.duplicatePercent = cl.rand.IntN(30)
		cl.maxDelay = 1 + cl.rand.IntN(150)
	}},
	{"slow the disks", func(cl *cluster) { cl.syncDelay = 1 + cl.rand.IntN(100) }},
	{"jump a clock", func(cl *cluster) {
		cl.randomNode().clockOffset = time.Duration(cl.rand.IntN(7200)-3600) * time.Second
	}},
	{"crash all replicas", func(cl *cluster) { cl.crashAll() }},
	{"pause the leader", func(cl *cluster) { cl.pauseNode(cl.leader()) }},
	{"pause a replica", func(cl *cluster) { cl.pauseNode(cl.randomNode()) }},
	{"crash after votes", func(cl *cluster) { cl.voteCrashPercent = 40; cl.crashFor(cl.leader(), 500) }},
	{"crash after acknowledged writes", func(cl *cluster) { cl.ackCrashPercent = 5 }},
	{"heal", func(cl *cluster) { cl.heal() }},
	{"heal the network", func(cl *cluster) { clear(cl.cutLinks); cl.lossPercent = 0 }},
	{"transfer leadership", func(cl *cluster) { cl.transferLeadership() }},
}

func (cl *cluster) randomNode() *simNode {
	return cl.nodes[cl.rand.IntN(len(cl.nodes))]
}

// crashFor crashes a node and starts it again after the given time.
func (cl *cluster) crashFor(n *simNode, duration int) {
	if n == nil || !n.up {
		return
	}
	n.crash()
	cl.schedule(duration, func() {
		if !n.up {
			n.start()
		}
	})
}

// crashAll crashes all nodes at once, as a power loss does.
func (cl *cluster) crashAll() {
	for _, n := range cl.nodes {
		cl.crashFor(n, cl.rand.IntN(200))
	}
}

func (cl *cluster) pauseNode(n *simNode) {
	if n != nil {
		n.pausedUntil = cl.now + int64(cl.rand.IntN(1000))
	}
}

// crashAfterAck crashes, with a probability of ackCrashPercent, the node that
// acknowledged a write for 2 s, and a random node for less than 50 ms.
func (cl *cluster) crashAfterAck(n *simNode) {
	if !cl.withProbability(cl.ackCrashPercent) {
		return
	}
	other := cl.randomNode()
	cl.schedule(0, func() {
		cl.crashFor(n, 2000)
		cl.crashFor(other, cl.rand.IntN(50))
	})
}

func (cl *cluster) isolateLeader(inbound, outbound bool) {
	if leader := cl.leader(); leader != nil {
		cl.isolate(leader.id, inbound, outbound)
	}
}

func (cl *cluster) crashDataCentre(name string) {
	duration := cl.rand.IntN(3000)
	for _, n := range cl.nodes {
		if n.dataCentre == name {
			cl.crashFor(n, duration)
		}
	}
}

// wipeAndRestart crashes and wipes a node and starts it again later. It does
// nothing unless the group is repaired, because it might otherwise lose its
// majority for good.
func (cl *cluster) wipeAndRestart(n *simNode) {
	if !cl.isRepaired() {
		return
	}
	n.crash()
	n.wipe()
	cl.schedule(cl.rand.IntN(4000), func() {
		if !n.up {
			n.start()
		}
	})
}

// runRandomFaults injects random faults with pauses between them, until the
// first violation.
func (cl *cluster) runRandomFaults(rounds int) {
	for range rounds {
		simFaults[cl.rand.IntN(len(simFaults))].run(cl)
		cl.runFor(50 + cl.rand.IntN(1200))
		if cl.checker.err != nil {
			return
		}
	}
}

func (cl *cluster) transferLeadership() {
	if leader := cl.leader(); leader != nil {
		leader.step(quorum.TransferLeadership{})
	}
}
