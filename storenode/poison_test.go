package storenode

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/pb"
)

// A run whose engine stays silent is ended by this daemon. Its engine is not lost, and the
// prompts of all items would be in quarantine once engines are slow.
func TestSilentEnginesAccuseNoPrompt(t *testing.T) {
	expect := NewWithT(t)
	l := startTestLeader(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	request := itemRequest(&pb.PageItem{Id: "i", Path: "/p"}, "h", server.Listener.Addr().String(), "u", "")
	end := runAtUpstream(t.Context(), l.engines, request, 20*time.Millisecond, func(engineStatement) {}, func([]byte, int, string) {})
	expect.Expect(end.reason).To(Equal(silentUpstream))
	expect.Expect(end.outcome).To(Equal(jobpages.Interrupted))
	expect.Expect(end.interrupted()).To(BeFalse())
}

// crashingUpstreams returns upstreams that crash when they begin to answer, until sound is set.
func crashingUpstreams(t *testing.T, count int, sound *atomic.Bool) []fleet.Upstream {
	t.Helper()
	var upstreams []fleet.Upstream
	for i := range count {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			if !sound.Load() {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "id: 1\ndata: one\n\n")
		}))
		t.Cleanup(server.Close)
		upstreams = append(upstreams, fleet.Upstream{
			ID: strconv.Itoa(i), Service: testService, Address: server.Listener.Addr().String(), DataCentre: "d", Slots: 4,
			Phase: fleet.Ready, LastHeartbeat: time.Now(),
		})
	}
	return upstreams
}

// An item under which one engine after another crashes went to the next one at once for as long
// as its job was kept: an interrupted run is no failed attempt. It is still owed.
func TestItemCrashesOneEngineAfterAnother(t *testing.T) {
	expect := NewWithT(t)
	l := startTestLeader(t)
	var sound atomic.Bool
	l.node.Slots.UpdateUpstreams(crashingUpstreams(t, 8, &sound))
	item := &pb.PageItem{Id: "i", Path: "/p", Headers: []*pb.HeaderField{{Name: "Test-Prompt-Part", Value: "part"}}}
	l.propose(&pb.Command{Op: &pb.Command_PageSubmit{PageSubmit: &pb.PageSubmit{
		JobId: "j", Host: "h", DueMs: 600_000, KeepMs: 600_000, RetainMs: 600_000, Attempts: 3, Items: []*pb.PageItem{item},
	}}})
	key := jobpages.ItemKey{JobID: "j"}
	runsOf := func(runs int) func() bool {
		return func() bool {
			l.tick()
			progress := l.progress(key)
			return progress.FruitlessRuns == runs && progress.Upstream == ""
		}
	}
	expect.Eventually(runsOf(jobpages.FruitlessLimit), testTimeout, 5*time.Millisecond).Should(BeTrue())
	expect.Expect(l.node.state.IsItemOpen("j", 0)).To(BeTrue())
	_, quarantined := l.node.Quarantine.Check(l.promptParts(item))
	expect.Expect(quarantined).To(BeTrue())

	l.mu.Lock()
	runnable := func(after time.Duration) []jobpages.ItemKey {
		return l.scheduler.RunnableItems(time.Now().Add(after), l.node.state.OpenItems(), l.estimator)
	}
	expect.Expect(runnable(500 * time.Millisecond)).To(BeEmpty())
	expect.Expect(runnable(time.Second)).To(Equal([]jobpages.ItemKey{key}))
	l.mu.Unlock()

	sound.Store(true)
	expect.Eventually(func() bool {
		l.tick()
		return l.node.state.IsItemOpen("j", 0)
	}, testTimeout, 5*time.Millisecond).Should(BeFalse())
	_, quarantined = l.node.Quarantine.Check(l.promptParts(item))
	expect.Expect(quarantined).To(BeFalse())
}

// Items with a part in quarantine were kept back until their abandon time, also if the part was
// accused wrongly. One of them is tried at a time.
func TestItemsWithAQuarantinedPartAreKeptBack(t *testing.T) {
	expect := NewWithT(t)
	r := &runner{}
	now := time.Now()
	expect.Expect(r.mayTry(now)).To(BeTrue())
	r.setTried(now)
	expect.Expect(r.mayTry(now.Add(trialInterval - time.Millisecond))).To(BeFalse())
	expect.Expect(r.mayTry(now.Add(trialInterval))).To(BeTrue())
}

// One item for a version of the weights that no engine has took all engines away from the leader, so
// that no item was started any more. It went to the next engine every 50 ms.
func TestItemWithAnUnmetConditionTakesNoEngineAway(t *testing.T) {
	expect := NewWithT(t)
	l := startTestLeader(t)
	var upstreams []fleet.Upstream
	for i := range 6 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			if r.Header.Get("Condition") != "" {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			_, _ = io.WriteString(w, "id: 1\ndata: one\n\n")
		}))
		t.Cleanup(server.Close)
		upstreams = append(upstreams, fleet.Upstream{
			ID: strconv.Itoa(i), Service: testService, Address: server.Listener.Addr().String(), DataCentre: "d", Slots: 4,
			Phase: fleet.Ready, LastHeartbeat: time.Now(),
		})
	}
	l.node.Slots.UpdateUpstreams(upstreams)
	submit := func(job string, headers ...*pb.HeaderField) {
		l.propose(&pb.Command{Op: &pb.Command_PageSubmit{PageSubmit: &pb.PageSubmit{
			JobId: job, Host: "h", DueMs: 600_000, KeepMs: 600_000, RetainMs: 600_000, Attempts: 3,
			Items: []*pb.PageItem{{Id: job, Path: "/p", Headers: headers}},
		}}})
	}
	submit("unmet", &pb.HeaderField{Name: "Condition", Value: "2"})
	key := jobpages.ItemKey{JobID: "unmet"}
	expect.Eventually(func() int {
		l.tick()
		progress := l.progress(key)
		return progress.FruitlessRuns
	}, testTimeout, 5*time.Millisecond).Should(Equal(jobpages.FruitlessLimit + 1))
	submit("sound")
	expect.Eventually(func() bool {
		l.tick()
		return l.node.state.IsItemOpen("sound", 0)
	}, testTimeout, 5*time.Millisecond).Should(BeFalse())
	expect.Expect(l.node.state.IsItemOpen("unmet", 0)).To(BeTrue())
}
