package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	testHeartbeatInterval = 1200 * time.Millisecond
	testClaimDelay        = 1800 * time.Millisecond
)

// newClaimTable returns a table with a claim delay and an upstream that was heard at start.
func newClaimTable() (*Table, Upstream) {
	table := NewTable(testHeartbeatInterval)
	sound := newHeartbeat("sound", 5, 2, Ready)
	table.Apply(sound)
	return table, sound
}

// Another writer claims to be a later start of a sound upstream, or another upstream at its
// address. The heartbeats of the sound one were late from then on.
func TestHeardUpstreamIsNotReplacedByAClaim(t *testing.T) {
	elsewhere := newHeartbeat("sound", 9, 1, Ready)
	elsewhere.Address = "10.9.9.9:80"
	moved := newHeartbeat("sound", 5, 99, Ready)
	moved.Address = "10.9.9.9:80"
	otherService := newHeartbeat("sound", 5, 99, Ready)
	otherService.Service = "other"
	for name, claim := range map[string]Upstream{
		"later start": newHeartbeat("sound", 9, 1, Ready), "later start elsewhere": elsewhere, "later start that drains": newHeartbeat("sound", 9, 1, Draining),
		"other address": moved, "other service": otherService,
		"other ID at the address": newHeartbeat("x", 9, 1, Ready), "other ID without a start time": newHeartbeat("x", 0, 1, Ready),
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			table, sound := newClaimTable()
			now := start
			for range 20 {
				now = now.Add(testClaimDelay / 2)
				expect.Expect(table.Apply(heardAt(now, claim))).To(BeFalse())
				sound.Sequence++
				expect.Expect(table.Apply(heardAt(now.Add(time.Millisecond), sound))).To(BeTrue())
			}
			expect.Expect(isUsable(table, now, "sound")).To(BeTrue())
		})
	}
}

// An engine that has crashed is there again under its ID, or another one at its address.
func TestUpstreamThatIsNotHeardIsReplaced(t *testing.T) {
	for name, successor := range map[string]Upstream{"later start": newHeartbeat("sound", 9, 1, Ready), "other ID": newHeartbeat("x", 9, 1, Ready)} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			table, _ := newClaimTable()
			expect.Expect(table.Apply(heardAt(start.Add(testClaimDelay), successor))).To(BeTrue())
			expect.Expect(isUsable(table, start.Add(testClaimDelay), successor.ID)).To(BeTrue())
		})
	}
	expect := NewWithT(t)
	table, _ := newClaimTable()
	table.Deregister("sound", start)
	expect.Expect(table.Apply(heardAt(start, newHeartbeat("x", 9, 1, Ready)))).To(BeTrue(), "one that has left holds its address no longer")
}
