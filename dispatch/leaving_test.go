package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/fleet"
)

// startedUpstream returns a ready upstream with two slots that started at a time.
func startedUpstream(id string, startUnixMs uint64) fleet.Upstream {
	u := readyUpstream(id, "near", 2)
	u.StartUnixMs = startUnixMs
	return u
}

func leavingNotice(id string, startUnixMs uint64) LeavingNotice {
	return LeavingNotice{Upstream: id, StartUnixMs: startUnixMs, Request: "r", Source: SourceAnswer}
}

func TestLeavingUpstreamGetsRequests(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(startedUpstream("a", 1), startedUpstream("b", 1))
	p.MarkLeaving(start, leavingNotice("a", 1))
	for i := range uint64(2) {
		g, _ := requestSlot(p, start, onlineRequest(i, 0))
		expect.Expect(g.Upstream).To(Equal("b"))
		expect.Expect(g.StartUnixMs).To(BeEquivalentTo(1))
	}
	g, _ := requestSlot(p, start, onlineRequest(3, 0))
	expect.Expect(g).To(BeNil())
	p.MarkLeaving(start, leavingNotice("a", 1))
	expect.Expect(p.LeavingChanges()).To(HaveLen(1))
	expect.Expect(p.LeavingChanges()).To(BeEmpty())
}

func TestLaterReadyHeartbeatTakesALeavingNoticeBack(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(startedUpstream("a", 1))
	p.MarkLeaving(start, leavingNotice("a", 1))
	for _, phase := range []fleet.Phase{fleet.Ready, fleet.Draining, fleet.Ready} {
		u := startedUpstream("a", 1)
		u.Sequence, u.Phase = 9, phase
		p.UpdateUpstream(u)
		_, refused := requestSlot(p, start, onlineRequest(1, 0))
		expect.Expect(refused.Reason).To(Equal(NoUpstream))
	}
}

// An upstream without heartbeats is removed, and added again once it is heard.
func TestLeavingUpstreamIsUsedAfterSilence(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(startedUpstream("a", 1))
	p.MarkLeaving(start, leavingNotice("a", 1))
	p.RemoveUpstream("a")
	p.UpdateUpstream(startedUpstream("a", 1))
	_, refused := requestSlot(p, start, onlineRequest(1, 0))
	expect.Expect(refused.Reason).To(Equal(NoUpstream))
	gone := startedUpstream("a", 1)
	gone.Phase = fleet.Gone
	p.UpdateUpstream(gone)
	p.RemoveUpstream("a")
	expect.Expect(p.leaving).To(BeEmpty())
}

func TestNewStartIsTakenForOneThatLeft(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(startedUpstream("a", 1))
	p.MarkLeaving(start, leavingNotice("a", 1))
	p.UpdateUpstream(startedUpstream("a", 2))
	g, _ := requestSlot(p, start, onlineRequest(1, 0))
	expect.Expect(g.Upstream).To(Equal("a"))
	expect.Expect(g.StartUnixMs).To(BeEquivalentTo(2))
	p.MarkLeaving(start, leavingNotice("a", 1))
	g, _ = requestSlot(p, start, onlineRequest(2, 0))
	expect.Expect(g.Upstream).To(Equal("a"))
}

func TestBoundRequestReturnsToALeavingUpstream(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(versionedUpstream("a", "1", 2), versionedUpstream("b", "2", 2))
	p.MarkLeaving(start, leavingNotice("a", 0))
	request := boundRequest(1, "1", time.Second)
	request.Avoid = []string{"a"}
	_, refused := requestSlot(p, start, request)
	expect.Expect(refused.Reason).To(Equal(NoUpstream))
}

func TestQueuedRequestIsGrantedALeavingUpstream(t *testing.T) {
	expect := NewWithT(t)
	a, b := startedUpstream("a", 1), startedUpstream("b", 1)
	a.Slots, b.Slots = 1, 1
	p := newPool(a, b)
	running := make(map[string]*Grant)
	for i := range uint64(2) {
		g, _ := requestSlot(p, start, onlineRequest(i, time.Second))
		running[g.Upstream] = g
	}
	requestSlot(p, start, onlineRequest(3, time.Second))
	p.MarkLeaving(start, leavingNotice("a", 1))
	p.Release(timeAt(10), *running["a"], Served)
	granted, refused := p.Drain()
	expect.Expect(granted).To(BeEmpty())
	expect.Expect(refused).To(BeEmpty())
	p.Release(timeAt(20), *running["b"], Served)
	granted, _ = p.Drain()
	expect.Expect(granted).To(HaveLen(1))
	expect.Expect(granted[0].Upstream).To(Equal("b"))
}

func TestQueuedRequestWaitsThoughAllUpstreamsLeave(t *testing.T) {
	expect := NewWithT(t)
	a := startedUpstream("a", 1)
	a.Slots = 1
	p := newPool(a)
	requestSlot(p, start, onlineRequest(1, time.Second))
	requestSlot(p, start, onlineRequest(2, time.Second))
	p.MarkLeaving(timeAt(10), leavingNotice("a", 1))
	_, refused := p.Drain()
	expect.Expect(refused).To(HaveLen(1))
	expect.Expect(refused[0].Reason).To(Equal(NoUpstream))
	expect.Expect(refused[0].RetryAfter).To(BeNumerically(">", 0))
	expect.Expect(p.QueueLength()).To(BeZero())
}

// Engines of this platform report no start time; each start has a new ID.
func TestPeerOfADaemonUsesALeavingUpstream(t *testing.T) {
	for _, startUnixMs := range []uint64{0, 7} {
		expect := NewWithT(t)
		told := newPool(startedUpstream("a", startUnixMs))
		told.MarkLeaving(start, leavingNotice("a", startUnixMs))
		loads := told.Loads(start)
		expect.Expect(loads).To(Equal([]UpstreamLoad{{Upstream: "a", Leaving: true, LeavingStartUnixMs: startUnixMs}}))
		expect.Expect(told.Loads(start.Add(leavingShareTime))).To(BeEmpty())
		p := newPool(startedUpstream("a", startUnixMs))
		p.ApplyLoadReport(start, LoadReport{Peer: "told", Sequence: 1, DataCentre: "near", Loads: loads})
		_, refused := requestSlot(p, start, onlineRequest(1, 0))
		expect.Expect(refused.Reason).To(Equal(NoUpstream))
		expect.Expect(p.LeavingChanges()[0].Source).To(Equal(SourceReport))
		expect.Expect(p.Loads(start)).To(BeEmpty())
		p = newPool(startedUpstream("a", 8))
		p.ApplyLoadReport(start, LoadReport{Peer: "told", Sequence: 1, DataCentre: "near", Loads: loads})
		g, _ := requestSlot(p, start, onlineRequest(1, 0))
		expect.Expect(g.Upstream).To(Equal("a"))
	}
}
