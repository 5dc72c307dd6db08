package batch

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/pb"
)

// simSidecar is a worker with a fake engine that runs a number of items at
// once.
type simSidecar struct {
	sim         *sim
	id          string
	incarnation uint64
	worker      *Worker
	slots       int
	queueSlots  int
	runTime     func() time.Duration
	// sick makes the engine fail every item.
	sick bool
	// cut keeps requests and answers from passing.
	cut     bool
	alive   bool
	drained bool

	queue   []*pb.LeasedItem
	running map[ItemRef]*pb.LeasedItem
	// busy adds up the time that slots were in use.
	busy time.Duration
}

func newSimSidecar(s *sim, id string) *simSidecar {
	c := &simSidecar{sim: s, id: id, slots: 4, queueSlots: 2}
	c.runTime = func() time.Duration {
		return 100*time.Millisecond + time.Duration(s.rand.Int64N(int64(900*time.Millisecond)))
	}
	c.start()
	return c
}

// start begins a new incarnation, which remembers nothing.
func (c *simSidecar) start() {
	c.incarnation++
	c.alive = true
	c.queue = nil
	c.running = make(map[ItemRef]*pb.LeasedItem)
	c.worker = NewWorker(WorkerOptions{
		ID:          c.id,
		Incarnation: c.incarnation,
		Services:    []string{"dam-watch"},
		Seed:        c.incarnation,
	})
}

func (c *simSidecar) crash() {
	c.alive = false
	c.queue = nil
	c.running = nil
}

func (c *simSidecar) tick() {
	if !c.alive {
		return
	}
	c.busy += time.Duration(len(c.running)) * simStep
	c.step(Room{c.slots + c.queueSlots - len(c.running) - len(c.queue)})
	c.worker.Tick(c.sim.now)
	c.carry()
	c.startItems()
}

func (c *simSidecar) step(in WorkerInput) {
	c.worker.Step(c.sim.now, in)
	c.carry()
}

func (c *simSidecar) carry() {
	for _, out := range append([]WorkerOutput(nil), c.worker.Drain()...) {
		switch out := out.(type) {
		case Ask:
			c.send(out.Message)
		case Run:
			c.queue = append(c.queue, out.Item)
		case Stop:
			c.stop(out.Ref)
		case Drained:
			c.drained = true
		}
	}
}

func (c *simSidecar) stop(ref ItemRef) {
	delete(c.running, ref)
	kept := c.queue[:0]
	for _, item := range c.queue {
		if RefOf(item) != ref {
			kept = append(kept, item)
		}
	}
	c.queue = kept
}

func (c *simSidecar) startItems() {
	for len(c.queue) > 0 && len(c.running) < c.slots {
		item := c.queue[0]
		c.queue = c.queue[1:]
		ref := RefOf(item)
		c.running[ref] = item
		c.sim.ledger.started(c.sim.now, item)
		incarnation := c.incarnation
		c.sim.after(c.runTime(), func() { c.finish(incarnation, ref) })
	}
}

func (c *simSidecar) finish(incarnation uint64, ref ItemRef) {
	item, ok := c.running[ref]
	if !ok || !c.alive || c.incarnation != incarnation {
		return
	}
	delete(c.running, ref)
	c.step(Finished{ref, c.outcome(item)})
}

func (c *simSidecar) outcome(item *pb.LeasedItem) *pb.ItemResult {
	switch {
	case c.sick:
		return &pb.ItemResult{Outcome: pb.ItemOutcome_ITEM_RETRY, Status: 503, Error: "engine failed"}
	case bytes.Contains(item.GetBody(), []byte(`"max_tokens":-1`)):
		return &pb.ItemResult{Outcome: pb.ItemOutcome_ITEM_FAILED, Status: 400, Error: "max_tokens"}
	}
	return &pb.ItemResult{Outcome: pb.ItemOutcome_ITEM_DONE, Status: 200, Body: bodyOf(item)}
}

// send carries a request to a leader, perhaps twice or not at all.
func (c *simSidecar) send(m *pb.LeaseRequest) {
	s := c.sim
	m = proto.Clone(m).(*pb.LeaseRequest)
	s.leaseBytes += proto.Size(m)
	l := s.leader
	if len(s.stale) > 0 && s.stale[len(s.stale)-1].alive && s.chance(0.5) {
		l = s.stale[len(s.stale)-1]
	}
	copies := 1
	if s.chance(s.duplicate) {
		copies = 2
	}
	for range copies {
		if c.cut || s.chance(s.loss) {
			continue
		}
		s.after(s.delay(), func() { s.receive(l, c, m) })
	}
}

// receive gives a request to a leader. Its token is the request's sender.
func (s *sim) receive(l *simLeader, c *simSidecar, m *pb.LeaseRequest) {
	if !l.alive {
		s.after(s.delay(), func() { c.fail(m.GetIncarnation(), m.GetSequence()) })
		return
	}
	token := s.ledger.request(c, m.GetIncarnation())
	l.scheduler.Step(s.now, WorkerRequest{token, proto.Clone(m).(*pb.LeaseRequest)})
	s.carry(l)
}

func (c *simSidecar) fail(incarnation, sequence uint64) {
	if c.alive && c.incarnation == incarnation && c.worker.sequence == sequence {
		c.step(RequestFailed{})
	}
}

func (s *sim) deliverReply(l *simLeader, out SendResponse) {
	s.ledger.replied(s, l, out)
	from := s.ledger.requests[out.Token]
	m := proto.Clone(out.Message).(*pb.LeaseResponse)
	s.leaseBytes += proto.Size(m)
	if from.sidecar.cut || s.chance(s.loss) {
		return
	}
	s.after(s.delay(), func() {
		c := from.sidecar
		if c.alive && !c.cut && c.incarnation == from.incarnation {
			c.step(Response{m})
		}
	})
}
