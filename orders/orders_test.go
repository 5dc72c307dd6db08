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

// table is a state on an in-memory store.
type table struct {
	state State
	store kv.Store
	now   uint64
}

func newTable() *table {
	return &table{store: kv.NewMemoryStore(), now: 1_000_000}
}

func (s *table) commit(apply func(kv.Batch) *pb.OrderResult) *pb.OrderResult {
	b := s.store.NewBatch()
	result := apply(b)
	if err := s.store.Commit(b, true); err != nil {
		panic(err)
	}
	return result
}

const (
	storeRate  = 1000 // bytes a second
	storeBurst = 2000 // bytes
)

func (s *table) issue(id, upstream string, weight uint64) *pb.OrderResult {
	return s.commit(func(b kv.Batch) *pb.OrderResult {
		return s.state.Issue(b, &pb.OrderIssue{
			ChangeId: id,
			Order: &pb.Order{
				Upstream: upstream, Kind: pb.OrderKind_ORDER_LOAD_MODEL, Subject: "m", WeightBytes: weight,
			},
			WeightBytesPerSecond: storeRate,
			WeightBurstBytes:     storeBurst,
		}, s.now)
	})
}

func (s *table) finish(upstream string, number uint64) *pb.OrderResult {
	return s.commit(func(b kv.Batch) *pb.OrderResult {
		return s.state.Finish(b, &pb.OrderFinish{Upstream: upstream, FencingNumber: number, Done: true})
	})
}

func TestOneOrderIsOutstandingAndNumbersGrow(t *testing.T) {
	g := NewWithT(t)
	s := newTable()
	first := s.issue("a", "u", 0)
	g.Expect(first.GetAccepted()).To(BeTrue())
	g.Expect(first.GetOrder().GetFencingNumber()).To(BeEquivalentTo(1))
	busy := s.issue("b", "u", 0)
	g.Expect(busy.GetAccepted()).To(BeFalse())
	g.Expect(busy.GetOrder().GetFencingNumber()).To(BeEquivalentTo(1))
	g.Expect(s.issue("a", "u", 0).String()).To(Equal(first.String()))
	g.Expect(s.finish("u", 2).GetAccepted()).To(BeFalse())
	g.Expect(s.finish("u", 1).GetAccepted()).To(BeTrue())
	g.Expect(s.finish("u", 1).GetAccepted()).To(BeTrue())
	g.Expect(s.issue("b", "u", 0).GetOrder().GetFencingNumber()).To(BeEquivalentTo(2))
	g.Expect(s.finish("u", 1).GetAccepted()).To(BeTrue())
	g.Expect(s.finish("u", 3).GetAccepted()).To(BeFalse())
	g.Expect(s.issue("a", "u", 0).String()).To(Equal(first.String()))
	answer := s.state.Query(s.store, &pb.OrderQuery{Upstream: "u"})
	g.Expect(answer.GetFencingNumber()).To(BeEquivalentTo(2))
	g.Expect(answer.GetOutstanding().GetFencingNumber()).To(BeEquivalentTo(2))
	g.Expect(answer.GetFinished().GetFencingNumber()).To(BeEquivalentTo(1))
}

func TestMalformedOrdersAreRefused(t *testing.T) {
	g := NewWithT(t)
	s := newTable()
	g.Expect(s.issue("", "u", 0).GetReason()).To(ContainSubstring("change ID"))
	g.Expect(s.issue("a", "", 0).GetReason()).To(ContainSubstring("upstream"))
	g.Expect(s.issue("a", "u", math.MaxUint64).GetReason()).To(ContainSubstring("longer than"))
	g.Expect(s.issue("a", "u", 0).GetAccepted()).To(BeTrue())
	g.Expect(s.issue("a", "v", 0).GetReason()).To(ContainSubstring("another order"))
	g.Expect(s.finish("unknown", 0).GetAccepted()).To(BeFalse())
	g.Expect(s.finish("u", 0).GetAccepted()).To(BeFalse())
}

func TestRefusedLoadTellsWhenTheWeightStoreHasRoom(t *testing.T) {
	g := NewWithT(t)
	s := newTable()
	g.Expect(s.issue("a", "u", 5000).GetAccepted()).To(BeTrue())
	refused := s.issue("b", "v", 1000)
	g.Expect(refused.GetAccepted()).To(BeFalse())
	g.Expect(refused.GetRetryAfterMs()).To(BeEquivalentTo(3000))
	s.now += refused.GetRetryAfterMs() - 1
	g.Expect(s.issue("b", "v", 1000).GetAccepted()).To(BeFalse())
	s.now++
	g.Expect(s.issue("b", "v", 1000).GetAccepted()).To(BeTrue())
}

// TestOrdersKeepTheirInvariants checks numbering, the single outstanding
// order and the bound on bytes issued in any time.
func TestOrdersKeepTheirInvariants(t *testing.T) {
	const maxWeight = 3000
	rapid.Check(t, func(t *rapid.T) {
		s := newTable()
		start, issued := s.now, uint64(0)
		last, open := map[string]uint64{}, map[string]uint64{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			upstream := rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "upstream")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				weight := rapid.Uint64Range(0, maxWeight).Draw(t, "weight")
				result := s.issue(fmt.Sprint(i), upstream, weight)
				if !result.GetAccepted() {
					continue
				}
				number := result.GetOrder().GetFencingNumber()
				if open[upstream] != 0 || number != last[upstream]+1 {
					t.Fatalf("%s got order %d after %d, outstanding %d", upstream, number, last[upstream], open[upstream])
				}
				last[upstream], open[upstream] = number, number
				issued += weight
			case 1:
				number := rapid.Uint64Range(0, last[upstream]+1).Draw(t, "number")
				accepted := s.finish(upstream, number).GetAccepted()
				if accepted && number == open[upstream] {
					open[upstream] = 0
				}
				if open[upstream] != 0 && accepted && number > open[upstream] {
					t.Fatalf("finished order %d of %s, which was never issued", number, upstream)
				}
			case 2:
				s.now += rapid.Uint64Range(0, 3000).Draw(t, "ms")
			}
			if bound := (s.now-start)*storeRate/1000 + storeBurst + maxWeight; issued > bound {
				t.Fatalf("%d bytes issued, at most %d allowed", issued, bound)
			}
		}
	})
}
