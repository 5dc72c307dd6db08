package storenode

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/node"
)

const leadershipSeeds = 5

// No item was placed for 33 s after a loss of power. Neither the runs nor the saved output of
// earlier terms, nor engines that were silent at first, may hold items up once an engine is heard.
func TestNewLeaderStartsItemsOnceAnEngineIsHeard(t *testing.T) {
	for seed := uint64(1); seed <= leadershipSeeds; seed++ {
		testItemsStartOnceAnEngineIsHeard(t, seed)
	}
}

func testItemsStartOnceAnEngineIsHeard(t *testing.T, seed uint64) {
	t.Helper()
	expect := NewWithT(t)
	random := core.NewRand(seed)
	engines := []*versionEngine{startVersionEngine(t, "a", "v1", 2), startVersionEngine(t, "b", "v1", 3)}
	l := startTestLeader(t)
	dispatcher, err := node.NewDispatcher(&node.Settings{ID: "r", Role: node.RoleStore, Address: "127.0.0.1:0", DataCentre: "d"}, log.New(io.Discard), nil, func(fleet.Upstream) {}, nil)
	expect.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(dispatcher.Close)
	l.node.Dispatcher = dispatcher
	keys := l.submit("j", 1+random.IntN(12))
	for term := uint64(2); term < 6; term++ {
		l.setLeading(term, false)
		l.tasks.Wait()
		setSilent(engines, true)
		l.setEngines(engines...)
		l.setLeading(term+1, true)
		for range random.IntN(3) {
			l.tick()
		}
		expect.Expect(l.running(keys)).To(BeEmpty(), "seed %d, term %d: items run at silent engines", seed, term)
		heard := engines[random.IntN(len(engines)):]
		setSilent(heard, false)
		l.setEngines(engines...)
		l.tick()
		expect.Expect(l.running(keys)).NotTo(BeEmpty(), "seed %d, term %d: no item runs", seed, term)
		if random.IntN(2) == 0 {
			for _, key := range l.running(keys) {
				expect.Eventually(func() int { return l.progress(key).EventCount }, testTimeout, time.Millisecond).Should(Equal(heldEvents))
			}
			l.saveProgress()
		}
	}
}

func setSilent(engines []*versionEngine, silent bool) {
	for _, e := range engines {
		e.upstream.Silent = silent
	}
}
