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
	simTick        = 10
	simRepairTicks = 100
	simRetainBytes = 3000
	simChunkBytes  = 40
)

type simEvent struct {
	at, sequence int64
	run          func()
}

type simEvents []simEvent

func (e simEvents) Len() int      { return len(e) }
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e simEvents) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
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

// world is a group of replicas on a virtual network with virtual disks.
type world struct {
	rand     *rand.Rand
	now      int64
	sequence int64
	events   simEvents
	nodes    []*simNode
	clients  []*simClient
	cut      map[simLink]bool
	check    *checker

	lossPercent      int
	duplicatePercent int
	maxDelay         int
	syncDelay        int
	// voteCrashPercent and ackCrashPercent are the chances of a crash right
	// after a vote and right after an answered write.
	voteCrashPercent int
	ackCrashPercent  int
}

// newWorld starts three members in three data centres and two spares.
func newWorld(seed uint64) *world {
	w := &world{rand: core.NewRand(seed), cut: make(map[simLink]bool), check: newChecker(), maxDelay: 3, syncDelay: 4}
	for i, id := range []string{"a", "b", "c", "d", "e"} {
		w.nodes = append(w.nodes, newSimNode(w, id, fmt.Sprintf("dc%d", i%3), i < 3))
	}
	for _, n := range w.nodes {
		n.start()
	}
	for i := range 4 {
		w.clients = append(w.clients, newSimClient(w, i))
	}
	return w
}

func simReplicas(ids ...string) []*pb.Replica {
	var replicas []*pb.Replica
	for _, id := range ids {
		dc := fmt.Sprintf("dc%d", (id[0]-'a')%3)
		replicas = append(replicas, &pb.Replica{Id: id, Address: id, DataCentre: dc})
	}
	return replicas
}

func (w *world) after(delay int, run func()) {
	w.sequence++
	heap.Push(&w.events, simEvent{w.now + int64(delay), w.sequence, run})
}

// runFor advances the virtual time.
func (w *world) runFor(duration int) {
	end := w.now + int64(duration)
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// runUntil advances until a condition holds and reports whether it did.
func (w *world) runUntil(limit int, condition func() bool) bool {
	for end := w.now + int64(limit); w.now < end; w.runFor(simTick) {
		if condition() {
			return true
		}
	}
	return condition()
}

func (w *world) percent(chance int) bool {
	return w.rand.IntN(100) < chance
}

func (w *world) send(m *pb.QuorumMessage) {
	copies := 1
	if w.percent(w.duplicatePercent) {
		copies++
	}
	for range copies {
		if !w.percent(w.lossPercent) {
			w.after(1+w.rand.IntN(w.maxDelay), func() { w.deliver(m) })
		}
	}
}

func (w *world) deliver(m *pb.QuorumMessage) {
	target := w.node(m.To)
	if target.up && !w.cut[simLink{m.From, m.To}] {
		target.later(0, func() { target.step(quorum.MessageReceived{Message: m}) })
	}
}

func (w *world) node(id string) *simNode {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// leader returns the leader of the highest term.
func (w *world) leader() *simNode {
	var best *simNode
	for _, n := range w.nodes {
		if !n.up || !n.core.Status().Leading {
			continue
		}
		if best == nil || n.core.Status().Term > best.core.Status().Term {
			best = n
		}
	}
	return best
}

// isolate cuts the links of a node in one or both directions.
func (w *world) isolate(id string, inbound, outbound bool) {
	for _, n := range w.nodes {
		w.cut[simLink{n.id, id}] = inbound
		w.cut[simLink{id, n.id}] = outbound
	}
}

func (w *world) heal() {
	clear(w.cut)
	w.lossPercent, w.duplicatePercent, w.maxDelay, w.syncDelay = 0, 0, 3, 4
	w.voteCrashPercent, w.ackCrashPercent = 0, 0
	for _, n := range w.nodes {
		if !n.up {
			n.start()
		}
	}
}

// simNode is one replica with its disk. Events of an earlier incarnation are
// dropped.
type simNode struct {
	w           *world
	id          string
	dataCentre  string
	member      bool
	identity    uint64
	disk        *crashStore
	up          bool
	incarnation int
	period      int
	// pausedUntil delays everything that the node does.
	pausedUntil int64
	clock       time.Duration

	core    *quorum.Core
	storage *storage
	streams *snapshotStreams
	waiters *waiters
	writes  []writeItem
	writing []writeItem
	applies []quorum.Output
	// terms holds the term of each stored entry.
	terms map[uint64]uint64
}

func newSimNode(w *world, id, dataCentre string, member bool) *simNode {
	n := &simNode{w: w, id: id, dataCentre: dataCentre, member: member}
	n.period = simTick - 4 + w.rand.IntN(9)
	n.wipe()
	return n
}

// wipe empties the disk; the folder gets a new identity.
func (n *simNode) wipe() {
	n.identity = n.w.rand.Uint64()
	n.disk = newCrashStore()
}

func (n *simNode) start() {
	storage, stored, err := loadStorage(n.disk)
	if err != nil {
		n.w.check.fail("replica %s does not restart: %v", n.id, err)
		return
	}
	n.up = true
	n.incarnation++
	n.storage = storage
	n.storage.chunkBytes = simChunkBytes
	n.streams = newSnapshotStreams(storage)
	n.waiters = newWaiters()
	n.writes, n.writing, n.applies = nil, nil, nil
	n.rememberTerms(stored)
	options := quorum.Options{
		ID: n.id, Identity: n.identity, Group: 7,
		Spares: simReplicas("d", "e"), RepairTicks: simRepairTicks,
		RetainLogBytes: simRetainBytes, Seed: n.w.rand.Uint64(), Stored: stored,
		Bootstrap: simReplicas("a", "b", "c"), Join: !n.member,
	}
	n.core = quorum.New(options)
	n.later(n.period, n.tick)
}

func (n *simNode) rememberTerms(stored quorum.Stored) {
	n.terms = map[uint64]uint64{stored.Base.GetIndex(): stored.Base.GetTerm()}
	for _, e := range stored.Entries {
		n.terms[e.Index] = e.Term
	}
}

// crash stops the node. A write under way may reach the disk.
func (n *simNode) crash() {
	if !n.up {
		return
	}
	n.up = false
	n.incarnation++
	if len(n.writing) > 0 && n.w.percent(50) {
		n.must(n.storage.write(n.writing))
	}
	disk, err := n.disk.crash(n.w.rand)
	n.must(err)
	n.disk = disk
	n.waiters.close()
	n.w.answerClients(n)
}

func (n *simNode) must(err error) {
	if err != nil {
		n.w.check.fail("replica %s: %v", n.id, err)
	}
}

// later runs something on this incarnation of the node.
func (n *simNode) later(delay int, run func()) {
	incarnation := n.incarnation
	n.w.after(delay, func() {
		if n.incarnation != incarnation {
			return
		}
		if pause := int(n.pausedUntil - n.w.now); pause > 0 {
			n.later(pause, run)
			return
		}
		run()
	})
}

func (n *simNode) wallClock() time.Time {
	return time.UnixMilli(1_000_000 + n.w.now).Add(n.clock)
}

func (n *simNode) tick() {
	n.later(n.period, n.tick)
	n.core.Tick(n.wallClock())
	n.carryOut()
}

func (n *simNode) step(in quorum.Input) {
	n.core.Step(n.wallClock(), in)
	n.carryOut()
}

func (n *simNode) carryOut() {
	for _, out := range n.core.Drain() {
		n.w.check.observe(n, out)
		switch out := out.(type) {
		case quorum.Send:
			n.w.send(out.Message)
			n.crashAfterVote(out.Message)
		case quorum.Save, quorum.CompactLog:
			n.writes = append(n.writes, out)
			n.startWrite()
		case quorum.Apply, quorum.InstallSnapshot:
			n.applies = append(n.applies, out)
			n.later(1, n.applyNext)
		case quorum.ReadSnapshotChunk:
			n.later(1, func() { n.readChunk(out) })
		case quorum.ReleaseSnapshot:
			n.later(1, func() { n.streams.release(out.Stream) })
		default:
			n.answer(out)
		}
	}
	n.w.check.leader(n)
	n.w.answerClients(n)
}

// crashAfterVote stops the node for a moment after it has granted a vote.
func (n *simNode) crashAfterVote(m *pb.QuorumMessage) {
	if m.Kind == pb.QuorumKind_QUORUM_VOTE_REPLY && !m.Reject && n.w.percent(n.w.voteCrashPercent) {
		n.later(0, func() { n.w.crashFor(n, n.w.rand.IntN(30)) })
	}
}

// answer passes an output to the waiters as the shell does.
func (n *simNode) answer(out quorum.Output) {
	shell := Replica{waiters: n.waiters}
	shell.options = Options{ID: n.id, StateMachine: claimStateMachine{}, Send: n.w.send}
	n.must(shell.options.validateAndSetDefaults())
	shell.handleEvent(out)
}

func (n *simNode) startWrite() {
	if len(n.writing) > 0 || len(n.writes) == 0 {
		return
	}
	n.writing, n.writes = n.writes, nil
	n.later(1+n.w.rand.IntN(n.w.syncDelay), n.finishWrite)
}

func (n *simNode) finishWrite() {
	items := n.writing
	n.writing = nil
	n.must(n.storage.write(items))
	if ticket := lastTicket(items); ticket > 0 {
		n.step(quorum.Saved{Ticket: ticket})
	}
	n.startWrite()
}

func (n *simNode) applyNext() {
	item := n.applies[0]
	n.applies = n.applies[1:]
	if install, ok := item.(quorum.InstallSnapshot); ok {
		n.must(n.storage.installSnapshot(install.Meta))
		n.terms = map[uint64]uint64{install.Meta.Index: install.Meta.Term}
		n.waiters.onSnapshotInstalled(install.Meta.Index)
		n.step(quorum.SnapshotInstalled(install))
		return
	}
	entries := item.(quorum.Apply).Entries
	applied, err := n.storage.apply(claimStateMachine{}, entries)
	n.must(err)
	for _, a := range applied {
		n.waiters.onApplied(a)
	}
	n.step(quorum.Applied{Index: entries[len(entries)-1].Index})
}

func (n *simNode) readChunk(request quorum.ReadSnapshotChunk) {
	chunk, err := n.streams.readChunk(request)
	n.must(err)
	n.step(quorum.SnapshotChunkRead{Peer: request.Peer, Chunk: chunk})
}

func (n *simNode) get(key string) string {
	reader, snapshot := n.storage.view()
	defer snapshot.Close()
	value, _ := reader.Get([]byte(key))
	return string(value)
}
