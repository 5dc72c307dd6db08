package storenode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/jobpages"
	"github.com/briarcross/briarcross/pb"
)

const (
	// repeatsSeeds is the number of seeds of the property test for each kind of answer.
	repeatsSeeds = 40
	testAttempts = 3
	testRunTime  = 20 * time.Millisecond
)

// repeatFaults are the shares of runs and proposals that meet a fault.
type repeatFaults struct {
	// lostAnswers are answers of the engine that the leader never gets.
	lostAnswers float64
	// refused, unanswered and unknown are proposals that are not committed and fail at once, that
	// are not committed and time out, and that are committed but reported as failed.
	refused, unanswered, unknown float64
}

// repeatsTest runs items that an engine answers with one status, on a storage leader in virtual
// time. It counts the answers of the engine.
type repeatsTest struct {
	*testLeader
	random *rand.Rand
	faults repeatFaults
	status int
	term   uint64
	// answers and lost count, by item, the answers and those that the leader of the run did not get.
	answers map[jobpages.ItemKey]int
	lost    map[jobpages.ItemKey]int
}

func newRepeatsTest(t *testing.T, seed uint64, status int) *repeatsTest {
	r := &repeatsTest{
		testLeader: startTestLeader(t), random: core.NewRand(seed), status: status, term: 1,
		answers: make(map[jobpages.ItemKey]int), lost: make(map[jobpages.ItemKey]int),
	}
	r.node.Slots.UpdateUpstreams([]fleet.Upstream{{
		ID: "u", Service: testService, Address: "u", DataCentre: "d", Slots: 16, Phase: fleet.Ready, LastHeartbeat: time.Now(),
	}})
	r.setLeading(r.term, true)
	propose := r.runner.propose
	r.runner.propose = func(ctx context.Context, command *pb.Command) (*pb.CommandResult, *pb.ControlError) {
		return r.proposeWithFaults(ctx, command, propose)
	}
	r.runAtEngine = r.answer
	return r
}

// draw returns a random number below 1, and the faults in force.
func (r *repeatsTest) draw() (float64, repeatFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64(), r.faults
}

// share returns a random number below a maximum.
func (r *repeatsTest) share(maximum float64) float64 {
	drawn, _ := r.draw()
	return drawn * maximum
}

func (r *repeatsTest) setFaults(faults repeatFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

func (r *repeatsTest) proposeWithFaults(ctx context.Context, command *pb.Command, propose func(context.Context, *pb.Command) (*pb.CommandResult, *pb.ControlError)) (*pb.CommandResult, *pb.ControlError) {
	drawn, faults := r.draw()
	if drawn -= faults.refused; drawn < 0 {
		return nil, &pb.ControlError{Code: pb.ControlError_NOT_LEADER, Reason: "refused by the test"}
	}
	if drawn -= faults.unanswered; drawn < 0 {
		<-ctx.Done()
		return nil, &pb.ControlError{Code: pb.ControlError_UNKNOWN, Reason: "no answer in time"}
	}
	result, controlErr := propose(ctx, command)
	if drawn -= faults.unknown; drawn < 0 {
		return nil, &pb.ControlError{Code: pb.ControlError_UNKNOWN, Reason: "answer lost by the test"}
	}
	return result, controlErr
}

// answer is a run at an engine. An engine does not know of a change of leader during the run, and
// answers all the same.
func (r *repeatsTest) answer(ctx context.Context, x *itemRun) runEnd {
	time.Sleep(testRunTime)
	drawn, faults := r.draw()
	lost := ctx.Err() != nil || drawn < faults.lostAnswers
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[x.key]++
	if lost {
		r.lost[x.key]++
		return workerLost
	}
	if r.status == http.StatusOK {
		x.progress.AddOutput(originOf(x.grant), []byte("output"), 1, "1")
		return runEnd{status: http.StatusOK, slotOutcome: dispatch.Served}
	}
	return runEnd{jobpages.Failed, dispatch.Served, r.status, "engine_failed"}
}

// runFor starts items as the runner does, for a time.
func (r *repeatsTest) runFor(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(tickInterval) {
		r.tick()
	}
}

// changeLeader makes this replica lead in a new term, with none of the leader's volatile state.
func (r *repeatsTest) changeLeader() {
	r.setLeading(r.term, false)
	r.tasks.Wait()
	r.term++
	r.setLeading(r.term, true)
}

// checkAnswers checks the number of answers to each item. Each answer that no leader got, and each
// change of leader, may cost one more run.
func (r *repeatsTest) checkAnswers(keys []jobpages.ItemKey, bound, leaderChanges int, context string) {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range keys {
		NewWithT(r.t).Expect(r.answers[key]).To(BeNumerically("<=", bound+r.lost[key]+leaderChanges),
			"%s: item %v, %d answers lost, %d changes of leader", context, key, r.lost[key], leaderChanges)
	}
}

// answersOf returns how many answers of a status an item gets when all is well.
func answersOf(status int) int {
	if status == http.StatusInternalServerError {
		return testAttempts
	}
	return 1
}

// The result of the last failure was proposed once. When that failed, the item was open and the
// leader had forgotten its failures, so that it began again.
func TestItemWhoseResultIsNotRecordedRunsAgain(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusUnprocessableEntity, http.StatusOK} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRepeatsTest(t, 1, status)
				keys := r.submit("j", 4)
				r.setFaults(repeatFaults{refused: 1})
				r.runFor(10 * time.Second)
				r.checkAnswers(keys, answersOf(status), 0, "no proposal succeeds")
				r.setFaults(repeatFaults{})
				r.runFor(10 * time.Second)
				NewWithT(t).Expect(r.node.state.OpenCount()).To(BeZero())
				r.checkAnswers(keys, answersOf(status), 0, "proposals succeed again")
			})
		})
	}
}

// Failures were counted by each leader alone, so that an item had all its attempts again after each
// change of leader.
func TestNewLeaderCountsFailuresFromZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRepeatsTest(t, 1, http.StatusInternalServerError)
		keys := r.submit("j", 4)
		for range 20 {
			// Two runs fit between two changes.
			r.runFor(500 * time.Millisecond)
			r.changeLeader()
		}
		// No change falls into a run.
		r.checkAnswers(keys, testAttempts, 0, "a new leader every half second")
		NewWithT(t).Expect(r.node.state.OpenCount()).To(BeZero())
	})
}

// A run whose answer the leader does not get is none that failed. Each new leader repeated such runs
// without a delay again.
func TestNewLeaderRepeatsUnansweredRunsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRepeatsTest(t, 1, http.StatusInternalServerError)
		keys := r.submit("j", 1)
		r.setFaults(repeatFaults{lostAnswers: 1})
		const leaders = 10
		for range leaders {
			r.runFor(5 * time.Second)
			r.changeLeader()
		}
		r.mu.Lock()
		answers := r.answers[keys[0]]
		r.mu.Unlock()
		// The limit, and then two at most under each leader, as delays of 1, 2 and 4 s do not fit
		// into 5 s.
		NewWithT(t).Expect(answers).To(BeNumerically("<=", jobpages.FruitlessLimit+2*leaders))
	})
}

// An item that fails at each run gets its Attempts answers, and one more for each answer that the
// leader did not get and for each change of leader, whatever happens to proposals. It is given up
// after no fewer.
func TestAnswersToFailingItemsAreBounded(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusUnprocessableEntity, http.StatusOK} {
		for seed := range uint64(repeatsSeeds) {
			t.Run(fmt.Sprintf("%d/seed=%d", status, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testAnswersAreBounded(t, seed, status) })
			})
		}
	}
}

func testAnswersAreBounded(t *testing.T, seed uint64, status int) {
	r := newRepeatsTest(t, seed, status)
	keys := r.submit("j", 6)
	r.setFaults(repeatFaults{lostAnswers: r.share(0.3), refused: r.share(0.5), unanswered: r.share(0.2), unknown: r.share(0.2)})
	leaderChanges := int(r.share(4))
	for range leaderChanges {
		r.runFor(time.Duration(r.share(float64(3 * time.Second))))
		r.changeLeader()
	}
	r.runFor(5 * time.Second)
	r.checkAnswers(keys, answersOf(status), leaderChanges, "with faults")
	r.setFaults(repeatFaults{})
	r.runFor(30 * time.Second)
	r.checkAnswers(keys, answersOf(status), leaderChanges, "after the faults")
	expect := NewWithT(t)
	expect.Expect(r.node.state.OpenCount()).To(BeZero())
	for _, key := range keys {
		expect.Expect(r.answers[key]).To(BeNumerically(">=", answersOf(status)), "item %v was given up too early", key)
	}
}
