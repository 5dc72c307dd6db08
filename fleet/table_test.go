package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_000_000)

func newHeartbeat(id string, startUnixMs, sequence uint64, phase Phase) Upstream {
	return Upstream{ID: id, StartUnixMs: startUnixMs, Sequence: sequence, Phase: phase, Service: "s", Address: "10.0.0.1:80", Slots: 8, LastHeartbeat: start}
}

func TestLateHeartbeatsChangeNothing(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	expect.Expect(table.Apply(newHeartbeat("a", 5, 2, Draining))).To(BeTrue())
	expect.Expect(table.Apply(newHeartbeat("a", 5, 1, Ready))).To(BeFalse())
	expect.Expect(table.Apply(newHeartbeat("a", 4, 9, Ready))).To(BeFalse())
	held, _ := table.Get("a")
	expect.Expect(held.Phase).To(Equal(Draining))
}

func TestARestartUnderTheSameIDSupersedesTheEarlierStart(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	table.Apply(newHeartbeat("a", 5, 40, Draining))
	expect.Expect(table.Apply(newHeartbeat("a", 6, 1, Ready))).To(BeTrue())
	held, _ := table.Get("a")
	expect.Expect(held.Phase).To(Equal(Ready))
}

func TestADeregisteredUpstreamStaysGoneUntilItStartsAgain(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	table.Apply(newHeartbeat("a", 5, 2, Ready))
	table.Deregister("a", start)
	expect.Expect(table.Apply(newHeartbeat("a", 5, 3, Ready))).To(BeFalse())
	expect.Expect(table.Apply(newHeartbeat("a", 7, 1, Ready))).To(BeTrue())
}

// A control replica that has just started may receive a deregistration before
// any heartbeat of that upstream.
func TestADelayedHeartbeatAfterAnUnknownDeregistrationIsIgnored(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	table.Deregister("a", start)
	expect.Expect(table.Apply(newHeartbeat("a", uint64(start.UnixMilli())-500, 7, Ready))).To(BeFalse())
	expect.Expect(table.Apply(newHeartbeat("a", uint64(start.UnixMilli())+500, 1, Ready))).To(BeTrue())
}

func TestTheLatestStartOwnsAnAddress(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	table.Apply(newHeartbeat("old", 5, 2, Ready))
	table.Apply(newHeartbeat("new", 9, 1, Ready))
	old, _ := table.Get("old")
	expect.Expect(old.Phase).To(Equal(Gone))
	// A partition delays a heartbeat until after the crash of its sender.
	delayed := newHeartbeat("older", 4, 9, Ready)
	table.Apply(delayed)
	older, _ := table.Get("older")
	expect.Expect(older.Phase).To(Equal(Gone))
	current, _ := table.Get("new")
	expect.Expect(current.Phase).To(Equal(Ready))
}

// Another control replica reports late that the former upstream of an address is gone.
func TestAGoneUpstreamDoesNotReplaceItsSuccessor(t *testing.T) {
	for _, startUnixMs := range []uint64{0, 5} {
		expect := NewWithT(t)
		table := NewTable()
		table.Apply(newHeartbeat("current", startUnixMs, 1, Ready))
		table.Apply(newHeartbeat("former", startUnixMs, 9, Gone))
		expect.Expect(table.Apply(newHeartbeat("current", startUnixMs, 2, Ready))).To(BeTrue())
		current, _ := table.Get("current")
		expect.Expect(current.Phase).To(Equal(Ready))
	}
}

// Start times are unknown, and this replica has not heard of the former upstream of an
// address when a delayed heartbeat of it arrives.
func TestADelayedHeartbeatReplacesASuccessorOnlyUntilItIsHeardAgain(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	table.Apply(newHeartbeat("current", 0, 3, Ready))
	table.Apply(newHeartbeat("former", 0, 9, Ready))
	expect.Expect(table.Apply(newHeartbeat("current", 0, 4, Ready))).To(BeTrue())
	current, _ := table.Get("current")
	expect.Expect(current.Phase).To(Equal(Ready))
	former, _ := table.Get("former")
	expect.Expect(former.Phase).NotTo(Equal(Ready))
	expect.Expect(table.Apply(newHeartbeat("former", 0, 9, Ready))).To(BeFalse())
}

func TestChangedSinceReturnsTheChangedUpstreams(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	table.Apply(newHeartbeat("a", 5, 1, Ready))
	seen := table.LastChange()
	expect.Expect(table.ChangedSince(seen)).To(BeEmpty())
	other := newHeartbeat("b", 5, 1, Ready)
	other.Address = "10.0.0.2:80"
	table.Apply(other)
	changed := table.ChangedSince(seen)
	expect.Expect(changed).To(HaveLen(1))
	expect.Expect(changed[0].ID).To(Equal("b"))
}

func TestUpstreamsThatDeregisteredLongAgoAreRemoved(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	table.Apply(newHeartbeat("a", 5, 1, Ready))
	table.Deregister("a", start)
	expect.Expect(table.Expire(start.Add(upstreamRetention - time.Second))).To(BeEmpty())
	expect.Expect(table.Expire(start.Add(upstreamRetention))).To(Equal([]string{"a"}))
	expect.Expect(table.All()).To(BeEmpty())
}

// While control is unavailable no heartbeat arrives, but the upstreams still run.
func TestUpstreamsAreKeptWhileNoHeartbeatArrives(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	table.Apply(newHeartbeat("a", 5, 1, Ready))
	expect.Expect(table.Expire(start.Add(10 * upstreamRetention))).To(BeEmpty())
	other := newHeartbeat("b", 5, 1, Ready)
	other.Address, other.LastHeartbeat = "10.0.0.2:80", start.Add(upstreamRetention)
	table.Apply(other)
	expect.Expect(table.Expire(start.Add(upstreamRetention))).To(Equal([]string{"a"}))
}

// The table holds the same record for every order in which the heartbeats of one
// upstream arrive.
func TestMergeDoesNotDependOnTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var heartbeats []Upstream
		for start := range uint64(3) {
			for sequence := range uint64(4) {
				phase := Ready
				if sequence == 3 {
					phase = Draining
				}
				heartbeats = append(heartbeats, newHeartbeat("a", start+1, sequence+1, phase))
			}
		}
		shuffled := rapid.Permutation(heartbeats).Draw(t, "order")
		table := NewTable()
		for _, heartbeat := range shuffled {
			table.Apply(heartbeat)
		}
		held, _ := table.Get("a")
		if held.StartUnixMs != 3 || held.Sequence != 4 || held.Phase != Draining {
			t.Fatalf("merged record has start time %d, sequence %d, phase %d; want 3, 4, Draining", held.StartUnixMs, held.Sequence, held.Phase)
		}
	})
}

// Upstreams follow each other at one address. Their heartbeats and deregistrations reach
// any replica, late and in any order; replicas send each other their tables, and restart
// with them. After that, one heartbeat of the last upstream that reaches all replicas is
// enough for all to use it, and no other.
func TestReplicasAgreeOnTheUpstreamAtAReusedAddress(t *testing.T) {
	const upstreams, replicas = 4, 3
	rapid.Check(t, func(t *rapid.T) {
		startsKnown := rapid.Bool().Draw(t, "startsKnown")
		ids := rapid.Permutation([]string{"a", "b", "c", "d"}).Draw(t, "ids")
		newOf := func(upstream int, sequence uint64) Upstream {
			startUnixMs := uint64(0)
			if startsKnown {
				startUnixMs = uint64(upstream + 1)
			}
			return newHeartbeat(ids[upstream], startUnixMs, sequence, Ready)
		}
		tables := make([]*Table, replicas)
		for i := range tables {
			tables[i] = NewTable()
		}
		copyRecords := func(to *Table, from *Table) {
			for _, u := range rapid.Permutation(from.All()).Draw(t, "records") {
				to.Apply(u)
			}
		}
		sequences := make([]uint64, upstreams)
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			to := rapid.IntRange(0, replicas-1).Draw(t, "replica")
			upstream := rapid.IntRange(0, upstreams-1).Draw(t, "upstream")
			switch rapid.SampledFrom([]string{"heartbeat", "heartbeat", "deregister", "relay", "restart"}).Draw(t, "step") {
			case "heartbeat":
				sequences[upstream]++
				tables[to].Apply(newOf(upstream, sequences[upstream]))
			case "deregister":
				if _, known := tables[to].Get(ids[upstream]); known && upstream != upstreams-1 {
					tables[to].Deregister(ids[upstream], start)
				}
			case "relay":
				copyRecords(tables[to], tables[rapid.IntRange(0, replicas-1).Draw(t, "from")])
			case "restart":
				restarted := NewTable()
				for _, u := range tables[to].All() {
					restarted.Apply(u)
				}
				tables[to] = restarted
			}
		}
		sequences[upstreams-1]++
		for i, table := range tables {
			table.Apply(newOf(upstreams-1, sequences[upstreams-1]))
			for _, u := range table.All() {
				if (u.Phase == Ready) != (u.ID == ids[upstreams-1]) {
					t.Fatalf("replica %d has upstream %s in phase %d; the last upstream of the address is %s", i, u.ID, u.Phase, ids[upstreams-1])
				}
			}
		}
	})
}
