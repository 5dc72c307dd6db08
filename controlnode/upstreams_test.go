package controlnode

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/node"
)

// testHeartbeatInterval is the interval of heartbeats in the settings of unstarted nodes.
const testHeartbeatInterval = time.Second

// testClock is a clock that tests set. The zero value is not usable; call newTestClock.
type testClock struct{ at time.Time }

func newTestClock() *testClock { return &testClock{time.UnixMilli(1_000_000)} }

func (c *testClock) now() time.Time { return c.at }

// advance moves the clock by a number of heartbeat intervals.
func (c *testClock) advance(intervals float64) {
	c.at = c.at.Add(time.Duration(intervals * float64(testHeartbeatInterval)))
}

// newUnstartedNode returns a node that does not run, as Start makes it.
func newUnstartedNode(folder string) *Node {
	return newUnstartedNodeAt(folder, time.Now, log.New(io.Discard))
}

func newUnstartedNodeAt(folder string, now func() time.Time, logger *log.Logger) *Node {
	settings := &node.Settings{ID: "control-1", Role: node.RoleControl, DataDir: folder, HeartbeatInterval: testHeartbeatInterval}
	return newNode(settings, logger, RoutingCodec{}, now)
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
	clock := newTestClock()
	newAt := func() *Node { return newUnstartedNodeAt(folder, clock.now, log.New(io.Discard)) }
	before := newAt()
	heartbeat := func(id string, sequence uint64) fleet.Upstream {
		return fleet.Upstream{ID: id, Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Slots: 8, Phase: fleet.Ready}
	}
	before.RecordHeartbeat(heartbeat("former-crashed", 9))
	clock.advance(2)
	before.RecordHeartbeat(heartbeat("former-left", 5))
	before.Deregister("former-left")
	before.RecordHeartbeat(heartbeat("current", 1))
	before.saveUpstreams()

	clock.advance(1)
	after := newAt()
	u, _ := after.upstreams.Get("current")
	expect.Expect(u.Phase).To(Equal(fleet.Ready))
	after.RecordHeartbeat(heartbeat("current", 2))
	u, _ = after.upstreams.Get("current")
	expect.Expect(u.Phase).To(Equal(fleet.Ready))
	expect.Expect(u.Sequence).To(BeEquivalentTo(2))
	replica := testReplica{after, "after", clock}
	expect.Expect(replica.isUsable("current")).To(BeTrue())
	for _, id := range []string{"former-crashed", "former-left"} {
		expect.Expect(replica.isUsable(id)).To(BeFalse(), id)
	}
}

// Two engines were heard at one address shortly before a loss of power. The record of the running
// one was dropped as contested if the ID of its predecessor sorts before its own, and daemons did
// not know the engine until its next heartbeat.
func TestRestartKeepsTheRunningUpstreamOfAnAddress(t *testing.T) {
	for name, ids := range map[string][2]string{"in the order of IDs": {"i-1", "i-2"}, "in the other order": {"i-2", "i-1"}} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			folder, clock := t.TempDir(), newTestClock()
			former, current := ids[0], ids[1]
			before := newUnstartedNodeAt(folder, clock.now, log.New(io.Discard))
			before.RecordHeartbeat(addressHeartbeat(former, 9))
			clock.advance(2)
			before.RecordHeartbeat(addressHeartbeat(current, 1))
			before.saveUpstreams()

			clock.advance(1)
			after := testReplica{newUnstartedNodeAt(folder, clock.now, log.New(io.Discard)), "after", clock}
			for _, id := range ids {
				_, known := after.upstreams.Get(id)
				expect.Expect(known).To(BeTrue(), id)
			}
			holder, _ := after.upstreams.Holder("10.0.0.1:80")
			expect.Expect(holder.ID).To(Equal(current))
			clock.advance(0.1)
			expect.Expect(after.isUsable(current)).To(BeFalse(), "not heard yet")
			after.RecordHeartbeat(addressHeartbeat(current, 2))
			expect.Expect(after.isUsable(current)).To(BeTrue())
			expect.Expect(after.isUsable(former)).To(BeFalse())
		})
	}
}

// The saved table says how long each upstream has not been heard.
func TestARestartMakesNoUpstreamYounger(t *testing.T) {
	expect := NewWithT(t)
	before := newUnstartedNode(t.TempDir())
	now := time.Now()
	age := 3 * node.MaxMissedHeartbeats * time.Second
	for id, heardAt := range map[string]time.Time{"old": now.Add(-age), "young": now} {
		before.upstreams.Apply(fleet.Upstream{ID: id, Sequence: 3, Address: id + ":1", Phase: fleet.Ready, LastHeartbeat: heardAt})
	}
	before.upstreamsUnsaved = true
	before.saveUpstreams()

	after := newUnstartedNode(before.settings.DataDir)
	old, _ := after.upstreams.Get("old")
	expect.Expect(time.Since(old.LastHeartbeat)).To(BeNumerically(">=", age))
	young, _ := after.upstreams.Get("young")
	expect.Expect(time.Since(young.LastHeartbeat)).To(BeNumerically(">=", node.MaxMissedHeartbeats*time.Second))
}

// An operator must be able to tell a crashed engine from one whose address another one
// has now.
func TestTheLogSaysWhyAnUpstreamIsSilent(t *testing.T) {
	expect := NewWithT(t)
	var out bytes.Buffer
	clock := newTestClock()
	n := newUnstartedNodeAt(t.TempDir(), clock.now, eventlog.New(&out, "control-1", "control"))
	heartbeat := func(id, address string) fleet.Upstream {
		return fleet.Upstream{ID: id, Sequence: 1, Address: address, Phase: fleet.Ready}
	}
	crashed := heartbeat("crashed", "10.0.0.2:80")
	crashed.LastHeartbeat = clock.now().Add(-time.Minute)
	n.applyRelayed(node.ViewChanges{Renewed: []fleet.Upstream{crashed}})
	n.RecordHeartbeat(heartbeat("former", "10.0.0.1:80"))
	clock.advance(2)
	n.RecordHeartbeat(heartbeat("current", "10.0.0.1:80"))
	n.expireUpstreams()
	n.expireUpstreams()
	replacedBy := make(map[string]any)
	for line := range strings.Lines(out.String()) {
		var fields map[string]any
		expect.Expect(json.Unmarshal([]byte(line), &fields)).To(Succeed())
		if fields["msg"] == eventlog.UpstreamSilent {
			id := fields["upstream"].(string)
			expect.Expect(replacedBy).NotTo(HaveKey(id), "listed twice")
			replacedBy[id] = fields["replaced_by"]
			expect.Expect(fields).To(HaveKey("heard_ms"))
		}
	}
	expect.Expect(replacedBy).To(Equal(map[string]any{"crashed": "", "former": "current"}))
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
		expect.Expect(after.upstreams.All()).To(BeEmpty())
	}
}
