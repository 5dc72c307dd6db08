package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/fleet"
)

func versionedUpstream(id, version string, slots int) fleet.Upstream {
	u := readyUpstream(id, "near", slots)
	u.SoftwareVersion = version
	return u
}

func boundRequest(id uint64, version string, wait time.Duration) SlotRequest {
	request := onlineRequest(id, wait)
	request.Bound, request.SoftwareVersion = true, version
	return request
}

func TestABoundRequestIsGrantedOnlyItsVersion(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(versionedUpstream("a", "1", 1), versionedUpstream("b", "2", 8))
	g, _ := requestSlot(p, start, boundRequest(1, "1", time.Second))
	expect.Expect(g.Upstream).To(Equal("a"))
	expect.Expect(g.SoftwareVersion).To(Equal("1"))
	g, refused := requestSlot(p, start, boundRequest(2, "1", time.Second))
	expect.Expect(g).To(BeNil())
	expect.Expect(refused).To(BeNil())
	_, refused = requestSlot(p, start, boundRequest(3, "3", time.Second))
	expect.Expect(refused.Reason).To(Equal(NoUpstream))
}

// Few upstreams can go on with a stream, and its caller has a part of it already.
func TestABoundRequestIsGrantedBeforeOthers(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(versionedUpstream("a", "1", 1))
	running, _ := requestSlot(p, start, onlineRequest(1, time.Second))
	requestSlot(p, start, onlineRequest(2, time.Second))
	requestSlot(p, start, boundRequest(3, "1", time.Second))
	p.Release(timeAt(10), *running, Served)
	granted, _ := p.Drain()
	expect.Expect(granted).To(HaveLen(1))
	expect.Expect(granted[0].SlotRequestID).To(BeEquivalentTo(3))
}

func TestAWaitingBoundRequestDelaysNoOthers(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(versionedUpstream("a", "1", 1), versionedUpstream("b", "2", 8))
	requestSlot(p, start, boundRequest(1, "1", time.Second))
	waiting, _ := requestSlot(p, start, boundRequest(2, "1", time.Second))
	expect.Expect(waiting).To(BeNil())
	g, _ := requestSlot(p, start, onlineRequest(3, time.Second))
	expect.Expect(g.Upstream).To(Equal("b"))
	g, _ = requestSlot(p, start, boundRequest(4, "2", time.Second))
	expect.Expect(g.Upstream).To(Equal("b"))
}

// The only upstream of a version broke a stream off; that is better than to cut it.
func TestABoundRequestReturnsToTheOnlyUpstreamOfItsVersion(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(versionedUpstream("a", "1", 2), versionedUpstream("b", "2", 2))
	request := boundRequest(1, "1", time.Second)
	request.Avoid = []string{"a"}
	g, _ := requestSlot(p, start, request)
	expect.Expect(g.Upstream).To(Equal("a"))
	p.UpdateUpstream(versionedUpstream("c", "1", 1))
	request.ID = 2
	g, _ = requestSlot(p, start, request)
	expect.Expect(g.Upstream).To(Equal("c"))
}

// The only upstream of the version has just failed the stream. To send it there again
// at once would fail again, and others of its version do not wait for it.
func TestABoundRequestReturnsToAnUpstreamOnceItIsNotSuspect(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(versionedUpstream("a", "1", 2), versionedUpstream("b", "2", 2))
	failing, _ := requestSlot(p, start, boundRequest(1, "1", time.Second))
	p.Release(start, *failing, Failed)
	again := boundRequest(2, "1", time.Second)
	again.Avoid = []string{"a"}
	g, refused := requestSlot(p, start, again)
	expect.Expect(g).To(BeNil())
	expect.Expect(refused).To(BeNil())
	p.Tick(start.Add(initialSuspicion - time.Millisecond))
	granted, refusals := p.Drain()
	expect.Expect(granted).To(BeEmpty())
	expect.Expect(refusals).To(BeEmpty())
	p.Tick(start.Add(initialSuspicion))
	granted, _ = p.Drain()
	expect.Expect(granted).To(HaveLen(1))
	expect.Expect(granted[0].SlotRequestID).To(BeEquivalentTo(2))
	expect.Expect(granted[0].Upstream).To(Equal("a"))
}

func TestARequestIsNotGrantedAnUpstreamBeforeItsTime(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(versionedUpstream("a", "1", 8), versionedUpstream("b", "1", 2))
	request := boundRequest(1, "1", time.Second)
	request.NotBefore = map[string]time.Time{"a": timeAt(300)}
	g, _ := requestSlot(p, start, request)
	expect.Expect(g.Upstream).To(Equal("b"))
	request.ID, request.Avoid = 2, []string{"b"}
	g, _ = requestSlot(p, start, request)
	expect.Expect(g).To(BeNil())
	p.Tick(timeAt(299))
	granted, _ := p.Drain()
	expect.Expect(granted).To(BeEmpty())
	p.Tick(timeAt(300))
	granted, _ = p.Drain()
	expect.Expect(granted).To(HaveLen(1))
	expect.Expect(granted[0].Upstream).To(Equal("a"))
}

// busyVersions returns a pool whose one slot of version 1 and nine slots of version 2
// are taken, and the grants by upstream. A slot has become free every 50 ms.
func busyVersions(t *testing.T) (p *Pool, running map[string][]*Grant) {
	t.Helper()
	p = newPool(versionedUpstream("a", "1", 1), versionedUpstream("b", "2", 9))
	var first []*Grant
	for i := range uint64(10) {
		g, _ := requestSlot(p, start, onlineRequest(i, time.Second))
		first = append(first, g)
	}
	running = make(map[string][]*Grant)
	for i, g := range first {
		p.Release(timeAt(500), *g, Served)
		g, _ = requestSlot(p, timeAt(500), onlineRequest(uint64(20+i), time.Second))
		running[g.Upstream] = append(running[g.Upstream], g)
	}
	NewWithT(t).Expect(running["a"]).To(HaveLen(1))
	NewWithT(t).Expect(running["b"]).To(HaveLen(9))
	return p, running
}

// Other daemons use the slots of the version too, so that the completions of this one do
// not tell when one is free.
func TestABoundRequestWaitsForMaxWaitAndNoLonger(t *testing.T) {
	expect := NewWithT(t)
	p, running := busyVersions(t)
	_, refused := requestSlot(p, timeAt(600), boundRequest(40, "1", 0))
	expect.Expect(refused.Reason).To(Equal(QueueFull))
	_, refused = requestSlot(p, timeAt(600), boundRequest(41, "1", 300*time.Millisecond))
	expect.Expect(refused).To(BeNil())
	p.Release(timeAt(700), *running["b"][0], Served)
	p.Tick(timeAt(899))
	granted, refusals := p.Drain()
	expect.Expect(granted).To(BeEmpty())
	expect.Expect(refusals).To(BeEmpty())
	p.Tick(timeAt(900))
	granted, refusals = p.Drain()
	expect.Expect(granted).To(BeEmpty())
	expect.Expect(refusals).To(HaveLen(1))
	expect.Expect(refusals[0].Reason).To(Equal(WaitTimeout))
	expect.Expect(refusals[0].SlotRequestID).To(BeEquivalentTo(41))
	expect.Expect(p.QueueLength()).To(BeZero())
}

func TestAWaitingBoundRequestIsGrantedTheFirstFreeSlotOfItsVersion(t *testing.T) {
	expect := NewWithT(t)
	p, running := busyVersions(t)
	for id := range uint64(2) {
		g, refused := requestSlot(p, timeAt(600), boundRequest(41+id, "1", 300*time.Millisecond))
		expect.Expect(g).To(BeNil())
		expect.Expect(refused).To(BeNil())
	}
	p.Release(timeAt(850), *running["a"][0], Served)
	granted, refused := p.Drain()
	expect.Expect(refused).To(BeEmpty())
	expect.Expect(granted).To(HaveLen(1))
	expect.Expect(granted[0].SlotRequestID).To(BeEquivalentTo(41))
	expect.Expect(granted[0].Upstream).To(Equal("a"))
	p.UpdateUpstream(fleet.Upstream{ID: "a", Service: "s", DataCentre: "near", Slots: 1, Phase: fleet.Draining, SoftwareVersion: "1"})
	_, noUpstream := requestSlot(p, timeAt(860), boundRequest(50, "1", 300*time.Millisecond))
	expect.Expect(noUpstream.Reason).To(Equal(NoUpstream))
}

// Requests that wait for the one slot of version 1 do not delay those that may use the
// nine of version 2.
func TestManyWaitingBoundRequestsDelayOthersByTheSlotsOfTheirVersion(t *testing.T) {
	expect := NewWithT(t)
	p, running := busyVersions(t)
	for id := range uint64(20) {
		_, refused := requestSlot(p, timeAt(600), boundRequest(100+id, "1", time.Second))
		expect.Expect(refused).To(BeNil())
	}
	_, refused := requestSlot(p, timeAt(600), onlineRequest(41, 50*time.Millisecond))
	expect.Expect(refused.Reason).To(Equal(QueueFull))
	_, refused = requestSlot(p, timeAt(600), onlineRequest(42, 60*time.Millisecond))
	expect.Expect(refused).To(BeNil())
	_, refused = requestSlot(p, timeAt(600), boundRequest(200, "2", time.Second))
	expect.Expect(refused).To(BeNil())
	p.Release(timeAt(650), *running["b"][0], Served)
	p.Release(timeAt(650), *running["b"][1], Served)
	granted, _ := p.Drain()
	expect.Expect(granted).To(HaveLen(2))
	expect.Expect(granted[0].SlotRequestID).To(BeEquivalentTo(200))
	expect.Expect(granted[1].SlotRequestID).To(BeEquivalentTo(42))
}

// An item that is bound to a busy version starts again at another one if that has slots.
func TestHasSlotTellsWhetherARequestWouldBeGranted(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(versionedUpstream("a", "1", 2), versionedUpstream("b", "2", 3))
	request := batchRequest(1)
	request.Bound, request.SoftwareVersion = true, "1"
	g, _ := requestSlot(p, start, request)
	expect.Expect(g.Upstream).To(Equal("a"))
	expect.Expect(p.HasSlot(start, request)).To(BeFalse())
	for id := range uint64(2) {
		expect.Expect(p.HasSlot(start, batchRequest(0))).To(BeTrue())
		g, _ = requestSlot(p, start, batchRequest(id+2))
		expect.Expect(g.Upstream).To(Equal("b"))
	}
	expect.Expect(p.HasSlot(start, batchRequest(0))).To(BeFalse())
}
