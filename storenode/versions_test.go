package storenode

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/replica"
	"github.com/briarcross/briarcross/routing"
)

const (
	testService = "s"
	// eventsPerItem is the number of events of an item; a held engine stops after
	// heldEvents of them.
	eventsPerItem = 4
	heldEvents    = 2
)

// newTestTable returns a routing table with a route for each path prefix.
func newTestTable(t *testing.T, services []routing.Service, splits map[string][]routing.Split) *routing.Table {
	t.Helper()
	table := &routing.Table{Version: 1, Services: services}
	for prefix, split := range splits {
		table.Routes = append(table.Routes, routing.Route{Name: prefix, Host: "h", PathPrefix: prefix, Kind: routing.Bulk, Timeout: time.Second, Splits: split})
	}
	if err := table.Build(); err != nil {
		t.Fatal(err)
	}
	return table
}

// versionEngine is an engine of one software version. It goes on after the event that
// the request names.
type versionEngine struct {
	upstream fleet.Upstream
	// held is closed to let runs go on after heldEvents events.
	held   chan struct{}
	after  chan string
	server *httptest.Server
}

func startVersionEngine(t *testing.T, id, version string, slots int) *versionEngine {
	t.Helper()
	e := &versionEngine{held: make(chan struct{}), after: make(chan string, 16)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		e.after <- request.Header.Get("After")
		done, _ := strconv.Atoi(request.Header.Get("After"))
		w.Header().Set("Id", request.Header.Get("Id"))
		w.WriteHeader(http.StatusOK)
		for n := done + 1; n <= eventsPerItem; n++ {
			if n > heldEvents {
				select {
				case <-e.held:
				case <-request.Context().Done():
					return
				}
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, version, n)
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	e.server = server
	e.upstream = fleet.Upstream{
		ID: id, Service: testService, Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "d", Slots: slots,
		Phase: fleet.Ready, SoftwareVersion: version, LastHeartbeat: time.Now(),
	}
	return e
}

// testLeader is a leader of a storage group of one replica.
type testLeader struct {
	*runner
	t *testing.T
	// table leads paths with the prefix /p to testService.
	table *routing.Table
	// acceptedUnder is the version of the routing table under which jobs are accepted.
	acceptedUnder uint64
}

func startTestLeader(t *testing.T, engines ...*versionEngine) *testLeader {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	slots := node.NewSlotPool(dispatch.Options{DataCentre: "d", Seed: 1}, noHooks)
	n := &Node{Dispatcher: &node.Dispatcher{Slots: slots, Quarantine: node.NewQuarantine(log.New(io.Discard), func() {})}, logger: log.New(io.Discard), state: jobpages.NewState(), ctx: ctx, cancel: cancel}
	counter := func(label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "test"}, []string{label})
	}
	n.metrics = &metrics{settled: counter("outcome"), stopped: counter("reason"), restarted: counter("reason"), postponed: prometheus.NewCounter(prometheus.CounterOpts{Name: "test"}), runTime: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "test"}),
		stalled: prometheus.NewGauge(prometheus.GaugeOpts{Name: "test"}), stalls: counter("reason"),
		notRecorded: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "test"}, []string{"outcome", "error"})}
	n.runner = newRunner(n, testCodec{})
	n.runner.workers = startLeader(t, 1)
	self := &pb.Replica{Id: "r", Address: "r"}
	ready := make(chan struct{})
	group, err := replica.Open(replica.Options{
		ID: "r", Address: "r", Group: groupID, Bootstrap: []*pb.Replica{self}, StateMachine: n.state, Send: func(*pb.QuorumMessage) {},
		TickInterval: 5 * time.Millisecond,
		OnLeadershipChange: func(_ uint64, leading bool) {
			if leading {
				close(ready)
			}
		},
		OnStorageError: func(err error) { t.Errorf("replica failed: %v", err) },
	})
	if err != nil {
		t.Fatal(err)
	}
	n.replica.Store(group)
	t.Cleanup(func() {
		n.runner.mu.Lock()
		n.runner.cancel()
		n.runner.mu.Unlock()
		cancel()
		n.runner.tasks.Wait()
		_ = group.Close()
	})
	l := &testLeader{n.runner, t, newTestTable(t, []routing.Service{{Name: testService}}, map[string][]routing.Split{"/p": {{Service: testService, Weight: 1}}}), 0}
	l.setEngines(engines...)
	NewWithT(t).Eventually(ready, testTimeout, time.Millisecond).Should(BeClosed())
	return l
}

func (l *testLeader) setEngines(engines ...*versionEngine) {
	var upstreams []fleet.Upstream
	for _, e := range engines {
		upstreams = append(upstreams, e.upstream)
	}
	l.node.Slots.UpdateUpstreams(upstreams)
}

func (l *testLeader) propose(command *pb.Command) {
	l.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, controlErr := l.node.replica.Load().Propose(ctx, command); controlErr != nil {
		l.t.Fatal(controlErr.GetReason())
	}
}

// submit submits a job and returns the keys of its items.
func (l *testLeader) submit(jobID string, items int) []jobpages.ItemKey {
	l.t.Helper()
	return l.submitItems(jobID, slices.Repeat([]testItem{{path: "/p"}}, items)...)
}

type testItem struct {
	path   string
	tokens int
}

func (l *testLeader) submitItems(jobID string, items ...testItem) []jobpages.ItemKey {
	l.t.Helper()
	submit := &pb.PageSubmit{JobId: jobID, Host: "h", DueMs: 600_000, KeepMs: 600_000, RetainMs: 600_000, Attempts: 3, RoutingVersion: l.acceptedUnder}
	var keys []jobpages.ItemKey
	for i, item := range items {
		submit.Items = append(submit.Items, &pb.PageItem{
			Id: strconv.Itoa(i), Path: item.path, Headers: []*pb.HeaderField{{Name: "Test-Tokens", Value: strconv.Itoa(item.tokens)}},
		})
		keys = append(keys, jobpages.ItemKey{JobID: jobID, Index: uint32(i)})
	}
	l.propose(&pb.Command{Op: &pb.Command_PageSubmit{PageSubmit: submit}})
	return keys
}

// tick starts the runnable items, as the runner does on each tick.
func (l *testLeader) tick() {
	open := l.node.state.OpenItems()
	l.mu.Lock()
	runnable := l.scheduler.RunnableItems(time.Now(), open, l.estimator)
	l.mu.Unlock()
	l.startAll(runnable, l.table, 1)
}

// occupy takes slots of an upstream for online requests.
func (l *testLeader) occupy(upstream string, count int) {
	l.node.Slots.ApplyLoadReport(dispatch.LoadReport{Peer: "entry", Sequence: 1, Loads: []dispatch.UpstreamLoad{{Upstream: upstream, Online: count}}})
}

// running returns those of the items that run.
func (l *testLeader) running(keys []jobpages.ItemKey) []jobpages.ItemKey {
	return slices.DeleteFunc(slices.Clone(keys), func(key jobpages.ItemKey) bool { return l.progress(key).Upstream == "" })
}

func (l *testLeader) progress(key jobpages.ItemKey) jobpages.ItemProgress {
	l.mu.Lock()
	defer l.mu.Unlock()
	if progress := l.scheduler.Progress(key); progress != nil {
		return *progress
	}
	return jobpages.ItemProgress{}
}

// preemptItems preempts the runs of items at an engine once it holds all of them.
func (l *testLeader) preemptItems(e *versionEngine, keys []jobpages.ItemKey) {
	l.t.Helper()
	expect := NewWithT(l.t)
	for _, key := range keys {
		expect.Eventually(func() int { return l.progress(key).EventCount }, testTimeout, time.Millisecond).Should(Equal(heldEvents))
	}
	l.preempt(e.upstream.ID, len(keys))
	for _, key := range keys {
		expect.Eventually(func() string { return l.progress(key).Upstream }, testTimeout, time.Millisecond).Should(BeEmpty())
	}
}

// results returns the texts of the results of a job.
func (l *testLeader) results(jobID string) []string {
	var texts []string
	l.node.replica.Load().View(func(reader kv.Reader) {
		for _, entry := range jobpages.ReadPage(reader, &pb.PageQuery{JobId: jobID, MaxBytes: 1 << 20}).GetEntries() {
			texts = append(texts, string(entry.GetText()))
		}
	})
	return texts
}

func (l *testLeader) restarted(reason jobpages.RestartReason) float64 {
	l.t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(l.node.metrics.restarted)
	families, err := registry.Gather()
	if err != nil {
		l.t.Fatal(err)
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if metric.GetLabel()[0].GetValue() == string(reason) {
				return metric.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// output is the whole output of an item at a software version.
func output(version string) string {
	var events []string
	for n := range eventsPerItem {
		events = append(events, fmt.Sprintf("%s-%d", version, n+1))
	}
	return strings.Join(events, "\n")
}

// The result of an item held the first events of one software version and the last of
// another.
func TestPreemptedItemDoesNotGoOnAtAnotherVersion(t *testing.T) {
	expect := NewWithT(t)
	old, replacement := startVersionEngine(t, "a", "v1", 1), startVersionEngine(t, "b", "v2", 1)
	close(replacement.held)
	l := startTestLeader(t, old)
	keys := l.submit("j", 1)
	l.tick()
	l.preemptItems(old, keys)
	l.saveProgress()
	old.upstream.Phase = fleet.Gone
	l.setEngines(old, replacement)
	l.tick()
	expect.Eventually(func() []string { return l.results("j") }, testTimeout, time.Millisecond).Should(Equal([]string{output("v2")}))
	expect.Expect(<-replacement.after).To(BeEmpty())
	expect.Expect(l.restarted(jobpages.VersionGone)).To(Equal(1.0))
}

// An item went on at any engine, though another one of its version was there.
func TestPreemptedItemGoesOnAtAnotherEngineOfItsVersion(t *testing.T) {
	expect := NewWithT(t)
	first, second, other := startVersionEngine(t, "a", "v1", 1), startVersionEngine(t, "b", "v1", 1), startVersionEngine(t, "c", "v2", 9)
	close(second.held)
	l := startTestLeader(t, first)
	keys := l.submit("j", 1)
	l.tick()
	l.preemptItems(first, keys)
	first.upstream.Phase = fleet.Gone
	l.setEngines(first, second, other)
	l.tick()
	expect.Eventually(func() []string { return l.results("j") }, testTimeout, time.Millisecond).Should(Equal([]string{output("v1")}))
	expect.Expect(<-second.after).To(Equal(strconv.Itoa(heldEvents)))
	expect.Expect(other.after).To(BeEmpty())
}

// An item whose engine breaks off goes on at another one of its version, not at the one
// with the most free slots.
func TestInterruptedItemGoesOnAtAnotherEngineOfItsVersion(t *testing.T) {
	expect := NewWithT(t)
	first, second, other := startVersionEngine(t, "a", "v1", 1), startVersionEngine(t, "b", "v1", 1), startVersionEngine(t, "c", "v2", 9)
	close(second.held)
	l := startTestLeader(t, first)
	keys := l.submit("j", 1)
	l.tick()
	expect.Eventually(func() int { return l.progress(keys[0]).EventCount }, testTimeout, time.Millisecond).Should(Equal(heldEvents))
	l.setEngines(second, other)
	first.server.CloseClientConnections()
	expect.Eventually(func() []string { l.tick(); return l.results("j") }, testTimeout, tickInterval).Should(Equal([]string{output("v1")}))
	expect.Expect(<-second.after).To(Equal(strconv.Itoa(heldEvents)))
	expect.Expect(other.after).To(BeEmpty())
}

// While the engines of its version serve others, an item must not wait for them
// forever, nor restart at once. The items behind it must not wait with it.
func TestItemOfABusyVersionWaitsShortlyAndHoldsUpNoOthers(t *testing.T) {
	expect := NewWithT(t)
	old, other := startVersionEngine(t, "a", "v1", 3), startVersionEngine(t, "b", "v2", 9)
	close(other.held)
	l := startTestLeader(t, old)
	bound := l.submit("bound", 3)
	l.tick()
	l.preemptItems(old, bound)
	old.upstream.Slots = 1
	l.setEngines(old, other)
	_, refused := l.node.Slots.Acquire(context.Background(), dispatch.SlotRequest{Service: testService, Class: dispatch.Online, Bound: true, SoftwareVersion: "v1"})
	expect.Expect(refused).To(BeNil())
	unbound := l.submit("unbound", 2)
	startedAt := time.Now()
	l.tick()
	for _, key := range unbound {
		expect.Eventually(func() bool { return l.node.state.IsItemOpen(key.JobID, key.Index) }, testTimeout, time.Millisecond).Should(BeFalse())
	}
	expect.Expect(l.results("bound")).To(BeEmpty())
	expect.Eventually(func() []string { l.tick(); return l.results("bound") }, testTimeout, tickInterval).
		Should(Equal([]string{output("v2"), output("v2"), output("v2")}))
	expect.Expect(time.Since(startedAt)).To(And(BeNumerically(">=", 2*time.Second), BeNumerically("<", 5*time.Second)))
	expect.Expect(l.restarted(jobpages.VersionBusy)).To(Equal(3.0))
}

// Output that a leader of an older build saved may be of any version.
func TestSavedOutputOfUnknownVersionIsNotContinued(t *testing.T) {
	expect := NewWithT(t)
	e := startVersionEngine(t, "a", "v2", 1)
	close(e.held)
	l := startTestLeader(t, e)
	l.submit("j", 1)
	saved := &pb.PageProgress{JobId: "j", Text: []byte("v1-1\nv1-2"), Events: 2, LastEvent: "2"}
	l.propose(&pb.Command{Op: &pb.Command_PageSave{PageSave: &pb.PageSave{Progress: []*pb.PageProgress{saved}}}})
	l.tick()
	expect.Eventually(func() []string { return l.results("j") }, testTimeout, time.Millisecond).Should(Equal([]string{output("v2")}))
	expect.Expect(l.restarted(jobpages.VersionUnknown)).To(Equal(1.0))
}

// A new leader continued saved output at any version.
func TestNewLeaderGoesOnAtTheSavedVersion(t *testing.T) {
	expect := NewWithT(t)
	first, second, other := startVersionEngine(t, "a", "v1", 1), startVersionEngine(t, "b", "v1", 1), startVersionEngine(t, "c", "v2", 9)
	close(second.held)
	l := startTestLeader(t, first)
	keys := l.submit("j", 1)
	l.tick()
	l.preemptItems(first, keys)
	l.saveProgress()
	l.tasks.Wait()
	l.mu.Lock()
	l.scheduler = jobpages.NewScheduler()
	l.mu.Unlock()
	first.upstream.Phase = fleet.Gone
	l.setEngines(first, second, other)
	l.tick()
	expect.Eventually(func() []string { return l.results("j") }, testTimeout, time.Millisecond).Should(Equal([]string{output("v1")}))
	expect.Expect(<-second.after).To(Equal(strconv.Itoa(heldEvents)))
}
