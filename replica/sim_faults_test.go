package replica

import (
	"time"

	"github.com/briarcross/briarcross/quorum"
)

// simFault is one disturbance of the world.
type simFault struct {
	name string
	run  func(*world)
}

var simFaults = []simFault{
	{"crash a replica", func(w *world) { w.crashFor(w.anyNode(), w.rand.IntN(3000)) }},
	{"crash the leader", func(w *world) { w.crashFor(w.leader(), w.rand.IntN(3000)) }},
	{"cut off the leader", func(w *world) { w.isolateLeader(true, true) }},
	{"cut the leader's outbound links", func(w *world) { w.isolateLeader(false, true) }},
	{"cut the leader's inbound links", func(w *world) { w.isolateLeader(true, false) }},
	{"cut off a replica", func(w *world) { w.isolate(w.anyNode().id, w.percent(70), w.percent(70)) }},
	{"cut one link", func(w *world) { w.cut[simLink{w.anyNode().id, w.anyNode().id}] = true }},
	{"lose a data centre", func(w *world) { w.loseDataCentre(w.anyNode().dataCentre) }},
	{"empty a disk", func(w *world) { w.emptyDisk(w.anyNode()) }},
	{"lose, repeat and delay messages", func(w *world) {
		w.lossPercent = w.rand.IntN(30)
		w.duplicatePercent = w.rand.IntN(30)
		w.maxDelay = 1 + w.rand.IntN(150)
	}},
	{"slow the disks", func(w *world) { w.syncDelay = 1 + w.rand.IntN(100) }},
	{"jump a clock", func(w *world) {
		w.anyNode().clock = time.Duration(w.rand.IntN(7200)-3600) * time.Second
	}},
	{"lose the power of all", func(w *world) { w.losePower() }},
	{"pause the leader", func(w *world) { w.pause(w.leader()) }},
	{"pause a replica", func(w *world) { w.pause(w.anyNode()) }},
	{"crash after votes", func(w *world) { w.voteCrashPercent = 40; w.crashFor(w.leader(), 500) }},
	{"crash after answers", func(w *world) { w.ackCrashPercent = 5 }},
	{"heal", func(w *world) { w.heal() }},
	{"heal the network", func(w *world) { clear(w.cut); w.lossPercent = 0 }},
	{"hand over", func(w *world) { w.handOver() }},
}

func (w *world) anyNode() *simNode {
	return w.nodes[w.rand.IntN(len(w.nodes))]
}

// crashFor stops a node and starts it again later.
func (w *world) crashFor(n *simNode, duration int) {
	if n == nil || !n.up {
		return
	}
	n.crash()
	w.after(duration, func() {
		if !n.up {
			n.start()
		}
	})
}

// losePower stops all nodes at once.
func (w *world) losePower() {
	for _, n := range w.nodes {
		w.crashFor(n, w.rand.IntN(200))
	}
}

func (w *world) pause(n *simNode) {
	if n != nil {
		n.pausedUntil = w.now + int64(w.rand.IntN(1000))
	}
}

// crashAfterAck stops the node that has just answered a write, for long, and
// another one for a moment.
func (w *world) crashAfterAck(n *simNode) {
	if !w.percent(w.ackCrashPercent) {
		return
	}
	other := w.anyNode()
	w.after(0, func() {
		w.crashFor(n, 2000)
		w.crashFor(other, w.rand.IntN(50))
	})
}

func (w *world) isolateLeader(inbound, outbound bool) {
	if leader := w.leader(); leader != nil {
		w.isolate(leader.id, inbound, outbound)
	}
}

func (w *world) loseDataCentre(name string) {
	duration := w.rand.IntN(3000)
	for _, n := range w.nodes {
		if n.dataCentre == name {
			w.crashFor(n, duration)
		}
	}
}

// emptyDisk wipes a node, unless the group would never have a majority again.
func (w *world) emptyDisk(n *simNode) {
	if !w.repaired() {
		return
	}
	n.crash()
	n.wipe()
	w.after(w.rand.IntN(4000), func() {
		if !n.up {
			n.start()
		}
	})
}

// runFaults disturbs the world at random for a time.
func (w *world) runFaults(rounds int) {
	for range rounds {
		simFaults[w.rand.IntN(len(simFaults))].run(w)
		w.runFor(50 + w.rand.IntN(1200))
		if w.check.err != nil {
			return
		}
	}
}

func (w *world) handOver() {
	if leader := w.leader(); leader != nil {
		leader.step(quorum.TransferLeadership{})
	}
}
