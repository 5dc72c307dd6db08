package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Start times are unknown. A replica that knows an upstream hears that another one, which
// did not know it, received its deregistration. The next upstream of the address runs.
func TestADeregistrationAtAReplicaThatDidNotKnowTheUpstreamLeavesItsSuccessor(t *testing.T) {
	expect := NewWithT(t)
	elsewhere := NewTable()
	elsewhere.Deregister("former", start)
	deregistered, _ := elsewhere.Get("former")

	table := NewTable()
	table.Apply(newHeartbeat("former", 0, 5, Ready))
	table.Apply(deregistered)
	table.Apply(newHeartbeat("current", 0, 1, Ready))
	table.Apply(newHeartbeat("current", 0, 2, Ready))
	current, _ := table.Get("current")
	expect.Expect(current.Phase).To(Equal(Ready), "replaced by %q", current.ReplacedBy)
}

// A start time that is unknown is not an early one.
func TestAnUnknownStartTimeDoesNotEndAnUpstreamForGood(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	table.Apply(newHeartbeat("current", 0, 3, Ready))
	table.Apply(newHeartbeat("former", 5, 9, Ready))
	table.Apply(newHeartbeat("current", 0, 4, Ready))
	current, _ := table.Get("current")
	expect.Expect(current.Phase).To(Equal(Ready), "replaced by %q", current.ReplacedBy)
}

// An upstream that started again at another address keeps that one when a later upstream
// starts at its first address.
func TestAnUpstreamThatMovedIsNotReplacedAtItsFormerAddress(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	at := func(id string, startUnixMs, sequence uint64, address string) Upstream {
		u := newHeartbeat(id, startUnixMs, sequence, Ready)
		u.Address = address
		return u
	}
	table.Apply(at("moved", 5, 1, "10.0.0.1:80"))
	table.Apply(at("moved", 6, 1, "10.0.0.2:80"))
	table.Apply(at("next", 7, 1, "10.0.0.1:80"))
	table.Apply(at("moved", 6, 2, "10.0.0.2:80"))
	moved, _ := table.Get("moved")
	expect.Expect(moved.Phase).To(Equal(Ready), "replaced by %q", moved.ReplacedBy)
}

// A record that was saved or relayed says how long ago its heartbeat arrived.
func TestAnOlderRecordDoesNotReplaceAnUpstreamHeardSince(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	current := newHeartbeat("current", 0, 3, Ready)
	current.LastHeartbeat = start.Add(time.Minute)
	table.Apply(current)
	table.Apply(newHeartbeat("former", 0, 9, Ready))
	held, _ := table.Get("current")
	expect.Expect(held.Phase).To(Equal(Ready))
}
