package replica

import (
	"time"

	"github.com/briarcross/briarcross/quorum"
)

// simFault is one disturbance of the world.
type simFault struct {
	name string
	run  func(*cluster)
}

var simFaults = []simFault{
	{"crash a replica", func(w *cluster) { w.crashFor(w.randomNode(), w.rand.IntN(3000)) }},
	{"crash the leader", func(w *cluster) { w.crashFor(w.leader(), w.rand.IntN(3000)) }},
	{"cut off the leader", func(w *cluster) { w.isolateLeader(true, true) }},
	{"cut the leader's outbound links", func(w *cluster) { w.isolateLeader(false, true) }},
	{"cut the leader's inbound links", func(w *cluster) { w.isolateLeader(true, false) }},
	{"cut off a replica", func(w *cluster) { w.isolate(w.randomNode().id, w.percent(70), w.percent(70)) }},
	{"cut one link", func(w *cluster) { w.cutLinks[simLink{w.randomNode().id, w.randomNode().id}] = true }},
	{"lose a data centre", func(w *cluster) { w.crashDataCentre(w.randomNode().dataCentre) }},
	{"empty a disk", func(w *cluster) { w.wipeAndRestart(w.randomNode()) }},
	{"lose, repeat and delay messages", func(w *cluster) {
		w.lossPercent = w.rand.IntN(30)
		w.duplicatePercent = w.rand.IntN(30)
		w.maxDelay = 1 + w.rand.IntN(150)
	}},
	{"slow the disks", func(w *cluster) { w.syncDelay = 1 + w.rand.IntN(100) }},
	{"jump a clock", func(w *cluster) {
		w.randomNode().clockOffset = time.Duration(w.rand.IntN(7200)-3600) * time.Second
	}},
	{"lose the power of all", func(w *cluster) { w.crashAll() }},
	{"pause the leader", func(w *cluster) { w.pauseNode(w.leader()) }},
	{"pause a replica", func(w *cluster) { w.pauseNode(w.randomNode()) }},
	{"crash after votes", func(w *cluster) { w.voteCrashPercent = 40; w.crashFor(w.leader(), 500) }},
	{"crash after answers", func(w *cluster) { w.ackCrashPercent = 5 }},
	{"heal", func(w *cluster) { w.heal() }},
	{"heal the network", func(w *cluster) { clear(w.cutLinks); w.lossPercent = 0 }},
	{"hand over", func(w *cluster) { w.transferLeadership() }},
}

func (w *cluster) randomNode() *simNode {
	return w.nodes[w.rand.IntN(len(w.nodes))]
}

// crashFor stops a node and starts it again later.
func (w *cluster) crashFor(n *simNode, duration int) {
	if n == nil || !n.up {
		return
	}
	n.crash()
	w.schedule(duration, func() {
		if !n.up {
			n.start()
		}
	})
}

// crashAll stops all nodes at once.
func (w *cluster) crashAll() {
	for _, n := range w.nodes {
		w.crashFor(n, w.rand.IntN(200))
	}
}

func (w *cluster) pauseNode(n *simNode) {
	if n != nil {
		n.pausedUntil = w.now + int64(w.rand.IntN(1000))
	}
}

// crashAfterAck stops the node that has just answered a write, for long, and
// another one for a moment.
func (w *cluster) crashAfterAck(n *simNode) {
	if !w.percent(w.ackCrashPercent) {
		return
	}
	other := w.randomNode()
	w.schedule(0, func() {
		w.crashFor(n, 2000)
		w.crashFor(other, w.rand.IntN(50))
	})
}

func (w *cluster) isolateLeader(inbound, outbound bool) {
	if leader := w.leader(); leader != nil {
		w.isolate(leader.id, inbound, outbound)
	}
}

func (w *cluster) crashDataCentre(name string) {
	duration := w.rand.IntN(3000)
	for _, n := range w.nodes {
		if n.dataCentre == name {
			w.crashFor(n, duration)
		}
	}
}

// wipeAndRestart wipes a node, unless the group would never have a majority again.
func (w *cluster) wipeAndRestart(n *simNode) {
	if !w.isRepaired() {
		return
	}
	n.crash()
	n.wipe()
	w.schedule(w.rand.IntN(4000), func() {
		if !n.up {
			n.start()
		}
	})
}

// runRandomFaults disturbs the world at random for a time.
func (w *cluster) runRandomFaults(rounds int) {
	for range rounds {
		simFaults[w.rand.IntN(len(simFaults))].run(w)
		w.runFor(50 + w.rand.IntN(1200))
		if w.checker.err != nil {
			return
		}
	}
}

func (w *cluster) transferLeadership() {
	if leader := w.leader(); leader != nil {
		leader.step(quorum.TransferLeadership{})
	}
}
