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

// The slots of a version become free at its share of the rate of the service.
func TestABoundRequestIsRefusedIfItsVersionIsTooBusy(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(versionedUpstream("a", "1", 1), versionedUpstream("b", "2", 9))
	var running []*Grant
	for i := range uint64(10) {
		g, _ := requestSlot(p, start, onlineRequest(i, time.Second))
		running = append(running, g)
	}
	for i, g := range running {
		p.Release(timeAt(500), *g, Served)
		g, _ = requestSlot(p, timeAt(500), onlineRequest(uint64(20+i), time.Second))
		expect.Expect(g).NotTo(BeNil())
	}
	_, refused := requestSlot(p, timeAt(600), onlineRequest(40, 300*time.Millisecond))
	expect.Expect(refused).To(BeNil())
	_, refused = requestSlot(p, timeAt(600), boundRequest(41, "1", 300*time.Millisecond))
	expect.Expect(refused.Reason).To(Equal(QueueFull))
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
