package controlnode

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/fleet"
)

// The heartbeat of an engine that had started again under its ID was acknowledged and had no effect, so
// that streams of its former version went on at it. What has no effect is not acknowledged, until the
// former start is not heard any more.
func TestHeartbeatWithoutEffectIsNotAcknowledged(t *testing.T) {
	expect := NewWithT(t)
	clock := newTestClock()
	n := newUnstartedNodeAt(t.TempDir(), clock.now, log.New(io.Discard))
	heartbeat := func(id string, start, sequence uint64, version string) bool {
		return n.RecordHeartbeat(fleet.Upstream{
			ID: id, StartUnixMs: start, Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Slots: 8,
			Phase: fleet.Ready, SoftwareVersion: version,
		})
	}
	heldVersion := func() string {
		u, _ := n.upstreams.Get("a")
		return u.SoftwareVersion
	}
	expect.Expect(heartbeat("a", 1, 1, "v1")).To(BeTrue())
	clock.advance(0.5)
	expect.Expect(heartbeat("a", 1, 1, "v1")).To(BeTrue(), "a late heartbeat of a known start")
	expect.Expect(heartbeat("a", 2, 1, "v2")).To(BeFalse())
	expect.Expect(heartbeat("b", 2, 1, "v2")).To(BeFalse())
	expect.Expect(heldVersion()).To(Equal("v1"))
	clock.advance(float64(fleet.ClaimDelay(testHeartbeatInterval)) / float64(testHeartbeatInterval))
	expect.Expect(heartbeat("a", 2, 2, "v2")).To(BeTrue())
	expect.Expect(heldVersion()).To(Equal("v2"))
}
