package controlnode

import (
	"io"
	"os"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/node"
)

// newUnstartedNode returns a node that has only what the upstream table needs.
func newUnstartedNode(folder string) *Node {
	n := &Node{
		settings:    &node.Settings{DataDir: folder, HeartbeatInterval: time.Second},
		logger:      log.New(io.Discard),
		upstreams:   fleet.NewTable(),
		relayed:     make(map[string]bool),
		subscribers: newSubscribers(),
	}
	n.metrics = newMetrics(n)
	return n
}

// All daemons lose power at once while the upstreams keep running. A restarted
// replica must know the upstreams before their next heartbeats arrive.
func TestUpstreamsAreKnownAfterRestart(t *testing.T) {
	expect := NewWithT(t)
	folder := t.TempDir()
	before := newUnstartedNode(folder)
	for _, id := range []string{"a", "b", "c"} {
		before.RecordHeartbeat(fleet.Upstream{ID: id, StartUnixMs: 7, Sequence: 3, Service: "s", Address: id + ":1", Slots: 8, Phase: fleet.Ready})
	}
	before.RecordHeartbeat(fleet.Upstream{ID: "b", StartUnixMs: 7, Sequence: 4, Service: "s", Address: "b:1", Slots: 8, Phase: fleet.Draining})
	before.Deregister("c")
	before.saveUpstreams()

	after := newUnstartedNode(folder)
	after.loadUpstreams()
	for id, phase := range map[string]fleet.Phase{"a": fleet.Ready, "b": fleet.Draining, "c": fleet.Gone} {
		u, known := after.upstreams.Get(id)
		expect.Expect(known).To(BeTrue(), id)
		expect.Expect(u.Phase).To(Equal(phase), id)
	}
	a, _ := after.upstreams.Get("a")
	expect.Expect(time.Since(a.LastHeartbeat)).To(BeNumerically(">=", node.MaxMissedHeartbeats*time.Second))
}

// Engines of this platform have a new ID at each start, and report no start time. The
// saved table lists them by ID, so a former upstream may follow the present one of its
// address.
func TestRestartKeepsUpstreamsAtReusedAddresses(t *testing.T) {
	expect := NewWithT(t)
	folder := t.TempDir()
	before := newUnstartedNode(folder)
	heartbeat := func(id string, sequence uint64) fleet.Upstream {
		return fleet.Upstream{ID: id, Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Slots: 8, Phase: fleet.Ready}
	}
	before.RecordHeartbeat(heartbeat("former-crashed", 9))
	before.RecordHeartbeat(heartbeat("former-left", 5))
	before.Deregister("former-left")
	before.RecordHeartbeat(heartbeat("current", 1))
	before.saveUpstreams()

	after := newUnstartedNode(folder)
	after.loadUpstreams()
	u, _ := after.upstreams.Get("current")
	expect.Expect(u.Phase).To(Equal(fleet.Ready))
	after.RecordHeartbeat(heartbeat("current", 2))
	u, _ = after.upstreams.Get("current")
	expect.Expect(u.Phase).To(Equal(fleet.Ready))
	expect.Expect(u.Sequence).To(BeEquivalentTo(2))
	for _, id := range []string{"former-crashed", "former-left"} {
		former, _ := after.upstreams.Get(id)
		expect.Expect(former.Phase).NotTo(Equal(fleet.Ready), id)
	}
}

func TestDamagedUpstreamsFileIsIgnored(t *testing.T) {
	expect := NewWithT(t)
	n := newUnstartedNode(t.TempDir())
	n.RecordHeartbeat(fleet.Upstream{ID: "a", Service: "s", Address: "a:1", Slots: 8, Phase: fleet.Ready})
	n.saveUpstreams()
	raw, err := os.ReadFile(n.upstreamsPath())
	expect.Expect(err).NotTo(HaveOccurred())
	for _, damaged := range [][]byte{nil, raw[:5], append([]byte{raw[0] ^ 1}, raw[1:]...)} {
		expect.Expect(os.WriteFile(n.upstreamsPath(), damaged, 0o600)).To(Succeed())
		after := newUnstartedNode(n.settings.DataDir)
		after.loadUpstreams()
		expect.Expect(after.upstreams.All()).To(BeEmpty())
	}
}
