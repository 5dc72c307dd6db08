package batch

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/pb"
)

// simSidecar is a worker with a simulated engine that runs up to slots items
// concurrently.
type simSidecar struct {
	sim         *sim
	id          string
	incarnation uint64
	worker      *Worker
	slots       int
	queueSlots  int
	runTime     func() time.Duration
	// failing makes the engine fail every item.
	failing bool
	// partitioned drops all requests and responses.
	partitioned bool
	alive       bool
	drained     bool

	queue   []*pb.LeasedItem
	running map[LeaseRef]*pb.LeasedItem
	// busyTime is the total time that slots were in use.
	busyTime time.Duration
}

func newSimSidecar(s *sim, id string) *simSidecar {
	c := &simSidecar{sim: s, id: id, slots: 4, queueSlots: 2}
	c.runTime = func() time.Duration {
		return 100*time.Millisecond + time.Duration(s.rand.Int64N(int64(900*time.Millisecond)))
	}
	c.startIncarnation()
	return c
}

// startIncarnation starts a new incarnation without any state of the last one.
func (c *simSidecar) startIncarnation() {
	c.incarnation++
	c.alive = true
	c.queue = nil
	c.running = make(map[LeaseRef]*pb.LeasedItem)
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
	c.busyTime += time.Duration(len(c.running)) * simStep
	c.step(FreeCapacity{c.slots + c.queueSlots - len(c.running) - len(c.queue)})
	c.worker.Tick(c.sim.now)
	c.deliverOutputs()
	c.startItems()
}

func (c *simSidecar) step(in WorkerInput) {
	c.worker.Step(c.sim.now, in)
	c.deliverOutputs()
}

func (c *simSidecar) deliverOutputs() {
	for _, out := range append([]WorkerOutput(nil), c.worker.Drain()...) {
		switch out := out.(type) {
		case SendRequest:
			c.send(out.Message)
		case RunItem:
			c.queue = append(c.queue, out.Item)
		case StopItem:
			c.stopItem(out.Ref)
		case Drained:
			c.drained = true
		}
	}
}

func (c *simSidecar) stopItem(ref LeaseRef) {
	delete(c.running, ref)
	kept := c.queue[:0]
	for _, item := range c.queue {
		if LeaseRefOf(item) != ref {
			kept = append(kept, item)
		}
	}
	c.queue = kept
}

func (c *simSidecar) startItems() {
	for len(c.queue) > 0 && len(c.running) < c.slots {
		item := c.queue[0]
		c.queue = c.queue[1:]
		ref := LeaseRefOf(item)
		c.running[ref] = item
		c.sim.ledger.recordStart(c.sim.now, item)
		incarnation := c.incarnation
		c.sim.schedule(c.runTime(), func() { c.finishItem(incarnation, ref) })
	}
}

func (c *simSidecar) finishItem(incarnation uint64, ref LeaseRef) {
	item, ok := c.running[ref]
	if !ok || !c.alive || c.incarnation != incarnation {
		return
	}
	delete(c.running, ref)
	c.step(ItemFinished{ref, c.resultOf(item)})
}

func (c *simSidecar) resultOf(item *pb.LeasedItem) *pb.ItemResult {
	switch {
	case c.failing, bytes.Contains(item.GetBody(), []byte(`"max_tokens":-2`)):
		return &pb.ItemResult{Outcome: pb.ItemOutcome_ITEM_RETRY, Status: 503, Error: "engine failed"}
	case bytes.Contains(item.GetBody(), []byte(`"max_tokens":-1`)):
		return &pb.ItemResult{Outcome: pb.ItemOutcome_ITEM_FAILED, Status: 400, Error: "max_tokens"}
	}
	return &pb.ItemResult{Outcome: pb.ItemOutcome_ITEM_DONE, Status: 200, Body: responseBody(item)}
}

// send sends a request to the current or a stale leader. The network may duplicate
// or lose it.
func (c *simSidecar) send(m *pb.LeaseRequest) {
	s := c.sim
	m = proto.Clone(m).(*pb.LeaseRequest)
	s.leaseBytes += proto.Size(m)
	l := s.leader
	if len(s.staleLeaders) > 0 && s.staleLeaders[len(s.staleLeaders)-1].alive && s.chance(0.5) {
		l = s.staleLeaders[len(s.staleLeaders)-1]
	}
	copies := 1
	if s.chance(s.messageDuplication) {
		copies = 2
	}
	for range copies {
		if c.partitioned || s.chance(s.messageLoss) {
			continue
		}
		s.schedule(s.randomDelay(), func() { s.deliverRequest(l, c, m) })
	}
}

// deliverRequest passes a request to a leader under a new token, by which the
// ledger finds its sender.
func (s *sim) deliverRequest(l *simLeader, c *simSidecar, m *pb.LeaseRequest) {
	if !l.alive {
		s.schedule(s.randomDelay(), func() { c.failRequest(m.GetIncarnation(), m.GetSequence()) })
		return
	}
	token := s.ledger.recordRequest(c, m.GetIncarnation())
	l.scheduler.Step(s.now, WorkerRequest{token, proto.Clone(m).(*pb.LeaseRequest)})
	s.deliverOutputs(l)
}

func (c *simSidecar) failRequest(incarnation, sequence uint64) {
	if c.alive && c.incarnation == incarnation && c.worker.requestSequence == sequence {
		c.step(RequestFailed{})
	}
}

func (s *sim) deliverResponse(leader *simLeader, out SendResponse) {
	s.ledger.recordResponse(s, leader, out)
	request := s.ledger.requests[out.Token]
	m := proto.Clone(out.Message).(*pb.LeaseResponse)
	s.leaseBytes += proto.Size(m)
	if request.sidecar.partitioned || s.chance(s.messageLoss) {
		return
	}
	s.schedule(s.randomDelay(), func() {
		c := request.sidecar
		if c.alive && !c.partitioned && c.incarnation == request.incarnation {
			c.step(ResponseReceived{m})
		}
	})
}
