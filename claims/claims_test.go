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

// testState is a State with an in-memory store and a simulated log time.
type testState struct {
	state State
	store kv.Store
	nowMs uint64
}

func newTestState() *testState {
	return &testState{store: kv.NewMemoryStore(), nowMs: 1_000_000}
}

func (s *testState) commit(apply func(kv.Batch) *pb.ClaimResult) *pb.ClaimResult {
	b := s.store.NewBatch()
	result := apply(b)
	if err := s.store.Commit(b, true); err != nil {
		panic(err)
	}
	return result
}

func (s *testState) open(key, requestID, body string) *pb.ClaimResult {
	return s.commit(func(b kv.Batch) *pb.ClaimResult {
		return s.state.Open(b, &pb.ClaimOpen{
			Caller: "caller", Key: key, Digest: []byte(body), RequestId: requestID,
			RetentionMs: uint64(retention.Milliseconds()),
		}, s.nowMs)
	})
}

func (s *testState) close(key, requestID, response string, notRun bool) *pb.ClaimResult {
	return s.commit(func(b kv.Batch) *pb.ClaimResult {
		return s.state.Close(b, &pb.ClaimClose{
			Caller: "caller", Key: key, RequestId: requestID, NotRun: notRun, Status: 200, Answer: []byte(response),
		}, s.nowMs)
	})
}

func haveState(state pb.ClaimState) OmegaMatcher {
	return WithTransform((*pb.ClaimResult).GetState, Equal(state))
}

const (
	claimGranted  = pb.ClaimState_CLAIM_GRANTED
	claimPending  = pb.ClaimState_CLAIM_PENDING
	claimDone     = pb.ClaimState_CLAIM_DONE
	claimMismatch = pb.ClaimState_CLAIM_MISMATCH
	claimReleased = pb.ClaimState_CLAIM_RELEASED
)

func TestSameKeyReturnsRecordedOutcome(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	g.Expect(s.open("k", "r1", "body")).To(haveState(claimGranted))
	g.Expect(s.open("k", "r1", "body")).To(haveState(claimGranted))
	g.Expect(s.open("k", "r2", "body")).To(haveState(claimPending))
	g.Expect(s.open("k", "r2", "other")).To(haveState(claimMismatch))
	g.Expect(s.close("k", "r2", "wrong", false)).To(haveState(claimPending))
	g.Expect(s.close("k", "r1", "answer", false)).To(haveState(claimDone))
	g.Expect(s.close("k", "r1", "later", false).GetAnswer()).To(BeEquivalentTo("answer"))
	g.Expect(s.open("k", "r3", "body").GetAnswer()).To(BeEquivalentTo("answer"))
	g.Expect(s.open("other", "r3", "body")).To(haveState(claimGranted))
}

func TestReleasedKeyIsGrantedOnlyToAnotherRequest(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	s.open("k", "r1", "body")
	g.Expect(s.close("k", "r1", "", true)).To(haveState(claimReleased))
	g.Expect(s.open("k", "r1", "body")).To(haveState(claimReleased))
	g.Expect(s.open("k", "r2", "body")).To(haveState(claimGranted))
	g.Expect(s.close("k", "r1", "late", false)).To(haveState(claimPending))
}

func TestExpiredClaimsAreRemovedFromStore(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	for i := range 100 {
		s.open(fmt.Sprint(i), "r", "body")
	}
	s.nowMs += uint64(retention.Milliseconds())
	g.Expect(s.open("5", "r2", "body")).To(haveState(claimGranted))
	for range 100 / maxExpiredPerCommand {
		s.close("none", "r", "", true)
	}
	keys := 0
	s.store.Scan(nil, nil, func(_, _ []byte) bool {
		keys++
		return true
	})
	g.Expect(keys).To(Equal(2))
}

func TestOversizedResponseIsDroppedNotTruncated(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	s.open("k", "r", "body")
	s.close("k", "r", string(bytes.Repeat([]byte("a"), MaxResponseBytes+1)), false)
	second := s.open("k", "r2", "body")
	g.Expect(second).To(haveState(claimDone))
	g.Expect(second.GetAnswerDropped()).To(BeTrue())
	g.Expect(second.GetAnswer()).To(BeEmpty())
}

func TestClaimIDSeparatesCallerFromKey(t *testing.T) {
	g := NewWithT(t)
	g.Expect(claimID("a", "bc")).NotTo(Equal(claimID("ab", "c")))
}

// TestKeyIsGrantedToAtMostOneRequest checks, for random sequences of requests,
// that a key has at most one holder at a time, and that it is not granted again
// after an outcome was recorded, until its retention has passed.
func TestKeyIsGrantedToAtMostOneRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestState()
		holders := map[string]string{}
		recorded := map[string]bool{}
		openedMs := map[string]uint64{}
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
			requestID := rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "request")
			if openedMs[key]+uint64(retention.Milliseconds()) <= s.nowMs {
				delete(holders, key)
				delete(recorded, key)
			}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				if s.open(key, requestID, "body").GetState() != claimGranted {
					continue
				}
				if recorded[key] || holders[key] != "" && holders[key] != requestID {
					t.Fatalf("key %s was granted to request %s; holder %q, outcome recorded %t", key, requestID, holders[key], recorded[key])
				}
				if holders[key] == "" {
					openedMs[key] = s.nowMs
				}
				holders[key] = requestID
			case 2:
				notRun := rapid.Bool().Draw(t, "notRun")
				state := s.close(key, requestID, "answer", notRun).GetState()
				if holders[key] != requestID || recorded[key] {
					continue
				}
				if notRun && state == claimReleased {
					delete(holders, key)
				}
				recorded[key] = !notRun
			case 3:
				s.nowMs += rapid.Uint64Range(0, 400).Draw(t, "ms")
			}
		}
	})
}
