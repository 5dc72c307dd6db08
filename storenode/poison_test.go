package storenode

import (
	"net/http"
	"net/http/httptest"
	"strconv"
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

// Items whose prompt crashes engines went from engine to engine until their job was
// abandoned: an interrupted run is no failed attempt.
func TestItemCrashesOneEngineAfterAnother(t *testing.T) {
	expect := NewWithT(t)
	l := startTestLeader(t)
	var upstreams []fleet.Upstream
	for i := range 8 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(server.Close)
		upstreams = append(upstreams, fleet.Upstream{
			ID: strconv.Itoa(i), Service: testService, Address: server.Listener.Addr().String(), DataCentre: "d", Slots: 4,
			Phase: fleet.Ready, LastHeartbeat: time.Now(),
		})
	}
	l.node.Slots.UpdateUpstreams(upstreams)
	l.propose(&pb.Command{Op: &pb.Command_PageSubmit{PageSubmit: &pb.PageSubmit{
		JobId: "j", Host: "h", DueMs: 600_000, KeepMs: 600_000, RetainMs: 600_000, Attempts: 3,
		Items: []*pb.PageItem{{Id: "i", Path: "/p", Headers: []*pb.HeaderField{{Name: "Test-Prompt-Part", Value: "deadly"}}}},
	}}})
	item := &pb.PageItem{Headers: []*pb.HeaderField{{Name: "Test-Prompt-Part", Value: "deadly"}}}
	expect.Eventually(func() bool {
		l.tick()
		_, quarantined := l.node.Quarantine.Check(l.promptParts(item))
		return quarantined
	}, testTimeout, 5*time.Millisecond).Should(BeTrue())
	expect.Expect(l.node.state.IsItemOpen("j", 0)).To(BeTrue())

	key := jobpages.ItemKey{JobID: "j"}
	expect.Eventually(func() string { return l.progress(key).Upstream }, testTimeout, time.Millisecond).Should(BeEmpty())
	l.postpone(key, item)
	l.mu.Lock()
	defer l.mu.Unlock()
	expect.Expect(l.scheduler.RunnableItems(time.Now(), l.node.state.OpenItems(), l.estimator)).To(BeEmpty())
	expect.Expect(l.scheduler.RunnableItems(time.Now().Add(quarantineRecheck), l.node.state.OpenItems(), l.estimator)).To(Equal([]jobpages.ItemKey{key}))
}
