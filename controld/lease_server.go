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

// leaseServer runs the batch scheduler and serves the lease requests of
// sidecars.
type leaseServer struct {
	daemon *Daemon
	core   *batchCore
	loop   *loop.Loop[batch.SchedulerInput, batch.SchedulerOutput]

	mu sync.Mutex
	// lastToken is the token of the lease request received last.
	lastToken uint64
	// pending holds the channels for the responses of open lease requests, by
	// token.
	pending map[uint64]chan *pb.LeaseResponse
}

var errStopped = eris.New("control replica is stopping")

func newLeaseServer(d *Daemon, state *batch.State) *leaseServer {
	l := &leaseServer{daemon: d, pending: make(map[uint64]chan *pb.LeaseResponse)}
	l.core = newBatchCore(state, batch.NewScheduler(batch.SchedulerOptions{
		State:        state,
		ReadStore:    d.view,
		Seed:         d.identity.Incarnation,
		LeaseTime:    d.settings.LeaseTime,
		PollInterval: d.settings.PollInterval,
	}))
	l.loop = loop.Start[batch.SchedulerInput, batch.SchedulerOutput](l.core, schedulerTick, l.executeOutput)
	return l
}

func (l *leaseServer) leadershipChanged(term uint64, leading bool) {
	l.loop.Post(batch.LeadershipChange{Term: term, Leading: leading})
}

func (l *leaseServer) commandApplied(command *pb.Command, result *pb.CommandResult) {
	if l.core.deliverApplied(command, result) {
		l.loop.Wake()
	}
}

func (l *leaseServer) close() {
	l.loop.Close()
}

func (l *leaseServer) executeOutput(out batch.SchedulerOutput) {
	switch out := out.(type) {
	case batch.SendResponse:
		l.deliverResponse(out)
	case batch.Propose:
		go l.propose(out)
	}
}

func (l *leaseServer) deliverResponse(out batch.SendResponse) {
	l.mu.Lock()
	responses := l.pending[out.Token]
	delete(l.pending, out.Token)
	l.mu.Unlock()
	if responses != nil {
		responses <- out.Message
	}
}

func (l *leaseServer) propose(out batch.Propose) {
	ctx, cancel := context.WithTimeout(l.daemon.ctx, requestTimeout)
	defer cancel()
	result, controlErr := l.daemon.replica.Propose(ctx, out.Command)
	l.loop.Post(batch.ProposalResult{Token: out.Token, Result: result, Err: controlErr})
}

// serveRequest gives a lease request to the scheduler and sends its response,
// which may come after a long poll.
func (l *leaseServer) serveRequest(stream *transport.Stream, request *pb.LeaseRequest) error {
	responses := make(chan *pb.LeaseResponse, 1)
	l.mu.Lock()
	l.lastToken++
	token := l.lastToken
	l.pending[token] = responses
	l.mu.Unlock()
	l.loop.Post(batch.WorkerRequest{Token: token, Message: request})
	select {
	case response := <-responses:
		if response.GetError() == pb.ControlErrorCode_CONTROL_NOT_LEADER {
			_, response.LeaderAddress, _ = l.daemon.replica.Leader()
		}
		return stream.Send(&pb.Envelope{Body: &pb.Envelope_LeaseResponse{LeaseResponse: response}})
	case <-l.daemon.ctx.Done():
		return errStopped
	}
}
