package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func peerLoad(p *Pool, id string) int { return p.upstreams[id].peerGrants[Online] }

// A fleet that grows past the size of a mesh sends both kinds of report for a while.
func TestSummaryAndReportsOfDataCentreAreNotCountedTwice(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(readyUpstream("a", "near", 20))
	p.options.SummaryTimeout = time.Second
	p.options.PeerTimeout = time.Minute
	loads := func(online int) []UpstreamLoad { return []UpstreamLoad{{Upstream: "a", Online: online}} }
	p.ApplyLoadReport(start, LoadReport{Peer: "x", Sequence: 1, DataCentre: "far", Loads: loads(2)})
	p.ApplyLoadReport(start, LoadReport{Peer: "y", Sequence: 1, DataCentre: "near", Loads: loads(3)})
	p.ApplyLoadReport(start, LoadReport{Peer: "summary far", Sequence: 1, DataCentre: "far", Summary: true, Loads: loads(4)})
	expect.Expect(peerLoad(p, "a")).To(Equal(7))
	p.ApplyLoadReport(timeAt(500), LoadReport{Peer: "x", Sequence: 2, DataCentre: "far", Loads: loads(2)})
	expect.Expect(peerLoad(p, "a")).To(Equal(7))
	p.ApplyLoadReport(timeAt(1500), LoadReport{Peer: "x", Sequence: 3, DataCentre: "far", Loads: loads(2)})
	expect.Expect(peerLoad(p, "a")).To(Equal(5))
}

// Two relays send the summary of a data centre. It is the sum of the reports of its
// daemons and this one, without those of other data centres.
func TestDataCentreLoadsLeaveOutOtherDataCentres(t *testing.T) {
	expect := NewWithT(t)
	p := newPool(readyUpstream("a", "near", 20))
	_, _ = requestSlot(p, start, onlineRequest(1, 0))
	p.ApplyLoadReport(start, LoadReport{Peer: "y", Sequence: 1, DataCentre: "near", Loads: []UpstreamLoad{{Upstream: "a", Online: 3, Batch: 2, Failures: 1}}})
	p.ApplyLoadReport(start, LoadReport{Peer: "summary far", Sequence: 1, DataCentre: "far", Summary: true, Loads: []UpstreamLoad{{Upstream: "a", Online: 9}}})
	expect.Expect(p.DataCentreLoads(start)).To(Equal([]UpstreamLoad{{Upstream: "a", Online: 4, Batch: 2}}))
}

// Reports are applied as differences; these must add up to the sum of the latest
// reports.
func TestPeerGrantsAreSumOfLatestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(readyUpstream("a", "near", 20), readyUpstream("b", "far", 20))
		ids := []string{"a", "b", "unknown"}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			report := LoadReport{Peer: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "peer"), Sequence: uint64(i + 1), DataCentre: "near"}
			for _, id := range ids {
				report.Loads = append(report.Loads, UpstreamLoad{Upstream: id, Online: rapid.IntRange(0, 5).Draw(t, "online"), Failures: rapid.IntRange(0, 1).Draw(t, "failures")})
			}
			p.ApplyLoadReport(timeAt(i), report)
			if rapid.Bool().Draw(t, "join") {
				p.UpdateUpstream(readyUpstream("unknown", "near", 3))
			}
			if rapid.IntRange(0, 5).Draw(t, "expire") == 0 {
				p.expirePeers(timeAt(i))
			}
			want := make(map[string]int)
			for _, stored := range p.peerReports {
				for _, load := range stored.Loads {
					want[load.Upstream] += load.Online
				}
			}
			for id := range p.upstreams {
				if peerLoad(p, id) != want[id] {
					t.Fatalf("upstream %s: %d grants of peers, the reports sum up to %d", id, peerLoad(p, id), want[id])
				}
			}
		}
	})
}

func TestSilentUpstreamIsUsedLast(t *testing.T) {
	expect := NewWithT(t)
	silent := readyUpstream("silent", "near", 8)
	silent.Silent = true
	p := newPool(silent, readyUpstream("far", "far", 1))
	g, _ := requestSlot(p, start, onlineRequest(1, 0))
	expect.Expect(g.Upstream).To(Equal("far"))
	g, _ = requestSlot(p, start, onlineRequest(2, 0))
	expect.Expect(g.Upstream).To(Equal("silent"))
	g, _ = requestSlot(p, start, batchRequest(3))
	expect.Expect(g).To(BeNil())
}

// The summary with the load of a burst reaches the daemon that runs batch items after
// 100 ms; until then, online requests queue behind batch items at the upstreams.
func TestOnlineGrantBehindBatchOfPeerRequestsPreemption(t *testing.T) {
	expect := NewWithT(t)
	entry, runner := newPool(readyUpstream("a", "near", 4)), newPool(readyUpstream("a", "near", 4))
	for i := range 3 {
		_, _ = requestSlot(runner, start, batchRequest(uint64(i)))
	}
	entry.ApplyLoadReport(start, LoadReport{Peer: "runner", Sequence: 1, DataCentre: "far", Loads: runner.Loads(start)})
	for i := range 3 {
		_, _ = requestSlot(entry, start, onlineRequest(uint64(i), 0))
	}
	requests := entry.PreemptionRequests()
	expect.Expect(requests).To(Equal([]PreemptionRequest{{"a", 2}, {"a", 3}}))
	expect.Expect(entry.PreemptionRequests()).To(BeEmpty())
	expect.Expect(runner.RequestedPreemptions(requests[0])).To(Equal(1))
	expect.Expect(runner.RequestedPreemptions(requests[1])).To(Equal(2))
	expect.Expect(runner.RequestedPreemptions(PreemptionRequest{"unknown", 9})).To(BeZero())
	expect.Expect(runner.BatchPreemptions()).To(BeEmpty())
}
