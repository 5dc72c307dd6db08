package claims

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

const retention = 1000 * time.Millisecond

// table is a state on an in-memory store.
type table struct {
	state State
	store kv.Store
	now   uint64
}

func newTable() *table {
	return &table{store: kv.NewMemoryStore(), now: 1_000_000}
}

func (s *table) commit(apply func(kv.Batch) *pb.ClaimResult) *pb.ClaimResult {
	b := s.store.NewBatch()
	result := apply(b)
	if err := s.store.Commit(b, true); err != nil {
		panic(err)
	}
	return result
}

func (s *table) open(key, request, body string) *pb.ClaimResult {
	return s.commit(func(b kv.Batch) *pb.ClaimResult {
		return s.state.Open(b, &pb.ClaimOpen{
			Caller: "caller", Key: key, Digest: []byte(body), RequestId: request,
			RetentionMs: uint64(retention.Milliseconds()),
		}, s.now)
	})
}

func (s *table) close(key, request, answer string, notRun bool) *pb.ClaimResult {
	return s.commit(func(b kv.Batch) *pb.ClaimResult {
		return s.state.Close(b, &pb.ClaimClose{
			Caller: "caller", Key: key, RequestId: request, NotRun: notRun, Status: 200, Answer: []byte(answer),
		}, s.now)
	})
}

func haveState(state pb.ClaimState) OmegaMatcher {
	return WithTransform((*pb.ClaimResult).GetState, Equal(state))
}

const (
	granted  = pb.ClaimState_CLAIM_GRANTED
	pending  = pb.ClaimState_CLAIM_PENDING
	done     = pb.ClaimState_CLAIM_DONE
	mismatch = pb.ClaimState_CLAIM_MISMATCH
	released = pb.ClaimState_CLAIM_RELEASED
)

func TestSameKeyGetsTheRecordedOutcome(t *testing.T) {
	g := NewWithT(t)
	s := newTable()
	g.Expect(s.open("k", "r1", "body")).To(haveState(granted))
	g.Expect(s.open("k", "r1", "body")).To(haveState(granted))
	g.Expect(s.open("k", "r2", "body")).To(haveState(pending))
	g.Expect(s.open("k", "r2", "other")).To(haveState(mismatch))
	g.Expect(s.close("k", "r2", "wrong", false)).To(haveState(pending))
	g.Expect(s.close("k", "r1", "answer", false)).To(haveState(done))
	g.Expect(s.close("k", "r1", "later", false).GetAnswer()).To(BeEquivalentTo("answer"))
	g.Expect(s.open("k", "r3", "body").GetAnswer()).To(BeEquivalentTo("answer"))
	g.Expect(s.open("other", "r3", "body")).To(haveState(granted))
}

func TestReleasedKeyIsGrantedToTheNextRequestOnly(t *testing.T) {
	g := NewWithT(t)
	s := newTable()
	s.open("k", "r1", "body")
	g.Expect(s.close("k", "r1", "", true)).To(haveState(released))
	g.Expect(s.open("k", "r1", "body")).To(haveState(released))
	g.Expect(s.open("k", "r2", "body")).To(haveState(granted))
	g.Expect(s.close("k", "r1", "late", false)).To(haveState(pending))
}

func TestExpiredClaimsLeaveNothingBehind(t *testing.T) {
	g := NewWithT(t)
	s := newTable()
	for i := range 100 {
		s.open(fmt.Sprint(i), "r", "body")
	}
	s.now += uint64(retention.Milliseconds())
	g.Expect(s.open("5", "r2", "body")).To(haveState(granted))
	for range 100 / expirePerCommand {
		s.close("none", "r", "", true)
	}
	keys := 0
	s.store.Scan(nil, nil, func(_, _ []byte) bool {
		keys++
		return true
	})
	g.Expect(keys).To(Equal(2))
}

func TestLargeAnswerIsDroppedNotCut(t *testing.T) {
	g := NewWithT(t)
	s := newTable()
	s.open("k", "r", "body")
	s.close("k", "r", string(bytes.Repeat([]byte("a"), MaxAnswerBytes+1)), false)
	again := s.open("k", "r2", "body")
	g.Expect(again).To(haveState(done))
	g.Expect(again.GetAnswerDropped()).To(BeTrue())
	g.Expect(again.GetAnswer()).To(BeEmpty())
}

func TestCallersDoNotShareKeys(t *testing.T) {
	g := NewWithT(t)
	g.Expect(claimID("a", "bc")).NotTo(Equal(claimID("ab", "c")))
}

// TestAKeyRunsAtMostOnce checks that, whatever requests do, a key has one
// holder at a time, and no further one after an outcome was recorded, until
// its retention has passed.
func TestAKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTable()
		holders := map[string]string{}
		finished := map[string]bool{}
		opened := map[string]uint64{}
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
			request := rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "request")
			if opened[key]+uint64(retention.Milliseconds()) <= s.now {
				delete(holders, key)
				delete(finished, key)
			}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				if s.open(key, request, "body").GetState() != granted {
					continue
				}
				if finished[key] || holders[key] != "" && holders[key] != request {
					t.Fatalf("%s granted to %s, holder %q, finished %t", key, request, holders[key], finished[key])
				}
				if holders[key] == "" {
					opened[key] = s.now
				}
				holders[key] = request
			case 2:
				notRun := rapid.Bool().Draw(t, "notRun")
				state := s.close(key, request, "answer", notRun).GetState()
				if holders[key] != request || finished[key] {
					continue
				}
				if notRun && state == released {
					delete(holders, key)
				}
				finished[key] = !notRun
			case 3:
				s.now += rapid.Uint64Range(0, 400).Draw(t, "ms")
			}
		}
	})
}
