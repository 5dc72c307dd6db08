package replica

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
)

// Times of the simulation are virtual milliseconds.
const (
	simTick           = 10
	simRepairTicks    = 100
	simRetainLogBytes = 3000
	simChunkBytes     = 40
)

type simEvent struct {
	time, sequence int64
	run            func()
}

type simEvents []simEvent

func (e simEvents) Len() int      { return len(e) }
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e simEvents) Less(i, j int) bool {
	if e[i].time != e[j].time {
		return e[i].time < e[j].time
	}
	return e[i].sequence < e[j].sequence
}

func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type simLink struct{ from, to string }

// cluster is a simulated group of replicas, with virtual time, network and disks.
type cluster struct {
	rand     *rand.Rand
	now      int64
	sequence int64
	events   simEvents
	nodes    []*simNode
	clients  []*simClient
	cutLinks map[simLink]bool
	checker  *checker

	lossPercent      int
	duplicatePercent int
	maxDelay         int
	syncDelay        int
	// voteCrashPercent and ackCrashPercent are the probabilities of a crash
	// right after granting a vote and right after acknowledging a write.
	voteCrashPercent int
	ackCrashPercent  int
	// repairTicks is the time without contact after which a voter is replaced.
	repairTicks uint64
}

// newCluster starts three members in three data centres, and two spares.
func newCluster(seed uint64) *cluster {
	cl := &cluster{rand: core.NewRand(seed), cutLinks: make(map[simLink]bool), checker: newChecker(), maxDelay: 3, syncDelay: 4, repairTicks: simRepairTicks}
	for i, id := range []string{"a", "b", "c", "d", "e"} {
		cl.nodes = append(cl.nodes, newSimNode(cl, id, fmt.Sprintf("dc%d", i%3), i < 3))
	}
	for _, n := range cl.nodes {
		n.start()
	}
	for i := range 4 {
		cl.clients = append(cl.clients, newSimClient(cl, i))
	}
	return cl
}

func simReplicaList(ids ...string) []*pb.Replica {
	var replicas []*pb.Replica
	for _, id := range ids {
		dc := fmt.Sprintf("dc%d", (id[0]-'a')%3)
		replicas = append(replicas, &pb.Replica{Id: id, Address: id, DataCentre: dc})
	}
	return replicas
}

func (cl *cluster) schedule(delay int, run func()) {
	cl.sequence++
	heap.Push(&cl.events, simEvent{cl.now + int64(delay), cl.sequence, run})
}

// runFor advances the virtual time and runs the events that are due.
func (cl *cluster) runFor(duration int) {
	end := cl.now + int64(duration)
	for len(cl.events) > 0 && cl.events[0].time <= end {
		e := heap.Pop(&cl.events).(simEvent)
		cl.now = e.time
		e.run()
	}
	cl.now = end
}

// runUntil advances the virtual time until a condition holds, at most by limit,
// and reports whether it holds.
func (cl *cluster) runUntil(limit int, condition func() bool) bool {
	for end := cl.now + int64(limit); cl.now < end; cl.runFor(simTick) {
		if condition() {
			return true
		}
	}
	return condition()
}

func (cl *cluster) withProbability(percent int) bool {
	return cl.rand.IntN(100) < percent
}

func (cl *cluster) send(m *pb.QuorumMessage) {
	copies := 1
	if cl.withProbability(cl.duplicatePercent) {
		copies++
	}
	for range copies {
		if !cl.withProbability(cl.lossPercent) {
			cl.schedule(1+cl.rand.IntN(cl.maxDelay), func() { cl.deliver(m) })
		}
	}
}

func (cl *cluster) deliver(m *pb.QuorumMessage) {
	target := cl.node(m.To)
	if target.up && !cl.cutLinks[simLink{m.From, m.To}] {
		target.schedule(0, func() { target.step(quorum.MessageReceived{Message: m}) })
	}
}

func (cl *cluster) node(id string) *simNode {
	for _, n := range cl.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// leader returns the running leader with the highest term, or nil.
func (cl *cluster) leader() *simNode {
	var best *simNode
	for _, n := range cl.nodes {
		if !n.up || !n.core.Status().Leading {
			continue
		}
		if best == nil || n.core.Status().Term > best.core.Status().Term {
			best = n
		}
	}
	return best
}

// isolate cuts the links to a node, from it, or both, and restores the others.
func (cl *cluster) isolate(id string, inbound, outbound bool) {
	for _, n := range cl.nodes {
		cl.cutLinks[simLink{n.id, id}] = inbound
		cl.cutLinks[simLink{id, n.id}] = outbound
	}
}

func (cl *cluster) heal() {
	clear(cl.cutLinks)
	cl.lossPercent, cl.duplicatePercent, cl.maxDelay, cl.syncDelay = 0, 0, 3, 4
	cl.voteCrashPercent, cl.ackCrashPercent = 0, 0
	for _, n := range cl.nodes {
		if !n.up {
			n.start()
		}
	}
}

// simNode is a simulated replica with its disk. Events that were scheduled by an
// earlier incarnation are dropped.
type simNode struct {
	cluster      *cluster
	id           string
	dataCentre   string
	founder      bool
	identity     uint64
	disk         *crashStore
	up           bool
	incarnation  int
	tickInterval int
	// pausedUntil is the time until which all events of the node are delayed.
	pausedUntil int64
	clockOffset time.Duration

	core           *quorum.Core
	storage        *storage
	streams        *snapshotStreams
	waiters        *waiters
	queuedWrites   []writeItem
	inFlightWrites []writeItem
	queuedApplies  []quorum.Output
	// entryTerms holds the term of each stored entry by index.
	entryTerms map[uint64]uint64
}

func newSimNode(cl *cluster, id, dataCentre string, founder bool) *simNode {
	n := &simNode{cluster: cl, id: id, dataCentre: dataCentre, founder: founder}
	n.tickInterval = simTick - 4 + cl.rand.IntN(9)
	n.wipe()
	return n
}

// wipe empties the disk, which also gets a new identity.
func (n *simNode) wipe() {
	n.identity = n.cluster.rand.Uint64()
	n.disk = newCrashStore()
}

func (n *simNode) start() {
	storage, stored, err := loadStorage(n.disk)
	if err != nil {
		n.cluster.checker.fail("replica %s: load storage at start: %v", n.id, err)
		return
	}
	n.up = true
	n.incarnation++
	n.storage = storage
	n.storage.chunkBytes = simChunkBytes
	n.streams = newSnapshotStreams(storage)
	n.waiters = newWaiters()
	n.queuedWrites, n.inFlightWrites, n.queuedApplies = nil, nil, nil
	n.loadEntryTerms(stored)
	options := quorum.Options{
		ID: n.id, Identity: n.identity, Group: 7,
		Spares: simReplicaList("d", "e"), RepairTicks: n.cluster.repairTicks,
		RetainLogBytes: simRetainLogBytes, Seed: n.cluster.rand.Uint64(), Stored: stored,
		Bootstrap: simReplicaList("a", "b", "c"), Join: !n.founder,
	}
	n.core = quorum.New(options)
	n.schedule(n.tickInterval, n.tick)
}

func (n *simNode) loadEntryTerms(stored quorum.Stored) {
	n.entryTerms = map[uint64]uint64{stored.Base.GetIndex(): stored.Base.GetTerm()}
	for _, e := range stored.Entries {
		n.entryTerms[e.Index] = e.Term
	}
}

// crash stops the node. An in-flight write reaches the disk in half of the cases.
func (n *simNode) crash() {
	if !n.up {
		return
	}
	n.up = false
	n.incarnation++
	if len(n.inFlightWrites) > 0 && n.cluster.withProbability(50) {
		n.failOnError(n.storage.write(n.inFlightWrites))
	}
	disk, err := n.disk.crash(n.cluster.rand)
	n.failOnError(err)
	n.disk = disk
	n.waiters.close()
	n.cluster.collectResponses(n)
}

func (n *simNode) failOnError(err error) {
	if err != nil {
		n.cluster.checker.fail("replica %s: %v", n.id, err)
	}
}

// schedule runs a function after a delay, unless this incarnation has ended.
func (n *simNode) schedule(delay int, run func()) {
	incarnation := n.incarnation
	n.cluster.schedule(delay, func() {
		if n.incarnation != incarnation {
			return
		}
		if pause := int(n.pausedUntil - n.cluster.now); pause > 0 {
			n.schedule(pause, run)
			return
		}
		run()
	})
}

func (n *simNode) wallClock() time.Time {
	return time.UnixMilli(1_000_000 + n.cluster.now).Add(n.clockOffset)
}

func (n *simNode) tick() {
	n.schedule(n.tickInterval, n.tick)
	n.core.Tick(n.wallClock())
	n.executeOutputs()
}

func (n *simNode) step(in quorum.Input) {
	n.core.Step(n.wallClock(), in)
	n.executeOutputs()
}

func (n *simNode) executeOutputs() {
	for _, out := range n.core.Drain() {
		n.cluster.checker.checkOutput(n, out)
		switch out := out.(type) {
		case quorum.Send:
			n.cluster.send(out.Message)
			n.crashAfterVote(out.Message)
		case quorum.Save, quorum.CompactLog:
			n.queuedWrites = append(n.queuedWrites, out)
			n.startWrite()
		case quorum.Apply, quorum.InstallSnapshot:
			n.queuedApplies = append(n.queuedApplies, out)
			n.schedule(1, n.applyNext)
		case quorum.ReadSnapshotChunk:
			n.schedule(1, func() { n.readSnapshotChunk(out) })
		case quorum.ReleaseSnapshot:
			n.schedule(1, func() { n.streams.release(out.Stream) })
		default:
			n.handleEvent(out)
		}
	}
	n.cluster.checker.checkLeader(n)
	n.cluster.collectResponses(n)
}

// crashAfterVote crashes the node for less than 30 ms with a probability of
// voteCrashPercent if the message grants a vote.
func (n *simNode) crashAfterVote(m *pb.QuorumMessage) {
	if m.Kind == pb.QuorumKind_QUORUM_VOTE_REPLY && !m.Reject && n.cluster.withProbability(n.cluster.voteCrashPercent) {
		n.schedule(0, func() { n.cluster.crashFor(n, n.cluster.rand.IntN(30)) })
	}
}

// handleEvent runs Replica.handleEvent with the waiters of this node.
func (n *simNode) handleEvent(out quorum.Output) {
	replica := Replica{waiters: n.waiters}
	replica.options = Options{ID: n.id, StateMachine: claimStateMachine{}, Send: n.cluster.send}
	n.failOnError(replica.options.validateAndSetDefaults())
	replica.handleEvent(out)
}

func (n *simNode) startWrite() {
	if len(n.inFlightWrites) > 0 || len(n.queuedWrites) == 0 {
		return
	}
	n.inFlightWrites, n.queuedWrites = n.queuedWrites, nil
	n.schedule(1+n.cluster.rand.IntN(n.cluster.syncDelay), n.finishWrite)
}

func (n *simNode) finishWrite() {
	items := n.inFlightWrites
	n.inFlightWrites = nil
	n.failOnError(n.storage.write(items))
	if ticket := lastTicket(items); ticket > 0 {
		n.step(quorum.Saved{Ticket: ticket})
	}
	n.startWrite()
}

func (n *simNode) applyNext() {
	item := n.queuedApplies[0]
	n.queuedApplies = n.queuedApplies[1:]
	if install, ok := item.(quorum.InstallSnapshot); ok {
		n.failOnError(n.storage.installSnapshot(install.Meta))
		n.entryTerms = map[uint64]uint64{install.Meta.Index: install.Meta.Term}
		n.waiters.onSnapshotInstalled(install.Meta.Index)
		n.step(quorum.SnapshotInstalled(install))
		return
	}
	entries := item.(quorum.Apply).Entries
	applied, err := n.storage.apply(claimStateMachine{}, entries)
	n.failOnError(err)
	for _, a := range applied {
		n.waiters.onApplied(a)
	}
	n.step(quorum.Applied{Index: entries[len(entries)-1].Index})
}

func (n *simNode) readSnapshotChunk(request quorum.ReadSnapshotChunk) {
	chunk, err := n.streams.readChunk(request)
	n.failOnError(err)
	n.step(quorum.SnapshotChunkRead{Peer: request.Peer, Chunk: chunk})
}

func (n *simNode) readKey(key string) string {
	reader, snapshot := n.storage.view()
	defer snapshot.Close()
	value, _ := reader.Get([]byte(key))
	return string(value)
}
