package fleet

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_000_000)

func newHeartbeat(id string, startUnixMs, sequence uint64, phase Phase) Upstream {
	return Upstream{ID: id, StartUnixMs: startUnixMs, Sequence: sequence, Phase: phase, Service: "s", Address: "10.0.0.1:80", Slots: 8, LastHeartbeat: start}
}

// heardAt returns the heartbeat of an upstream as received at a time.
func heardAt(at time.Time, heartbeat Upstream) Upstream {
	heartbeat.LastHeartbeat = at
	return heartbeat
}

// newTableWithoutClaims returns a table for rules of merging that hold without a claim delay, as in
// the tables of daemons, and for heartbeats of one moment.
func newTableWithoutClaims() *Table { return newTable(upstreamRetention) }

// silentAfter is the age of the last heartbeat at which an upstream is silent.
const silentAfter = 4 * time.Second

// isUsable reports whether a table has an upstream as one that daemons use first.
func isUsable(table *Table, now time.Time, id string) bool {
	u, known := table.Get(id)
	return known && u.Phase == Ready && !slices.Contains(table.SilentSince(now.Add(-silentAfter)), id)
}

func TestLateHeartbeatsChangeNothing(t *testing.T) {
	expect := NewWithT(t)
	table := newTableWithoutClaims()
	expect.Expect(table.Apply(newHeartbeat("a", 5, 2, Draining))).To(BeTrue())
	expect.Expect(table.Apply(newHeartbeat("a", 5, 1, Ready))).To(BeFalse())
	expect.Expect(table.Apply(newHeartbeat("a", 4, 9, Ready))).To(BeFalse())
	held, _ := table.Get("a")
	expect.Expect(held.Phase).To(Equal(Draining))
}

func TestARestartUnderTheSameIDSupersedesTheEarlierStart(t *testing.T) {
	expect := NewWithT(t)
	table := newTableWithoutClaims()
	table.Apply(newHeartbeat("a", 5, 40, Draining))
	expect.Expect(table.Apply(newHeartbeat("a", 6, 1, Ready))).To(BeTrue())
	held, _ := table.Get("a")
	expect.Expect(held.Phase).To(Equal(Ready))
}

func TestADeregisteredUpstreamStaysGoneUntilItStartsAgain(t *testing.T) {
	expect := NewWithT(t)
	table := newTableWithoutClaims()
	table.Apply(newHeartbeat("a", 5, 2, Ready))
	table.Deregister("a", start)
	expect.Expect(table.Apply(newHeartbeat("a", 5, 3, Ready))).To(BeFalse())
	expect.Expect(table.Apply(newHeartbeat("a", 7, 1, Ready))).To(BeTrue())
}

// A control replica that has just started may receive a deregistration before
// any heartbeat of that upstream.
func TestADelayedHeartbeatAfterAnUnknownDeregistrationIsIgnored(t *testing.T) {
	expect := NewWithT(t)
	table := newTableWithoutClaims()
	table.Deregister("a", start)
	expect.Expect(table.Apply(newHeartbeat("a", uint64(start.UnixMilli())-500, 7, Ready))).To(BeFalse())
	expect.Expect(table.Apply(newHeartbeat("a", uint64(start.UnixMilli())+500, 1, Ready))).To(BeTrue())
}

func TestTheLatestStartOwnsAnAddress(t *testing.T) {
	expect := NewWithT(t)
	table := newTableWithoutClaims()
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
		table := newTableWithoutClaims()
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
	table := newTableWithoutClaims()
	table.Apply(newHeartbeat("current", 0, 3, Ready))
	delayedAt, heardAgainAt := start.Add(time.Second), start.Add(2*time.Second)
	table.Apply(heardAt(delayedAt, newHeartbeat("former", 0, 9, Ready)))
	expect.Expect(table.Apply(heardAt(heardAgainAt, newHeartbeat("current", 0, 4, Ready)))).To(BeTrue())
	expect.Expect(isUsable(table, heardAgainAt, "current")).To(BeTrue())
	expect.Expect(isUsable(table, heardAgainAt, "former")).To(BeFalse())
	expect.Expect(table.Apply(heardAt(heardAgainAt.Add(time.Second), newHeartbeat("former", 0, 9, Ready)))).To(BeFalse())
	expect.Expect(isUsable(table, heardAgainAt, "current")).To(BeTrue())
}

// A replica that knows an upstream hears that another one, which did not know it,
// received its deregistration. The next upstream of the address runs.
func TestADeregistrationAtAReplicaThatDidNotKnowTheUpstreamLeavesItsSuccessor(t *testing.T) {
	for _, formerStart := range []uint64{0, 5} {
		expect := NewWithT(t)
		elsewhere := newTableWithoutClaims()
		elsewhere.Deregister("former", start)
		deregistered, _ := elsewhere.Get("former")

		table := newTableWithoutClaims()
		table.Apply(newHeartbeat("former", formerStart, 5, Ready))
		expect.Expect(table.Apply(deregistered)).To(BeTrue())
		former, _ := table.Get("former")
		expect.Expect(former.Phase).To(Equal(Gone))
		expect.Expect(former.Address).NotTo(BeEmpty())
		table.Apply(newHeartbeat("current", 0, 1, Ready))
		table.Apply(newHeartbeat("current", 0, 2, Ready))
		expect.Expect(isUsable(table, start, "current")).To(BeTrue())
		for _, to := range []*Table{table, elsewhere} {
			to.Apply(former)
			expect.Expect(to.Apply(newHeartbeat("former", formerStart, 6, Ready))).To(BeFalse())
		}
	}
}

// A start time that is unknown is not an early one.
func TestAnUnknownStartTimeDoesNotEndAnUpstreamForGood(t *testing.T) {
	expect := NewWithT(t)
	table := newTableWithoutClaims()
	table.Apply(newHeartbeat("current", 0, 3, Ready))
	table.Apply(newHeartbeat("former", 5, 9, Ready))
	now := start.Add(time.Second)
	table.Apply(heardAt(now, newHeartbeat("current", 0, 4, Ready)))
	current, _ := table.Get("current")
	expect.Expect(current.Phase).To(Equal(Ready), "replaced by %q", current.ReplacedBy)
	expect.Expect(isUsable(table, now, "current")).To(BeTrue())
	expect.Expect(isUsable(table, now, "former")).To(BeFalse())
}

// An upstream that started again at another address keeps that one when a later upstream
// starts at its first address.
func TestAnUpstreamThatMovedIsNotReplacedAtItsFormerAddress(t *testing.T) {
	for _, next := range []uint64{0, 7} {
		expect := NewWithT(t)
		table := newTableWithoutClaims()
		at := func(id string, startUnixMs, sequence uint64, address string) Upstream {
			u := newHeartbeat(id, startUnixMs, sequence, Ready)
			u.Address = address
			return u
		}
		table.Apply(at("moved", 5, 1, "10.0.0.1:80"))
		table.Apply(at("moved", 6, 1, "10.0.0.2:80"))
		table.Apply(at("next", next, 1, "10.0.0.1:80"))
		table.Apply(at("moved", 6, 2, "10.0.0.2:80"))
		moved, _ := table.Get("moved")
		expect.Expect(moved.Phase).To(Equal(Ready), "replaced by %q", moved.ReplacedBy)
		expect.Expect(isUsable(table, start, "moved")).To(BeTrue())
		expect.Expect(isUsable(table, start, "next")).To(BeTrue())
	}
}

// A record that was saved or relayed says how long ago its heartbeat arrived.
func TestAnOlderRecordDoesNotReplaceAnUpstreamHeardSince(t *testing.T) {
	expect := NewWithT(t)
	table := newTableWithoutClaims()
	now := start.Add(time.Second)
	table.Apply(heardAt(now, newHeartbeat("current", 0, 3, Ready)))
	table.Apply(newHeartbeat("former", 0, 9, Ready))
	held, _ := table.Get("current")
	expect.Expect(held.Phase).To(Equal(Ready))
	expect.Expect(isUsable(table, now, "current")).To(BeTrue())
	expect.Expect(isUsable(table, now, "former")).To(BeFalse())
	holder, _ := table.Holder("10.0.0.1:80")
	expect.Expect(holder.ID).To(Equal("current"))
}

// The upstream that had an address leaves, or is not heard any more and expires.
func TestAnAddressIsFreeOnceItsUpstreamHasLeft(t *testing.T) {
	expect := NewWithT(t)
	table := newTableWithoutClaims()
	table.Apply(newHeartbeat("left", 0, 3, Ready))
	now := start.Add(time.Second)
	table.Apply(heardAt(now, newHeartbeat("crashed", 0, 3, Ready)))
	table.Deregister("crashed", now)
	expect.Expect(isUsable(table, now, "left")).To(BeTrue())
	table.Deregister("left", now)
	_, held := table.Holder("10.0.0.1:80")
	expect.Expect(held).To(BeFalse())
	expect.Expect(table.SilentSince(now)).To(BeEmpty())
}

// A build before this one reports upstreams in a phase that is gone.
func TestARecordInAnUnknownPhaseIsIgnored(t *testing.T) {
	expect := NewWithT(t)
	table := newTableWithoutClaims()
	table.Apply(newHeartbeat("a", 0, 3, Ready))
	expect.Expect(table.Apply(newHeartbeat("a", 0, 4, Gone+1))).To(BeFalse())
	expect.Expect(table.Apply(newHeartbeat("b", 0, 4, Gone+1))).To(BeFalse())
	expect.Expect(isUsable(table, start, "a")).To(BeTrue())
}

func TestChangedSinceReturnsTheChangedUpstreams(t *testing.T) {
	expect := NewWithT(t)
	table := newTableWithoutClaims()
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
	table := newTableWithoutClaims()
	table.Apply(newHeartbeat("a", 5, 1, Ready))
	table.Deregister("a", start)
	expect.Expect(table.Expire(start.Add(upstreamRetention - time.Second))).To(BeEmpty())
	expect.Expect(table.Expire(start.Add(upstreamRetention))).To(Equal([]string{"a"}))
	expect.Expect(table.All()).To(BeEmpty())
}

// While control is unavailable no heartbeat arrives, but the upstreams still run.
func TestUpstreamsAreKeptWhileNoHeartbeatArrives(t *testing.T) {
	expect := NewWithT(t)
	table := newTableWithoutClaims()
	table.Apply(newHeartbeat("a", 5, 1, Ready))
	expect.Expect(table.Expire(start.Add(10 * upstreamRetention))).To(BeEmpty())
	other := newHeartbeat("b", 5, 1, Ready)
	other.Address, other.LastHeartbeat = "10.0.0.2:80", start.Add(upstreamRetention)
	table.Apply(other)
	expect.Expect(table.Expire(start.Add(upstreamRetention))).To(Equal([]string{"a"}))
}

// A control replica that was cut off still reports a deregistration, or a record of the time
// before, when the upstream has been heard for long.
func TestAnOldDeregistrationDoesNotEndAnUpstreamHeardSince(t *testing.T) {
	expect := NewWithT(t)
	gone := newHeartbeat("a", 0, 4, Gone)
	heard := heardAt(start.Add(upstreamRetention), newHeartbeat("a", 0, 200, Ready))
	for _, order := range [][]Upstream{{gone, heard}, {heard, gone}} {
		for _, table := range []*Table{newTableWithoutClaims(), NewFollowerTable()} {
			for _, u := range order {
				table.Apply(u)
			}
			held, _ := table.Get("a")
			expect.Expect(held.Phase).To(Equal(Ready))
		}
	}
}

// A heartbeat that a partition delayed arrives seconds after the deregistration.
func TestADelayedHeartbeatDoesNotEndADeregistration(t *testing.T) {
	expect := NewWithT(t)
	for _, table := range []*Table{newTableWithoutClaims(), NewFollowerTable()} {
		table.Apply(newHeartbeat("a", 0, 4, Ready))
		table.Deregister("a", start.Add(time.Second))
		expect.Expect(table.Apply(heardAt(start.Add(30*time.Second), newHeartbeat("a", 0, 5, Ready)))).To(BeFalse())
	}
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
		table := newTableWithoutClaims()
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
// any replica, late and in any order, also one that does not know them; replicas send each
// other their tables, and restart with them. A claim delay later, one heartbeat of the last upstream
// that reaches all replicas is enough for all to use it, and no other.
func TestReplicasAgreeOnTheUpstreamAtAReusedAddress(t *testing.T) {
	const upstreams, replicas = 4, 3
	rapid.Check(t, func(t *rapid.T) {
		startsKnown := rapid.SliceOfN(rapid.Bool(), upstreams, upstreams).Draw(t, "startsKnown")
		ids := rapid.Permutation([]string{"a", "b", "c", "d"}).Draw(t, "ids")
		now := start
		newOf := func(upstream int, sequence uint64) Upstream {
			startUnixMs := uint64(0)
			if startsKnown[upstream] {
				startUnixMs = uint64(upstream + 1)
			}
			return heardAt(now, newHeartbeat(ids[upstream], startUnixMs, sequence, Ready))
		}
		// Tables of control replicas, and those without a claim delay.
		interval := rapid.SampledFrom([]time.Duration{0, silentAfter / 4}).Draw(t, "interval")
		tables := make([]*Table, replicas)
		for i := range tables {
			tables[i] = NewTable(interval)
		}
		copyRecords := func(to *Table, records []Upstream) {
			for _, u := range rapid.Permutation(records).Draw(t, "records") {
				to.Apply(u)
			}
		}
		sequences := make([]uint64, upstreams)
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "elapsedMs")) * time.Millisecond)
			to := rapid.IntRange(0, replicas-1).Draw(t, "replica")
			upstream := rapid.IntRange(0, upstreams-1).Draw(t, "upstream")
			switch rapid.SampledFrom([]string{"heartbeat", "heartbeat", "deregister", "relay", "restart"}).Draw(t, "step") {
			case "heartbeat":
				sequences[upstream]++
				tables[to].Apply(newOf(upstream, sequences[upstream]))
			case "deregister":
				if upstream != upstreams-1 {
					tables[to].Deregister(ids[upstream], now)
				}
			case "relay":
				copyRecords(tables[to], tables[rapid.IntRange(0, replicas-1).Draw(t, "from")].All())
			case "restart":
				// The time since the table was saved is unknown.
				saved := tables[to].All()
				tables[to] = NewTable(interval)
				for _, u := range rapid.Permutation(saved).Draw(t, "saved") {
					u.LastHeartbeat = u.LastHeartbeat.Add(-silentAfter)
					tables[to].Restore(u)
				}
			}
		}
		now = now.Add(max(time.Millisecond, ClaimDelay(interval)))
		sequences[upstreams-1]++
		for i, table := range tables {
			table.Apply(newOf(upstreams-1, sequences[upstreams-1]))
			for _, u := range table.All() {
				if isUsable(table, now, u.ID) != (u.ID == ids[upstreams-1]) {
					t.Fatalf("replica %d has upstream %s in phase %d, silent %v; the last upstream of the address is %s",
						i, u.ID, u.Phase, table.SilentSince(now.Add(-silentAfter)), ids[upstreams-1])
				}
			}
		}
		for i, table := range tables {
			for _, other := range tables {
				copyRecords(table, other.All())
			}
			for _, u := range table.All() {
				if isUsable(table, now, u.ID) != (u.ID == ids[upstreams-1]) {
					t.Fatalf("after the exchange, replica %d has upstream %s in phase %d, silent %v; the last upstream of the address is %s",
						i, u.ID, u.Phase, table.SilentSince(now.Add(-silentAfter)), ids[upstreams-1])
				}
			}
		}
	})
}
