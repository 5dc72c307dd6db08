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

func unstarted(folder string) *Node {
	n := &Node{
		settings:  &node.Settings{Folder: folder, Heartbeat: time.Second},
		logger:    log.New(io.Discard),
		upstreams: fleet.NewTable(),
		watchers:  newWatchers(),
	}
	n.metrics = newMetrics(n)
	return n
}

// All daemons lose power at once; the upstreams go on.
func TestUpstreamsAreKnownAfterARestart(t *testing.T) {
	expect := NewWithT(t)
	folder := t.TempDir()
	before := unstarted(folder)
	for _, id := range []string{"a", "b", "c"} {
		before.Heartbeat(fleet.Upstream{ID: id, StartUnixMs: 7, Sequence: 3, Service: "s", Address: id + ":1", Slots: 8, Phase: fleet.Ready})
	}
	before.Heartbeat(fleet.Upstream{ID: "b", StartUnixMs: 7, Sequence: 4, Service: "s", Address: "b:1", Slots: 8, Phase: fleet.Draining})
	before.Deregister("c")
	before.saveUpstreams()

	after := unstarted(folder)
	after.loadUpstreams()
	for id, phase := range map[string]fleet.Phase{"a": fleet.Ready, "b": fleet.Draining, "c": fleet.Gone} {
		u, known := after.upstreams.Get(id)
		expect.Expect(known).To(BeTrue(), id)
		expect.Expect(u.Phase).To(Equal(phase), id)
	}
	a, _ := after.upstreams.Get("a")
	expect.Expect(time.Since(a.LastHeartbeat)).To(BeNumerically(">=", node.SilentHeartbeats*time.Second))
}

func TestADamagedFileOfUpstreamsIsIgnored(t *testing.T) {
	expect := NewWithT(t)
	n := unstarted(t.TempDir())
	n.Heartbeat(fleet.Upstream{ID: "a", Service: "s", Address: "a:1", Slots: 8, Phase: fleet.Ready})
	n.saveUpstreams()
	raw, err := os.ReadFile(n.upstreamsPath())
	expect.Expect(err).NotTo(HaveOccurred())
	for _, damaged := range [][]byte{nil, raw[:5], append([]byte{raw[0] ^ 1}, raw[1:]...)} {
		expect.Expect(os.WriteFile(n.upstreamsPath(), damaged, 0o600)).To(Succeed())
		after := unstarted(n.settings.Folder)
		after.loadUpstreams()
		expect.Expect(after.upstreams.All()).To(BeEmpty())
	}
}
