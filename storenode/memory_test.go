package storenode

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// An item for which no engine has memory must not keep smaller ones from free slots, nor one
// that no engine of its route holds.
func TestItemWithoutMemoryHoldsUpOthers(t *testing.T) {
	expect := NewWithT(t)
	l := startTestLeader(t, startVersionEngine(t, "e", "1", 8))
	l.node.Slots.SetTokenCapacity(testService, 1000)
	keys := l.submit("j", 4)
	var job *pb.PageJob
	l.node.replica.Load().View(func(reader kv.Reader) { job, _, _ = jobpages.FindItem(reader, "j", 0) })
	tokens := map[jobpages.ItemKey]int{keys[0]: 600, keys[1]: 900, keys[2]: 1001, keys[3]: 100}
	results := make(map[jobpages.ItemKey]startResult)
	l.startAll(keys, func(key jobpages.ItemKey, round *startRound) startResult {
		round.tokens = tokens[key]
		grant, _, result := l.acquireSlot(l.ctx, key, job, testRoute, 1, round)
		results[key] = result
		if result == handled {
			t.Cleanup(func() { l.node.Slots.Release(grant, dispatch.Inconclusive) })
		}
		return result
	})
	expect.Expect(results).To(Equal(map[jobpages.ItemKey]startResult{keys[0]: handled, keys[1]: noMemory, keys[2]: tooLarge, keys[3]: handled}))
	expect.Expect(l.node.Slots.Loads()[0].Tokens).To(Equal(700))
}
