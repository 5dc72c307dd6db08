package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/fleet"
)

// The former engine of an address still counts as heard. Once the present one has answered in its
// place, the present one must serve, though its heartbeats are missing.
func TestAnEngineThatAnotherOneAnsweredForDisplacesNone(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	p := New(Options{})
	for id, silent := range map[string]bool{"former": false, "current": true} {
		p.UpdateUpstream(fleet.Upstream{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 8, Phase: fleet.Ready, Silent: silent})
	}
	request := func(id uint64) Grant {
		p.Request(now, SlotRequest{ID: id, Service: "s", Class: Online})
		granted, _ := p.Drain()
		expect.Expect(granted).To(HaveLen(1))
		return granted[0]
	}
	first := request(1)
	expect.Expect(first.Upstream).To(Equal("former"))
	p.Release(now, first, OtherInstance)
	expect.Expect(request(2).Upstream).To(Equal("current"))
}
