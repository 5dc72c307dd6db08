package storenode

import (
	"context"
	"sync"
	"time"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
	"github.com/briarcross/briarcross/upstream"
)

// workerReportInterval is the interval of the reports of a worker. The end of a run and an
// upstream that leaves are reported at once.
const workerReportInterval = 200 * time.Millisecond

// workerService runs items for the leader of the storage group.
type workerService struct {
	ctx     context.Context
	engines *upstream.Client
	// slots knows the upstreams that leave. A worker grants none of them.
	slots *node.SlotPool
	// hasCustomers reports whether the routing table in force has customers.
	hasCustomers func() bool
	tasks        sync.WaitGroup

	mu sync.Mutex
	// term is the highest term of a leader; serving is the session of that leader.
	term    uint64
	serving *servedRuns
}

// servedRuns holds the runs that arrived on one stream.
type servedRuns struct {
	service *workerService
	stream  *transport.Stream
	// urgent is signalled when a run has something to report at once.
	urgent chan struct{}

	mu   sync.Mutex
	runs map[uint64]*servedRun
}

// servedRun is a run with the output that is not yet reported.
type servedRun struct {
	cancel   context.CancelFunc
	progress *pb.ItemRunProgress
}

// serve runs the items that arrive on a stream until it ends. A leader of an earlier
// term is refused, and the runs of an earlier leader end.
func (s *workerService) serve(stream *transport.Stream, first *pb.ItemRun) {
	runs := &servedRuns{service: s, stream: stream, urgent: make(chan struct{}, 1), runs: make(map[uint64]*servedRun)}
	if !s.begin(runs, first.GetTerm()) {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	s.tasks.Go(func() { runs.report(ctx) })
	ok := runs.start(ctx, first)
	for ok {
		envelope, err := stream.Receive()
		if err != nil {
			return
		}
		switch body := envelope.GetBody().(type) {
		case *pb.Envelope_ItemRun:
			ok = runs.start(ctx, body.ItemRun)
		case *pb.Envelope_ItemRunCancel:
			runs.cancel(body.ItemRunCancel.GetRun())
		}
	}
}

// begin makes a session the served one, unless its leader is of an earlier term.
func (s *workerService) begin(runs *servedRuns, term uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.term {
		return false
	}
	if s.serving != nil {
		_ = s.serving.stream.Close()
	}
	s.term, s.serving = term, runs
	return true
}

// start starts a run. It ends with the context or when it is cancelled. An upstream that
// leaves gets no run: a leader that was elected since may not know that it leaves. It
// returns false if a run with the same number is in progress, which breaks the protocol.
func (r *servedRuns) start(parent context.Context, message *pb.ItemRun) bool {
	ctx, cancel := context.WithCancel(parent)
	id := message.GetRun()
	r.mu.Lock()
	_, duplicate := r.runs[id]
	if !duplicate {
		r.runs[id] = &servedRun{cancel: cancel, progress: &pb.ItemRunProgress{Run: id}}
	}
	r.mu.Unlock()
	if duplicate {
		cancel()
		return false
	}
	if r.service.slots.IsLeaving(message.GetUpstream(), message.GetBornUnixMs()) {
		cancel()
		r.reportStatement(id, engineStatement{leaving: true})
		r.finish(id, runEnd{jobpages.NotRun, dispatch.Inconclusive, 0, "leaving"})
		return true
	}
	onStatement := func(s engineStatement) {
		s.record(r.service.slots, message.GetUpstream(), message.GetBornUnixMs(), message.GetItem().GetId(), dispatch.SourceAnswer)
		r.reportStatement(id, s)
	}
	request := itemRequest(message.GetItem(), message.GetHost(), message.GetAddress(), message.GetUpstream(), message.GetResumeAfter())
	withOwner(request, message.GetCustomer(), r.service.hasCustomers())
	r.service.tasks.Go(func() {
		defer cancel()
		end := runAtUpstream(ctx, r.service.engines, request, idleTimeout, onStatement, func(data []byte, events int, lastEventID string) {
			r.addOutput(id, data, events, lastEventID)
		})
		r.finish(id, end)
	})
	return true
}

func (r *servedRuns) cancel(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run, known := r.runs[id]; known {
		run.cancel()
	}
}

func (r *servedRuns) addOutput(id uint64, data []byte, events int, lastEventID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	progress := r.runs[id].progress
	if progress.Events > 0 {
		progress.Text = append(progress.Text, '\n')
	}
	progress.Text = append(progress.Text, data...)
	progress.Events += uint32(events)
	progress.LastEvent = lastEventID
}

// reportStatement reports what the upstream of a run states, at once if it is urgent.
func (r *servedRuns) reportStatement(id uint64, statement engineStatement) {
	r.mu.Lock()
	progress := r.runs[id].progress
	progress.Leaving, progress.AcceptedPerSecond, progress.RateStated = statement.leaving, statement.perSecond, statement.rateStated
	r.mu.Unlock()
	if statement.urgent() {
		r.reportSoon()
	}
}

// reportSoon makes report send a report without waiting for the next regular one.
func (r *servedRuns) reportSoon() {
	select {
	case r.urgent <- struct{}{}:
	default:
	}
}

func (r *servedRuns) finish(id uint64, end runEnd) {
	r.mu.Lock()
	r.runs[id].progress.End = &pb.ItemRunEnd{
		Outcome: uint32(end.outcome), SlotOutcome: uint32(end.slotOutcome), Status: uint32(end.status), Reason: end.reason,
	}
	r.mu.Unlock()
	r.reportSoon()
}

// report sends the output of the runs until the context ends.
func (r *servedRuns) report(ctx context.Context) {
	ticker := time.NewTicker(workerReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.urgent:
		}
		report := r.takeReport()
		if len(report.GetRuns()) == 0 {
			continue
		}
		if err := r.stream.Send(&pb.Envelope{Body: &pb.Envelope_ItemRunReport{ItemRunReport: report}}); err != nil {
			// Receive ends as well, and with it the session.
			_ = r.stream.Close()
			return
		}
	}
}

// takeReport returns the output since the last report, and removes ended runs.
func (r *servedRuns) takeReport() *pb.ItemRunReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &pb.ItemRunReport{}
	for id, run := range r.runs {
		if run.progress.Events == 0 && run.progress.End == nil && !reportedStatement(run.progress).urgent() {
			continue
		}
		report.Runs = append(report.Runs, run.progress)
		if run.progress.End != nil {
			delete(r.runs, id)
			continue
		}
		run.progress = &pb.ItemRunProgress{Run: id}
	}
	return report
}
