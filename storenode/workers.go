package storenode

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

const (
	// workerOpenTimeout limits the connection to a worker.
	workerOpenTimeout = 250 * time.Millisecond
	// workerSilence is the time without output of a run after which its worker counts
	// as lost. It is longer than idleTimeout, after which the worker ends the run.
	workerSilence = idleTimeout + time.Second
	// cancelTimeout limits the wait for the last output of a cancelled run.
	cancelTimeout = 200 * time.Millisecond
	// workerBackoff is the time for which a worker that was lost gets no runs.
	workerBackoff = 2 * time.Second
)

// workers lets other storage daemons read the output of runs. A leader that reads
// the output of a thousand runs itself takes longer for that than the engines.
// Workers hold no state: if one is lost, its items continue after the output that it
// has reported.
type workers struct {
	transport *transport.Client
	logger    *log.Logger
	// results counts the runs by what became of them at a worker.
	results *prometheus.CounterVec
	// candidates lists the addresses of the workers in a data centre.
	candidates func(dataCentre string) []string

	mu       sync.Mutex
	term     uint64
	lastRun  uint64
	sessions map[string]*workerSession
	lostAt   map[string]time.Time
	tasks    sync.WaitGroup
}

// workerSession is the stream to one worker.
type workerSession struct {
	address string
	opening sync.Mutex
	stream  *transport.Stream
	// dropped is set once the session has ended. opening guards it.
	dropped bool
	// runs holds the runs in progress, heardAt is the time of the last report. The mutex
	// of workers guards both.
	runs    map[uint64]*remoteRun
	heardAt time.Time
}

type remoteRun struct {
	silent *time.Timer
	// ended receives the end of the run, once.
	ended chan runEnd

	// onStatement is called when the worker reports what the upstream states.
	onStatement statementFunc

	mu sync.Mutex
	// output is nil once the run is over for the leader: output that arrives later may
	// have been repeated by another run.
	output outputFunc
}

func newWorkers(t *transport.Client, logger *log.Logger, candidates func(dataCentre string) []string) *workers {
	return &workers{
		transport: t, logger: logger, candidates: candidates,
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_item_worker_runs_total", Help: "Runs of items by what became of them at a worker: ended, lost, not_sent, no_worker.",
		}, []string{"result"}),
		sessions: make(map[string]*workerSession), lostAt: make(map[string]time.Time),
	}
}

// setTerm sets the term of the leader whose runs follow.
func (w *workers) setTerm(term uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.term = term
}

// run runs an item on a worker in the data centre of its upstream. It returns false if
// there is none, or if it did not get the run.
func (w *workers) run(ctx context.Context, x *itemRun) (runEnd, bool) {
	session := w.assign(time.Now(), x.grant.DataCentre)
	if session == nil {
		w.results.WithLabelValues("no_worker").Inc()
		return runEnd{}, false
	}
	run := &remoteRun{output: x.addOutput, onStatement: func(s engineStatement) { x.recordStatement(s, dispatch.SourceWorker) }, ended: make(chan runEnd, 1)}
	id, message := w.add(session, run, x)
	defer w.remove(session, id)
	if err := w.send(ctx, session, message); err != nil {
		w.logger.Warn(eventlog.DependencyLost, "dependency", "worker", "address", session.address, "error", err)
		w.drop(session)
		w.results.WithLabelValues("not_sent").Inc()
		return runEnd{}, false
	}
	end := w.await(ctx, session, id, run)
	result := "ended"
	if end == workerLost {
		result = "lost"
	}
	w.results.WithLabelValues(result).Inc()
	return end, true
}

// await waits for the end of a run, and cancels it when the context ends.
func (w *workers) await(ctx context.Context, session *workerSession, id uint64, run *remoteRun) runEnd {
	run.silent.Reset(workerSilence)
	select {
	case end := <-run.ended:
		return end
	case <-ctx.Done():
	}
	cancelRun := &pb.ItemRunCancel{Run: id}
	if err := session.stream.Send(&pb.Envelope{Body: &pb.Envelope_ItemRunCancel{ItemRunCancel: cancelRun}}); err != nil {
		w.drop(session)
	}
	timer := time.NewTimer(cancelTimeout)
	defer timer.Stop()
	select {
	case end := <-run.ended:
		return end
	case <-timer.C:
		return workerLost
	}
}

var errSessionDropped = eris.New("the session of the worker has ended")

var workerLost = runEnd{jobpages.Interrupted, dispatch.Inconclusive, 0, "worker_lost"}

// assign returns the session of the worker in a data centre with the fewest runs, or
// nil if there is none.
func (w *workers) assign(now time.Time, dataCentre string) *workerSession {
	candidates := w.candidates(dataCentre)
	w.mu.Lock()
	defer w.mu.Unlock()
	candidates = slices.DeleteFunc(candidates, func(address string) bool { return now.Sub(w.lostAt[address]) < workerBackoff })
	if len(candidates) == 0 {
		return nil
	}
	chosen := slices.MinFunc(candidates, func(a, b string) int { return cmp.Compare(w.runCount(a), w.runCount(b)) })
	session := w.sessions[chosen]
	if session == nil {
		session = &workerSession{address: chosen, runs: make(map[uint64]*remoteRun), heardAt: now}
		w.sessions[chosen] = session
	}
	return session
}

// runCount returns the number of runs of a worker. The caller must hold mu.
func (w *workers) runCount(address string) int {
	if session := w.sessions[address]; session != nil {
		return len(session.runs)
	}
	return 0
}

func (w *workers) add(session *workerSession, run *remoteRun, x *itemRun) (uint64, *pb.ItemRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRun++
	id := w.lastRun
	session.runs[id] = run
	// The timer starts when the run has been sent.
	run.silent = time.AfterFunc(workerOpenTimeout+workerSilence, func() { w.endSilent(session, run) })
	return id, &pb.ItemRun{
		Run: id, Address: x.grant.Address, Upstream: x.grant.Upstream, Item: x.item, Host: x.job.GetHost(),
		ResumeAfter: x.progress.LastEventID, Term: w.term, BornUnixMs: x.grant.StartUnixMs, Customer: jobpages.Owner(x.job),
	}
}

// remove ends a run. No output is passed on afterwards.
func (w *workers) remove(session *workerSession, id uint64) {
	w.mu.Lock()
	run := session.runs[id]
	delete(session.runs, id)
	w.mu.Unlock()
	run.silent.Stop()
	run.mu.Lock()
	defer run.mu.Unlock()
	run.output = nil
}

// endSilent ends a run without output, and the session if it had no report either.
func (w *workers) endSilent(session *workerSession, run *remoteRun) {
	w.mu.Lock()
	silent := time.Since(session.heardAt) >= workerSilence
	w.mu.Unlock()
	w.logger.Warn(eventlog.DependencyLost, "dependency", "worker", "address", session.address, "error", "no output of a run", "session_silent", silent)
	run.finish(workerLost)
	if silent {
		w.drop(session)
	}
}

// send sends a run to a worker, and opens the stream if there is none.
func (w *workers) send(ctx context.Context, session *workerSession, message *pb.ItemRun) error {
	session.opening.Lock()
	if session.dropped {
		session.opening.Unlock()
		return errSessionDropped
	}
	if session.stream == nil {
		openCtx, cancel := context.WithTimeout(ctx, workerOpenTimeout)
		stream, err := w.transport.Open(openCtx, transport.Batch, session.address)
		cancel()
		if err != nil {
			session.opening.Unlock()
			return err
		}
		session.stream = stream
		w.tasks.Go(func() { w.receive(session, stream) })
	}
	session.opening.Unlock()
	return session.stream.Send(&pb.Envelope{Body: &pb.Envelope_ItemRun{ItemRun: message}})
}

// receive applies the reports of a worker until its stream ends.
func (w *workers) receive(session *workerSession, stream *transport.Stream) {
	defer w.drop(session)
	for {
		envelope, err := stream.Receive()
		if err != nil {
			return
		}
		for _, progress := range envelope.GetItemRunReport().GetRuns() {
			w.apply(session, progress)
		}
	}
}

func (w *workers) apply(session *workerSession, progress *pb.ItemRunProgress) {
	w.mu.Lock()
	run, known := session.runs[progress.GetRun()]
	session.heardAt = time.Now()
	w.mu.Unlock()
	if !known {
		return
	}
	run.silent.Reset(workerSilence)
	run.onStatement(reportedStatement(progress))
	run.mu.Lock()
	if progress.GetEvents() > 0 && run.output != nil {
		run.output(progress.GetText(), int(progress.GetEvents()), progress.GetLastEvent())
	}
	run.mu.Unlock()
	if end := progress.GetEnd(); end != nil {
		run.silent.Stop()
		run.finish(runEnd{jobpages.RunOutcome(end.GetOutcome()), dispatch.Outcome(end.GetSlotOutcome()), int(end.GetStatus()), end.GetReason()})
	}
}

// reportedStatement returns what the upstream of a run states according to its worker.
func reportedStatement(progress *pb.ItemRunProgress) engineStatement {
	return engineStatement{progress.GetLeaving(), progress.GetAcceptedPerSecond(), progress.GetRateStated()}
}

func (r *remoteRun) finish(end runEnd) {
	select {
	case r.ended <- end:
	default:
	}
}

// drop ends the session of a worker and its runs.
func (w *workers) drop(session *workerSession) {
	w.mu.Lock()
	if w.sessions[session.address] == session {
		delete(w.sessions, session.address)
		w.lostAt[session.address] = time.Now()
	}
	for _, run := range session.runs {
		run.silent.Stop()
		run.finish(workerLost)
	}
	w.mu.Unlock()
	session.opening.Lock()
	defer session.opening.Unlock()
	session.dropped = true
	if session.stream != nil {
		_ = session.stream.Close()
	}
}

// close ends all sessions.
func (w *workers) close() {
	w.mu.Lock()
	var open []*workerSession
	for _, session := range w.sessions {
		open = append(open, session)
	}
	w.mu.Unlock()
	for _, session := range open {
		w.drop(session)
	}
	w.tasks.Wait()
}
