package storenode

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/routing"
)

// twoServices returns a routing table with testService and another service, and a route to
// each.
func twoServices(t *testing.T, otherCapacity int) (table *routing.Table, route, otherRoute *routing.Route) {
	t.Helper()
	table = &routing.Table{
		Version:  1,
		Services: []routing.Service{{Name: testService, TokenCapacity: 1000}, {Name: "other", TokenCapacity: otherCapacity}},
	}
	return table, testRoute, &routing.Route{Splits: []routing.Split{{Service: "other", Weight: 1}}}
}

// start tries to start items, each on its route, and returns the results.
func (l *testLeader) start(keys []jobpages.ItemKey, table *routing.Table, routes map[string]*routing.Route, tokens int) map[jobpages.ItemKey]startResult {
	l.t.Helper()
	results := make(map[jobpages.ItemKey]startResult)
	l.startAll(keys, func(key jobpages.ItemKey, round *startRound) startResult {
		var job *pb.PageJob
		l.node.replica.Load().View(func(reader kv.Reader) { job, _, _ = jobpages.FindItem(reader, key.JobID, key.Index) })
		round.table, round.tokens = table, tokens
		grant, _, result := l.acquireSlot(l.ctx, key, job, routes[key.JobID], 1, round)
		results[key] = result
		if result == handled {
			l.t.Cleanup(func() { l.node.Slots.Release(grant, dispatch.Inconclusive) })
		}
		return result
	})
	return results
}

// All engines of a service are lost. Its items, which are due first, kept those of all other
// services from starting.
func TestItemsOfALostServiceHoldUpOthers(t *testing.T) {
	expect := NewWithT(t)
	l := startTestLeader(t, startVersionEngine(t, "e", "1", 8))
	table, route, lostRoute := twoServices(t, 1000)
	lost, alsoLost, sound := l.submit("lost", 3), l.submit("also-lost", 2), l.submit("sound", 2)
	keys := append(append(append([]jobpages.ItemKey(nil), lost...), alsoLost...), sound...)
	results := l.start(keys, table, map[string]*routing.Route{"lost": lostRoute, "also-lost": lostRoute, "sound": route}, 0)
	expect.Expect(results).To(Equal(map[jobpages.ItemKey]startResult{
		lost[0]: noSlot, alsoLost[0]: noSlot, sound[0]: handled, sound[1]: handled,
	}), "of each job without a slot, one item is looked at")
}

// One of two services of a route has engines with less memory. Items that these do not hold
// were given up.
func TestItemOfASplitRouteRunsWhereItFits(t *testing.T) {
	expect := NewWithT(t)
	l := startTestLeader(t, startVersionEngine(t, "e", "1", 40))
	l.node.Slots.SetTokenCapacity(testService, 1000)
	l.node.Slots.SetTokenCapacity("other", 100)
	table, _, _ := twoServices(t, 100)
	split := &routing.Route{Splits: []routing.Split{{Service: testService, Weight: 1}, {Service: "other", Weight: 9}}}
	keys := l.submit("j", 5)
	for key, result := range l.start(keys, table, map[string]*routing.Route{"j": split}, 150) {
		expect.Expect(result).To(Equal(handled), "item %d", key.Index)
	}
	results := l.start(keys[:1], table, map[string]*routing.Route{"j": split}, 1001)
	expect.Expect(results).To(Equal(map[jobpages.ItemKey]startResult{keys[0]: tooLarge}))
}
