package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/fleet"
)

func TestEachUpstreamCountsOnce(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	p := New(Options{DataCentre: "d", BatchReserve: 1})
	add := func(id, address string, phase fleet.Phase, silent bool) {
		p.UpdateUpstream(fleet.Upstream{ID: id, Service: "s", Address: address, DataCentre: "d", Slots: 2, Phase: phase, Silent: silent})
	}
	add("free", "1", fleet.Ready, false)
	add("displaced", "1", fleet.Ready, true)
	add("full", "2", fleet.Ready, false)
	add("silent", "3", fleet.Ready, true)
	add("drains", "4", fleet.Draining, false)
	add("leaves", "5", fleet.Ready, false)
	add("gone", "6", fleet.Gone, false)
	add("suspect", "7", fleet.Ready, false)
	p.MarkLeaving(now, LeavingNotice{Upstream: "leaves", Source: SourceAnswer})
	p.ApplyLoadReport(now, LoadReport{Peer: "p", Sequence: 1, DataCentre: "d", Loads: []UpstreamLoad{{Upstream: "full", Online: 1}, {Upstream: "suspect", SuspectFor: time.Second}}})
	expect.Expect(p.Counts(now)).To(Equal(UpstreamCounts{Gone: 1, Leaving: 2, Displaced: 1, Silent: 1, Suspect: 1, Full: 1, Free: 1}))
}
