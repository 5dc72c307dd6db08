package orders

import (
	"fmt"
	"math"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// testState is a State with an in-memory store and a simulated log time.
type testState struct {
	state State
	store kv.Store
	nowMs uint64
}

func newTestState() *testState {
	return &testState{store: kv.NewMemoryStore(), nowMs: 1_000_000}
}

func (s *testState) commit(apply func(kv.Batch) *pb.OrderResult) *pb.OrderResult {
	b := s.store.NewBatch()
	result := apply(b)
	if err := s.store.Commit(b, true); err != nil {
		panic(err)
	}
	return result
}

const (
	weightBytesPerSecond = 1000
	weightBurstBytes     = 2000
)

func (s *testState) issue(changeID, upstream string, weightBytes uint64) *pb.OrderResult {
	return s.commit(func(b kv.Batch) *pb.OrderResult {
		return s.state.Issue(b, &pb.OrderIssue{
			ChangeId: changeID,
			Order: &pb.Order{
				Upstream: upstream, Kind: pb.OrderKind_ORDER_LOAD_MODEL, Subject: "m", WeightBytes: weightBytes,
			},
			WeightBytesPerSecond: weightBytesPerSecond,
			WeightBurstBytes:     weightBurstBytes,
		}, s.nowMs)
	})
}

func (s *testState) finish(upstream string, number uint64) *pb.OrderResult {
	return s.commit(func(b kv.Batch) *pb.OrderResult {
		return s.state.Finish(b, &pb.OrderFinish{Upstream: upstream, FencingNumber: number, Done: true})
	})
}

func TestOneOutstandingOrderPerUpstreamWithGrowingNumbers(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	first := s.issue("a", "u", 0)
	g.Expect(first.GetAccepted()).To(BeTrue())
	g.Expect(first.GetOrder().GetFencingNumber()).To(BeEquivalentTo(1))
	refused := s.issue("b", "u", 0)
	g.Expect(refused.GetAccepted()).To(BeFalse())
	g.Expect(refused.GetOrder().GetFencingNumber()).To(BeEquivalentTo(1))
	g.Expect(s.issue("a", "u", 0).String()).To(Equal(first.String()))
	g.Expect(s.finish("u", 2).GetAccepted()).To(BeFalse())
	g.Expect(s.finish("u", 1).GetAccepted()).To(BeTrue())
	g.Expect(s.finish("u", 1).GetAccepted()).To(BeTrue())
	g.Expect(s.issue("b", "u", 0).GetOrder().GetFencingNumber()).To(BeEquivalentTo(2))
	g.Expect(s.finish("u", 1).GetAccepted()).To(BeTrue())
	g.Expect(s.finish("u", 3).GetAccepted()).To(BeFalse())
	g.Expect(s.issue("a", "u", 0).String()).To(Equal(first.String()))
	queried := s.state.Query(s.store, &pb.OrderQuery{Upstream: "u"})
	g.Expect(queried.GetFencingNumber()).To(BeEquivalentTo(2))
	g.Expect(queried.GetOutstanding().GetFencingNumber()).To(BeEquivalentTo(2))
	g.Expect(queried.GetFinished().GetFencingNumber()).To(BeEquivalentTo(1))
}

func TestInvalidOrdersAreRefused(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	g.Expect(s.issue("", "u", 0).GetReason()).To(ContainSubstring("change ID"))
	g.Expect(s.issue("a", "", 0).GetReason()).To(ContainSubstring("upstream"))
	g.Expect(s.issue("a", "u", math.MaxUint64).GetReason()).To(ContainSubstring("longer than"))
	g.Expect(s.issue("a", "u", 0).GetAccepted()).To(BeTrue())
	g.Expect(s.issue("a", "v", 0).GetReason()).To(ContainSubstring("another order"))
	g.Expect(s.finish("unknown", 0).GetAccepted()).To(BeFalse())
	g.Expect(s.finish("u", 0).GetAccepted()).To(BeFalse())
}

func TestRefusedLoadReportsRetryAfter(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	g.Expect(s.issue("a", "u", 5000).GetAccepted()).To(BeTrue())
	refused := s.issue("b", "v", 1000)
	g.Expect(refused.GetAccepted()).To(BeFalse())
	g.Expect(refused.GetRetryAfterMs()).To(BeEquivalentTo(3000))
	s.nowMs += refused.GetRetryAfterMs() - 1
	g.Expect(s.issue("b", "v", 1000).GetAccepted()).To(BeFalse())
	s.nowMs++
	g.Expect(s.issue("b", "v", 1000).GetAccepted()).To(BeTrue())
}

// TestOrderInvariants checks that fencing numbers have no gaps, that an upstream
// has at most one outstanding order, and that the bytes of issued loads exceed
// the rate and burst of the weight store by at most one load.
func TestOrderInvariants(t *testing.T) {
	const maxWeightBytes = 3000
	rapid.Check(t, func(t *rapid.T) {
		s := newTestState()
		startMs, issuedBytes := s.nowMs, uint64(0)
		lastNumber, outstanding := map[string]uint64{}, map[string]uint64{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			upstream := rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "upstream")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				weightBytes := rapid.Uint64Range(0, maxWeightBytes).Draw(t, "weight")
				result := s.issue(fmt.Sprint(i), upstream, weightBytes)
				if !result.GetAccepted() {
					continue
				}
				number := result.GetOrder().GetFencingNumber()
				if outstanding[upstream] != 0 || number != lastNumber[upstream]+1 {
					t.Fatalf("upstream %s was issued order %d after order %d; outstanding order %d", upstream, number, lastNumber[upstream], outstanding[upstream])
				}
				lastNumber[upstream], outstanding[upstream] = number, number
				issuedBytes += weightBytes
			case 1:
				number := rapid.Uint64Range(0, lastNumber[upstream]+1).Draw(t, "number")
				accepted := s.finish(upstream, number).GetAccepted()
				if accepted && number == outstanding[upstream] {
					outstanding[upstream] = 0
				}
				if outstanding[upstream] != 0 && accepted && number > outstanding[upstream] {
					t.Fatalf("finishing order %d of upstream %s was accepted, but the order was never issued", number, upstream)
				}
			case 2:
				s.nowMs += rapid.Uint64Range(0, 3000).Draw(t, "ms")
			}
			if maxBytes := (s.nowMs-startMs)*weightBytesPerSecond/1000 + weightBurstBytes + maxWeightBytes; issuedBytes > maxBytes {
				t.Fatalf("loads of %d bytes were issued; the limit is %d bytes", issuedBytes, maxBytes)
			}
		}
	})
}
