package controlnode

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/fleet"
)

// nameServices puts a routing table in force that names some services.
func (r testReplica) nameServices(version uint64, names ...string) {
	r.services.routing = func() *acceptedRouting {
		return &acceptedRouting{version: version, document: []byte(strings.Join(names, ","))}
	}
	r.services.decode = func(document []byte) ([]string, error) { return strings.Split(string(document), ","), nil }
}

func ready(id, service string, startUnixMs, sequence uint64) fleet.Upstream {
	return fleet.Upstream{ID: id, StartUnixMs: startUnixMs, Sequence: sequence, Service: service, Address: "10.0.0.1:80", Slots: 8, Phase: fleet.Ready}
}

// Another writer sends a heartbeat for the address, or under the ID, of a sound upstream. That
// was gone for two minutes.
func TestHeartbeatOfAnUnnamedServiceReplacesASoundUpstream(t *testing.T) {
	for name, foreign := range map[string]fleet.Upstream{"its address": ready("x", "nobody", 9, 1), "its ID": ready("a", "nobody", 9, 1)} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			r := newTestReplica(t, "c1", newTestClock())
			r.nameServices(1, "s")
			r.RecordHeartbeat(ready("a", "s", 7, 1))
			r.RecordHeartbeat(foreign)
			r.RecordHeartbeat(ready("a", "s", 7, 2))
			expect.Expect(r.isUsable("a")).To(BeTrue())
			u, _ := r.upstreams.Get("a")
			expect.Expect(u.Service).To(Equal("s"))
			expect.Expect(u.Sequence).To(BeEquivalentTo(2))
		})
	}
}

// Engines of a service begin to report before the configuration names it.
func TestUpstreamIsUsedOnceItsServiceIsNamed(t *testing.T) {
	expect := NewWithT(t)
	r := newTestReplica(t, "c1", newTestClock())
	r.nameServices(1, "s")
	r.RecordHeartbeat(ready("b", "later", 7, 1))
	r.RecordHeartbeat(ready("c", "later", 7, 1))
	r.Deregister("c")
	_, known := r.upstreams.Get("b")
	expect.Expect(known).To(BeFalse())
	r.nameServices(2, "s", "later")
	r.updateServices()
	expect.Expect(r.isUsable("b")).To(BeTrue())
	expect.Expect(r.isUsable("c")).To(BeFalse())
}

func TestHeartbeatsOfUnnamedServicesAreBounded(t *testing.T) {
	expect := NewWithT(t)
	r := newTestReplica(t, "c1", newTestClock())
	r.nameServices(1, "s")
	for i := range 2 * maxUnnamed {
		r.RecordHeartbeat(ready(strings.Repeat("x", i), "nobody", 7, 1))
	}
	expect.Expect(r.services.unnamed).To(HaveLen(maxUnnamed))
}
