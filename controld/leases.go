package controld

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/batch"
	"github.com/briarcross/briarcross/loop"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

// leases is the shell of the batch scheduler.
type leases struct {
	daemon *Daemon
	core   *batchCore
	loop   *loop.Loop[batch.SchedulerInput, batch.SchedulerOutput]

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan *pb.LeaseResponse
}

var errStopped = eris.New("control replica stops")

func newLeases(d *Daemon, state *batch.State) *leases {
	l := &leases{daemon: d, waiting: make(map[uint64]chan *pb.LeaseResponse)}
	l.core = newBatchCore(state, batch.NewScheduler(batch.SchedulerOptions{
		State:        state,
		ReadStore:    d.view,
		Seed:         d.identity.Incarnation,
		LeaseTime:    d.settings.LeaseTime,
		PollInterval: d.settings.PollInterval,
	}))
	l.loop = loop.Start[batch.SchedulerInput, batch.SchedulerOutput](l.core, schedulerTick, l.carry)
	return l
}

func (l *leases) lead(term uint64, leading bool) {
	l.loop.Post(batch.LeadershipChange{Term: term, Leading: leading})
}

func (l *leases) applied(command *pb.Command, result *pb.CommandResult) {
	if l.core.applied(command, result) {
		l.loop.Wake()
	}
}

func (l *leases) close() {
	l.loop.Close()
}

func (l *leases) carry(out batch.SchedulerOutput) {
	switch out := out.(type) {
	case batch.SendResponse:
		l.reply(out)
	case batch.Propose:
		go l.propose(out)
	}
}

func (l *leases) reply(out batch.SendResponse) {
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
	l.loop.Post(batch.ProposalResult{Token: out.Token, Result: result, Err: controlErr})
}

// answer hands a request to the scheduler and sends its reply.
func (l *leases) answer(stream *transport.Stream, request *pb.LeaseRequest) error {
	waiter := make(chan *pb.LeaseResponse, 1)
	l.mu.Lock()
	l.next++
	token := l.next
	l.waiting[token] = waiter
	l.mu.Unlock()
	l.loop.Post(batch.WorkerRequest{Token: token, Message: request})
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
