package controld

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/batch"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/loop"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

// leases is the shell of the batch scheduler.
type leases struct {
	daemon *Daemon
	loop   *loop.Loop[batch.SchedulerInput, batch.SchedulerOutput]

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan *pb.LeaseResponse
	held    []batch.SchedulerInput
	ready   bool
}

var errStopped = eris.New("control replica stops")

func newLeases(d *Daemon, state *batch.State) *leases {
	l := &leases{daemon: d, waiting: make(map[uint64]chan *pb.LeaseResponse)}
	scheduler := batch.NewScheduler(batch.SchedulerOptions{
		State:     state,
		Reader:    func(read func(kv.Reader)) { d.replica.View(read) },
		Seed:      d.identity.Incarnation,
		LeaseTime: d.settings.LeaseTime,
		PollTime:  d.settings.PollTime,
	})
	l.loop = loop.Start[batch.SchedulerInput, batch.SchedulerOutput](scheduler, schedulerTick, l.carry)
	return l
}

// open passes on the inputs that arrived while the replica was being opened;
// before that the scheduler could not read the state.
func (l *leases) open() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = true
	for _, in := range l.held {
		l.loop.Post(in)
	}
	l.held = nil
}

func (l *leases) post(in batch.SchedulerInput) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready {
		l.held = append(l.held, in)
		return
	}
	l.loop.Post(in)
}

func (l *leases) lead(term uint64, leading bool) {
	l.post(batch.Lead{Term: term, On: leading})
}

func (l *leases) applied(command *pb.Command, result *pb.CommandResult) {
	if result.GetJob() != nil || result.GetResults() != nil {
		l.post(batch.Applied{Command: command, Result: result})
	}
}

func (l *leases) close() {
	l.loop.Close()
}

func (l *leases) carry(out batch.SchedulerOutput) {
	switch out := out.(type) {
	case batch.Reply:
		l.reply(out)
	case batch.Propose:
		go l.propose(out)
	}
}

func (l *leases) reply(out batch.Reply) {
	l.mu.Lock()
	waiter := l.waiting[out.Token]
	delete(l.waiting, out.Token)
	l.mu.Unlock()
	if waiter != nil {
		waiter <- out.Message
	}
}

func (l *leases) propose(out batch.Propose) {
	ctx, cancel := context.WithTimeout(l.daemon.ctx, requestTimeout)
	defer cancel()
	result, controlErr := l.daemon.replica.Propose(ctx, out.Command)
	l.post(batch.ProposeDone{Token: out.Token, Result: result, Err: controlErr})
}

// answer hands a request to the scheduler and sends its reply.
func (l *leases) answer(stream *transport.Stream, request *pb.LeaseRequest) error {
	waiter := make(chan *pb.LeaseResponse, 1)
	l.mu.Lock()
	l.next++
	token := l.next
	l.waiting[token] = waiter
	l.mu.Unlock()
	l.post(batch.Request{Token: token, Message: request})
	select {
	case response := <-waiter:
		if response.GetError() == pb.ControlErrorCode_CONTROL_NOT_LEADER {
			_, response.LeaderAddress, _ = l.daemon.replica.Leader()
		}
		return stream.Send(&pb.Envelope{Body: &pb.Envelope_LeaseResponse{LeaseResponse: response}})
	case <-l.daemon.ctx.Done():
		return errStopped
	}
}
